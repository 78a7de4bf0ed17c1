package serverlease_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
)

func memberIn(era serving.StoreEra, generation int64, partitions ...int) serving.Membership {
	return serving.Membership{Era: era, Generation: generation, Partitions: partitions}
}

// Guards against a lower token after a higher one: the store returned from a copy with an older generation of the group, and
// holders took it for their token.
func TestTokenRisesWhenTheGenerationFalls(t *testing.T) {
	g := gomega.NewWithT(t)
	before, after := newCore(false), newCore(false)
	before.Joined(0, 0, memberIn(3, 9, 0))
	fence, _ := before.Holds(0, "s")
	after.Joined(time.Second, time.Second, memberIn(4, 2, 0))
	renewed, _ := after.Holds(time.Second, "s")
	g.Expect(renewed).To(gomega.BeNumerically(">", fence))
}

// Guards against orders with the token of an earlier era, and against a join in that era that makes them possible again: a part of
// the store may not have returned yet, and an answer may be late.
func TestEarlierErasAllowNoOrders(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, fenced := range []bool{true, false} {
		c := newCore(fenced)
		c.Joined(0, 0, memberIn(3, 9, 0))
		c.EraSeen(4)
		_, holds := c.Holds(0, "s")
		g.Expect(holds).To(gomega.BeFalse())
		_, owns := c.Owns(0, "s")
		g.Expect(owns).To(gomega.BeFalse())
		for _, late := range []serving.StoreEra{3, 0} {
			_, _, applied := c.Joined(0, time.Second, memberIn(late, 10, 0))
			g.Expect(applied).To(gomega.BeFalse())
			_, holds = c.Holds(time.Second, "s")
			g.Expect(holds).To(gomega.BeFalse())
		}
		g.Expect(c.Generation()).To(gomega.BeZero(), "the generation of an earlier era is sent with a join")
	}
}

// Guards against a needless pause of all holders after a return, and against an order with the old token that arrives after one
// with the new token.
func TestHolderWithoutGapContinuesAfterAReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(false)
	c.Joined(0, 0, memberIn(1, 5, 0))
	c.Joined(4*time.Second, 4*time.Second, memberIn(1, 5, 0))
	c.Joined(5*time.Second, 5*time.Second, memberIn(2, 4, 0))
	g.Expect(c.MayOrder(5*time.Second, "s")).To(gomega.BeFalse(), "orders with the old token may be on their way")
	c.Joined(5200*time.Millisecond, 5200*time.Millisecond, memberIn(2, 4, 0))
	g.Expect(c.MayOrder(5200*time.Millisecond, "s")).To(gomega.BeTrue())
}

// Guards against a partition without a holder: a server refused an order with the token of the earlier era that was on its way,
// and the holder waited for a higher generation.
func TestRefusedOldTokenDoesNotEndTheNewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(true)
	c.Joined(0, 0, memberIn(1, 5, 0))
	old, _ := c.Holds(0, "s")
	c.Joined(time.Second, time.Second, memberIn(2, 4, 0))
	c.Fenced("s", old)
	_, holds := c.Holds(time.Second, "s")
	g.Expect(holds).To(gomega.BeTrue())
}

// Shows the order of tokens while builds with and without eras run side by side: builds that don't know eras send the generation
// alone. As long as the store names none, tokens of both rise together. Afterwards a server that has had an order of a newer build
// sees a lower token if an older one orders next, and servers that check tokens refuse it. See docs/PLATFORM.md.
func TestTokensBesideBuildsWithoutEras(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(storeera.Token(0, 41)).To(gomega.BeEquivalentTo(41))
	g.Expect(storeera.Token(1, 1)).To(gomega.BeNumerically(">", 41))
	// 2^53 is the largest number that decoders of JSON which use floating point keep apart from its neighbours.
	g.Expect(storeera.Token(1<<21-1, 1<<32-1)).To(gomega.BeNumerically("<", 1<<53))
}

// returningStore is a store whose group assigns one partition, and which returns from copies.
type returningStore struct {
	era        serving.StoreEra
	generation int64
	owner      int
	expiry     [returnNodes]time.Duration
}

const returnNodes = 3

func (s *returningStore) join(now time.Duration, index int) serving.Membership {
	s.expiry[index] = now + ttl
	if s.owner != index && now > s.expiry[s.owner] {
		s.reassign(index)
	}
	if s.owner == index {
		return memberIn(s.era, s.generation, 0)
	}
	return memberIn(s.era, s.generation)
}

func (s *returningStore) reassign(index int) {
	s.owner = index
	s.generation++
}

// history plays joins, orders and faults in steps of some hundred milliseconds.
type history struct {
	random *rand.Rand
	now    time.Duration
	store  *returningStore
	// copies holds earlier states of the store, former the part of it that hasn't returned.
	copies []returningStore
	former returningStore
	// awayUntil is until when the store answers nobody.
	awayUntil time.Duration
	nodes     [returnNodes]*serverlease.Core
	// pausedUntil is until when a node is suspended; staleUntil until when it reaches only the former part of the store.
	pausedUntil, staleUntil [returnNodes]time.Duration
	// answers holds the answers on their way.
	answers [returnNodes]*lateAnswer
	// lastOrder holds when each node last ordered, latest the node of the latest order, highest its token.
	lastOrder [returnNodes]time.Duration
	latest    int
	highest   int64
	holderOf  map[int64]int
	orders    int
}

type lateAnswer struct {
	sent, arrives time.Duration
	membership    serving.Membership
}

