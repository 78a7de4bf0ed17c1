package requestlimit_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
)

// platformBound is the most that a server with a limit may get in 4 s.
func platformBound(perSecond float64) int { return int(1.5*4*perSecond + 5) }

// mostIn returns the largest number of times in any window of 4 s.
func mostIn(times []time.Time) int {
	most, first := 0, 0
	for last, at := range times {
		for at.Sub(times[first]) > 4*time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// Guards against grants, calls of the holder and returned grants that together exceed the limit.
func TestGrantsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 20).Draw(t, "limit")
		allocator := requestlimit.NewAllocator(at(0), perSecond, true)
		var sent []time.Time
		id, nextCall := uint64(0), start
		for ms := 0; ms < 12_000; ms += rapid.IntRange(1, 200).Draw(t, "step") {
			now := at(ms)
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				if !now.Before(nextCall) {
					allocator.Charge(now)
					sent = append(sent, now)
					nextCall = now.Add(requestlimit.CallInterval(perSecond))
				}
			default:
				id++
				answer := allocator.Ask(now, requestlimit.Request{
					Node: "n", ID: id, Priority: int(id % 3), Patience: time.Duration(id%5) * 200 * time.Millisecond,
				})
				if answer.Granted && rapid.IntRange(0, 3).Draw(t, "return") == 0 {
					allocator.Return(now, "n", id)
				} else if answer.Granted {
					sent = append(sent, now)
				}
			}
			granted, _ := allocator.Next(now)
			for range granted {
				sent = append(sent, now)
			}
		}
		if most := mostIn(sent); most > platformBound(perSecond) {
			t.Fatalf("%d sent in 4 s at a limit of %v a second", most, perSecond)
		}
	})
}

// Guards against urgent requests that wait behind others, and against grants for requests that have given up.
func TestUrgentRequestsAreGrantedFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	allocator := requestlimit.NewAllocator(at(0), 2, true)
	for id, priority := range []int{2, 0, 1} {
		answer := allocator.Ask(at(1000), requestlimit.Request{
			Node: "n", ID: uint64(id), Priority: priority, Patience: 2 * time.Second,
		})
		g.Expect(answer.Queued).To(gomega.BeTrue())
	}
	granted, next := allocator.Next(at(1600))
	g.Expect(granted).To(gomega.HaveLen(1))
	g.Expect(granted[0].ID).To(gomega.Equal(uint64(1)))
	g.Expect(next).To(gomega.BeTemporally(">", at(1600)))
	granted, _ = allocator.Next(at(9000))
	g.Expect(granted).To(gomega.BeEmpty())
}

// Guards against a repeated request that is charged twice, and against one that is refused after its grant got lost.
func TestRepeatedRequestKeepsItsGrant(t *testing.T) {
	g := gomega.NewWithT(t)
	allocator := requestlimit.NewAllocator(at(0), 1, true)
	request := requestlimit.Request{Node: "n", ID: 7}
	g.Expect(allocator.Ask(at(5000), request).Granted).To(gomega.BeTrue())
	g.Expect(allocator.Ask(at(5050), request).Granted).To(gomega.BeTrue())
	other := allocator.Ask(at(5060), requestlimit.Request{Node: "m", ID: 7})
	g.Expect(other.Granted).To(gomega.BeFalse())
	g.Expect(other.RoomIn).To(gomega.BeNumerically("~", time.Second, 300*time.Millisecond))
	allocator.Return(at(5070), "n", 7)
	g.Expect(allocator.Ask(at(5080), requestlimit.Request{Node: "m", ID: 7}).Granted).To(gomega.BeTrue())
}

// Guards against a limit of zero that nobody would see end.
func TestServerWithALimitOfZeroIsStillAsked(t *testing.T) {
	g := gomega.NewWithT(t)
	allocator := requestlimit.NewAllocator(at(0), 0, true)
	answer := allocator.Ask(at(10_000), requestlimit.Request{Node: "n", ID: 1})
	g.Expect(answer.Granted).To(gomega.BeTrue())
}

// Guards against reports that use up a low limit, so that no request shows its end.
func TestCallsLeaveRoomForRequests(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 1, 3, 10} {
		g := gomega.NewWithT(t)
		allocator := requestlimit.NewAllocator(at(0), perSecond, true)
		var sent []time.Time
		granted, nextCall := 0, start
		for ms := 0; ms < 30_000; ms += 10 {
			now := at(ms)
			if !now.Before(nextCall) {
				allocator.Charge(now)
				sent = append(sent, now)
				nextCall = now.Add(requestlimit.CallInterval(perSecond))
			}
			if allocator.Ask(now, requestlimit.Request{Node: "n", ID: uint64(ms)}).Granted {
				granted++
				sent = append(sent, now)
			}
		}
		g.Expect(granted).To(gomega.BeNumerically(">=", max(int(0.5*30*perSecond), 4)), "limit %v", perSecond)
		g.Expect(mostIn(sent)).To(gomega.BeNumerically("<=", platformBound(perSecond)), "limit %v", perSecond)
	}
}

// Guards against nodes that lose the coordinator together and then send more than the limit, in small and large fleets,
// while two coordinators grant.
func TestAllSharesTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.1, 30).Draw(t, "limit")
		nodes := rapid.IntRange(1, 390).Draw(t, "nodes")
		shares := make([]*requestlimit.Share, nodes)
		for i := range shares {
			// Evenly spread fills stand for random ones.
			shares[i] = requestlimit.NewShare(at(0), float64(i)/float64(nodes))
		}
		current := requestlimit.NewAllocator(at(0), perSecond, true)
		previous := requestlimit.NewAllocator(at(0), perSecond, true)
		previous.SetLimit(at(0), perSecond, false)
		var sent []time.Time
		for ms := 0; ms < 12_000; ms += 100 {
			now, id := at(ms), uint64(ms)
			for _, allocator := range []*requestlimit.Allocator{current, previous} {
				if allocator.Ask(now, requestlimit.Request{Node: "n", ID: id}).Granted {
					sent = append(sent, now)
				}
			}
			for _, share := range shares {
				if ok, _ := share.Take(now, perSecond, nodes); ok {
					sent = append(sent, now)
				}
			}
		}
		if most := mostIn(sent); most > platformBound(perSecond) {
			t.Fatalf("%d sent in 4 s at a limit of %v a second by %d nodes", most, perSecond, nodes)
		}
	})
}
