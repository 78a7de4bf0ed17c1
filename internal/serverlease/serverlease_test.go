package serverlease_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const ttl = 3 * time.Second

func newCore(fenced bool) *serverlease.Core {
	return serverlease.New(serverlease.Options{Partitions: 1, TTL: ttl, Fenced: fenced})
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
		c.Joined(0, member(4, 0))
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
		c.Joined(0, member(4, 0))
		c.JoinFailed()
		_, holds := c.Holds(4*time.Second, "s")
		g.Expect(holds).To(gomega.Equal(fenced))
	}
}

// Guards against orders with a token that a server has refused, until the store has assigned the server again.
func TestFencedHolderStops(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(true)
	c.Joined(0, member(4, 0))
	c.Fenced("s")
	_, holds := c.Holds(0, "s")
	g.Expect(holds).To(gomega.BeFalse())
	c.Joined(time.Second, member(4, 0))
	_, holds = c.Holds(time.Second, "s")
	g.Expect(holds).To(gomega.BeFalse())
	c.Joined(2*time.Second, member(6, 0))
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
				nodes[index].Joined(now, store.join(now, index))
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
