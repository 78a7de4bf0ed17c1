package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// capacityNodes are the sizes of the site; 390 is the size to design for.
var capacityNodes = []int{9, 32, 100, 390}

// changeInterval is the mean time between two of 1,500 configuration changes a day.
const changeInterval = 24 * time.Hour / 1500

// tallied counts the messages of a world and their bytes before framing.
type tallied struct{ messages, bytes int }

func (t *tallied) add(m proto.Message) {
	t.messages++
	t.bytes += proto.Size(m)
}

// settledWorld returns a world in which every node knows all others and nothing is left to gossip.
func settledWorld(b *testing.B, nodes int, seed uint64) *world {
	w := newWorld(nodes, seed)
	for range 30 {
		w.run(10 * time.Second)
		if w.disagreement() == "" && gossiping(w) == 0 {
			return w
		}
	}
	b.Logf("gossip remains on %d of %d nodes", gossiping(w), nodes)
	return w
}

// gossiping is the number of nodes that have changes to pass on.
func gossiping(w *world) int {
	count := 0
	for _, c := range w.nodes {
		if len(c.gossip.spreads) > 0 {
			count++
		}
	}
	return count
}

func (t *tallied) report(b *testing.B, nodes int, span time.Duration, prefix string) {
	b.ReportMetric(float64(t.messages)/float64(nodes)/span.Seconds(), prefix+"messages/s")
	b.ReportMetric(float64(t.bytes)/float64(nodes)/span.Seconds(), prefix+"B/s")
}

// BenchmarkIdleGossip measures the messages that a node sends, and their bytes before framing, when nothing changes.
func BenchmarkIdleGossip(b *testing.B) {
	for _, nodes := range capacityNodes {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			span := 2 * time.Minute
			for b.Loop() {
				w := settledWorld(b, nodes, 1)
				var counted tallied
				w.count = counted.add
				w.run(span)
				counted.report(b, nodes, span, "")
			}
		})
	}
}

// BenchmarkChangeGossip measures the same while 1,500 configuration changes a day arrive, each applied by all nodes
// at once, and how long it takes until every node has heard from all that the first is in force.
func BenchmarkChangeGossip(b *testing.B) {
	for _, nodes := range capacityNodes {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				w := settledWorld(b, nodes, 1)
				var counted tallied
				w.count = counted.add
				known := time.Duration(0)
				const changes = 3
				for change := range changes {
					for _, c := range w.nodes {
						c.setApplied(w.now, uint64(change+1))
					}
					for begin := w.now; w.now.Sub(begin) < changeInterval; {
						w.run(time.Second)
						if known == 0 && allApplied(w, 1) {
							known = w.now.Sub(begin) + time.Duration(change)*changeInterval
						}
					}
				}
				counted.report(b, nodes, changes*changeInterval, "")
				b.ReportMetric(known.Seconds(), "known-s")
				b.ReportMetric(float64(gossiping(w)), "gossiping")
			}
		})
	}
}

// allApplied reports whether every node's table shows every node at the offset.
func allApplied(w *world, offset uint64) bool {
	for _, c := range w.nodes {
		for _, m := range c.members {
			if m.entry.AppliedConfig < offset {
				return false
			}
		}
	}
	return true
}

// BenchmarkKnown measures, over nine seeds, how long one change that all nodes apply at once takes until every node
// has heard of it from all others.
func BenchmarkKnown(b *testing.B) {
	for _, nodes := range []int{9, 32, 100} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				var times []float64
				for seed := range uint64(9) {
					w := settledWorld(b, nodes, seed+1)
					for _, c := range w.nodes {
						c.setApplied(w.now, 1)
					}
					begin := w.now
					for !allApplied(w, 1) && w.now.Sub(begin) < 10*time.Minute {
						w.run(time.Second)
					}
					times = append(times, w.now.Sub(begin).Seconds())
				}
				slices.Sort(times)
				b.ReportMetric(times[len(times)/2], "median-s")
				b.ReportMetric(times[0], "min-s")
				b.ReportMetric(times[len(times)-1], "max-s")
			}
		})
	}
}

// BenchmarkTick measures the processor time of one tick of an idle node.
func BenchmarkTick(b *testing.B) {
	for _, nodes := range capacityNodes {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			w := settledWorld(b, nodes, 1)
			c := w.nodes[w.names[0]]
			now := w.now
			for b.Loop() {
				c.tick(now)
				c.take()
			}
		})
	}
}

// BenchmarkRejoin measures how long two halves of a site that were apart for ten minutes take to agree again, and the
// bytes that a node sends meanwhile. Dead nodes are kept for three hours, so an hour apart takes the same way.
func BenchmarkRejoin(b *testing.B) {
	for _, nodes := range []int{9, 32, 100} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				w := settledWorld(b, nodes, 1)
				for i, name := range w.names {
					w.group[name] = i % 2
				}
				w.run(10 * time.Minute)
				var counted tallied
				w.count = counted.add
				for _, name := range w.names {
					w.group[name] = 0
				}
				begin := w.now
				for w.disagreement() != "" && w.now.Sub(begin) < 30*time.Minute {
					w.run(time.Second)
				}
				b.ReportMetric(w.now.Sub(begin).Seconds(), "agree-s")
				counted.report(b, nodes, w.now.Sub(begin), "")
			}
		})
	}
}
