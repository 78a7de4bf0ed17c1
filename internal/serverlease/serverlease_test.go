package serverlease_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	ttl          = 3 * time.Second
	turnInterval = 3 * time.Second
)

func newCore(fenced bool) *serverlease.Core {
	return serverlease.New(serverlease.Options{Partitions: 1, TTL: ttl, TurnInterval: turnInterval, Fenced: fenced})
}

func member(generation int64, partitions ...int) serving.Membership {
	return serving.Membership{Generation: generation, Partitions: partitions}
}

// Guards against orders of a holder whose VM was suspended beyond the end of its lease; the clock runs during a
// suspension.
func TestExpiredLeaseAllowsNoOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, fenced := range []bool{true, false} {
		c := newCore(fenced)
		c.Joined(0, 0, member(4, 0))
		_, holds := c.Holds(time.Second, "s")
		g.Expect(holds).To(gomega.BeTrue())
		_, holds = c.Holds(4*time.Second, "s")
		g.Expect(holds).To(gomega.BeFalse())
	}
}

// Guards against two holders without fencing while the store is unreachable, and against no holder at all where servers
// check the fencing token.
func TestHolderContinuesWithoutTheStoreOnlyWithFencing(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, fenced := range []bool{true, false} {
		c := newCore(fenced)
		c.Joined(0, 0, member(4, 0))
		c.JoinFailed()
		_, holds := c.Holds(4*time.Second, "s")
		g.Expect(holds).To(gomega.Equal(fenced))
	}
}

// Guards against orders with a token that a server has refused, until the store has assigned the server again.
func TestFencedHolderStops(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(true)
	c.Joined(0, 0, member(4, 0))
	c.Fenced("s", 4)
	_, holds := c.Holds(0, "s")
	g.Expect(holds).To(gomega.BeFalse())
	c.Joined(time.Second, time.Second, member(4, 0))
	_, holds = c.Holds(time.Second, "s")
	g.Expect(holds).To(gomega.BeFalse())
	c.Joined(2*time.Second, 2*time.Second, member(6, 0))
	fence, holds := c.Holds(2*time.Second, "s")
	g.Expect(holds).To(gomega.BeTrue())
	g.Expect(fence).To(gomega.BeEquivalentTo(6))
}

// group simulates the store's group, which assigns one partition to one of two members.
type group struct {
	generation int64
	owner      int
	// expiry is when each member's latest join expires.
	expiry [2]time.Duration
}

func (s *group) join(now time.Duration, index int) serving.Membership {
	s.expiry[index] = now + ttl
	other := 1 - index
	if s.owner != index && now > s.expiry[other] {
		s.owner = index
		s.generation++
	}
	if s.owner == index {
		return member(s.generation, 0)
	}
	return member(s.generation)
}

// handoverGroup is a group that also reassigns the partition to the member next, once its owner has joined again.
type handoverGroup struct {
	group
	next int
}

func (s *handoverGroup) join(now time.Duration, index int) serving.Membership {
	if index == s.owner && s.next != s.owner {
		s.owner = s.next
		s.generation++
	}
	return s.group.join(now, index)
}

// Guards against two nodes that hold a server with the same fencing token. Joins, lost answers, refusals, reassignments
// and suspensions occur in any order.
func TestOneTokenHasOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &group{generation: 1}
		nodes := []*serverlease.Core{newCore(true), newCore(true)}
		holderOf := map[int64]int{}
		now := time.Duration(0)
		for range rapid.IntRange(5, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond
			index := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"join", "join", "lost answer", "refused", "rebalance"}).Draw(t, "event") {
			case "join":
				nodes[index].Joined(now, now, store.join(now, index))
			case "lost answer":
				store.join(now, index)
				nodes[index].JoinFailed()
			case "refused":
				nodes[index].JoinFailed()
			case "rebalance":
				store.generation++
				store.owner = index
			}
			for i, node := range nodes {
				fence, holds := node.Holds(now, "s")
				if !holds {
					continue
				}
				if other, used := holderOf[fence]; used && other != i {
					t.Fatalf("token %d was held by node %d and by node %d", fence, other, i)
				}
				holderOf[fence] = i
			}
		}
	})
}

