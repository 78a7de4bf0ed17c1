package ownership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clockedNode is a scheduler whose clock runs at its own rate.
type clockedNode struct {
	*node
	rate  float64
	local time.Time
}

// TestLeasesNeverOverlapOnSkewedClocks guards against two valid leases of the same server when the schedulers' clocks
// run at rates that differ by up to a quarter, with pauses, dropped records and an unavailable log. The margin of 2 s
// on top of the lease of 6 s covers such a difference; without it, the lease of an owner with a slow clock overlaps its
// successor's.
func TestLeasesNeverOverlapOnSkewedClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: time.Unix(1000, 0)}
		rates := rapid.Permutation([]float64{0.89, 1, 1.11}).Draw(t, "rates")
		var nodes []*clockedNode
		for i, name := range []string{"a", "b", "c"} {
			nodes = append(nodes, &clockedNode{node: sim.start(name), rate: rates[i], local: sim.now})
		}
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			n := nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			switch rapid.IntRange(0, 60).Draw(t, "fault") {
			case 0, 1:
				// A scheduler that can neither append nor read retains its lease until it expires.
				n.paused = !n.paused
			case 2:
				sim.down = !sim.down
			case 3:
				n.pending = nil
			}
			for _, n := range nodes {
				n.local = n.local.Add(time.Duration(float64(step) * n.rate))
				sim.now = n.local
				sim.stepUpTo(n.node, rapid.SampledFrom([]int{0, 100, 100}).Draw(t, "read"), true)
			}
			for _, server := range servers {
				holders := 0
				for _, n := range nodes {
					if n.core.LeaseValid(n.local, server) {
						holders++
					}
				}
				if holders > 1 {
					t.Fatalf("%d schedulers hold a valid lease of %s", holders, server)
				}
			}
		}
	})
}
