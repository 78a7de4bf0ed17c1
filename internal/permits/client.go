package permits

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// longPollWait is how long a scheduler may hold its answer to a long-poll sync.
	longPollWait = time.Second
	// minimumSyncInterval is the minimum time between two triggered syncs with the same scheduler, so that a burst of
	// demand results in only a few messages.
	minimumSyncInterval = 20 * time.Millisecond
	minimumRetryWait    = 100 * time.Millisecond
	maximumRetryWait    = time.Second
)

// Options holds the dependencies and settings of a Client.
type Options struct {
	Identity Identity
	// Schedulers are the ip:port addresses of the initial schedulers. They are never removed.
	Schedulers []string
	// Timeout limits the duration of a sync, excluding the time for which the scheduler may hold the answer.
	Timeout time.Duration
	// Report returns the gateway's current queue contents. It is called without the client's lock held.
	Report func(now time.Time) Report
	// Dial returns the RPC client of the scheduler at address.
	Dial   func(address string) peerpb.Permits
	Events *event.Log
	Now    func() time.Time
}

// Client syncs with every known scheduler. It is safe for concurrent use.
type Client struct {
	options Options
	changed chan struct{}
	// schedulersChanged wakes Run to start and stop the sync goroutines of individual schedulers.
	schedulersChanged chan struct{}

	mu       sync.Mutex
	table    *Table
	triggers map[string]chan struct{}
}

// NewClient returns a client that holds no permits until Run is called.
func NewClient(options Options) *Client {
	c := &Client{
		options:           options,
		changed:           make(chan struct{}, 1),
		schedulersChanged: make(chan struct{}, 1),
		table:             NewTable(),
		triggers:          map[string]chan struct{}{},
	}
	return c
}

// DialHTTP returns a Dial function over HTTP.
func DialHTTP(client *http.Client) func(address string) peerpb.Permits {
	return func(address string) peerpb.Permits {
		return peerpb.NewPermitsProtobufClient("http://"+address, client)
	}
}

// Changed returns a channel that receives a value when requests may have become dispatchable.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Gather calls Table.Gather.
func (c *Client) Gather(target routing.Target, candidates []routing.Candidate) []routing.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Gather(target, candidates)
}

// Acquire calls Table.Acquire with the current time.
func (c *Client) Acquire(server string, load uint64) (Reservation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Acquire(server, load, c.options.Now())
}

// Valid calls Table.Valid with the current time.
func (c *Client) Valid(reservation Reservation) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Valid(reservation, c.options.Now())
}

// Release ends a reservation. If it was the last one on a closing load, the closing is acknowledged immediately.
func (c *Client) Release(reservation Reservation) {
	c.mu.Lock()
	closing := c.table.Release(reservation)
	c.mu.Unlock()
	if closing {
		c.TriggerSync()
	}
	notify(c.changed)
}

// Arrived counts the arrival of a request of a class.
func (c *Client) Arrived(target routing.Target, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Arrived(target, rank)
}

// TriggerSync triggers an immediate sync with every scheduler, to report new demand or acknowledge a closing.
func (c *Client) TriggerSync() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, trigger := range c.triggers {
		notify(trigger)
	}
}

// ServersWithPermits returns how many servers have a valid permit.
func (c *Client) ServersWithPermits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.ServersWithPermits(c.options.Now())
}

// Peers returns the addresses of the known schedulers and API servers, without duplicates.
func (c *Client) Peers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := slices.Concat(c.options.Schedulers, c.table.Schedulers(), c.table.APIServers())
	slices.Sort(peers)
	return slices.Compact(peers)
}

// notify sends a value without blocking. Values that haven't been received yet are merged.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run syncs with all known schedulers until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := map[string]context.CancelFunc{}
	for {
		c.reconcileSyncs(ctx, group, running)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-c.schedulersChanged:
		}
	}
}

