package permits

import (
	"sort"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// maximumNodes limits the size of the merged node table.
const maximumNodes = 4096

// nodeTable is the union of the node tables of all schedulers, keyed by node name. The table of a scheduler that has
// just started is incomplete, so it must not replace entries received from other schedulers.
type nodeTable map[string]*peerpb.NodeEntry

// mergeNodes merges the node table of an answer and reports whether the merged table changed.
func (t *Table) mergeNodes(s *scheduler, answer *peerpb.SyncResponse) bool {
	s.nodeTableVersion = answer.NodeTableVersion
	changed := false
	for _, node := range answer.Nodes {
		if t.nodes.merge(node) {
			changed = true
		}
	}
	return changed
}

// merge adds the entry unless a newer one is known, and reports whether a state or address changed.
func (n nodeTable) merge(node *peerpb.NodeEntry) bool {
	known := n[node.Name]
	if known == nil && len(n) >= maximumNodes {
		n.removeDead()
	}
	if known == nil && len(n) >= maximumNodes {
		return false
	}
	if known != nil && isOlderNode(node, known) {
		return false
	}
	n[node.Name] = node
	return known == nil || known.State != node.State ||
		known.Scheduler != node.Scheduler || known.Apiserver != node.Apiserver
}

func (n nodeTable) removeDead() {
	for name, node := range n {
		if node.State == peerpb.NodeState_DEAD {
			delete(n, name)
		}
	}
}

func isOlderNode(node, known *peerpb.NodeEntry) bool {
	if node.Incarnation != known.Incarnation {
		return node.Incarnation < known.Incarnation
	}
	return node.Revision < known.Revision
}

// Schedulers returns the sorted addresses of the schedulers in the node table that are not marked dead. A leaving
// scheduler is included because it may own servers until it releases them.
func (t *Table) Schedulers() []string {
	return t.nodes.addresses((*peerpb.NodeEntry).GetScheduler)
}

// APIServers returns the sorted addresses of the API servers in the node table that are not marked dead.
func (t *Table) APIServers() []string {
	return t.nodes.addresses((*peerpb.NodeEntry).GetApiserver)
}

func (n nodeTable) addresses(address func(*peerpb.NodeEntry) string) []string {
	var addresses []string
	for _, node := range n {
		if a := address(node); a != "" && node.State != peerpb.NodeState_DEAD {
			addresses = append(addresses, a)
		}
	}
	sort.Strings(addresses)
	return addresses
}
