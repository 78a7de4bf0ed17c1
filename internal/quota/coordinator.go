package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

type key struct {
	node string
	id   uint64
}

type grant struct {
	at     time.Duration
	amount float64
	tight  bool
	// returned is true after a part of the grant was given back.
	returned bool
}

type queued struct {
	key
	cost     float64
	priority int
	until    time.Duration
}

// member is what the coordinator knows about a node.
type member struct {
	node  string
	share float64
	// ahead is the credit that the node may still use, credit that with what it asked for last.
	ahead, credit float64
	answeredAt    time.Duration
	// grantedAt is when credit was last granted in advance.
	grantedAt time.Duration
}

// held returns what the node may have used since the last answer within its continuing share, beyond its credit.
func (m *member) held(now time.Duration) float64 {
	elapsed := min(now-m.answeredAt, shareLifetime+shareMargin)
	return max(m.share*elapsed.Seconds()-m.credit, 0)
}

// outstanding returns the credit granted in advance that the node may still use.
func (m *member) outstanding(now time.Duration) float64 {
	if now-m.answeredAt > creditLifetime+shareMargin {
		return 0
	}
	return m.ahead
}

// crossingTime is how long after a grant a node's requests may not know of it yet.
const crossingTime = 100 * time.Millisecond

// NodeAnswer is an answer to a node.
type NodeAnswer struct {
	Node   string
	Answer Answer
}

// Coordinator grants the credit of one customer to all nodes.
type Coordinator struct {
	quota  Quota
	bound  Bound
	tokens float64
	at     time.Duration
	// inheritedUntil is the time until which nodes may use grants and shares of a previous coordinator.
	inheritedUntil time.Duration
	// inherited is the sum of the shares that nodes reported.
	inherited float64
	members   map[string]*member
	// ordered holds the members in the order in which they were first heard, so that sums don't depend on the order of a map.
	ordered []*member
	granted map[key]grant
	window  grantWindow
	queue   []queued
}

// NewCoordinator returns a coordinator with an empty bucket. heldSince is when this node became the owner of the customer's
// partition.
func NewCoordinator(now, heldSince time.Duration, quota Quota, bound Bound) *Coordinator {
	c := &Coordinator{
		quota: quota, bound: bound, at: now, inheritedUntil: heldSince + inheritedLifetime,
		members: make(map[string]*member), granted: make(map[key]grant),
	}
	if c.inherits(now) {
		c.tokens = min(takeoverBurst*bound.excess(quota), quota.Burst)
	}
	return c
}

func (c *Coordinator) inherits(now time.Duration) bool { return now < c.inheritedUntil }

// SetQuota changes the quota at once.
func (c *Coordinator) SetQuota(now time.Duration, quota Quota) {
	if quota != c.quota {
		c.advance(now)
		c.quota = quota
		c.tokens = min(c.tokens, quota.Burst)
	}
}

// rate returns the rate at which the bucket fills.
func (c *Coordinator) rate(now time.Duration) float64 {
	if c.inherits(now) {
		return min(c.inherited+takeoverRate*c.bound.excess(c.quota), c.quota.PerSecond)
	}
	return c.quota.PerSecond + c.quota.Burst/c.bound.Window.Seconds()
}

// windowSpan is the time in which windowAllowance may be granted.
func (c *Coordinator) windowSpan() time.Duration { return c.bound.Window + grantDelay }

func (c *Coordinator) windowAllowance() float64 {
	return c.bound.Window.Seconds()*c.quota.PerSecond + c.quota.Burst + windowExcess*c.bound.excess(c.quota)
}

// capacity is the size of the bucket. Credit granted in advance counts as saved up, as nodes may still use it.
func (c *Coordinator) capacity(now time.Duration) float64 {
	return max(c.quota.Burst-c.outstanding(now), 0)
}

func (c *Coordinator) outstanding(now time.Duration) float64 {
	sum := 0.0
	for _, m := range c.ordered {
		sum += m.outstanding(now)
	}
	return sum
}