// reconcileSyncs starts syncs with new schedulers and stops those with removed ones.
func (c *Client) reconcileSyncs(ctx context.Context, group *errgroup.Group, running map[string]context.CancelFunc) {
	c.mu.Lock()
	addresses := slices.Concat(c.options.Schedulers, c.table.Schedulers())
	c.mu.Unlock()
	for _, address := range addresses {
		if running[address] != nil {
			continue
		}
		syncCtx, cancel := context.WithCancel(ctx)
		running[address] = cancel
		trigger := c.addScheduler(address)
		rpc := c.options.Dial(address)
		group.Go(func() error { return c.poll(syncCtx, address, rpc) })
		group.Go(func() error { return c.syncOnTrigger(syncCtx, address, rpc, trigger) })
	}
	for address, cancel := range running {
		if !slices.Contains(addresses, address) {
			cancel()
			delete(running, address)
			c.removeScheduler(address)
		}
	}
}

func (c *Client) addScheduler(address string) chan struct{} {
	c.options.Events.Emit(event.SchedulerKnown, event.Fields{"peer": address})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.AddScheduler(address)
	c.triggers[address] = make(chan struct{}, 1)
	return c.triggers[address]
}

func (c *Client) removeScheduler(address string) {
	c.options.Events.Emit(event.SchedulerRemoved, event.Fields{"peer": address})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RemoveScheduler(address)
	delete(c.triggers, address)
}

// poll keeps one long-poll sync outstanding.
func (c *Client) poll(ctx context.Context, address string, rpc peerpb.Permits) error {
	retry := minimumRetryWait
	for ctx.Err() == nil {
		applied, err := c.sync(ctx, address, rpc, longPollWait, false)
		switch {
		case err != nil:
			sleep(ctx, retry)
			retry = min(2*retry, maximumRetryWait)
		case !applied.Changed:
			// Prevents a busy loop with a scheduler that doesn't hold its answers.
			sleep(ctx, minimumSyncInterval)
			retry = minimumRetryWait
		default:
			retry = minimumRetryWait
		}
	}
	return nil
}

// syncOnTrigger sends a sync with no wait each time it is triggered.
func (c *Client) syncOnTrigger(ctx context.Context, address string, rpc peerpb.Permits, trigger <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-trigger:
			_, _ = c.sync(ctx, address, rpc, 0, false)
			sleep(ctx, minimumSyncInterval)
		}
	}
}

// sleep waits for the given duration or until ctx is done.
func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// sync sends one sync, which the scheduler may hold for up to wait, and applies the answer.
func (c *Client) sync(
	ctx context.Context, address string, rpc peerpb.Permits, wait time.Duration, leaving bool,
) (Applied, error) {
	report := c.options.Report(c.options.Now())
	report.Leaving = report.Leaving || leaving
	c.mu.Lock()
	sent := c.options.Now()
	request := c.table.Sync(address, c.options.Identity, report, wait)
	c.mu.Unlock()
	if request == nil {
		return Applied{}, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	answer, err := rpc.Sync(callCtx, request)
	if err != nil {
		c.handleSyncError(ctx, address, request, err)
		return Applied{}, err
	}
	return c.applyAnswer(address, sent, answer), nil
}

func (c *Client) handleSyncError(ctx context.Context, address string, request *peerpb.SyncRequest, err error) {
	c.mu.Lock()
	c.table.NotDelivered(address, request)
	c.mu.Unlock()
	if ctx.Err() == nil {
		wrapped := failure.Wrap(err, failure.Unavailable, "sync permits", address)
		c.options.Events.EmitError(event.SyncFailed, wrapped, nil)
	}
}

func (c *Client) applyAnswer(address string, sent time.Time, answer *peerpb.SyncResponse) Applied {
	c.mu.Lock()
	applied := c.table.Apply(address, sent, answer)
	trigger := c.triggers[address]
	c.mu.Unlock()
	if applied.Dropped {
		c.options.Events.Emit(event.AnswerDropped, event.Fields{"peer": address, "version": answer.PermitsVersion})
		return applied
	}
	if applied.Closing {
		notify(trigger)
	}
	if applied.Nodes {
		notify(c.schedulersChanged)
	}
	notify(c.changed)
	return applied
}

// Leave sends a final sync to every known scheduler to announce that the gateway is leaving.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.triggers))
	for address := range c.triggers {
		addresses = append(addresses, address)
	}
	c.mu.Unlock()
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			_, err := c.sync(ctx, address, c.options.Dial(address), 0, true)
			return err
		})
	}
	_ = group.Wait()
}