// Guards against holders that take turns: where servers don't check fencing tokens, a node that got a partition back must
// not order while another member's orders may be younger than the interval.
func TestHolderThatGotAPartitionBackWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(false)
	c.Joined(0, 0, member(7, 0))
	c.Joined(6*time.Second, 6*time.Second, member(8))
	c.Joined(7*time.Second, 7*time.Second, member(10, 0))
	_, holds := c.Holds(7*time.Second, "s")
	g.Expect(holds).To(gomega.BeTrue())
	c.Joined(9*time.Second, 9*time.Second, member(10, 0))
	g.Expect(c.MayOrder(9990*time.Millisecond, "s")).To(gomega.BeFalse())
	c.Joined(10*time.Second, 10*time.Second, member(10, 0))
	g.Expect(c.MayOrder(10*time.Second, "s")).To(gomega.BeTrue())
}

// Guards against two holders at once: the store may reassign a partition while the previous holder, which has not joined
// since, still has a valid lease.
func TestNewHolderWaitsForTheEndOfThePreviousLease(t *testing.T) {
	g := gomega.NewWithT(t)
	previous, next := newCore(false), newCore(false)
	previous.Joined(10*time.Second, 10*time.Second, member(7, 0))
	next.Joined(9*time.Second, 9*time.Second, member(7))
	next.Joined(10*time.Second, 10*time.Second, member(8, 0))
	for now := 10 * time.Second; now < 12*time.Second; now += 10 * time.Millisecond {
		_, held := previous.Holds(now, "s")
		g.Expect(held && next.MayOrder(now, "s")).To(gomega.BeFalse(), "both may order at %v", now)
	}
	next.Joined(12300*time.Millisecond, 12300*time.Millisecond, member(8, 0))
	g.Expect(next.MayOrder(12300*time.Millisecond, "s")).To(gomega.BeTrue())
}

// Guards against a needless pause where servers check fencing tokens and so refuse the orders of the previous holder.
func TestNewHolderWithFencingOrdersAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(true)
	c.Joined(time.Second, time.Second, member(4, 0))
	g.Expect(c.MayOrder(time.Second, "s")).To(gomega.BeTrue())
}

// Guards against turns of a holder that was restarted, when the node has lost its memory of what it held.
func TestRestartedHolderWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	c := serverlease.New(serverlease.Options{
		Partitions: 1, TTL: ttl, TurnInterval: turnInterval, StartedAt: 20 * time.Second,
	})
	c.Joined(20*time.Second, 20*time.Second, member(8, 0))
	c.Joined(22*time.Second, 22*time.Second, member(8, 0))
	g.Expect(c.MayOrder(22900*time.Millisecond, "s")).To(gomega.BeFalse())
	c.Joined(23*time.Second, 23*time.Second, member(8, 0))
	g.Expect(c.MayOrder(23*time.Second, "s")).To(gomega.BeTrue())
}

// Guards against turns and against orders with a lower token after a higher one, over any sequence of joins, lost answers
// and reassignments, some of which take effect before the previous owner joins again.
func TestHoldersDoNotTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &handoverGroup{group: group{generation: 1}}
		nodes := []*serverlease.Core{newCore(false), newCore(false)}
		var lastOrder [2]time.Duration
		latest, highest := -1, int64(0)
		now := turnInterval
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			index := rapid.IntRange(0, 1).Draw(t, "node")
			switch rapid.SampledFrom([]string{"none", "none", "handover", "reassignment"}).Draw(t, "event") {
			case "handover":
				store.next = index
			case "reassignment":
				store.owner, store.next = index, index
				store.generation++
			}
			if membership := store.join(now, index); rapid.IntRange(0, 3).Draw(t, "lost answer") > 0 {
				nodes[index].Joined(now, now, membership)
			} else {
				nodes[index].JoinFailed()
			}
			for i, node := range nodes {
				if !node.MayOrder(now, "s") {
					continue
				}
				fence, _ := node.Holds(now, "s")
				if fence < highest {
					t.Fatalf("member %d ordered with token %d after %d", i, fence, highest)
				}
				if latest == 1-i && lastOrder[i] > 0 && now-lastOrder[i] < turnInterval {
					t.Fatalf("member %d ordered %v after its own last order, and the other one in between", i, now-lastOrder[i])
				}
				lastOrder[i], latest, highest = now, i, fence
			}
		}
	})
}
