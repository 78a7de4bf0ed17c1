package quota

import (
	"math"
	"slices"
	"time"
)

const (
	// resendInterval is the time after which an unanswered request is repeated, silenceTimeout that after which the
	// coordinator counts as silent, and silencePeriod how long it isn't asked again then.
	resendInterval = 25 * time.Millisecond
	silenceTimeout = 60 * time.Millisecond
	silencePeriod  = 300 * time.Millisecond
	// releaseIdle and maximumReleaseIdle bound the time without requests after which a node releases its share near the
	// limit; in between it's releaseIntervals of the mean time between requests. The coordinator charges shares that are
	// not released in time.
	releaseIdle        = 300 * time.Millisecond
	maximumReleaseIdle = 2300 * time.Millisecond
	releaseIntervals   = 4
	// demandTime is the time constant of the estimate of a node's demand.
	demandTime = time.Second
	// shareSlots divide shareWindow.
	shareSlots = 16
	// resolution of amounts in messages.
	resolution = 100
)

// Source tells what a request was charged to.
type Source uint8

// Sources of what requests use.
const (
	// FromCredit is credit that the coordinator granted.
	FromCredit Source = iota
	// FromShare is the continuing share of a node whose coordinator is silent.
	FromShare
	// FromFallback is the share of a node that has no coordinator.
	FromFallback
)

// Decision is the outcome of a request.
type Decision struct {
	ID uint64
	OK bool
	// Charge is what the request was charged to, for GiveBack.
	Charge Charge
	// RetryAfter is when there will be credit, for a request that was refused.
	RetryAfter time.Duration
	// Silent is the coordinator that didn't answer; empty if it did.
	Silent string
}

// Charge is the use of one request.
type Charge struct {
	Source Source
	lot    uint64
	amount float64
}

// Message is a message to a coordinator; one of the pointers is set.
type Message struct {
	To     string
	Ask    *Ask
	Return *Return
}

// Request is a request that a node wants to send.
type Request struct {
	Customer    string
	Quota       Quota
	Coordinator string
	Nodes       int
	Cost        float64
	Priority    int
	Patience    time.Duration
}

type lot struct {
	id      uint64
	amount  float64
	expires time.Duration
}

type waiting struct {
	Request
	ask         Ask
	sentAt      time.Duration
	resendAt    time.Duration
	until       time.Duration
	answered    bool
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
	// credit is what was used of the credit since answeredAt, continued what was used beyond.
	credit, continued float64
	demand, requests  float64
	demandAt          time.Duration
	blockedUntil      time.Duration
	blockedPriority   int
	tight             bool
	fallback          float64
	fallbackAt        time.Duration
}

// Client keeps one node's use of all customers within the credit that coordinators grant.
type Client struct {
	bound    Bound
	accounts map[string]*account
	waiting  map[uint64]*waiting
	lastID   uint64
	// silentUntil holds the coordinators that didn't answer lately.
	silentUntil map[string]time.Duration
	outbox      []Message
	decided     []Decision
}

// NewClient returns a client without credit. firstID makes its requests differ from those of the previous process at the
// same address.
func NewClient(bound Bound, firstID uint64) *Client {
	return &Client{
		bound: bound, lastID: firstID, accounts: make(map[string]*account), waiting: make(map[uint64]*waiting),
		silentUntil: make(map[string]time.Duration),
	}
}

// Acquire decides about a request, at once or later: Take then returns the decision with the same ID.
func (c *Client) Acquire(now time.Duration, r Request) (id uint64, decision Decision, decided bool) {
	a := c.account(now, r)
	a.observe(now, r.Cost)
	c.lastID++
	id = c.lastID
	if charge, ok := a.use(now, r.Cost); ok {
		return id, Decision{ID: id, OK: true, Charge: charge}, true
	}
	if now < a.blockedUntil && r.Priority >= a.blockedPriority {
		return id, Decision{ID: id, RetryAfter: a.blockedUntil - now}, true
	}
	if r.Coordinator == "" || now < c.silentUntil[r.Coordinator] {
		return id, c.unreachable(now, a, id, r), true
	}
	w := &waiting{Request: r, sentAt: now, resendAt: now + resendInterval, until: now + r.Patience}
	w.silentAfter = now + silenceTimeout
	w.ask = Ask{
		Customer: r.Customer, ID: id, Cost: r.Cost, Ahead: c.expected(now, a, r.Customer), Left: floor(a.left(now)),
		Share: floor(a.share(now)), Continued: ceil(a.continued), Priority: r.Priority, Patience: r.Patience,
	}
	c.waiting[id] = w
	c.send(w)
	return id, Decision{}, false
}

