package quota

import (
	"math"
	"slices"
	"time"
)

// lot is credit that was granted together and expires at one time.
type lot struct {
	id      uint64
	amount  float64
	expires time.Duration
}

// waiting is a request that waits for credit.
type waiting struct {
	Request
	id    uint64
	until time.Duration
}

// call asks a coordinator for the credit of several requests of one customer.
type call struct {
	ask         Ask
	coordinator string
	requests    []*waiting
	sentAt      time.Duration
	resendAt    time.Duration
	until       time.Duration
	queued      bool
	silentAfter time.Duration
}

// account is a node's state of one customer.
type account struct {
	quota       Quota
	coordinator string
	nodes       int
	lots        []lot
	granted     [shareSlots]float64
	slot        int64
	// answeredAt is when the coordinator last answered; known is false before its first answer and after a release.
	answeredAt time.Duration
	known      bool
	// shareUntil is when the continuing share ends. It counts from the request that was answered, as the answer may have
	// waited while this node was suspended.
	shareUntil time.Duration
	// frozen is the share as of the last answer. It doesn't decay while there is no coordinator.
	frozen float64
	// credit is what was used of the credit since answeredAt, continued what was used beyond.
	credit, continued float64
	demand, requests  float64
	demandAt          time.Duration
	blockedUntil      time.Duration
	blockedPriority   int
	tight             bool
	// pending holds the requests that wait for the end of a call for others.
	pending    []*waiting
	fallback   float64
	fallbackAt time.Duration
}

// take removes the pending requests that match.
func (a *account) take(match func(*waiting) bool) (taken []*waiting) {
	a.pending = slices.DeleteFunc(a.pending, func(w *waiting) bool {
		if match == nil || match(w) {
			taken = append(taken, w)
			return true
		}
		return false
	})
	return taken
}

func (a *account) block(now, roomIn time.Duration, priority int) {
	if until := now + roomIn; until > a.blockedUntil || priority < a.blockedPriority {
		a.blockedUntil, a.blockedPriority = until, priority
	}
}

// continuing returns the share within which the node continues without the coordinator.
func (a *account) continuing(now time.Duration) float64 {
	if !a.known || now > a.shareUntil {
		return 0
	}
	return min(a.frozen, a.quota.PerSecond)
}

// continueWith records use without credit. The coordinator charges it later, so that it counts as granted.
func (a *account) continueWith(now time.Duration, cost float64) {
	a.continued += cost
	a.advanceSlots(now)
	a.granted[a.slot%shareSlots] += cost
}

// fill fills the bucket of a node without a coordinator and returns the time until it covers a cost.
func (a *account) fill(now time.Duration, bound Bound, cost float64) time.Duration {
	nodes := float64(max(a.nodes, 1))
	rate := unreachableShare * a.quota.PerSecond / nodes
	capacity := rate*unreachableSaving.Seconds() + unreachableSlack*bound.Slack/nodes
	a.fallback = min(a.fallback+rate*max(now-a.fallbackAt, 0).Seconds(), capacity)
	a.fallbackAt = now
	if a.fallback >= cost {
		return 0
	}
	return max(seconds((cost-a.fallback)/rate), time.Millisecond)
}

// observe updates the estimate of the node's demand.
func (a *account) observe(now time.Duration, cost float64) {
	decay := math.Exp(-max(now-a.demandAt, 0).Seconds() / demandTime.Seconds())
	a.demand, a.requests = a.demand*decay+cost, a.requests*decay+1
	a.demandAt = now
}

// demandRate returns the estimated use in units a second, without the latest request.
func (a *account) demandRate(now time.Duration) float64 {
	if a.requests < 2 {
		return 0
	}
	decay := math.Exp(-max(now-a.demandAt, 0).Seconds() / demandTime.Seconds())
	return a.demand * decay / demandTime.Seconds()
}

func (a *account) releaseAfter() time.Duration {
	interval := seconds(demandTime.Seconds() / max(a.requests, 1))
	return min(max(releaseIntervals*interval, releaseIdle), maximumReleaseIdle)
}

func (a *account) left(now time.Duration) float64 {
	sum := 0.0
	for _, l := range a.lots {
		if now < l.expires {
			sum += l.amount
		}
	}
	return sum
}

// use charges a cost to the credit at hand, that which expires first.
func (a *account) use(now time.Duration, cost float64) (Charge, bool) {
	for i := range a.lots {
		if charge, ok := a.useOf(now, cost, a.lots[i].id); ok {
			return charge, true
		}
	}
	return Charge{}, false
}

// useOf charges a cost to one grant.
func (a *account) useOf(now time.Duration, cost float64, id uint64) (Charge, bool) {
	for i := range a.lots {
		if l := &a.lots[i]; l.id == id && now < l.expires && l.amount >= cost {
			l.amount -= cost
			a.credit += cost
			return Charge{Source: FromCredit, lot: id, amount: cost}, true
		}
	}
	return Charge{}, false
}

func (a *account) grant(now time.Duration, l lot) {
	a.advanceSlots(now)
	a.granted[a.slot%shareSlots] += l.amount
	a.lots = append(a.lots, l)
}

// answered starts a new period of the continuing share. The coordinator has charged what the request said was continued.
func (a *account) answered(now time.Duration, l *call) {
	a.answeredAt, a.known, a.shareUntil = now, true, l.sentAt+shareLifetime
	a.credit, a.continued = 0, max(a.continued-l.ask.Continued, 0)
	a.frozen = a.share(now)
}

const slotLength = shareWindow / shareSlots

func slotAt(now time.Duration) int64 { return int64(now / slotLength) }

func (a *account) advanceSlots(now time.Duration) {
	slot := slotAt(now)
	for s := max(a.slot+1, slot-shareSlots+1); s <= slot; s++ {
		a.granted[s%shareSlots] = 0
	}
	a.slot = max(a.slot, slot)
}

// share returns the node's continuing share. The shares of all nodes together stay within the rate, also after a burst.
func (a *account) share(now time.Duration) float64 {
	a.advanceSlots(now)
	sum := 0.0
	for _, granted := range a.granted {
		sum += granted
	}
	window := shareWindow.Seconds() * a.quota.PerSecond
	return max(min(sum*window/(window+a.quota.Burst)/shareWindow.Seconds(), a.quota.PerSecond), 0)
}
