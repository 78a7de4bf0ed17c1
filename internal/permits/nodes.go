package permits

import (
	"sort"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// maximumNodes bounds the merged node table.
const maximumNodes = 4096

// nodeTable is the union of the node tables of all schedulers, by the node's name. A scheduler that has just started
// knows few nodes, so that its table must not replace what others told.
type nodeTable map[string]*peerpb.NodeEntry

// takeNodes merges the node table of an answer and reports whether the result changed.
func (t *Table) takeNodes(s *scheduler, answer *peerpb.SyncResponse) bool {
	s.nodeTableVersion = answer.NodeTableVersion
	changed := false
	for _, node := range answer.Nodes {
		if t.nodes.merge(node) {
			changed = true
		}
	}
	return changed
}

func (n nodeTable) merge(node *peerpb.NodeEntry) bool {
	held := n[node.Name]
	if held == nil && len(n) >= maximumNodes {
		n.forgetDead()
	}
	if held == nil && len(n) >= maximumNodes {
		return false
	}
	if held != nil && isOlderNode(node, held) {
		return false
	}
	n[node.Name] = node
	return held == nil || held.State != node.State || held.Scheduler != node.Scheduler || held.Apiserver != node.Apiserver
}

func (n nodeTable) forgetDead() {
	for name, node := range n {
		if node.State == peerpb.NodeState_DEAD {
			delete(n, name)
		}
	}
}

func isOlderNode(node, held *peerpb.NodeEntry) bool {
	if node.Incarnation != held.Incarnation {
		return node.Incarnation < held.Incarnation
	}
	return node.Revision < held.Revision
}

// Schedulers returns the addresses of the schedulers in the node table that aren't known to be dead, in order. A
// leaving scheduler is included, as it may own servers until its release.
func (t *Table) Schedulers() []string {
	return t.nodes.addresses((*peerpb.NodeEntry).GetScheduler)
}

// APIServers returns the addresses of the API servers in the node table that aren't known to be dead, in order.
func (t *Table) APIServers() []string {
	return t.nodes.addresses((*peerpb.NodeEntry).GetApiserver)
}

func (n nodeTable) addresses(of func(*peerpb.NodeEntry) string) []string {
	var addresses []string
	for _, node := range n {
		if address := of(node); address != "" && node.State != peerpb.NodeState_DEAD {
			addresses = append(addresses, address)
		}
	}
	sort.Strings(addresses)
	return addresses
}
