package membership

import (
	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// severity orders the states of one incarnation: a worse one wins, until the node itself refutes it by a higher
// incarnation.
func severity(state peerpb.NodeState) int {
	switch state {
	case peerpb.NodeState_LEAVING:
		return 1
	case peerpb.NodeState_SUSPECT:
		return 2
	case peerpb.NodeState_DEAD:
		return 3
	default:
		return 0
	}
}

// present is true for a node that is taken for running.
func present(e *peerpb.NodeEntry) bool { return e.State != peerpb.NodeState_DEAD }

// merge returns what is known of a node from two entries. It's commutative and idempotent, so that the order in
// which gossip arrives doesn't matter. The result is one of the arguments or a new entry; neither is changed.
func merge(old, fresh *peerpb.NodeEntry) *peerpb.NodeEntry {
	if fresh.Incarnation != old.Incarnation {
		if fresh.Incarnation > old.Incarnation {
			return fresh
		}
		return old
	}
	worse, newer := old, old
	if severity(fresh.State) > severity(old.State) {
		worse = fresh
	}
	if fresh.Revision > old.Revision {
		newer = fresh
	}
	if worse.State == newer.State {
		return newer
	}
	return withState(newer, worse.State)
}

func withState(e *peerpb.NodeEntry, state peerpb.NodeState) *peerpb.NodeEntry {
	changed := proto.Clone(e).(*peerpb.NodeEntry)
	changed.State = state
	return changed
}

// same reports whether two entries of a node say the same. Incarnation, state and revision determine the rest.
func same(a, b *peerpb.NodeEntry) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Revision == b.Revision
}
