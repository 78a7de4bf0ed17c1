package loadqueue

import (
	"context"
	"math/rand/v2"
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
	commandCapacity = 1024
	readCapacity    = 16
	tickPeriod      = 50 * time.Millisecond
	appendTimeout   = 2 * time.Second
)

// Options holds the dependencies of a Driver.
type Options struct {
	Log platform.Log
	// Holder identifies this scheduler on the stream. It must be unique among the schedulers. After a restart with the
	// same value the requests of the former process are withdrawn immediately; otherwise they expire after 10 s.
	Holder string
	// Schedulers returns the last known number of schedulers. It determines the share of the load rate that this
	// scheduler uses while the log is unreachable.
	Schedulers func() int
	Events     *event.Log
}

// answer is the result of an Acquire.
type answer struct {
	turn Turn
	err  error
}

// Driver runs the queue of one scheduler. It implements Queue.
type Driver struct {
	options       Options
	core          *core
	commands      *ring.Ring[func(time.Time)]
	reads         *ring.Ring[func(time.Time)]
	appends       *ring.Ring[appendAction]
	waiters       map[uint64]chan answer
	appliedOffset atomic.Uint64
	pending       atomic.Pointer[[]Pending]
	// stopped is cancelled when Run has returned, after which no command is executed.
	stopped context.Context
	stop    context.CancelFunc
}

// NewDriver returns a queue that grants turns while Run is active.
func NewDriver(options Options) *Driver {
	stopped, stop := context.WithCancel(context.Background())
	d := &Driver{
		options:  options,
		core:     newCore(options.Holder, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), time.Now()),
		commands: ring.New[func(time.Time)]("loadqueue.commands", commandCapacity),
		reads:    ring.New[func(time.Time)]("loadqueue.reads", readCapacity),
		appends:  ring.New[appendAction]("loadqueue.appends", 1),
		waiters:  map[uint64]chan answer{},
		stopped:  stopped,
		stop:     stop,
	}
	d.pending.Store(&[]Pending{})
	return d
}

// Run reads the loads stream and appends to it until ctx is cancelled. It may be called once.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runCore(ctx) })
	group.Go(func() error { return d.runAppends(ctx) })
	follower := logfollow.New(d.options.Log, platform.LoadsStream, d.options.Events)
	feed := &logfollow.RingHandler{Context: ctx, Steps: d.reads, OnRecords: d.applyRead, OnTrimmed: d.core.trimmed}
	group.Go(func() error { return follower.Follow(ctx, feed) })
	return group.Wait()
}

func (d *Driver) applyRead(now time.Time, batch platform.Batch) {
	d.core.applyRead(now, batch)
	d.publish(len(batch.Records) > 0)
}

// publish updates the state that other goroutines may read.
func (d *Driver) publish(changed bool) {
	d.appliedOffset.Store(uint64(d.core.order.applied))
	if changed {
		pending := d.core.order.pending()
		d.pending.Store(&pending)
	}
}

func (d *Driver) tick(now time.Time) { d.core.tick(now, d.options.Schedulers()) }

// runCore runs the only goroutine that accesses the core and the waiters.
func (d *Driver) runCore(ctx context.Context) error {
	return ring.Loop(ctx, tickPeriod, d.tick, d.runActions, d.commands, d.reads)
}

func (d *Driver) runActions() {
	for _, next := range d.core.popActions() {
		switch a := next.(type) {
		case appendAction:
			// The ring has space because the core has one append outstanding at a time.
			d.appends.TryPush(a)
		case grantAction:
			d.grant(a)
		case eventAction:
			d.options.Events.Emit(logEvents[a.kind], event.Fields{"id": a.id, "offset": a.offset})
		}
	}
}

// logEvents maps each event kind to its log event.
var logEvents = map[eventKind]event.Event{
	eventGap:       event.LoadQueueGap,
	eventBadRecord: event.LoadQueueBadRecord,
	eventExpired:   event.LoadTurnExpired,
	eventOrphaned:  event.LoadOrphaned,
}

func (d *Driver) grant(a grantAction) {
	if a.err == nil {
		loadEvent := event.LoadTurnGiven
		if a.turn.Local {
			loadEvent = event.LoadTurnLocal
		}
		d.options.Events.Emit(loadEvent, event.Fields{
			"id": a.turn.Request.ID, "adapter": a.turn.Request.Adapter, "version": a.turn.Request.Version,
			"server": a.turn.Request.Server, "number": a.turn.Number,
		})
	}
	waiter := d.waiters[a.ticket]
	delete(d.waiters, a.ticket)
	if waiter != nil {
		waiter <- answer{turn: a.turn, err: a.err}
	}
}

func (d *Driver) runAppends(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-d.appends.Items():
			ok := d.append(ctx, a)
			_ = d.commands.Push(ctx, func(now time.Time) { d.core.appendDone(now, ok) })
		}
	}
}

func (d *Driver) append(ctx context.Context, a appendAction) bool {
	limited, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := d.options.Log.Append(limited, platform.LoadsStream, a.data)
	if err != nil && ctx.Err() == nil {
		d.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": platform.LoadsStream})
	}
	return err == nil
}

// AppliedOffset implements Queue.
func (d *Driver) AppliedOffset() platform.Offset { return platform.Offset(d.appliedOffset.Load()) }

// Pending implements Queue. The caller must not change the result.
func (d *Driver) Pending() []Pending { return *d.pending.Load() }

// Acquire implements Queue. It returns an error with code failure.Unavailable when the queue has stopped.
func (d *Driver) Acquire(ctx context.Context, request Request) (Turn, error) {
	answers := make(chan answer, 1)
	stopped := failure.New(failure.Unavailable, "acquire load turn", "", "the queue of loads has stopped")
	if d.stopped.Err() != nil {
		return Turn{}, stopped
	}
	err := d.commands.Push(ctx, func(now time.Time) { d.waiters[d.core.acquire(now, request)] = answers })
	if err != nil {
		return Turn{}, err
	}
	select {
	case a := <-answers:
		return a.turn, a.err
	case <-d.stopped.Done():
		return Turn{}, stopped
	case <-ctx.Done():
	}
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.withdraw(now, request, answers) })
	return Turn{}, ctx.Err()
}

// withdraw cancels a request whose context has ended. A turn that was granted in the meantime is finished unused.
func (d *Driver) withdraw(now time.Time, request Request, answers chan answer) {
	select {
	case a := <-answers:
		if a.err == nil {
			d.core.finish(now, a.turn)
		}
		return
	default:
	}
	d.core.cancel(now, request.ID)
	for ticket, waiter := range d.waiters {
		if waiter == answers {
			delete(d.waiters, ticket)
		}
	}
}

// Finish implements Queue. The order doesn't depend on whether the load succeeded; a failed load is requested again.
func (d *Driver) Finish(turn Turn, _ bool) {
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.core.finish(now, turn) })
}
