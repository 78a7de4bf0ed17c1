package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/logfollow"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/ring"
)

const (
	commandCapacity = 4096
	readCapacity    = 16
	queryCapacity   = 256
	// queryWorkers limits the concurrent lookups and outcome reads.
	queryWorkers = 8
	queryTimeout = time.Second
	tickPeriod   = 20 * time.Millisecond
	drainPeriod  = 10 * time.Millisecond
)

// Driver runs the ledger of one gateway. It implements Claims.
type Driver struct {
	options Options
	config  config
	core    *core
	// commands holds functions to run on the core's goroutine.
	commands *ring.Ring[func(time.Time)]
	appends  *ring.Ring[appendAction]
	queries  *ring.Ring[action]
	reads    *ring.Ring[func(time.Time)]
	waiters  map[uint64]chan Verdict
	ready    atomic.Bool
	// stopped is cancelled when Run has returned, after which no command is executed.
	stopped context.Context
	stop    context.CancelFunc
	peers   *peers
}

// NewDriver returns a ledger that grants no claims until Run has read the retained claims stream.
func NewDriver(options Options) *Driver {
	c := options.config()
	stopped, stop := context.WithCancel(context.Background())
	return &Driver{
		options:  options,
		config:   c,
		core:     newCore(c, time.Now()),
		commands: ring.New[func(time.Time)]("ledger.commands", commandCapacity),
		appends:  ring.New[appendAction]("ledger.appends", 1),
		queries:  ring.New[action]("ledger.asks", queryCapacity),
		reads:    ring.New[func(time.Time)]("ledger.reads", readCapacity),
		waiters:  map[uint64]chan Verdict{},
		stopped:  stopped,
		stop:     stop,
		peers:    newPeers(),
	}
}

// Run reads the claims stream and appends to it until ctx is cancelled. It may be called once.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runCore(ctx) })
	group.Go(func() error { return d.runAppends(ctx) })
	for range queryWorkers {
		group.Go(func() error { return d.runQueries(ctx) })
	}
	follower := logfollow.New(d.options.Log, platform.ClaimsStream, d.options.Events)
	feed := &logfollow.RingHandler{Context: ctx, Steps: d.reads, OnRecords: d.core.applyRead, OnTrimmed: d.core.trimmed}
	group.Go(func() error { return follower.Follow(ctx, feed) })
	return group.Wait()
}

// runCore runs the only goroutine that accesses the core and the waiters.
func (d *Driver) runCore(ctx context.Context) error {
	return ring.Loop(ctx, tickPeriod, d.core.tick, d.runActions, d.commands, d.reads)
}

func (d *Driver) runActions() {
	for _, next := range d.core.popActions() {
		switch a := next.(type) {
		case answerAction:
			d.answer(a)
		case appendAction:
			// The ring has space because the core has one append outstanding at a time.
			d.appends.TryPush(a)
		case lookupAction:
			// A full ring is no sign that the claimant is unreachable, so the lookup doesn't count as failed.
			if !d.queries.TryPush(a) {
				d.core.cancel(a.ticket, "too many lookups wait")
			}
		case fetchAction:
			if !d.queries.TryPush(a) {
				d.core.fetchDone(a.ticket, fetchResult{})
			}
		case eventAction:
			d.emitEvent(a)
		}
	}
	for len(d.core.actions) > 0 {
		d.runActions()
	}
	d.ready.Store(d.core.ready)
}

func (d *Driver) answer(a answerAction) {
	waiter := d.waiters[a.ticket]
	delete(d.waiters, a.ticket)
	if waiter != nil {
		waiter <- a.verdict
	}
}

// logEvents maps each event kind to its log event.
var logEvents = map[eventKind]event.Event{
	eventReady:     event.LedgerReady,
	eventGap:       event.LedgerGap,
	eventBadRecord: event.LedgerBadRecord,
	eventReleased:  event.LedgerClaimReleased,
	eventFull:      event.LedgerTableFull,
}

func (d *Driver) emitEvent(a eventAction) {
	d.options.Events.Emit(logEvents[a.kind], event.Fields{"stream": platform.ClaimsStream, "offset": a.offset})
}

func (d *Driver) runAppends(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.appends.Items():
			ok := d.append(ctx, a)
			d.submit(ctx, func(now time.Time) { d.core.appendDone(now, a.sequence, ok) })
		}
	}
}

