package apiserver

import (
	"fmt"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// statusAnswer says whether a resource version is in force.
type statusAnswer struct {
	ResourceVersion platform.Offset `json:"resourceVersion"`
	// Applied is the version that this API server has applied.
	Applied platform.Offset `json:"applied"`
	InForce bool            `json:"inForce"`
	// Reason says why the version is not in force or why that can't be told.
	Reason string `json:"reason,omitempty"`
	// Pending are the names of live nodes that have not applied the version.
	Pending        []string     `json:"pending"`
	NodeTableAgeMs int64        `json:"nodeTableAgeMs"`
	Nodes          []nodeStatus `json:"nodes"`
}

type nodeStatus struct {
	Name    string          `json:"name"`
	Zone    string          `json:"zone"`
	State   string          `json:"state"`
	Applied platform.Offset `json:"applied"`
	InForce bool            `json:"inForce"`
}

func (s *Server) status(w http.ResponseWriter, request *http.Request) {
	applied := s.replica.View().Applied
	version, failure := versionOf(request, applied)
	if failure != nil {
		writeError(w, failure)
		return
	}
	nodes, readAt := s.nodes.snapshot()
	age := time.Duration(-1)
	if !readAt.IsZero() {
		age = time.Since(readAt)
	}
	answer := statusAt(version, applied, nodes)
	answer.NodeTableAgeMs = age.Milliseconds()
	if age < 0 || len(nodes) == 0 {
		answer.refuse("the node table is not known: no scheduler has answered yet")
	} else if limit := s.settings.Config.NodeTableMaximumAge.Std(); age > limit {
		answer.refuse(fmt.Sprintf("the node table is %s old; allowed: %s", age.Round(time.Millisecond), limit))
	}
	writeJSON(w, http.StatusOK, answer)
}

// statusAt computes the answer from a table. A suspected or leaving node counts, because it may still serve.
func statusAt(version, applied platform.Offset, nodes []*peerpb.NodeEntry) *statusAnswer {
	answer := &statusAnswer{ResourceVersion: version, Applied: applied, InForce: true, Pending: []string{}, Nodes: []nodeStatus{}}
	for _, node := range nodes {
		if node.GetState() == peerpb.NodeState_DEAD {
			continue
		}
		reached := platform.Offset(node.GetAppliedConfig())
		answer.Nodes = append(answer.Nodes, nodeStatus{
			Name: node.GetName(), Zone: node.GetZone(), State: node.GetState().String(), Applied: reached, InForce: reached >= version,
		})
		if reached < version {
			answer.Pending = append(answer.Pending, node.GetName())
		}
	}
	if len(answer.Pending) > 0 {
		answer.refuse(fmt.Sprintf("%d of %d nodes have not applied version %d", len(answer.Pending), len(answer.Nodes), version))
	}
	if applied < version {
		answer.refuse(fmt.Sprintf("this API server has applied version %d only", applied))
	}
	return answer
}

func (a *statusAnswer) refuse(reason string) {
	a.InForce = false
	a.Reason = reason
}