// advance fills the bucket, and charges the shares of nodes that were silent for their whole lifetime.
func (c *Coordinator) advance(now time.Duration) {
	if now <= c.at {
		return
	}
	c.tokens = min(c.tokens+(now-c.at).Seconds()*c.rate(c.at), max(c.capacity(now), c.minimumCapacity()))
	c.at = now
	c.window.expire(now, c.windowSpan())
	c.forget(func(m *member) bool {
		if now-m.answeredAt <= shareLifetime+shareMargin {
			return false
		}
		c.tokens -= m.held(now)
		return true
	})
	c.tokens = max(c.tokens, -c.maximumDebt())
}

// forget removes the members that match.
func (c *Coordinator) forget(match func(*member) bool) {
	c.ordered = slices.DeleteFunc(c.ordered, func(m *member) bool {
		matches := match(m)
		if matches {
			delete(c.members, m.node)
		}
		return matches
	})
}

// maximumDebt bounds the charges for shares that may have been used: those of all nodes are within the rate.
func (c *Coordinator) maximumDebt() float64 { return c.quota.PerSecond * shareLifetime.Seconds() }

// minimumCapacity lets the bucket of a customer with a small burst fill up to what is granted in a few milliseconds.
func (c *Coordinator) minimumCapacity() float64 { return c.quota.PerSecond * 0.02 }

func (c *Coordinator) available(now time.Duration) float64 {
	return min(c.tokens, c.windowRoom()) - c.held(now)
}

// windowRoom is the number of units that may still be granted in the present window.
func (c *Coordinator) windowRoom() float64 { return c.windowAllowance() - c.window.sum }

// held is what nodes may have used within their continuing shares.
func (c *Coordinator) held(now time.Duration) (held float64) {
	for _, m := range c.ordered {
		held += m.held(now)
	}
	return held
}

// needed returns the tokens that a request needs in the bucket. One that costs more than the burst needs a full bucket.
func (c *Coordinator) needed(now time.Duration, cost float64) float64 {
	return min(cost, max(c.capacity(now), c.minimumCapacity()))
}

// Ask handles a request of a node, also a repeated one.
func (c *Coordinator) Ask(now time.Duration, node string, ask Ask) Answer {
	c.advance(now)
	k := key{node, ask.ID}
	if g, found := c.granted[k]; found {
		if g.returned {
			return Answer{ID: ask.ID, RoomIn: c.wait(now, ask.Cost, ask.Priority), Tight: g.tight}
		}
		return Answer{ID: ask.ID, Granted: g.amount, Tight: g.tight}
	}
	if slices.ContainsFunc(c.queue, func(q queued) bool { return q.key == k }) {
		return Answer{ID: ask.ID, Queued: true, Tight: true}
	}
	c.heard(now, node, ask)
	wait := c.wait(now, ask.Cost, ask.Priority)
	switch {
	case wait <= 0:
		return c.grant(now, queued{key: k, cost: ask.Cost}, ask.Ahead)
	case wait > ask.Patience:
		return Answer{ID: ask.ID, RoomIn: wait, Tight: true}
	}
	c.queue = append(c.queue, queued{k, ask.Cost, ask.Priority, now + ask.Patience})
	slices.SortStableFunc(c.queue, func(a, b queued) int { return a.priority - b.priority })
	return Answer{ID: ask.ID, Queued: true, Tight: true, Soon: wait < soon}
}

// soon is the expected wait below which a request isn't told that it's queued; the node repeats it later than that.
const soon = 30 * time.Millisecond

// heard applies what a node says about itself.
func (c *Coordinator) heard(now time.Duration, node string, ask Ask) {
	m := c.members[node]
	if m == nil {
		m = &member{node: node}
		c.members[node], c.ordered = m, append(c.ordered, m)
		if c.inherits(now) {
			c.inherited += ask.Share
		}
	}
	if now-m.grantedAt > crossingTime {
		m.ahead = ask.Left
	}
	m.share, m.credit, m.answeredAt = ask.Share, m.ahead, now
	c.tokens = max(c.tokens-ask.Continued, -c.maximumDebt())
}

// wait estimates how long a request waits for its credit.
func (c *Coordinator) wait(now time.Duration, cost float64, priority int) time.Duration {
	needed := c.needed(now, cost)
	for _, q := range c.queue {
		if q.priority <= priority {
			needed += q.cost
		}
	}
	return c.until(now, needed)
}

// maximumWait bounds estimated waits.
const maximumWait = time.Minute

