package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/ring"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// Permits is what the gateway needs of the permits client.
type Permits interface {
	Gather(target routing.Target, candidates []routing.Candidate) []routing.Candidate
	Acquire(server string, load uint64) (permits.Use, bool)
	Valid(use permits.Use) bool
	Release(use permits.Use)
	Arrived(target routing.Target, rank int)
	Kick()
	Changed() <-chan struct{}
	ServersWithPermits() int
}

// place is a dispatched request's place on a server.
type place struct {
	candidate routing.Candidate
	use       permits.Use
}

// triedPause is after how long a server at which an attempt failed may be tried again. Most adapters are resident on one
// server only, and its trouble may pass.
const triedPause = time.Second

// failedPlace is where an earlier attempt failed.
type failedPlace struct {
	server string
	load   uint64
	at     time.Time
	// forGood is true when the server doesn't hold the load, which it never gets back under its number.
	forGood bool
}

// ticket is the one answer to a waiter. Exactly one of place and givenUp is set, or neither when the caller is gone.
type ticket struct {
	place   *place
	givenUp *admission.GivenUp
}

// waiter is a request that waits for a place.
type waiter struct {
	id        uint64
	requestID string
	entry     admission.Entry
	request   routing.Request
	tried     []failedPlace
	// reply has room for the one ticket, so that the dispatcher never waits for a handler.
	reply chan ticket
	// stalled is true once the waiter was found without any copy of its adapter.
	stalled bool
	// recorded is true once a blocked decision was recorded, so that a waiting request has one such line.
	recorded bool
}

type commandKind uint8

const (
	commandOffer commandKind = iota
	commandRemove
	commandEndHolds
	commandStop
)

type command struct {
	kind   commandKind
	waiter *waiter
}

// dispatcher owns the queue. One goroutine runs it; handlers reach it through the ring.
type dispatcher struct {
	permits   Permits
	endpoints *endpoints
	policy    routing.Policy
	recorder  *decision.Recorder
	now       func() time.Time
	random    *rand.Rand
	commands  *ring.Ring[command]
	ended     chan struct{}

	// mu guards the queue, which the syncs read for their demand.
	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[uint64]*waiter
	nextID  uint64
	// stopped is true once queued requests are no longer to wait.
	stopped    bool
	candidates []routing.Candidate
	verdicts   []routing.Verdict

	waits  metrics.Timer
	stalls metrics.Timer
	// holds times the requests of classes with a batch window that waited for no load.
	holds metrics.Timer
}

func newDispatcher(g *Gateway, random *rand.Rand) *dispatcher {
	weights := routing.Weights{
		Load: 1, Zone: float64(g.settings.ZoneWeight) / percent, Batch: float64(g.settings.BatchWeight) / percent,
	}
	return &dispatcher{
		permits:   g.parts.Permits,
		endpoints: g.endpoints,
		policy:    routing.Policy{Weights: weights, Pick: routing.PickTwoChoices},
		recorder:  g.parts.Recorder,
		now:       g.parts.Now,
		random:    random,
		commands:  ring.New[command]("admission", g.settings.MaximumRequests),
		ended:     make(chan struct{}),
		queue:     admission.NewQueue(random),
		waiters:   map[uint64]*waiter{},
		waits:     metrics.GetOrRegisterTimer("gateway.wait", nil),
		stalls:    metrics.GetOrRegisterTimer("gateway.load_stall", nil),
		holds:     metrics.GetOrRegisterTimer("gateway.batch_hold", nil),
	}
}

const percent = 100

// run serves the queue until ctx ends. Waiters that are left then are given up on.
func (d *dispatcher) run(ctx context.Context) error {
	defer close(d.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return nil
		case c := <-d.commands.Items():
			d.handle(c)
		case <-d.permits.Changed():
			d.pass()
		case <-d.endpoints.changed:
			d.pass()
		case <-timer.C:
			d.pass()
		}
		if next, waiting := d.nextTick(); waiting {
			timer.Reset(max(next.Sub(d.now()), 0))
		}
	}
}

func (d *dispatcher) nextTick() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.NextTick()
}

func (d *dispatcher) handle(c command) {
	switch c.kind {
	case commandOffer:
		d.offer(c.waiter)
	case commandRemove:
		d.remove(c.waiter)
	case commandEndHolds:
		d.endHolds()
	case commandStop:
		d.stop()
	}
}

