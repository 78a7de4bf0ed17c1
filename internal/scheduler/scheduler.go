package scheduler

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/logfollow"
	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/ring"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	inboxCapacity  = 4096
	appendCapacity = 64
	// tickEvery is the period of the core's timers. It bounds how late a lease check or a retry is.
	tickEvery = 100 * time.Millisecond
	// quietPoll is how often the shutdown looks whether loads and evictions have ended.
	quietPoll = 50 * time.Millisecond
	// releaseWait bounds the wait for the releases to be read back. After it the leases lapse by themselves.
	releaseWait = 5 * time.Second
	// releaseRetry is the time after which releases that weren't read back are appended again.
	releaseRetry = time.Second
	// surplusEvery is how long a scheduler holds more than its share before it releases a server, and the time
	// between two such releases. Schedulers that just started take a while to be known to all.
	surplusEvery = 30 * time.Second
	// giveUpAgain is the least time between two releases of the same surplus server.
	giveUpAgain = 10 * time.Minute
)

// Options are the dependencies of a scheduler.
type Options struct {
	Settings Settings
	// Incarnation is a time-ordered identifier of this run of the process.
	Incarnation string
	Log         platform.Log
	VMs         platform.VMList
	Config      resource.Source
	Table       membership.Table
	Queue       loadqueue.Queue
	// Control returns the control of the engine at an address.
	Control func(address string) engine.Control
	// Applied is called with the offset of the configuration in use. It may be nil.
	Applied func(offset uint64)
	Events  *event.Log
}

// Scheduler is the driver. Its core runs in one goroutine; the other duties reach it through a bounded ring.
type Scheduler struct {
	options   Options
	self      ownership.Holder
	inbox     *ring.Ring[message]
	appends   *ring.Ring[pendingAppend]
	decisions *decision.Recorder
	peers     *http.Client
	// done is closed when Run has ended and nobody answers questions any more.
	done chan struct{}
}

// message is something that happened. apply runs in the core's goroutine.
type message interface {
	apply(c *core)
}

// New returns a scheduler that does nothing until Run.
func New(options Options) *Scheduler {
	return &Scheduler{
		options: options,
		self: ownership.Holder{
			Node: options.Settings.Node.Name, Incarnation: options.Incarnation, Address: options.Settings.Listen,
		},
		inbox:     ring.New[message]("scheduler.inbox", inboxCapacity),
		appends:   ring.New[pendingAppend]("scheduler.appends", appendCapacity),
		decisions: decision.NewRecorder(options.Events, event.PlacementDecided, options.Settings.DecisionsKept),
		peers:     &http.Client{Timeout: options.Settings.EngineTimeout.Std()},
		done:      make(chan struct{}),
	}
}

// Handler returns the handler of the Permits service, to be mounted at peerpb.PermitsPathPrefix.
func (s *Scheduler) Handler() http.Handler { return peerpb.NewPermitsServer(&permits{scheduler: s}) }

// Decisions returns the handler of /debug/decisions.
func (s *Scheduler) Decisions() http.Handler { return s.decisions }

// Run owns backend servers until ctx ends. Then it takes no new claims or loads, waits for running loads and
// evictions, releases its servers, and returns.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.done)
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(inner)
	core := newCore(groupCtx, s, group)
	group.Go(func() error { return core.run(groupCtx) })
	group.Go(func() error { return s.follow(groupCtx) })
	group.Go(func() error { return s.appendRecords(groupCtx) })
	group.Go(func() error { return s.pollVMs(groupCtx) })
	group.Go(func() error {
		defer stop()
		select {
		case <-ctx.Done():
			s.shutdown(groupCtx)
		case <-groupCtx.Done():
		}
		return nil
	})
	return group.Wait()
}

// shutdown is the graceful shutdown up to the release of every server.
func (s *Scheduler) shutdown(ctx context.Context) {
	s.options.Events.Emit(event.ProcessStopping, nil)
	s.await(ctx, s.options.Settings.ShutdownTimeout.Std(), func(c *core) bool { return c.drain() })
	if !s.await(ctx, releaseWait, func(c *core) bool { return c.release() }) {
		s.options.Events.Emit(event.ReleaseTimedOut, nil)
	}
}

// await asks the core until done returns true or limit has passed.
func (s *Scheduler) await(ctx context.Context, limit time.Duration, done func(c *core) bool) bool {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for {
		reply := make(chan bool, 1)
		if s.inbox.Push(bounded, question{done, reply}) != nil {
			return false
		}
		select {
		case ok := <-reply:
			if ok {
				return true
			}
		case <-bounded.Done():
			return false
		}
		select {
		case <-ticker.C:
		case <-bounded.Done():
			return false
		}
	}
}

// question asks the core something.
type question struct {
	ask   func(c *core) bool
	reply chan<- bool
}

func (q question) apply(c *core) { q.reply <- q.ask(c) }

// follow reads the zone's ownership stream.
func (s *Scheduler) follow(ctx context.Context) error {
	stream := platform.OwnershipStream(s.options.Settings.Node.Zone)
	follower := logfollow.New(s.options.Log, stream, s.options.Events)
	return ignoreEnd(ctx, follower.Follow(ctx, &ownershipHandler{ctx: ctx, inbox: s.inbox, follower: follower}))
}

type ownershipHandler struct {
	ctx      context.Context
	inbox    *ring.Ring[message]
	follower *logfollow.Follower
}

// Records implements logfollow.Handler.
func (h *ownershipHandler) Records(batch platform.Batch) error {
	return h.inbox.Push(h.ctx, recordsRead{records: batch.Records, caughtUp: h.follower.Next() >= batch.Next})
}

// Trimmed implements logfollow.Handler.
func (h *ownershipHandler) Trimmed(earliest platform.Offset) error {
	return h.inbox.Push(h.ctx, recordsTrimmed{earliest})
}

// pendingAppend is a record that waits to be appended.
type pendingAppend struct {
	record ownership.Record
	made   time.Time
}

// staleAppend is the age from which a waiting record is dropped: the core has made a newer one since.
const staleAppend = 4 * time.Second

// appendRecords appends the core's records. Whether an append took effect is found by reading.
func (s *Scheduler) appendRecords(ctx context.Context) error {
	stream := platform.OwnershipStream(s.options.Settings.Node.Zone)
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-s.appends.Items():
			if time.Since(next.made) > staleAppend {
				continue
			}
			if _, err := s.options.Log.Append(ctx, stream, next.record.Encode()); err != nil && ctx.Err() == nil {
				s.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": stream, "kind": next.record.Kind})
			}
		}
	}
}

const vmPollEvery = time.Second

// pollVMs reads the platform's list of VMs.
func (s *Scheduler) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(vmPollEvery)
	defer ticker.Stop()
	for {
		list, err := s.options.VMs.VMs(ctx)
		switch {
		case err == nil:
			if s.inbox.Push(ctx, vmsRead{list}) != nil {
				return nil
			}
		case ctx.Err() == nil:
			s.options.Events.EmitError(event.VMListFailed, err, nil)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ignoreEnd drops an error that only says that ctx has ended.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