func (c *Coordinator) until(now time.Duration, needed float64) time.Duration {
	// The tolerance keeps rounding errors from causing a wait of a nanosecond.
	const tolerance = 1e-6
	needed += c.held(now) - tolerance
	wait := time.Duration(0)
	if missing := needed - c.tokens; missing > 0 {
		seconds := min(missing/max(c.rate(now), tolerance), maximumWait.Seconds())
		wait = max(time.Duration(seconds*float64(time.Second)), time.Microsecond)
	}
	if missing := needed - c.windowRoom(); missing > 0 {
		wait = max(wait, c.window.until(now, c.windowSpan(), missing))
	}
	return wait
}

func (c *Coordinator) grant(now time.Duration, q queued, wanted float64) Answer {
	c.tokens -= q.cost
	ahead := c.ahead(now, q.cost, wanted)
	c.tokens -= ahead
	c.window.add(now, q.cost+ahead)
	tight := c.tight(now)
	c.granted[q.key] = grant{at: now, amount: q.cost + ahead, tight: tight}
	if m := c.members[q.node]; m != nil {
		m.share += (q.cost + ahead) / shareWindow.Seconds()
		m.ahead += ahead
		m.credit += q.cost + ahead
		m.answeredAt = now
		if ahead > 0 {
			m.grantedAt = now
		}
	}
	return Answer{ID: q.id, Granted: q.cost + ahead, Tight: tight}
}

// tight reports whether the customer is near its limit.
func (c *Coordinator) tight(now time.Duration) bool {
	return c.inherits(now) || c.available(now) < tightShare*c.quota.Burst
}

// ahead returns how much is granted in advance to a node whose request costs so much.
func (c *Coordinator) ahead(now time.Duration, cost, wanted float64) float64 {
	if len(c.queue) > 0 {
		return 0
	}
	room := aheadShare*c.quota.Burst - c.outstanding(now)
	spare := c.available(now)
	if c.tight(now) {
		// Near the limit credit must not lie idle at nodes that don't need it.
		spare /= float64(4 * max(len(c.members), 1))
		if spare < cost {
			return 0
		}
	}
	return math.Floor(max(min(wanted, room, spare), 0))
}

// Return takes back unused credit, ends a queued request or releases a share.
func (c *Coordinator) Return(now time.Duration, node string, unused Return) {
	c.advance(now)
	m := c.members[node]
	if unused.Release {
		if m != nil {
			c.forget(func(other *member) bool { return other == m })
		}
		return
	}
	k := key{node, unused.ID}
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return q.key == k })
	g, found := c.granted[k]
	if !found || g.returned {
		return
	}
	amount := max(min(unused.Amount, g.amount), 0)
	g.returned = true
	c.granted[k] = g
	c.tokens = min(c.tokens+amount, c.quota.Burst)
	c.window.add(g.at, -amount)
	if m != nil {
		m.ahead, m.credit = max(m.ahead-amount, 0), max(m.credit-amount, 0)
		m.share = max(m.share-amount/shareWindow.Seconds(), 0)
	}
}

// Next grants queued requests for which there is credit, and returns when to call it again; a negative time means at the
// next request.
func (c *Coordinator) Next(now time.Duration) (answers []NodeAnswer, next time.Duration) {
	c.advance(now)
	for k, g := range c.granted {
		if now-g.at > grantMemory {
			delete(c.granted, k)
		}
	}
	c.queue = slices.DeleteFunc(c.queue, func(q queued) bool { return now > q.until })
	for len(c.queue) > 0 {
		q := c.queue[0]
		if wait := c.until(now, c.needed(now, q.cost)); wait > 0 {
			return answers, now + wait
		}
		c.queue = c.queue[1:]
		answers = append(answers, NodeAnswer{q.node, c.grant(now, q, 0)})
	}
	return answers, -1
}

// State is the state of a coordinator, for the log.
type State struct {
	Available, Outstanding float64
	Nodes, Waiting         int
	Inherits               bool
}

// State returns the coordinator's state.
func (c *Coordinator) State(now time.Duration) State {
	c.advance(now)
	return State{c.available(now), c.outstanding(now), len(c.members), len(c.queue), c.inherits(now)}
}

// Preview returns the coordinator's state at a time without advancing it to that time.
func (c *Coordinator) Preview(now time.Duration) State {
	copied := *c
	copied.members, copied.ordered = maps.Clone(c.members), slices.Clone(c.ordered)
	return copied.State(now)
}
