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

// Permits is the part of the permits client that the gateway uses.
type Permits interface {
	Gather(target routing.Target, candidates []routing.Candidate) []routing.Candidate
	Acquire(server string, load uint64) (permits.Reservation, bool)
	Valid(reservation permits.Reservation) bool
	Release(reservation permits.Reservation)
	Arrived(target routing.Target, rank int)
	TriggerSync()
	Changed() <-chan struct{}
	ServersWithPermits() int
}

// assignment is the server, and for model calls the permit, on which a dispatched request runs.
type assignment struct {
	candidate   routing.Candidate
	reservation permits.Reservation
}

// failedAttemptCooldown is how long a server is excluded for a request after an attempt failed there. The exclusion
// ends because most adapters are resident on one server only, and its failure may be transient.
const failedAttemptCooldown = time.Second

// failedAttempt says where and when an earlier attempt failed.
type failedAttempt struct {
	server string
	load   uint64
	at     time.Time
	// permanent is true when the server doesn't hold the load. Load numbers are never reused, so the server can't hold
	// it again.
	permanent bool
}

// dispatchResult is the dispatcher's only reply to a waiter. Exactly one of assignment and rejection is set, or neither
// if the caller has disconnected.
type dispatchResult struct {
	assignment *assignment
	rejection  *admission.Refusal
}

