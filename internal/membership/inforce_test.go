package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// inForceBound is the time within which the node table has to show a configuration as in force everywhere.
const inForceBound = 19 * time.Second

// TestAppliedOffsetsReachEveryNodeInTime guards P8: every node's table must show within the bound that all nodes have
// applied a change. Gossip that stopped after a few messages missed some nodes, and "waxwingctl wait" did not return
// for 30 s.
func TestAppliedOffsetsReachEveryNodeInTime(t *testing.T) {
	for _, n := range []int{4, 9} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("nodes=%d/seed=%d", n, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				s := newSimulation(n, seed)
				s.run(time.Minute)
				for change := uint64(1); change <= 40; change++ {
					for _, c := range s.nodes {
						c.setApplied(s.now, change)
					}
					s.run(inForceBound)
					g.Expect(s.lagging(change)).To(gomega.BeEmpty(), "change %d", change)
				}
			})
		}
	}
}

// lagging returns the pairs of nodes for which the first node's table doesn't show the offset as applied at the second.
func (s *simulation) lagging(applied uint64) []string {
	var late []string
	for _, name := range s.names {
		for _, other := range s.names {
			m := s.nodes[name].members[other]
			if m == nil || m.entry.AppliedConfig < applied {
				late = append(late, name+" about "+other)
			}
		}
	}
	return late
}