func (c *Client) account(now time.Duration, r Request) *account {
	a := c.accounts[r.Customer]
	if a == nil {
		a = &account{demandAt: now, fallbackAt: now, slot: slotAt(now)}
		c.accounts[r.Customer] = a
	}
	a.quota, a.coordinator, a.nodes = r.Quota, r.Coordinator, r.Nodes
	return a
}

func (c *Client) send(w *waiting) {
	ask := w.ask
	c.outbox = append(c.outbox, Message{To: w.Coordinator, Ask: &ask})
}

// expected returns the credit to ask for in advance, unless an earlier request already does.
func (c *Client) expected(now time.Duration, a *account, customer string) float64 {
	for _, w := range c.waiting {
		if w.Customer == customer && w.ask.Ahead > 0 {
			return 0
		}
	}
	return math.Floor(max(a.demandRate(now)*aheadTime.Seconds()-a.left(now), 0))
}

// Answer handles an answer of a coordinator.
func (c *Client) Answer(now time.Duration, from string, answer Answer) {
	delete(c.silentUntil, from)
	w := c.waiting[answer.ID]
	if w == nil || w.Coordinator != from {
		return
	}
	a := c.account(now, w.Request)
	a.tight = answer.Tight
	switch {
	case answer.Granted > 0:
		delete(c.waiting, answer.ID)
		a.answered(now, w)
		a.grant(now, lot{answer.ID, answer.Granted, w.sentAt + creditLifetime})
		if charge, ok := a.useOf(now, w.Cost, answer.ID); ok {
			c.decide(Decision{ID: answer.ID, OK: true, Charge: charge})
			return
		}
		c.decide(Decision{ID: answer.ID, RetryAfter: c.retryAfter(w)})
	case answer.Queued:
		w.queued, w.silentAfter, w.resendAt = true, now+silenceTimeout, now+resendInterval
	default:
		delete(c.waiting, answer.ID)
		a.answered(now, w)
		a.block(now, answer.RoomIn, w.Priority)
		c.decide(Decision{ID: answer.ID, RetryAfter: answer.RoomIn})
	}
}

func (a *account) block(now, roomIn time.Duration, priority int) {
	if until := now + roomIn; until > a.blockedUntil || priority < a.blockedPriority {
		a.blockedUntil, a.blockedPriority = until, priority
	}
}

func (c *Client) decide(d Decision) { c.decided = append(c.decided, d) }

// retryAfter is the time for requests that waited in vain without an estimate.
func (c *Client) retryAfter(w *waiting) time.Duration { return max(w.Patience, silenceTimeout) }

// Tick repeats and ends requests, and returns and releases what isn't used.
func (c *Client) Tick(now time.Duration) {
	for id, w := range c.waiting {
		switch {
		case now >= w.silentAfter:
			delete(c.waiting, id)
			c.silentUntil[w.Coordinator] = now + silencePeriod
			c.giveUp(w)
			a := c.account(now, w.Request)
			d := c.unreachable(now, a, id, w.Request)
			d.Silent = w.Coordinator
			c.decide(d)
		case w.queued && now >= w.until+resendInterval:
			delete(c.waiting, id)
			c.giveUp(w)
			c.decide(Decision{ID: id, RetryAfter: c.retryAfter(w)})
		case now >= w.resendAt:
			w.resendAt = now + resendInterval
			c.send(w)
		}
	}
	for name, a := range c.accounts {
		c.tidy(now, name, a)
	}
	for coordinator, until := range c.silentUntil {
		if now >= until {
			delete(c.silentUntil, coordinator)
		}
	}
}

// giveUp ends a request at the coordinator, granted or not.
func (c *Client) giveUp(w *waiting) {
	amount := w.ask.Cost + w.ask.Ahead
	c.outbox = append(c.outbox, Message{
		To: w.Coordinator, Return: &Return{Customer: w.Customer, ID: w.ask.ID, Amount: amount},
	})
}

// Abandon ends a request whose caller no longer waits.
func (c *Client) Abandon(id uint64) {
	if w := c.waiting[id]; w != nil {
		delete(c.waiting, id)
		c.giveUp(w)
	}
}

