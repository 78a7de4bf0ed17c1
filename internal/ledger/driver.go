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
	askCapacity     = 256
	// askers bounds the lookups and outcome reads at a time.
	askers      = 8
	askTimeout  = time.Second
	tickPeriod  = 20 * time.Millisecond
	drainPeriod = 10 * time.Millisecond
)

// Driver runs the ledger of one gateway. It implements Claims.
type Driver struct {
	options Options
	config  config
	core    *core
	// commands run on the core's goroutine.
	commands *ring.Ring[func(time.Time)]
	appends  *ring.Ring[appendAction]
	asks     *ring.Ring[action]
	reads    *ring.Ring[func(time.Time)]
	waiters  map[uint64]chan Verdict
	ready    atomic.Bool
	// stopped ends when Run has ended, after which no command is taken.
	stopped context.Context
	stop    context.CancelFunc
	peers   *peers
}

// NewDriver returns a ledger that claims nothing until Run has read the retained claims stream.
func NewDriver(options Options) *Driver {
	c := options.config()
	stopped, stop := context.WithCancel(context.Background())
	return &Driver{
		options:  options,
		config:   c,
		core:     newCore(c, time.Now()),
		commands: ring.New[func(time.Time)]("ledger.commands", commandCapacity),
		appends:  ring.New[appendAction]("ledger.appends", 1),
		asks:     ring.New[action]("ledger.asks", askCapacity),
		reads:    ring.New[func(time.Time)]("ledger.reads", readCapacity),
		waiters:  map[uint64]chan Verdict{},
		stopped:  stopped,
		stop:     stop,
		peers:    newPeers(),
	}
}

// Run follows the claims stream and appends to it until ctx ends. It may be called once.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runCore(ctx) })
	group.Go(func() error { return d.runAppends(ctx) })
	for range askers {
		group.Go(func() error { return d.runAsks(ctx) })
	}
	follower := logfollow.New(d.options.Log, platform.ClaimsStream, d.options.Events)
	feed := &logfollow.Feed{Context: ctx, Steps: d.reads, OnRecords: d.core.readUp, OnTrimmed: d.core.trimmed}
	group.Go(func() error { return follower.Follow(ctx, feed) })
	return group.Wait()
}

// runCore is the only goroutine that touches the core and the waiters.
func (d *Driver) runCore(ctx context.Context) error {
	return ring.Loop(ctx, tickPeriod, d.core.tick, d.act, d.commands, d.reads)
}

func (d *Driver) act() {
	for _, next := range d.core.take() {
		switch a := next.(type) {
		case answerAction:
			d.answer(a)
		case appendAction:
			// The ring has room because the core has one append outstanding at a time.
			d.appends.TryPush(a)
		case askAction:
			// A full ring says nothing about the claimant, so the lookup doesn't count as failed.
			if !d.asks.TryPush(a) {
				d.core.cancel(a.ticket, "too many lookups wait")
			}
		case fetchAction:
			if !d.asks.TryPush(a) {
				d.core.fetched(a.ticket, fetchResult{})
			}
		case noteAction:
			d.note(a)
		}
	}
	for len(d.core.actions) > 0 {
		d.act()
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

// notes gives the log event of each kind of note.
var notes = map[noteKind]event.Event{
	noteReady:     event.LedgerReady,
	noteGap:       event.LedgerGap,
	noteBadRecord: event.LedgerBadRecord,
	noteReleased:  event.LedgerClaimReleased,
	noteFull:      event.LedgerTableFull,
}

func (d *Driver) note(a noteAction) {
	d.options.Events.Emit(notes[a.kind], event.Fields{"stream": platform.ClaimsStream, "offset": a.offset})
}

func (d *Driver) runAppends(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.appends.Items():
			ok := d.append(ctx, a)
			d.command(ctx, func(now time.Time) { d.core.appended(now, a.sequence, ok) })
		}
	}
}

