package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// resendInterval is the time after which an unanswered request is repeated, silenceTimeout that after which the
	// coordinator counts as silent, and silencePeriod how long it isn't asked again then.
	resendInterval = 40 * time.Millisecond
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
	// callTime bounds the cost of one call to what the quota allows in that time.
	callTime = 50 * time.Millisecond
	// shareSlots divide shareWindow.
	shareSlots = 16
	// resolution is that of amounts in messages, as parts of a unit.
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
	ID       uint64
	Customer string
	OK       bool
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

// Client keeps one node's use of all customers within the credit that coordinators grant.
type Client struct {
	bound    Bound
	accounts map[string]*account
	calls    map[uint64]*call
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
		bound: bound, lastID: firstID, accounts: make(map[string]*account), calls: make(map[uint64]*call),
		silentUntil: make(map[string]time.Duration),
	}
}

// Acquire decides about a request, at once or later: Take then returns the decision with the same ID.
func (c *Client) Acquire(now time.Duration, r Request) (id uint64, decision Decision, decided bool) {
	a := c.account(now, r)
	a.observe(now, r.Cost)
	c.lastID++
	id = c.lastID
	if r.Cost <= 0 {
		return id, Decision{ID: id, OK: true, Charge: Charge{Source: FromShare}}, true
	}
	if charge, ok := a.use(now, r.Cost); ok {
		return id, Decision{ID: id, OK: true, Charge: charge}, true
	}
	if now < a.blockedUntil && r.Priority >= a.blockedPriority {
		return id, Decision{ID: id, RetryAfter: a.blockedUntil - now}, true
	}
	if r.Coordinator == "" || now < c.silentUntil[r.Coordinator] {
		return id, c.unreachable(now, a, id, r), true
	}
	w := &waiting{Request: r, id: id, until: now + r.Patience}
	a.pending = append(a.pending, w)
	if !c.covers(r) {
		c.callPending(now, a)
	}
	return id, Decision{}, false
}

// Preview returns how a request would be decided now. decided is false if the coordinator would be asked. It changes no state.
func (c *Client) Preview(now time.Duration, r Request) (decision Decision, decided bool) {
	preview := &Client{
		bound: c.bound, accounts: make(map[string]*account), calls: make(map[uint64]*call), silentUntil: c.silentUntil,
	}
	if a := c.accounts[r.Customer]; a != nil {
		copied := *a
		copied.lots, copied.pending = slices.Clone(a.lots), nil
		preview.accounts[r.Customer] = &copied
	}
	_, decision, decided = preview.Acquire(now, r)
	return decision, decided
}

// ClientState is a node's state of one customer.
type ClientState struct {
	// Credit is what the node may use without asking the coordinator.
	Credit float64
	// Share is the rate in units a second at which the node continues while the coordinator is silent.
	Share float64
	// AnsweredAgo is the age of the coordinator's latest answer; negative without one.
	AnsweredAgo time.Duration
	// SilentFor is how much longer the coordinator isn't asked because it didn't answer; 0 if it is asked.
	SilentFor time.Duration
	// Waiting is the number of requests that wait for credit.
	Waiting int
}

// State returns the state of a customer, whose coordinator has the given address. It changes no state.
func (c *Client) State(now time.Duration, customer, coordinator string) ClientState {
	state := ClientState{AnsweredAgo: -1, SilentFor: max(c.silentUntil[coordinator]-now, 0)}
	for _, l := range c.calls {
		if l.ask.Customer == customer {
			state.Waiting += len(l.requests)
		}
	}
	if a := c.accounts[customer]; a != nil {
		state.Credit, state.Share = a.left(now), a.continuing(now)
		state.Waiting += len(a.pending)
		if a.known {
			state.AnsweredAgo = now - a.answeredAt
		}
	}
	return state
}

// covers reports whether a call of the same customer is on its way that isn't less urgent. Other requests wait for its end, so
// that a node under load doesn't send a message for each of them.
func (c *Client) covers(r Request) bool {
	for _, l := range c.calls {
		if l.ask.Customer == r.Customer && l.ask.Priority <= r.Priority {
			return true
		}
	}
	return false
}

