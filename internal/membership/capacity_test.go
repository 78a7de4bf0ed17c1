package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// capacityNodes are the numbers of nodes to measure; 390 is the design size.
var capacityNodes = []int{9, 32, 100, 390}

// changeInterval is the mean time between two of 1,500 configuration changes a day.
const changeInterval = 24 * time.Hour / 1500

// traffic counts the messages of a simulation and their bytes before framing.
type traffic struct{ messages, bytes int }

func (t *traffic) add(m proto.Message) {
	t.messages++
	t.bytes += proto.Size(m)
}

// settledSimulation returns a simulation in which all tables agree and no updates are left to gossip.
func settledSimulation(b *testing.B, nodes int, seed uint64) *simulation {
	s := newSimulation(nodes, seed)
	for range 30 {
		s.run(10 * time.Second)
		if s.disagreement() == "" && gossipingNodes(s) == 0 {
			return s
		}
	}
	b.Logf("gossip remains on %d of %d nodes", gossipingNodes(s), nodes)
	return s
}

// gossipingNodes returns the number of nodes that have changes left to gossip.
func gossipingNodes(s *simulation) int {
	count := 0
	for _, c := range s.nodes {
		if len(c.gossip.pending) > 0 {
			count++
		}
	}
	return count
}

func (t *traffic) report(b *testing.B, nodes int, span time.Duration, prefix string) {
	b.ReportMetric(float64(t.messages)/float64(nodes)/span.Seconds(), prefix+"messages/s")
	b.ReportMetric(float64(t.bytes)/float64(nodes)/span.Seconds(), prefix+"B/s")
}

// BenchmarkIdleGossip measures the messages that a node sends, and their bytes before framing, when nothing changes.
func BenchmarkIdleGossip(b *testing.B) {
	for _, nodes := range capacityNodes {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			span := 2 * time.Minute
			for b.Loop() {
				s := settledSimulation(b, nodes, 1)
				var counted traffic
				s.count = counted.add
				s.run(span)
				counted.report(b, nodes, span, "")
			}
		})
	}
}

// BenchmarkChangeGossip measures the same while 1,500 configuration changes a day arrive, each applied by all nodes
// at once, and how long it takes until every node has received the applied offset of the first change from all nodes.
func BenchmarkChangeGossip(b *testing.B) {
	for _, nodes := range capacityNodes {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				s := settledSimulation(b, nodes, 1)
				var counted traffic
				s.count = counted.add
				propagation := time.Duration(0)
				const changes = 3
				for change := range changes {
					for _, c := range s.nodes {
						c.setApplied(s.now, uint64(change+1))
					}
					for begin := s.now; s.now.Sub(begin) < changeInterval; {
						s.run(time.Second)
						if propagation == 0 && allApplied(s, 1) {
							propagation = s.now.Sub(begin) + time.Duration(change)*changeInterval
						}
					}
				}
				counted.report(b, nodes, changes*changeInterval, "")
				b.ReportMetric(propagation.Seconds(), "known-s")
				b.ReportMetric(float64(gossipingNodes(s)), "gossiping")
			}
		})
	}
}

// allApplied reports whether every node's table shows every node at the offset.
func allApplied(s *simulation, offset uint64) bool {
	for _, c := range s.nodes {
		for _, m := range c.members {
			if m.entry.AppliedConfig < offset {
				return false
			}
		}
	}
	return true
}

// BenchmarkKnown measures, over nine seeds, how long one change that all nodes apply at once takes until every node has
// received the applied offsets of all others.
func BenchmarkKnown(b *testing.B) {
	for _, nodes := range []int{9, 32, 100} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				var times []float64
				for seed := range uint64(9) {
					s := settledSimulation(b, nodes, seed+1)
					for _, c := range s.nodes {
						c.setApplied(s.now, 1)
					}
					begin := s.now
					for !allApplied(s, 1) && s.now.Sub(begin) < 10*time.Minute {
						s.run(time.Second)
					}
					times = append(times, s.now.Sub(begin).Seconds())
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
			s := settledSimulation(b, nodes, 1)
			c := s.nodes[s.names[0]]
			now := s.now
			for b.Loop() {
				c.tick(now)
				c.drainActions()
			}
		})
	}
}

// BenchmarkRejoin measures how long the tables take to agree after a partition of ten minutes into two halves, and the
// bytes that a node sends meanwhile. Dead nodes are retained for three hours, so an hour's partition heals alike.
func BenchmarkRejoin(b *testing.B) {
	for _, nodes := range []int{9, 32, 100} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			for b.Loop() {
				s := settledSimulation(b, nodes, 1)
				for i, name := range s.names {
					s.group[name] = i % 2
				}
				s.run(10 * time.Minute)
				var counted traffic
				s.count = counted.add
				for _, name := range s.names {
					s.group[name] = 0
				}
				begin := s.now
				for s.disagreement() != "" && s.now.Sub(begin) < 30*time.Minute {
					s.run(time.Second)
				}
				b.ReportMetric(s.now.Sub(begin).Seconds(), "agree-s")
				counted.report(b, nodes, s.now.Sub(begin), "")
			}
		})
	}
}