// tidy returns expired credit, and releases a share that isn't needed near the limit.
func (c *Client) tidy(now time.Duration, name string, a *account) {
	a.lots = slices.DeleteFunc(a.lots, func(l lot) bool {
		if now < l.expires {
			return false
		}
		if a.tight && l.amount > 0 {
			c.giveBackLot(now, name, a, l)
		}
		return true
	})
	if now > a.shareUntil {
		a.known = false
	}
	// A lost answer may have granted a share of which this node doesn't know, so only the coordinator's clock ends that.
	if a.tight && a.known && now-a.demandAt > a.releaseAfter() && !c.waits(name) {
		for _, l := range a.lots {
			c.giveBackLot(now, name, a, l)
		}
		a.lots, a.known = nil, false
		a.granted = [shareSlots]float64{}
		c.outbox = append(c.outbox, Message{To: a.coordinator, Return: &Return{Customer: name, Release: true}})
	}
}

func (c *Client) giveBackLot(now time.Duration, name string, a *account, l lot) {
	if amount := floor(l.amount); amount > 0 && a.coordinator != "" {
		a.granted[slotAt(now)%shareSlots] -= amount
		c.outbox = append(c.outbox, Message{
			To: a.coordinator, Return: &Return{Customer: name, ID: l.id, Amount: amount},
		})
	}
}

func (c *Client) waits(customer string) bool {
	for _, w := range c.waiting {
		if w.Customer == customer {
			return true
		}
	}
	return false
}

// GiveBack takes back the cost of a request that has not run.
func (c *Client) GiveBack(now time.Duration, customer string, charge Charge) {
	a := c.accounts[customer]
	if a == nil {
		return
	}
	switch charge.Source {
	case FromCredit:
		a.credit -= charge.amount
		for i := range a.lots {
			if a.lots[i].id == charge.lot {
				a.lots[i].amount += charge.amount
				return
			}
		}
		// The lot was used up or has expired.
		c.giveBackLot(now, customer, a, lot{id: charge.lot, amount: charge.amount})
	case FromShare:
		a.continued -= charge.amount
	case FromFallback:
		a.continued -= charge.amount
		a.fallback += charge.amount
	}
}

// unreachable admits a request without the coordinator.
func (c *Client) unreachable(now time.Duration, a *account, id uint64, r Request) Decision {
	share := a.share(now)
	if a.known && now <= a.shareUntil && share > 0 {
		room := share*(now-a.answeredAt).Seconds() - a.credit - a.continued
		if room >= r.Cost {
			a.continued += r.Cost
			return Decision{ID: id, OK: true, Charge: Charge{Source: FromShare, amount: r.Cost}}
		}
		return Decision{ID: id, RetryAfter: seconds((r.Cost - room) / share)}
	}
	if wait := a.fill(now, c.bound, r.Cost); wait > 0 {
		return Decision{ID: id, RetryAfter: wait}
	}
	a.fallback -= r.Cost
	a.continued += r.Cost
	return Decision{ID: id, OK: true, Charge: Charge{Source: FromFallback, amount: r.Cost}}
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

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maximumWait.Seconds()) * float64(time.Second))
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
func (a *account) answered(now time.Duration, w *waiting) {
	a.answeredAt, a.known, a.shareUntil = now, true, w.sentAt+shareLifetime
	a.credit, a.continued = 0, max(a.continued-w.ask.Continued, 0)
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

// floor and ceil round amounts for messages.
func floor(x float64) float64 { return math.Floor(x*resolution) / resolution }
func ceil(x float64) float64  { return math.Ceil(x*resolution) / resolution }

// Take returns the messages to send and the decisions since the last call.
func (c *Client) Take() (messages []Message, decisions []Decision) {
	messages, decisions = c.outbox, c.decided
	c.outbox, c.decided = nil, nil
	return messages, decisions
}

// Busy reports whether Tick has to be called within a few milliseconds.
func (c *Client) Busy() bool { return len(c.waiting) > 0 }

// Keep forgets the customers that have no quota any more.
func (c *Client) Keep(limited func(customer string) bool) {
	for name := range c.accounts {
		if !limited(name) {
			delete(c.accounts, name)
		}
	}
	for id, w := range c.waiting {
		if !limited(w.Customer) {
			delete(c.waiting, id)
			c.decide(Decision{ID: id, OK: true, Charge: Charge{Source: FromShare}})
		}
	}
}

// Customers returns the number of customers of which the client keeps state.
func (c *Client) Customers() int { return len(c.accounts) }
