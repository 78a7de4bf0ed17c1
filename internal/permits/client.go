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
	longPoll = time.Second
	// extraInterval is the least time between two extra syncs with one scheduler, so that a burst of demand
	// becomes a few messages.
	extraInterval    = 20 * time.Millisecond
	minimumRetryWait = 100 * time.Millisecond
	maximumRetryWait = time.Second
)

// Options are the dependencies of a client.
type Options struct {
	Identity Identity
	// Schedulers are the first contacts, ip:port. They stay known for good.
	Schedulers []string
	// Timeout bounds a sync, not counting the time for which the scheduler holds the answer.
	Timeout time.Duration
	// Report returns what waits in the gateway. It's called without the client's lock.
	Report func(now time.Time) Report
	// Dial returns the RPC client of the scheduler at address.
	Dial   func(address string) peerpb.Permits
	Events *event.Log
	Now    func() time.Time
}

// Client syncs with every known scheduler. Its methods may be called from any goroutine.
type Client struct {
	options Options
	changed chan struct{}
	// members wakes the goroutine that starts and stops the syncs with single schedulers.
	members chan struct{}

	mu    sync.Mutex
	table *Table
	kicks map[string]chan struct{}
}

// NewClient returns a client that holds no permits until Run.
func NewClient(options Options) *Client {
	c := &Client{
		options: options,
		changed: make(chan struct{}, 1),
		members: make(chan struct{}, 1),
		table:   NewTable(),
		kicks:   map[string]chan struct{}{},
	}
	return c
}

// DialHTTP returns a Dial function over HTTP.
func DialHTTP(client *http.Client) func(address string) peerpb.Permits {
	return func(address string) peerpb.Permits {
		return peerpb.NewPermitsProtobufClient("http://"+address, client)
	}
}

// Changed returns a channel that gets a value when requests may have become dispatchable.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Gather is Table.Gather.
func (c *Client) Gather(target routing.Target, candidates []routing.Candidate) []routing.Candidate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Gather(target, candidates)
}

// Acquire is Table.Acquire at the present time.
func (c *Client) Acquire(server string, load uint64) (Use, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Acquire(server, load, c.options.Now())
}

// Valid is Table.Valid at the present time.
func (c *Client) Valid(use Use) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Valid(use, c.options.Now())
}

// Release gives a use back, and acknowledges a closing at once when it was the last.
func (c *Client) Release(use Use) {
	c.mu.Lock()
	closing := c.table.Release(use)
	c.mu.Unlock()
	if closing {
		c.Kick()
	}
	signal(c.changed)
}

// Arrived counts the arrival of a request of a class.
func (c *Client) Arrived(target routing.Target, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Arrived(target, rank)
}

// Kick sends an extra sync to every scheduler, as there is new demand or a closing to acknowledge.
func (c *Client) Kick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, kick := range c.kicks {
		signal(kick)
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

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Run syncs until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	running := map[string]context.CancelFunc{}
	for {
		c.startAndStop(ctx, group, running)
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-c.members:
		}
	}
}

// startAndStop makes the running syncs match the known schedulers.
func (c *Client) startAndStop(ctx context.Context, group *errgroup.Group, running map[string]context.CancelFunc) {
	c.mu.Lock()
	wanted := slices.Concat(c.options.Schedulers, c.table.Schedulers())
	c.mu.Unlock()
	for _, address := range wanted {
		if running[address] != nil {
			continue
		}
		duty, cancel := context.WithCancel(ctx)
		running[address] = cancel
		kick := c.add(address)
		rpc := c.options.Dial(address)
		group.Go(func() error { return c.poll(duty, address, rpc) })
		group.Go(func() error { return c.extra(duty, address, rpc, kick) })
	}
	for address, cancel := range running {
		if !slices.Contains(wanted, address) {
			cancel()
			delete(running, address)
			c.drop(address)
		}
	}
}

func (c *Client) add(address string) chan struct{} {
	c.options.Events.Emit(event.SchedulerKnown, event.Fields{"peer": address})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.AddScheduler(address)
	c.kicks[address] = make(chan struct{}, 1)
	return c.kicks[address]
}

func (c *Client) drop(address string) {
	c.options.Events.Emit(event.SchedulerForgotten, event.Fields{"peer": address})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RemoveScheduler(address)
	delete(c.kicks, address)
}

// poll keeps one long sync outstanding.
func (c *Client) poll(ctx context.Context, address string, rpc peerpb.Permits) error {
	retry := minimumRetryWait
	for ctx.Err() == nil {
		applied, err := c.sync(ctx, address, rpc, longPoll, false)
		switch {
		case err != nil:
			pause(ctx, retry)
			retry = min(2*retry, maximumRetryWait)
		case !applied.Changed:
			// Keeps a scheduler that doesn't hold its answers from being polled in a tight loop.
			pause(ctx, extraInterval)
			retry = minimumRetryWait
		default:
			retry = minimumRetryWait
		}
	}
	return nil
}

// extra sends a sync that isn't held whenever it's kicked.
func (c *Client) extra(ctx context.Context, address string, rpc peerpb.Permits, kick <-chan struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-kick:
			_, _ = c.sync(ctx, address, rpc, 0, false)
			pause(ctx, extraInterval)
		}
	}
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (c *Client) sync(ctx context.Context, address string, rpc peerpb.Permits, wait time.Duration, leaving bool) (Applied, error) {
	report := c.options.Report(c.options.Now())
	report.Leaving = report.Leaving || leaving
	c.mu.Lock()
	sent := c.options.Now()
	request := c.table.Sync(address, c.options.Identity, report, wait)
	c.mu.Unlock()
	if request == nil {
		return Applied{}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, wait+c.options.Timeout)
	defer cancel()
	answer, err := rpc.Sync(bounded, request)
	if err != nil {
		c.failed(ctx, address, request, err)
		return Applied{}, err
	}
	return c.apply(address, sent, answer), nil
}

func (c *Client) failed(ctx context.Context, address string, request *peerpb.SyncRequest, err error) {
	c.mu.Lock()
	c.table.NotDelivered(address, request)
	c.mu.Unlock()
	if ctx.Err() == nil {
		wrapped := failure.Wrap(err, failure.Unavailable, "sync permits", address)
		c.options.Events.EmitError(event.SyncFailed, wrapped, nil)
	}
}

func (c *Client) apply(address string, sent time.Time, answer *peerpb.SyncResponse) Applied {
	c.mu.Lock()
	applied := c.table.Apply(address, sent, answer)
	kick := c.kicks[address]
	c.mu.Unlock()
	if applied.Dropped {
		c.options.Events.Emit(event.AnswerDropped, event.Fields{"peer": address, "version": answer.PermitsVersion})
		return applied
	}
	if applied.Closing {
		signal(kick)
	}
	if applied.Nodes {
		signal(c.members)
	}
	signal(c.changed)
	return applied
}

// Leave sends a last sync to every known scheduler, which says that the gateway is leaving.
func (c *Client) Leave(ctx context.Context) {
	c.mu.Lock()
	addresses := make([]string, 0, len(c.kicks))
	for address := range c.kicks {
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