func newHistory(seed uint64) *history {
	h := &history{
		random: rand.New(rand.NewPCG(seed, 1)), now: turnInterval, latest: -1, holderOf: map[int64]int{},
		store: &returningStore{era: serving.StoreEra(seed % 2), generation: 1},
	}
	for i := range h.nodes {
		h.nodes[i] = newCore(false)
	}
	return h
}

// play returns what rule was broken, or an empty string.
func (h *history) play(steps int) string {
	for range steps {
		h.now += time.Duration(50+h.random.IntN(300)) * time.Millisecond
		h.disrupt()
		for i := range h.nodes {
			if h.now >= h.pausedUntil[i] {
				h.joins(i)
			}
		}
		for i := range h.nodes {
			if broken := h.order(i); broken != "" {
				return broken
			}
		}
	}
	return ""
}

func (h *history) disrupt() {
	node := h.random.IntN(returnNodes)
	switch h.random.IntN(24) {
	case 0, 1:
		h.store.reassign(node)
	case 2:
		h.pausedUntil[node] = h.now + time.Duration(h.random.IntN(6000))*time.Millisecond
	case 3, 4, 5:
		h.copies = append(h.copies, *h.store)
	case 6:
		if len(h.copies) > 0 {
			h.returnFrom(h.copies[h.random.IntN(len(h.copies))])
		}
	case 7:
		// A peer tells the node the era while it reaches only the part of the store that hasn't returned.
		h.nodes[node].EraSeen(h.store.era)
		h.staleUntil[node] = h.now + time.Duration(h.random.IntN(2000))*time.Millisecond
	case 8:
		h.nodes[node] = serverlease.New(serverlease.Options{
			Partitions: 1, TTL: ttl, TurnInterval: turnInterval, StartedAt: h.now,
		})
		h.answers[node] = nil
	}
}

// returnFrom brings the store back from a copy. Memberships that ran while it was away run on.
func (h *history) returnFrom(kept returningStore) {
	h.former = *h.store
	kept.era = h.store.era + 1
	h.awayUntil = h.now + time.Duration(h.random.IntN(900))*time.Millisecond
	for i := range kept.expiry {
		kept.expiry[i] = h.awayUntil + ttl
	}
	h.store = &kept
	h.copies = nil
}

// joins lets a node send a join each half a second, once the answer to the one before has arrived or timed out.
func (h *history) joins(i int) {
	if answer := h.answers[i]; answer != nil {
		if h.now < answer.arrives {
			return
		}
		h.nodes[i].Joined(answer.sent, h.now, answer.membership)
		h.answers[i] = nil
	}
	if h.random.IntN(2) > 0 {
		return
	}
	store := h.store
	switch {
	case h.now < h.staleUntil[i] && h.former.era < h.store.era:
		store = &h.former
	case h.now < h.awayUntil:
		h.nodes[i].JoinFailed()
		return
	}
	membership := store.join(h.now, i)
	switch h.random.IntN(8) {
	case 0:
		h.nodes[i].JoinFailed()
	case 1, 2:
		h.answers[i] = &lateAnswer{h.now, h.now + time.Duration(h.random.IntN(1200))*time.Millisecond, membership}
	default:
		h.nodes[i].Joined(h.now, h.now, membership)
	}
}

// order lets a node send an order if it may, and checks it against all earlier ones.
func (h *history) order(i int) string {
	if h.now < h.pausedUntil[i] || !h.nodes[i].MayOrder(h.now, "s") {
		return ""
	}
	fence, _ := h.nodes[i].Holds(h.now, "s")
	h.orders++
	other, used := h.holderOf[fence]
	switch {
	case fence < h.highest:
		return fmt.Sprintf("node %d orders with token %d after %d", i, fence, h.highest)
	case used && other != i:
		return fmt.Sprintf("nodes %d and %d order with token %d", other, i, fence)
	case h.latest != i && h.lastOrder[i] > 0 && h.now-h.lastOrder[i] < turnInterval:
		return fmt.Sprintf("node %d orders %v after its own last order, and node %d in between", i, h.now-h.lastOrder[i], h.latest)
	}
	h.lastOrder[i], h.latest, h.highest, h.holderOf[fence] = h.now, i, fence, i
	return ""
}

// Guards against tokens that fall, that two nodes use, and against holders that take turns, over histories of returns,
// reassignments, suspensions, restarts, lost and late answers, and answers of a part of the store that hasn't returned.
func TestOrdersStayOrderedOverReturns(t *testing.T) {
	const histories, steps = 10_000, 80
	orders := 0
	for seed := range uint64(histories) {
		h := newHistory(seed)
		if broken := h.play(steps); broken != "" {
			t.Fatalf("seed %d, %v: %s", seed, h.now, broken)
		}
		orders += h.orders
	}
	// Nodes that send no orders break no rule.
	if orders < histories {
		t.Fatalf("only %d orders in %d histories", orders, histories)
	}
	t.Logf("%d orders in %d histories", orders, histories)
}

// Guards against a holder that was suspended or cut off beyond the end of its lease while the store returned: another one may have
// ordered meanwhile, and the generation doesn't show it any more.
func TestHolderWithAGapWaitsAfterAReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCore(false)
	c.Joined(0, 0, memberIn(1, 5, 0))
	c.Joined(4*time.Second, 4*time.Second, memberIn(1, 5, 0))
	const back = 8 * time.Second
	c.Joined(back, back, memberIn(2, 5, 0))
	c.Joined(back+time.Second, back+time.Second, memberIn(2, 5, 0))
	g.Expect(c.MayOrder(back+time.Second, "s")).To(gomega.BeFalse())
	c.Joined(back+turnInterval, back+turnInterval, memberIn(2, 5, 0))
	g.Expect(c.MayOrder(back+turnInterval, "s")).To(gomega.BeTrue())
}