// waiter is a queued request.
type waiter struct {
	id        uint64
	requestID string
	entry     admission.Entry
	request   routing.Request
	tried     []failedAttempt
	// reply has capacity for the only dispatchResult, so that the dispatcher never blocks on a handler.
	reply chan dispatchResult
	// stalled is true once no server was found to hold the waiter's adapter.
	stalled bool
	// decisionRecorded is true once a decision without a server was recorded, so that each waiting request causes only
	// one such record.
	decisionRecorded bool
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

// dispatcher owns the queue of waiting requests. A single goroutine executes the commands that handlers push to the
// ring.
type dispatcher struct {
	permits   Permits
	endpoints *endpoints
	policy    routing.Policy
	recorder  *decision.Recorder
	now       func() time.Time
	random    *rand.Rand
	commands  *ring.Ring[command]
	runEnded  chan struct{}

	// mu guards the fields below up to verdicts. Syncs with the schedulers read the queue to report demand.
	mu      sync.Mutex
	queue   *admission.Queue
	waiters map[uint64]*waiter
	nextID  uint64
	// stopped is true once new requests are rejected instead of queued.
	stopped    bool
	candidates []routing.Candidate
	verdicts   []routing.Verdict

	waits  metrics.Timer
	stalls metrics.Timer
	// holds measures the waits of requests of classes with a batch window, except those that waited for a load.
	holds metrics.Timer
}

func newDispatcher(g *Gateway, random *rand.Rand) *dispatcher {
	weights := routing.Weights{
		Load: 1, Zone: float64(g.settings.ZoneWeight) / percent, Batch: float64(g.settings.BatchWeight) / percent,
	}
	return &dispatcher{
		permits:   g.components.Permits,
		endpoints: g.endpoints,
		policy:    routing.Policy{Weights: weights, Pick: routing.PickTwoChoices},
		recorder:  g.components.Recorder,
		now:       g.components.Now,
		random:    random,
		commands:  ring.New[command]("admission", g.settings.MaximumRequests),
		runEnded:  make(chan struct{}),
		queue:     admission.NewQueue(random),
		waiters:   map[uint64]*waiter{},
		waits:     metrics.GetOrRegisterTimer("gateway.wait", nil),
		stalls:    metrics.GetOrRegisterTimer("gateway.load_stall", nil),
		holds:     metrics.GetOrRegisterTimer("gateway.batch_hold", nil),
	}
}

const percent = 100

// run serves the queue until ctx ends, and then rejects all remaining waiters.
func (d *dispatcher) run(ctx context.Context) error {
	defer close(d.runEnded)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			d.stop()
			return nil
		case cmd := <-d.commands.Items():
			d.handle(cmd)
		case <-d.permits.Changed():
			d.dispatchQueued()
		case <-d.endpoints.changed:
			d.dispatchQueued()
		case <-timer.C:
			d.dispatchQueued()
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

func (d *dispatcher) handle(cmd command) {
	switch cmd.kind {
	case commandOffer:
		d.offer(cmd.waiter)
	case commandRemove:
		d.remove(cmd.waiter)
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
		d.reject(admission.Refusal{Entry: w.entry, Cause: admission.Stopping, RetryAfter: admission.RetryAfter(0, d.random)})
		d.mu.Unlock()
		return
	}
	refused, accepted := d.queue.Offer(w.entry, now, d.tryDispatch)
	if !accepted {
		d.reject(refused)
	}
	newDemand := d.dispatchQueuedLocked(now)
	newDemand = d.markHeldWithoutCopy(w, now) || newDemand
	d.mu.Unlock()
	if newDemand {
		d.permits.TriggerSync()
	}
}

// markHeldWithoutCopy marks a waiter as stalled if it is held for its batch window while no server holds its adapter,
// and reports whether it did. Held entries aren't tried, so without this check the demand would reach the schedulers
// only with the next periodic sync.
func (d *dispatcher) markHeldWithoutCopy(w *waiter, now time.Time) bool {
	if w.entry.Class.Batch.Window == 0 || w.stalled || d.waiters[w.id] == nil {
		return false
	}
	d.gather(w, now)
	choice := d.policy.Decide(&w.request, &routing.Snapshot{Now: now, Candidates: d.candidates}, d.random, d.verdicts)
	d.verdicts = choice.Verdicts
	w.stalled = choice.Index < 0 && choice.Blocked == routing.NoCopy && !choice.HasRejection(routing.AlreadyTried)
	return w.stalled
}

// dispatchQueued rejects expired entries and dispatches those for which a server is available.
func (d *dispatcher) dispatchQueued() {
	d.mu.Lock()
	newDemand := d.dispatchQueuedLocked(d.now())
	d.mu.Unlock()
	if newDemand {
		d.permits.TriggerSync()
	}
}

// dispatchQueuedLocked is dispatchQueued with mu held. It reports whether a waiter became stalled, which is demand that
// the schedulers haven't seen yet.
func (d *dispatcher) dispatchQueuedLocked(now time.Time) bool {
	for _, expired := range d.queue.Expire(now) {
		d.reject(expired)
	}
	newDemand := false
	d.queue.Dispatch(now, func(entry admission.Entry) admission.Result {
		w := d.waiters[entry.ID]
		stalledBefore := w.stalled
		result := d.tryDispatch(entry)
		newDemand = newDemand || (w.stalled && !stalledBefore)
		return result
	})
	return newDemand
}

// tryDispatch selects a server for one entry and replies to its waiter if one is available.
func (d *dispatcher) tryDispatch(entry admission.Entry) admission.Result {
	w := d.waiters[entry.ID]
	now := d.now()
	d.gather(w, now)
	choice := d.policy.Decide(&w.request, &routing.Snapshot{Now: now, Candidates: d.candidates}, d.random, d.verdicts)
	d.verdicts = choice.Verdicts
	if choice.Index >= 0 {
		if assigned, ok := d.assign(w, d.candidates[choice.Index]); ok {
			// The decision is recorded first, as the request may end as soon as its waiter has the reply.
			d.recordDecision(w, choice, now)
			w.reply <- dispatchResult{assignment: assigned}
			d.finishDispatch(w, now)
			return admission.Dispatched
		}
	}
	if !w.decisionRecorded {
		w.decisionRecorded = true
		d.recordDecision(w, choice, now)
	}
	if choice.HasRejection(routing.AlreadyTried) {
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
		d.candidates[i].Tried = failedRecently(w.tried, &d.candidates[i], now)
	}
}

func failedRecently(tried []failedAttempt, candidate *routing.Candidate, now time.Time) bool {
	for _, t := range tried {
		if t.server == candidate.Server && t.load == candidate.Load &&
			(t.permanent || now.Before(t.at.Add(failedAttemptCooldown))) {
			return true
		}
	}
	return false
}

// assign counts the request as in flight on the candidate. It returns false if the permit is no longer available.
func (d *dispatcher) assign(w *waiter, candidate routing.Candidate) (*assignment, bool) {
	p := &assignment{candidate: candidate}
	if w.request.Target.Service != "" {
		d.endpoints.acquire(candidate.Address)
	} else {
		reservation, ok := d.permits.Acquire(candidate.Server, candidate.Load)
		if !ok {
			return nil, false
		}
		p.reservation = reservation
	}
	return p, true
}

func (d *dispatcher) finishDispatch(w *waiter, now time.Time) {
	delete(d.waiters, w.id)
	d.waits.Update(now.Sub(w.entry.Arrived))
	switch {
	case w.stalled:
		d.stalls.Update(now.Sub(w.entry.Arrived))
	case w.entry.Class.Batch.Window > 0:
		d.holds.Update(now.Sub(w.entry.Arrived))
	}
}

func (d *dispatcher) reject(rejection admission.Refusal) {
	w := d.waiters[rejection.Entry.ID]
	delete(d.waiters, rejection.Entry.ID)
	w.reply <- dispatchResult{rejection: &rejection}
}

func (d *dispatcher) remove(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.queue.Remove(w.id) {
		delete(d.waiters, w.id)
		w.reply <- dispatchResult{}
	}
}

// endHolds releases all requests that are held for a batch, and disables batch windows for later ones.
func (d *dispatcher) endHolds() {
	d.mu.Lock()
	d.queue.EndHolds()
	d.mu.Unlock()
	d.dispatchQueued()
}

// stop rejects all waiters and all later requests.
func (d *dispatcher) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	for _, rejection := range d.queue.Stop() {
		d.reject(rejection)
	}
}

// waiting returns the queued requests per target and rank, which syncs report to the schedulers as demand.
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

func (d *dispatcher) recordDecision(w *waiter, choice routing.Choice, now time.Time) {
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

// submit queues a request and waits for its dispatchResult, which is empty if ctx ends first.
func (d *dispatcher) submit(ctx context.Context, w *waiter) dispatchResult {
	w.reply = make(chan dispatchResult, 1)
	if !d.commands.TryPush(command{kind: commandOffer, waiter: w}) {
		return d.newRejection(w, admission.QueueFull)
	}
	select {
	case t := <-w.reply:
		return t
	case <-d.runEnded:
		return d.resultAfterStop(w)
	case <-ctx.Done():
		return d.withdraw(w)
	}
}

// withdraw removes a request whose caller has disconnected. If the dispatcher has already assigned a server, the
// assignment is released.
func (d *dispatcher) withdraw(w *waiter) dispatchResult {
	pushCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = d.commands.Push(pushCtx, command{kind: commandRemove, waiter: w}) }()
	select {
	case t := <-w.reply:
		if t.assignment != nil {
			d.release(*t.assignment)
		}
	case <-d.runEnded:
		if t := d.resultAfterStop(w); t.assignment != nil {
			d.release(*t.assignment)
		}
	}
	return dispatchResult{}
}

// resultAfterStop returns the dispatchResult of a waiter after the dispatcher's goroutine has ended.
func (d *dispatcher) resultAfterStop(w *waiter) dispatchResult {
	select {
	case t := <-w.reply:
		return t
	default:
		return d.newRejection(w, admission.Stopping)
	}
}

// newRejection returns a rejection that is made outside the dispatcher's goroutine, hence with its own random source.
func (d *dispatcher) newRejection(w *waiter, cause admission.Cause) dispatchResult {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return dispatchResult{rejection: &admission.Refusal{
		Entry: w.entry, Cause: cause, RetryAfter: admission.RetryAfter(0, random),
	}}
}

// release ends the assignment of a request to a server.
func (d *dispatcher) release(p assignment) {
	if p.candidate.LoadName == "" {
		d.endpoints.release(p.candidate.Address)
		return
	}
	d.permits.Release(p.reservation)
}
