package membership

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// TestMergeIgnoresOrder guards P10 against gossip of an older incarnation or revision that replaces a newer one: in
// whatever order and however often the entries of a node arrive, the same entry results, and it never reverts to an
// older one.
func TestMergeIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([]*peerpb.NodeEntry, rapid.IntRange(2, 6).Draw(t, "entries"))
		for i := range entries {
			incarnation, revision := rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 3).Draw(t, "revision")
			entries[i] = &peerpb.NodeEntry{
				Name: "vm-1", Incarnation: incarnation, Revision: revision,
				// A node's applied offset follows from its incarnation and revision.
				AppliedConfig: 10*incarnation + revision,
				State:         peerpb.NodeState(rapid.IntRange(0, len(peerpb.NodeState_name)-1).Draw(t, "state")),
			}
		}
		mergeAll := func(order []*peerpb.NodeEntry) *peerpb.NodeEntry {
			result := order[0]
			for _, e := range order {
				next := merge(result, e)
				if next.Incarnation < result.Incarnation || (next.Incarnation == result.Incarnation && next.Revision < result.Revision) {
					t.Fatalf("%v reverts to %v", result, next)
				}
				result = next
			}
			return result
		}
		first := mergeAll(entries)
		again := append(rapid.Permutation(entries).Draw(t, "order"), entries[rapid.IntRange(0, len(entries)-1).Draw(t, "repeated")])
		second := mergeAll(again)
		if first.Incarnation != second.Incarnation || first.Revision != second.Revision || severity(first.State) != severity(second.State) ||
			first.AppliedConfig != second.AppliedConfig {
			t.Fatalf("%v and %v result from the same entries", proto.Clone(first), proto.Clone(second))
		}
	})
}