// callPending asks for the credit of the pending requests, the most urgent ones first. The credit of one call is bounded, as it
// is granted at once.
func (c *Client) callPending(now time.Duration, a *account) {
	slices.SortStableFunc(a.pending, func(a, b *waiting) int { return a.Priority - b.Priority })
	if len(a.pending) == 0 {
		return
	}
	first := a.pending[0]
	c.lastID++
	l := &call{
		coordinator: first.Coordinator, sentAt: now, resendAt: now + resendInterval, silentAfter: now + silenceTimeout,
		until: first.until,
		ask: Ask{
			Customer: first.Customer, ID: c.lastID, Ahead: c.expected(now, a, first.Customer), Left: floor(a.left(now)),
			Share: floor(max(a.share(now), a.continuing(now))), Continued: ceil(a.continued), Priority: first.Priority,
		},
	}
	for len(a.pending) > 0 {
		w := a.pending[0]
		if len(l.requests) > 0 && l.ask.Cost+w.Cost > callTime.Seconds()*a.quota.PerSecond {
			break
		}
		l.requests, a.pending = append(l.requests, w), a.pending[1:]
		l.ask.Cost += w.Cost
		l.until = max(l.until, w.until)
	}
	l.ask.Patience = max(l.until-now, 0)
	c.calls[l.ask.ID] = l
	c.send(l)
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

func (c *Client) send(l *call) {
	ask := l.ask
	c.outbox = append(c.outbox, Message{To: l.coordinator, Ask: &ask})
}

// expected returns the credit to ask for in advance, unless an earlier request already does.
func (c *Client) expected(now time.Duration, a *account, customer string) float64 {
	for _, l := range c.calls {
		if l.ask.Customer == customer && l.ask.Ahead > 0 {
			return 0
		}
	}
	return math.Floor(max(a.demandRate(now)*aheadTime.Seconds()-a.left(now), 0))
}

// Answer handles an answer of a coordinator.
func (c *Client) Answer(now time.Duration, from string, answer Answer) {
	delete(c.silentUntil, from)
	l := c.calls[answer.ID]
	if l == nil || l.coordinator != from {
		return
	}
	a := c.account(now, l.requests[0].Request)
	a.tight = answer.Tight
	switch {
	case answer.Granted > 0:
		delete(c.calls, answer.ID)
		a.answered(now, l)
		a.grant(now, lot{answer.ID, answer.Granted, l.sentAt + creditLifetime})
		a.frozen = a.share(now)
		c.serve(now, a, append(l.requests, a.take(nil)...))
		if !c.covers(l.requests[0].Request) {
			c.callPending(now, a)
		}
	case answer.Queued:
		// The grant is repeated only if it's late, as most arrive within the patience.
		l.queued, l.silentAfter, l.resendAt = true, l.until+2*silenceTimeout, now+silenceTimeout
	default:
		delete(c.calls, answer.ID)
		a.answered(now, l)
		a.block(now, answer.RoomIn, l.ask.Priority)
		refused := append(l.requests, a.take(func(w *waiting) bool { return w.Priority >= l.ask.Priority })...)
		for _, w := range refused {
			c.decide(Decision{ID: w.id, RetryAfter: answer.RoomIn})
		}
	}
}

// Abandon gives up a request whose caller no longer waits, unless it's part of a call. Credit that the call gets for it stays
// at this node.
func (c *Client) Abandon(customer string, id uint64) {
	if a := c.accounts[customer]; a != nil {
		a.take(func(w *waiting) bool { return w.id == id })
	}
	for _, l := range c.calls {
		if len(l.requests) > 1 {
			l.requests = slices.DeleteFunc(l.requests, func(w *waiting) bool { return w.id == id })
		}
	}
}

// serve charges requests to the credit at hand; those that it doesn't cover wait for the next call.
func (c *Client) serve(now time.Duration, a *account, requests []*waiting) {
	for _, w := range requests {
		switch charge, ok := a.use(now, w.Cost); {
		case ok:
			c.decide(Decision{ID: w.id, Customer: w.Customer, OK: true, Charge: charge})
		case now >= w.until:
			c.decide(Decision{ID: w.id, RetryAfter: max(w.Patience, silenceTimeout)})
		default:
			a.pending = append(a.pending, w)
		}
	}
}

func (c *Client) decide(d Decision) { c.decided = append(c.decided, d) }

// Tick repeats and ends requests, and returns and releases what isn't used.
func (c *Client) Tick(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(c.calls)) {
		switch l := c.calls[id]; {
		case now >= l.silentAfter:
			c.noteSilence(now, l)
		case now >= l.resendAt:
			l.resendAt = now + resendInterval
			if l.queued {
				l.resendAt = now + silenceTimeout
			}
			c.send(l)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.accounts)) {
		a := c.accounts[name]
		for _, w := range a.take(func(w *waiting) bool { return now >= w.until }) {
			c.decide(Decision{ID: w.id, RetryAfter: max(w.Patience, silenceTimeout)})
		}
		if len(a.pending) > 0 && !c.covers(a.pending[0].Request) {
			c.callPending(now, a)
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

// noteSilence ends a call that got no answer. Its requests are decided without the coordinator.
func (c *Client) noteSilence(now time.Duration, l *call) {
	delete(c.calls, l.ask.ID)
	c.silentUntil[l.coordinator] = now + silencePeriod
	c.outbox = append(c.outbox, Message{
		To: l.coordinator, Return: &Return{Customer: l.ask.Customer, ID: l.ask.ID, Amount: l.ask.Cost + l.ask.Ahead},
	})
	a := c.account(now, l.requests[0].Request)
	for _, w := range append(l.requests, a.take(nil)...) {
		d := c.unreachable(now, a, w.id, w.Request)
		d.Customer, d.Silent = w.Customer, l.coordinator
		c.decide(d)
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
		a.lots, a.known, a.frozen = nil, false, 0
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
	for _, l := range c.calls {
		if l.ask.Customer == customer {
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
	shareWait := maximumWait
	if share := a.continuing(now); share > 0 {
		room := share*(now-a.answeredAt).Seconds() - a.credit - a.continued
		if room >= r.Cost {
			a.continueWith(now, r.Cost)
			return Decision{ID: id, OK: true, Charge: Charge{Source: FromShare, amount: r.Cost}}
		}
		shareWait = seconds((r.Cost - room) / share)
	}
	if wait := a.fill(now, c.bound, r.Cost); wait > 0 {
		return Decision{ID: id, RetryAfter: min(wait, shareWait)}
	}
	a.fallback -= r.Cost
	a.continueWith(now, r.Cost)
	return Decision{ID: id, OK: true, Charge: Charge{Source: FromFallback, amount: r.Cost}}
}

func seconds(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maximumWait.Seconds()) * float64(time.Second))
}

// floor and ceil round amounts for messages: large ones to whole units, as digits cost bytes.
func floor(x float64) float64 {
	if x >= resolution {
		return math.Floor(x)
	}
	return math.Floor(x*resolution) / resolution
}

func ceil(x float64) float64 {
	if x >= resolution {
		return math.Ceil(x)
	}
	return math.Ceil(x*resolution) / resolution
}

// Take returns the messages to send and the decisions since the last call.
func (c *Client) Take() (messages []Message, decisions []Decision) {
	messages, decisions = c.outbox, c.decided
	c.outbox, c.decided = nil, nil
	return messages, decisions
}

// Busy reports whether Tick has to be called within a few milliseconds.
func (c *Client) Busy() bool { return len(c.calls) > 0 }

// Keep forgets the customers that have no quota any more.
func (c *Client) Keep(limited func(customer string) bool) {
	admit := func(requests []*waiting) {
		for _, w := range requests {
			c.decide(Decision{ID: w.id, Customer: w.Customer, OK: true, Charge: Charge{Source: FromShare}})
		}
	}
	for id, l := range c.calls {
		if !limited(l.ask.Customer) {
			delete(c.calls, id)
			admit(l.requests)
		}
	}
	for name, a := range c.accounts {
		if !limited(name) {
			delete(c.accounts, name)
			admit(a.pending)
		}
	}
}

// Customers returns the number of customers of which the client keeps state.
func (c *Client) Customers() int { return len(c.accounts) }
