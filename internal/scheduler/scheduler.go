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
	// tickInterval is the period of the core's timers. It limits the delay of lease checks and retries.
	tickInterval = 100 * time.Millisecond
	// drainPollInterval is the interval at which the shutdown checks whether loads and evictions have ended.
	drainPollInterval = 50 * time.Millisecond
	// releaseTimeout limits the wait for the releases to be read back. After it, the leases expire on their own.
	releaseTimeout = 5 * time.Second
	// releaseRetryInterval is the interval at which releases that weren't read back are appended again.
	releaseRetryInterval = time.Second
	// surplusReleaseInterval is how long a scheduler owns more than its share before it releases a server, and the
	// interval between such releases. It takes a while until all nodes have a new scheduler in their node tables.
	surplusReleaseInterval = 30 * time.Second
	// surplusReleaseCooldown is the minimum time between two releases of the same surplus server.
	surplusReleaseCooldown = 10 * time.Minute
)

// Options are the dependencies of a scheduler.
type Options struct {
	Settings Settings
	// Incarnation is a time-ordered identifier of this start of the process.
	Incarnation string
	Log         platform.Log
	VMs         platform.VMList
	Config      resource.Source
	Table       membership.Table
	Queue       loadqueue.Queue
	// Control returns a client for the control interface of the engine at an address.
	Control func(address string) engine.Control
	// OnApplied is called with the offset of the configuration in use. It may be nil.
	OnApplied func(offset uint64)
	Events    *event.Log
}

// Scheduler owns backend servers of its zone. The core runs in one goroutine; the goroutines that do I/O send it
// messages through a bounded ring.
type Scheduler struct {
	options    Options
	self       ownership.Holder
	inbox      *ring.Ring[message]
	appends    *ring.Ring[pendingAppend]
	decisions  *decision.Recorder
	peerClient *http.Client
	// done is closed when Run has ended and messages are no longer processed.
	done chan struct{}
}

// message is an input of the core. apply runs in the core's goroutine.
type message interface {
	apply(c *core)
}

// New returns a scheduler that is inactive until Run.
func New(options Options) *Scheduler {
	return &Scheduler{
		options: options,
		self: ownership.Holder{
			Node: options.Settings.Node.Name, Incarnation: options.Incarnation, Address: options.Settings.Listen,
		},
		inbox:      ring.New[message]("scheduler.inbox", inboxCapacity),
		appends:    ring.New[pendingAppend]("scheduler.appends", appendCapacity),
		decisions:  decision.NewRecorder(options.Events, event.PlacementDecided, options.Settings.DecisionsKept),
		peerClient: &http.Client{Timeout: options.Settings.EngineTimeout.Std()},
		done:       make(chan struct{}),
	}
}

// Handler returns the handler of the Permits service, to be mounted at peerpb.PermitsPathPrefix.
func (s *Scheduler) Handler() http.Handler {
	return peerpb.NewPermitsServer(&permitsService{scheduler: s})
}

// Decisions returns the handler of /debug/decisions.
func (s *Scheduler) Decisions() http.Handler { return s.decisions }

// Run owns backend servers until ctx ends. Then it starts no new claims or loads, waits for loads and evictions in
// progress, releases its servers, and returns.
func (s *Scheduler) Run(ctx context.Context) error {
	defer close(s.done)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(runCtx)
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

// shutdown drains the scheduler and releases all servers.
func (s *Scheduler) shutdown(ctx context.Context) {
	s.options.Events.Emit(event.ProcessStopping, nil)
	s.pollCore(ctx, s.options.Settings.ShutdownTimeout.Std(), func(c *core) bool { return c.drain() })
	if !s.pollCore(ctx, releaseTimeout, func(c *core) bool { return c.release() }) {
		s.options.Events.Emit(event.ReleaseTimedOut, nil)
	}
}

// pollCore evaluates done in the core's goroutine until it returns true or limit has passed.
func (s *Scheduler) pollCore(ctx context.Context, limit time.Duration, done func(c *core) bool) bool {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		reply := make(chan bool, 1)
		if s.inbox.Push(bounded, query{done, reply}) != nil {
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

// query evaluates a condition in the core's goroutine.
type query struct {
	condition func(c *core) bool
	reply     chan<- bool
}

func (q query) apply(c *core) { q.reply <- q.condition(c) }

// follow reads the zone's ownership stream.
func (s *Scheduler) follow(ctx context.Context) error {
	stream := platform.OwnershipStream(s.options.Settings.Node.Zone)
	follower := logfollow.New(s.options.Log, stream, s.options.Events)
	return ignoreCancellation(ctx, follower.Follow(ctx, &ownershipHandler{ctx: ctx, inbox: s.inbox, follower: follower}))
}

// ownershipHandler passes the records of the ownership stream to the core.
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

// pendingAppend is a record queued for appending.
type pendingAppend struct {
	record  ownership.Record
	created time.Time
}

// maximumAppendAge is the age above which a queued record is dropped: the core has created a newer one since.
const maximumAppendAge = 4 * time.Second

// appendRecords appends the core's records. Whether an append took effect is determined by reading the stream.
func (s *Scheduler) appendRecords(ctx context.Context) error {
	stream := platform.OwnershipStream(s.options.Settings.Node.Zone)
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-s.appends.Items():
			if time.Since(next.created) > maximumAppendAge {
				continue
			}
			if _, err := s.options.Log.Append(ctx, stream, next.record.Encode()); err != nil && ctx.Err() == nil {
				s.options.Events.EmitError(event.LogAppendFailed, err, event.Fields{"stream": stream, "kind": next.record.Kind})
			}
		}
	}
}

// vmPollInterval is the interval between reads of the list of VMs.
const vmPollInterval = time.Second

// pollVMs reads the platform's list of VMs periodically.
func (s *Scheduler) pollVMs(ctx context.Context) error {
	ticker := time.NewTicker(vmPollInterval)
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

// ignoreCancellation returns nil instead of err if ctx has ended.
func ignoreCancellation(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