func (d *Driver) append(ctx context.Context, a appendAction) bool {
	limited, cancel := context.WithTimeout(ctx, d.config.beginTimeout)
	defer cancel()
	_, err := d.options.Log.Append(limited, platform.ClaimsStream, a.data)
	if err != nil && ctx.Err() == nil {
		fields := event.Fields{"stream": platform.ClaimsStream, "sequence": a.sequence}
		d.options.Events.EmitError(event.LogAppendFailed, err, fields)
	}
	return err == nil
}

// submit queues step for the core's goroutine. It returns false when step won't run.
func (d *Driver) submit(ctx context.Context, step func(time.Time)) bool {
	return d.commands.Push(ctx, step) == nil
}

// Begin implements Claims.
func (d *Driver) Begin(ctx context.Context, key Key, name string) Verdict {
	answers := make(chan Verdict, 1)
	tickets := make(chan uint64, 1)
	notRunning := Verdict{State: Unavailable, RetryAfter: d.config.retryAfter, Reason: "the ledger does not run"}
	sent := d.submit(d.submitContext(ctx), func(now time.Time) {
		ticket := d.core.begin(now, key, name)
		tickets <- ticket
		d.waiters[ticket] = answers
	})
	if !sent {
		return notRunning
	}
	select {
	case verdict := <-answers:
		return verdict
	case <-ctx.Done():
	case <-d.stopped.Done():
		return answerOr(answers, notRunning)
	}
	return d.cancelBegin(tickets, answers, notRunning)
}

// cancelBegin cancels a Begin whose context has ended. A claim that was granted in the meantime is still returned, so
// that the caller ends it.
func (d *Driver) cancelBegin(tickets chan uint64, answers chan Verdict, notRunning Verdict) Verdict {
	d.submit(d.stopped, func(time.Time) {
		d.core.cancel(<-tickets, "the caller has gone")
	})
	select {
	case verdict := <-answers:
		return verdict
	case <-d.stopped.Done():
		return answerOr(answers, notRunning)
	}
}

// answerOr returns the pending answer, or otherwise if there is none.
func answerOr(answers chan Verdict, otherwise Verdict) Verdict {
	select {
	case verdict := <-answers:
		return verdict
	default:
		return otherwise
	}
}

// submitContext returns the context for submitting a command: ctx, or the cancelled stopped context if the core has
// stopped.
func (d *Driver) submitContext(ctx context.Context) context.Context {
	if d.stopped.Err() != nil {
		return d.stopped
	}
	return ctx
}

// Complete implements Claims.
func (d *Driver) Complete(key Key, name string, outcome Outcome) {
	d.submit(d.stopped, func(now time.Time) { d.core.complete(now, key.Hash, name, outcome) })
}

// Release implements Claims.
func (d *Driver) Release(key Key, name string) {
	d.submit(d.stopped, func(now time.Time) { d.core.release(now, key.Hash, name) })
}

// Abandon implements Claims.
func (d *Driver) Abandon(key Key, name string) {
	d.submit(d.stopped, func(now time.Time) { d.core.abandon(now, key.Hash, name) })
}

// Ready returns nil once the retained claims stream has been read, and an error before.
func (d *Driver) Ready() error {
	if d.ready.Load() {
		return nil
	}
	return failure.New(failure.Unavailable, "read claims", "", "the claims stream has not been read up to its end yet")
}

// Drain rejects new keys and waits until every outcome and release has been read back or ctx ends. Run must be active
// while Drain waits.
func (d *Driver) Drain(ctx context.Context) error {
	if !d.submit(ctx, func(now time.Time) { d.core.drain(now) }) {
		return d.drainError(ctx.Err())
	}
	// The state is read by a separate command, which runs after the one that started the drain.
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		done := make(chan bool, 1)
		d.submit(ctx, func(time.Time) { done <- d.core.drained() })
		select {
		case <-ctx.Done():
			return d.drainError(ctx.Err())
		case <-d.stopped.Done():
			return d.drainError(errors.New("the ledger has stopped"))
		case finished := <-done:
			if finished {
				return nil
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

func (d *Driver) drainError(cause error) error {
	err := failure.Wrap(cause, failure.Timeout, "drain claims", "")
	d.options.Events.EmitError(event.LedgerUndrained, err, nil)
	return err
}