func (d *dispatcher) offer(w *waiter) {
	d.mu.Lock()
	now := d.now()
	d.nextID++
	w.id = d.nextID
	w.entry.ID = w.id
	d.waiters[w.id] = w
	if d.stopped {
		d.giveUp(admission.GivenUp{Entry: w.entry, Cause: admission.Stopping, RetryAfter: admission.Spread(0, d.random)})
		d.mu.Unlock()
		return
	}
	refused, accepted := d.queue.Offer(w.entry, now, d.try)
	if !accepted {
		d.giveUp(refused)
	}
	newDemand := d.passLocked(now)
	newDemand = d.heldWithoutCopy(w, now) || newDemand
	d.mu.Unlock()
	if newDemand {
		d.permits.Kick()
	}
}

// heldWithoutCopy reports whether a waiter with a batch window is held while no server holds its adapter. Held entries
// aren't tried, so without this the schedulers would learn of the demand only at the next sync.
func (d *dispatcher) heldWithoutCopy(w *waiter, now time.Time) bool {
	if w.entry.Class.Batch.Window == 0 || w.stalled || d.waiters[w.id] == nil {
		return false
	}
	d.gather(w, now)
	choice := d.policy.Decide(&w.request, &routing.Snapshot{Now: now, Candidates: d.candidates}, d.random, d.verdicts)
	d.verdicts = choice.Verdicts
	w.stalled = choice.Index < 0 && choice.Blocked == routing.NoCopy && !choice.Has(routing.AlreadyTried)
	return w.stalled
}

// pass gives up on what has waited too long and dispatches what can be.
func (d *dispatcher) pass() {
	d.mu.Lock()
	newDemand := d.passLocked(d.now())
	d.mu.Unlock()
	if newDemand {
		d.permits.Kick()
	}
}

// passLocked reports whether a target has newly been found without a copy.
func (d *dispatcher) passLocked(now time.Time) bool {
	for _, expired := range d.queue.Expire(now) {
		d.giveUp(expired)
	}
	newDemand := false
	d.queue.Dispatch(now, func(entry admission.Entry) admission.Result {
		w := d.waiters[entry.ID]
		before := w.stalled
		result := d.try(entry)
		newDemand = newDemand || (w.stalled && !before)
		return result
	})
	return newDemand
}

// try decides on a server for one entry and answers its waiter when there is one.
func (d *dispatcher) try(entry admission.Entry) admission.Result {
	w := d.waiters[entry.ID]
	now := d.now()
	d.gather(w, now)
	choice := d.policy.Decide(&w.request, &routing.Snapshot{Now: now, Candidates: d.candidates}, d.random, d.verdicts)
	d.verdicts = choice.Verdicts
	if choice.Index >= 0 && d.take(w, d.candidates[choice.Index]) {
		d.record(w, choice, now)
		d.dispatched(w, now)
		return admission.Dispatched
	}
	if !w.recorded {
		w.recorded = true
		d.record(w, choice, now)
	}
	if choice.Has(routing.AlreadyTried) {
		return admission.Excluded
	}
	if choice.Blocked == routing.NoCopy {
		w.stalled = true
		return admission.NoCopy
	}
	return admission.NoCapacity
}

func (d *dispatcher) gather(w *waiter, now time.Time) {
	if w.request.Target.Service != "" {
		d.candidates = d.endpoints.gather(w.request.Target.Service, d.candidates)
	} else {
		d.candidates = d.permits.Gather(w.request.Target, d.candidates)
	}
	for i := range d.candidates {
		d.candidates[i].Tried = hasTried(w.tried, &d.candidates[i], now)
	}
}

func hasTried(tried []failedPlace, candidate *routing.Candidate, now time.Time) bool {
	for _, t := range tried {
		if t.server == candidate.Server && t.load == candidate.Load && (t.forGood || now.Before(t.at.Add(triedPause))) {
			return true
		}
	}
	return false
}

// take counts the request as in flight and sends the ticket.
func (d *dispatcher) take(w *waiter, candidate routing.Candidate) bool {
	p := &place{candidate: candidate}
	if w.request.Target.Service != "" {
		d.endpoints.acquire(candidate.Address)
	} else {
		use, ok := d.permits.Acquire(candidate.Server, candidate.Load)
		if !ok {
			return false
		}
		p.use = use
	}
	w.reply <- ticket{place: p}
	return true
}

