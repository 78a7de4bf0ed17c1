package permits_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// TestEndlessTargetsAreBounded guards against unbounded growth of the table and its syncs when requests for endless new
// targets arrive while a scheduler is unreachable.
func TestEndlessTargetsAreBounded(t *testing.T) {
	const maximumDemand = 1 << 12
	table := newTable(schedulerAddress)
	for round := range 3 {
		for i := range 3 * maximumDemand {
			table.Arrived(routing.Target{Adapter: fmt.Sprint("adapter-", round, "-", i), Version: "v"}, 1)
		}
		request := table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0)
		if len(request.Demand) > maximumDemand {
			t.Fatalf("a sync reports %d targets", len(request.Demand))
		}
		table.NotDelivered(schedulerAddress, request)
	}
}

// TestEndlessLoadsLeaveNothing guards against candidates of loads that no longer exist, and against repeated
// acknowledgements of closings after the load has ended.
func TestEndlessLoadsLeaveNothing(t *testing.T) {
	table := newTable(schedulerAddress)
	version := uint64(0)
	for load := uint64(1); load <= 20_000; load++ {
		for _, state := range []peerpb.LoadState{peerpb.LoadState_RESIDENT, peerpb.LoadState_CLOSING} {
			version++
			sent := start.Add(time.Duration(version) * time.Millisecond)
			table.Apply(schedulerAddress, sent, answerOf("i", version, 1, loadOf(load, state)))
		}
		candidates := table.Gather(routing.Target{Adapter: "a", Version: "v"}, nil)
		closed := table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0).ClosedLoads
		if len(candidates) != 1 || len(closed) != 1 {
			t.Fatalf("after load %d there are %d candidates and %d acknowledgements", load, len(candidates), len(closed))
		}
	}
}
