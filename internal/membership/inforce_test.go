package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// inForceBound is the time within which a configuration is to be in force everywhere, as the node table shows it.
const inForceBound = 19 * time.Second

// Guards P8: a change that all nodes have applied must show at every node within the bound. Gossip that stops after a
// few messages missed some nodes, and "waxwingctl wait" did not return for 30 s.
func TestAppliedOffsetsReachEveryNodeInTime(t *testing.T) {
	for _, n := range []int{4, 9} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("nodes=%d/seed=%d", n, seed), func(t *testing.T) {
				g := gomega.NewWithT(t)
				w := newWorld(n, seed)
				w.run(time.Minute)
				for change := uint64(1); change <= 40; change++ {
					for _, c := range w.nodes {
						c.setApplied(w.now, change)
					}
					w.run(inForceBound)
					g.Expect(w.lagging(change)).To(gomega.BeEmpty(), "change %d", change)
				}
			})
		}
	}
}

// lagging returns the pairs of nodes of which the first doesn't know that the second has applied the offset.
func (w *world) lagging(applied uint64) []string {
	var late []string
	for _, name := range w.names {
		for _, other := range w.names {
			m := w.nodes[name].members[other]
			if m == nil || m.entry.AppliedConfig < applied {
				late = append(late, name+" about "+other)
			}
		}
	}
	return late
}
