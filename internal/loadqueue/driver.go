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

// Options are the dependencies of a driver.
type Options struct {
	Log platform.Log
	// Holder names this scheduler on the stream. It's unique among the schedulers; after a restart under the same
	// name what the former process waited for is withdrawn at once, else it's expired after 10 s.
	Holder string
	// Schedulers returns the number of schedulers last known, for this one's share while the log is out of reach.
	Schedulers func() int
	Events     *event.Log
}

// answer ends an Acquire.
type answer struct {
	turn Turn
	err  error
}

// Driver runs the queue of one scheduler. It implements Queue.
type Driver struct {
	options  Options
	core     *core
	commands *ring.Ring[func(time.Time)]
	reads    *ring.Ring[func(time.Time)]
	appends  *ring.Ring[appendAction]
	waiters  map[uint64]chan answer
	seen     atomic.Uint64
	pending  atomic.Pointer[[]Pending]
	// stopped ends when Run has ended, after which no command is taken.
	stopped context.Context
	stop    context.CancelFunc
}

// NewDriver returns a queue that gives turns while Run runs.
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

// Run follows the loads stream and appends to it until ctx ends. It may be called once.
func (d *Driver) Run(ctx context.Context) error {
	defer d.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.runCore(ctx) })
	group.Go(func() error { return d.runAppends(ctx) })
	follower := logfollow.New(d.options.Log, platform.LoadsStream, d.options.Events)
	feed := &logfollow.Feed{Context: ctx, Steps: d.reads, OnRecords: d.readUp, OnTrimmed: d.core.trimmed}
	group.Go(func() error { return follower.Follow(ctx, feed) })
	return group.Wait()
}

func (d *Driver) readUp(now time.Time, batch platform.Batch) {
	d.core.readUp(now, batch)
	d.publish(len(batch.Records) > 0)
}

// publish makes the state visible to Seen and Pending.
func (d *Driver) publish(changed bool) {
	d.seen.Store(uint64(d.core.order.applied))
	if changed {
		pending := d.core.order.pending()
		d.pending.Store(&pending)
	}
}

func (d *Driver) tick(now time.Time) { d.core.tick(now, d.options.Schedulers()) }

// runCore is the only goroutine that touches the core and the waiters.
func (d *Driver) runCore(ctx context.Context) error {
	return ring.Loop(ctx, tickPeriod, d.tick, d.act, d.commands, d.reads)
}

func (d *Driver) act() {
	for _, next := range d.core.take() {
		switch a := next.(type) {
		case appendAction:
			// The ring has room because the core has one append outstanding at a time.
			d.appends.TryPush(a)
		case giveAction:
			d.give(a)
		case noteAction:
			d.options.Events.Emit(notes[a.kind], event.Fields{"id": a.id, "offset": a.offset})
		}
	}
}

// notes gives the log event of each kind of note.
var notes = map[noteKind]event.Event{
	noteGap:       event.LoadQueueGap,
	noteBadRecord: event.LoadQueueBadRecord,
	noteExpired:   event.LoadTurnExpired,
	noteOrphaned:  event.LoadOrphaned,
}

func (d *Driver) give(a giveAction) {
	if a.err == nil {
		given := event.LoadTurnGiven
		if a.turn.Local {
			given = event.LoadTurnLocal
		}
		d.options.Events.Emit(given, event.Fields{
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
			_ = d.commands.Push(ctx, func(now time.Time) { d.core.appended(now, ok) })
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

// Seen implements Queue.
func (d *Driver) Seen() platform.Offset { return platform.Offset(d.seen.Load()) }

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

// withdraw takes back a request whose caller has gone. A turn that was given meanwhile is finished unused.
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

// Finish implements Queue. Whether the load succeeded doesn't change the order; a failed one is requested again.
func (d *Driver) Finish(turn Turn, _ bool) {
	_ = d.commands.Push(d.stopped, func(now time.Time) { d.core.finish(now, turn) })
}
