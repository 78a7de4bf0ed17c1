package membership

import (
	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// severity orders the states of one incarnation: a more severe one prevails until the node refutes it with a higher
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

// isRunning reports whether a node isn't dead. Suspected and leaving nodes count as running.
func isRunning(e *peerpb.NodeEntry) bool { return e.State != peerpb.NodeState_DEAD }

// merge combines two entries of a node. It's commutative and idempotent, so that the order in which gossip arrives
// doesn't matter. The result is one of the arguments or a new entry; the arguments aren't modified.
func merge(current, update *peerpb.NodeEntry) *peerpb.NodeEntry {
	if update.Incarnation != current.Incarnation {
		if update.Incarnation > current.Incarnation {
			return update
		}
		return current
	}
	severer, newer := current, current
	if severity(update.State) > severity(current.State) {
		severer = update
	}
	if update.Revision > current.Revision {
		newer = update
	}
	if severer.State == newer.State {
		return newer
	}
	return withState(newer, severer.State)
}

func withState(e *peerpb.NodeEntry, state peerpb.NodeState) *peerpb.NodeEntry {
	changed := proto.Clone(e).(*peerpb.NodeEntry)
	changed.State = state
	return changed
}

// sameVersion reports whether two entries of a node are equal. Incarnation, state and revision determine the other
// fields.
func sameVersion(a, b *peerpb.NodeEntry) bool {
	return a.Incarnation == b.Incarnation && a.State == b.State && a.Revision == b.Revision
}