func (d *dispatcher) dispatched(w *waiter, now time.Time) {
	delete(d.waiters, w.id)
	d.waits.Update(now.Sub(w.entry.Arrived))
	switch {
	case w.stalled:
		d.stalls.Update(now.Sub(w.entry.Arrived))
	case w.entry.Class.Batch.Window > 0:
		d.holds.Update(now.Sub(w.entry.Arrived))
	}
}

func (d *dispatcher) giveUp(given admission.GivenUp) {
	w := d.waiters[given.Entry.ID]
	delete(d.waiters, given.Entry.ID)
	w.reply <- ticket{givenUp: &given}
}

func (d *dispatcher) remove(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Remove(w.id) {
		delete(d.waiters, w.id)
		w.reply <- ticket{}
	}
}

// endHolds releases what is held for a batch, now and from now on.
func (d *dispatcher) endHolds() {
	d.mu.Lock()
	d.queue.EndHolds()
	d.mu.Unlock()
	d.pass()
}

// stop gives up on all waiters, now and from now on.
func (d *dispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, given := range d.queue.Stop() {
		d.giveUp(given)
	}
}

// waiting returns what waits, for the demand in the syncs.
func (d *dispatcher) waiting(now time.Time) []permits.Waiting {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := d.queue.Waiting()
	demand := make([]permits.Waiting, 0, len(all))
	for _, w := range all {
		demand = append(demand, permits.Waiting{Target: w.Target, Rank: w.Rank, Count: w.Count, Oldest: now.Sub(w.Oldest)})
	}
	return demand
}

func (d *dispatcher) record(w *waiter, choice routing.Choice, now time.Time) {
	candidates := make([]decision.Candidate, len(d.candidates))
	for i := range d.candidates {
		verdict := choice.Verdicts[i]
		candidates[i] = decision.Candidate{
			Name: d.candidates[i].Server, Score: verdict.Score, Rejected: verdict.Rejected.String(),
		}
	}
	chosen := ""
	if choice.Index >= 0 {
		chosen = d.candidates[choice.Index].Server
	}
	d.recorder.Record(decision.Decision{
		Time: now, Subject: w.requestID, Adapter: w.request.Target.String(),
		Candidates: candidates, Choice: chosen, Reason: choice.Blocked.Reason(),
	})
}

// wait queues a request and returns its ticket. When ctx ends first, the ticket is empty.
func (d *dispatcher) wait(ctx context.Context, w *waiter) ticket {
	w.reply = make(chan ticket, 1)
	if !d.commands.TryPush(command{kind: commandOffer, waiter: w}) {
		return d.refuse(w, admission.QueueFull)
	}
	select {
	case t := <-w.reply:
		return t
	case <-d.ended:
		return d.afterEnd(w)
	case <-ctx.Done():
		return d.withdraw(w)
	}
}

// withdraw takes back a request whose caller is gone. The dispatcher may have answered already; then a place is given
// back.
func (d *dispatcher) withdraw(w *waiter) ticket {
	pushing, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.commands.Push(pushing, command{kind: commandRemove, waiter: w}) }()
	select {
	case t := <-w.reply:
		if t.place != nil {
			d.release(*t.place)
		}
	case <-d.ended:
		if t := d.afterEnd(w); t.place != nil {
			d.release(*t.place)
		}
	}
	return ticket{}
}

// afterEnd returns the ticket of a waiter after the dispatcher has ended.
func (d *dispatcher) afterEnd(w *waiter) ticket {
	select {
	case t := <-w.reply:
		return t
	default:
		return d.refuse(w, admission.Stopping)
	}
}

func (d *dispatcher) refuse(w *waiter, cause admission.Cause) ticket {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return ticket{givenUp: &admission.GivenUp{Entry: w.entry, Cause: cause, RetryAfter: admission.Spread(0, random)}}
}

// release gives a place back.
func (d *dispatcher) release(p place) {
	if p.candidate.LoadName == "" {
		d.endpoints.release(p.candidate.Address)
		return
	}
	d.permits.Release(p.use)
}
