package scheduler

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// recordingTable records the reports it receives.
type recordingTable struct {
	fixedTable
	reports []membership.ProcessReport
}

func (t *recordingTable) Report(report membership.ProcessReport) {
	t.reports = append(t.reports, report)
}

// Guards against a node entry that includes the gateway of another VM: every gateway syncs with every scheduler, so the
// node's applied offset became the minimum over all gateways.
func TestGatewayCountsAtItsOwnNode(t *testing.T) {
	g := gomega.NewWithT(t)
	table := &recordingTable{fixedTable: fixedTable{nodes: []*peerpb.NodeEntry{
		{Name: "vm-1", State: peerpb.NodeState_ALIVE}, {Name: "vm-2", State: peerpb.NodeState_ALIVE},
		{Name: "vm-3", State: peerpb.NodeState_DEAD},
	}}}
	c := &core{scheduler: &Scheduler{self: ownership.Holder{Node: "vm-1"}, options: Options{Table: table}}}
	for _, node := range []string{"vm-1", "vm-2", "vm-3"} {
		c.reportProcess(&peerpb.SyncRequest{
			Process: node + "/gateway", Node: node, Role: gatewayRole, Address: node, AppliedConfig: 7,
		})
	}
	g.Expect(table.reports).To(gomega.Equal([]membership.ProcessReport{
		{Process: "vm-1/gateway", Role: gatewayRole, Address: "vm-1", Applied: 7},
		{Process: "vm-3/gateway", Applied: 7},
	}))
}