func (d *Driver) append(ctx context.Context, a appendAction) bool {
	limited, cancel := context.WithTimeout(ctx, d.config.beginBound)
	defer cancel()
	_, err := d.options.Log.Append(limited, platform.ClaimsStream, a.data)
	if err != nil && ctx.Err() == nil {
		d.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": platform.ClaimsStream, "sequence": a.sequence})
	}
	return err == nil
}

// command runs step on the core's goroutine. It returns false when step won't run.
func (d *Driver) command(ctx context.Context, step func(time.Time)) bool {
	return d.commands.Push(ctx, step) == nil
}

// Begin implements Claims.
func (d *Driver) Begin(ctx context.Context, key Key, name string) Verdict {
	answers := make(chan Verdict, 1)
	tickets := make(chan uint64, 1)
	notAsked := Verdict{State: Unavailable, RetryAfter: d.config.retryAfter, Reason: "the ledger does not run"}
	sent := d.command(d.until(ctx), func(now time.Time) {
		ticket := d.core.begin(now, key, name)
		tickets <- ticket
		d.waiters[ticket] = answers
	})
	if !sent {
		return notAsked
	}
	select {
	case verdict := <-answers:
		return verdict
	case <-ctx.Done():
	case <-d.stopped.Done():
		return lastAnswer(answers, notAsked)
	}
	return d.cancelBegin(tickets, answers, notAsked)
}

// cancelBegin withdraws a Begin whose caller has gone. A claim that was decided meanwhile is still returned, so that
// the caller ends it.
func (d *Driver) cancelBegin(tickets chan uint64, answers chan Verdict, notAsked Verdict) Verdict {
	d.command(d.stopped, func(time.Time) {
		d.core.cancel(<-tickets, "the caller has gone")
	})
	select {
	case verdict := <-answers:
		return verdict
	case <-d.stopped.Done():
		return lastAnswer(answers, notAsked)
	}
}

func lastAnswer(answers chan Verdict, otherwise Verdict) Verdict {
	select {
	case verdict := <-answers:
		return verdict
	default:
		return otherwise
	}
}

// until returns a context that ends with ctx. Pushes also give up when the core has stopped.
func (d *Driver) until(ctx context.Context) context.Context {
	if d.stopped.Err() != nil {
		return d.stopped
	}
	return ctx
}

// Complete implements Claims.
func (d *Driver) Complete(key Key, name string, outcome Outcome) {
	d.command(d.stopped, func(now time.Time) { d.core.complete(now, key.Hash, name, outcome) })
}

// Release implements Claims.
func (d *Driver) Release(key Key, name string) {
	d.command(d.stopped, func(now time.Time) { d.core.release(now, key.Hash, name) })
}

// Abandon implements Claims.
func (d *Driver) Abandon(key Key, name string) {
	d.command(d.stopped, func(now time.Time) { d.core.abandon(now, key.Hash, name) })
}

// Ready returns nil when the retained claims stream has been read, or an error that says that it hasn't.
func (d *Driver) Ready() error {
	if d.ready.Load() {
		return nil
	}
	return failure.New(failure.Unavailable, "read claims", "", "the claims stream has not been read up to its end yet")
}

// Drain refuses fresh keys and waits until every outcome and release has been read back, or until ctx ends. Run must
// go on meanwhile.
func (d *Driver) Drain(ctx context.Context) error {
	if !d.command(ctx, func(now time.Time) { d.core.drain(now) }) {
		return d.undrained(ctx.Err())
	}
	// The first look waits for a command of its own, so that it sees the state after the drain began.
	ticker := time.NewTicker(drainPeriod)
	defer ticker.Stop()
	for {
		done := make(chan bool, 1)
		d.command(ctx, func(time.Time) { done <- d.core.drained() })
		select {
		case <-ctx.Done():
			return d.undrained(ctx.Err())
		case <-d.stopped.Done():
			return d.undrained(errors.New("the ledger has stopped"))
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

func (d *Driver) undrained(cause error) error {
	err := failure.Wrap(cause, failure.Timeout, "drain claims", "")
	d.options.Events.EmitError(event.LedgerUndrained, err, nil)
	return err
}
