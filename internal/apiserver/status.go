package apiserver

import (
	"fmt"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// statusResponse reports whether a resource version is in force, that is, applied by every node.
type statusResponse struct {
	ResourceVersion platform.Offset `json:"resourceVersion"`
	// Applied is the latest version that this API server has applied.
	Applied platform.Offset `json:"applied"`
	InForce bool            `json:"inForce"`
	// Reason describes why the version is not in force or why that can't be determined.
	Reason string `json:"reason,omitempty"`
	// Pending lists the names of the nodes, other than dead ones, that have not applied the version.
	Pending        []string     `json:"pending"`
	NodeTableAgeMs int64        `json:"nodeTableAgeMs"`
	Nodes          []nodeStatus `json:"nodes"`
}

// nodeStatus reports whether a version is in force at one node.
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
	response := statusOfNodes(version, applied, nodes)
	response.NodeTableAgeMs = age.Milliseconds()
	if age < 0 || len(nodes) == 0 {
		response.setNotInForce("the node table is not known: no scheduler has answered yet")
	} else if limit := s.settings.Config.NodeTableMaximumAge.Std(); age > limit {
		response.setNotInForce(fmt.Sprintf("the node table is %s old; allowed: %s", age.Round(time.Millisecond), limit))
	}
	writeJSON(w, http.StatusOK, response)
}

// statusOfNodes computes the response from a node table. Suspected and leaving nodes are included, because they may
// still serve.
func statusOfNodes(version, applied platform.Offset, nodes []*peerpb.NodeEntry) *statusResponse {
	response := &statusResponse{
		ResourceVersion: version, Applied: applied, InForce: true, Pending: []string{}, Nodes: []nodeStatus{},
	}
	for _, node := range nodes {
		if node.GetState() == peerpb.NodeState_DEAD {
			continue
		}
		nodeApplied := platform.Offset(node.GetAppliedConfig())
		response.Nodes = append(response.Nodes, nodeStatus{
			Name: node.GetName(), Zone: node.GetZone(), State: node.GetState().String(),
			Applied: nodeApplied, InForce: nodeApplied >= version,
		})
		if nodeApplied < version {
			response.Pending = append(response.Pending, node.GetName())
		}
	}
	if pending := len(response.Pending); pending > 0 {
		reason := fmt.Sprintf("%d of %d nodes have not applied version %d", pending, len(response.Nodes), version)
		response.setNotInForce(reason)
	}
	if applied < version {
		response.setNotInForce(fmt.Sprintf("this API server has applied version %d only", applied))
	}
	return response
}

func (r *statusResponse) setNotInForce(reason string) {
	r.InForce = false
	r.Reason = reason
}
