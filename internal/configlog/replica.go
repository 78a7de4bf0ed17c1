// Package configlog maintains a process's replica of the configuration, read from the log service or from peers.
package configlog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/logfollow"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// logUnreachableAfter is the time without a successful read after which the log is considered unreachable.
// A read of an idle stream can take up to 2 s.
const logUnreachableAfter = 4 * time.Second

// Options are the dependencies of a replica.
type Options struct {
	Log platform.Log
	// Peers returns the RPC addresses (ip:port) of processes that serve ConfigFeed.
	Peers  func() []string
	Events *event.Log
	// PeerInterval is the mean time between checks whether to fetch from peers; 0 means 1 s.
	PeerInterval time.Duration
}

// Replica is a process's copy of the configuration. It implements resource.Source.
type Replica struct {
	options  Options
	follower *logfollow.Follower
	client   *http.Client
	view     atomic.Pointer[resource.View]

	mu      sync.Mutex
	reader  *resource.Reader
	changed chan struct{}
	waiters map[string][]chan resource.Result
	// caughtUp is true once the state has reached the end of the log or the state of a peer.
	caughtUp bool
	// end is the highest offset that the stream is known to contain.
	end platform.Offset
	// earliest is the first offset that the log still retained when it last reported trimmed records; 0 before that.
	earliest platform.Offset
	clock    logClock

	feed feed
}

// NewReplica returns a replica without a view. Run has to read the log or a peer before View returns one.
func NewReplica(options Options) *Replica {
	if options.Events == nil {
		options.Events = event.Discard()
	}
	if options.Peers == nil {
		options.Peers = func() []string { return nil }
	}
	if options.PeerInterval == 0 {
		options.PeerInterval = defaultPeerInterval
	}
	r := &Replica{
		options:  options,
		follower: logfollow.New(options.Log, platform.ConfigStream, options.Events),
		client:   &http.Client{Timeout: peerTimeout},
		reader:   resource.NewReader(),
		changed:  make(chan struct{}),
		waiters:  map[string][]chan resource.Result{},
	}
	r.feed.replica = r
	return r
}

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follower.Follow(ctx, (*logHandler)(r)) })
	group.Go(func() error { return r.followPeers(ctx) })
	return group.Wait()
}

// View implements resource.Source.
func (r *Replica) View() *resource.View { return r.view.Load() }

// Changed implements resource.Source.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Changes returns the changes of one kind after an offset and the offset up to which they are complete.
// It returns a *resource.TooOldError when the caller must list again.
func (r *Replica) Changes(kind resource.Kind, after platform.Offset) ([]resource.Change, platform.Offset, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, err := r.reader.Machine().Changes(kind, after)
	return changes, r.reader.Applied(), err
}

// Ready returns nil once the configuration is known, or an error that describes why it is not.
func (r *Replica) Ready() error {
	if r.View() != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.reader.FirstPending(); waiting > 0 {
		return fmt.Errorf(
			"configuration not known: the log starts at offset %d and no complete snapshot reaches it yet", waiting)
	}
	if r.reader.Applied()+1 < r.earliest {
		return fmt.Errorf(
			"configuration not known: the log keeps nothing before offset %d and no peer has answered yet", r.earliest)
	}
	if r.end > 0 {
		return fmt.Errorf("configuration not known: applied offset %d of %d", r.reader.Applied(), r.end)
	}
	return errors.New("configuration not known: neither the log service nor a peer has answered yet")
}

// LogReachable reports whether the last successful read of the log is recent enough.
func (r *Replica) LogReachable() bool {
	return r.follower.TimeSinceRead(time.Now()) < logUnreachableAfter
}

// Result returns the result of an operation, if it is among the most recent ones that are retained.
func (r *Replica) Result(operationID string) (resource.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Machine().Result(operationID)
}

// awaitResult returns a channel that receives the result of an operation, immediately if it is already known.
// The caller must call the returned function when it stops waiting.
func (r *Replica) awaitResult(operationID string) (<-chan resource.Result, func()) {
	waiter := make(chan resource.Result, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.reader.Machine().Result(operationID); found {
		waiter <- known
		return waiter, func() {}
	}
	r.waiters[operationID] = append(r.waiters[operationID], waiter)
	return waiter, func() { r.removeWaiter(operationID, waiter) }
}

func (r *Replica) removeWaiter(operationID string, removed chan resource.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := r.waiters[operationID][:0:0]
	for _, waiter := range r.waiters[operationID] {
		if waiter != removed {
			remaining = append(remaining, waiter)
		}
	}
	if len(remaining) == 0 {
		delete(r.waiters, operationID)
		return
	}
	r.waiters[operationID] = remaining
}

// handleReport logs ignored records, publishes the new view and delivers results to waiters. The caller holds r.mu.
func (r *Replica) handleReport(report resource.ApplyReport, restored bool) {
	for _, ignored := range report.Ignored {
		r.options.Events.EmitError(event.ConfigRecordIgnored, ignored.Err, event.Fields{"offset": ignored.Offset})
	}
	// Publish the view before the results, so that an operator who gets an answer can read the written state.
	r.publish()
	for _, result := range report.Results {
		r.deliverResult(result)
	}
	if restored {
		r.deliverRestoredResults()
	}
}

func (r *Replica) deliverResult(result resource.Result) {
	for _, waiter := range r.waiters[result.OperationID] {
		waiter <- result
	}
	delete(r.waiters, result.OperationID)
}

// deliverRestoredResults delivers the results of operations whose records were covered by a restored snapshot.
func (r *Replica) deliverRestoredResults() {
	for operationID := range r.waiters {
		if result, found := r.reader.Machine().Result(operationID); found {
			r.deliverResult(result)
		}
	}
}

// publish makes the current view visible once the replica has caught up. Publishing earlier would let a starting
// process act on stale state.
func (r *Replica) publish() {
	current := r.reader.Machine().View()
	previous := r.view.Load()
	if !r.caughtUp || current == previous {
		return
	}
	r.view.Store(current)
	metrics.GetOrRegisterGauge("config.applied", nil).Update(int64(current.Applied))
	close(r.changed)
	r.changed = make(chan struct{})
	if previous == nil {
		r.options.Events.Emit(event.ConfigKnown, event.Fields{"applied": current.Applied})
	}
}

// logHandler applies what the follower reads from the log.
type logHandler Replica

// Records implements logfollow.Handler.
func (h *logHandler) Records(batch platform.Batch) error {
	r := (*Replica)(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.observe(batch.Records, r.caughtUp, time.Now())
	before := r.reader.Machine()
	report := r.reader.Apply(batch.Records)
	if batch.Next > 0 {
		r.end = max(r.end, batch.Next-1)
		r.caughtUp = r.caughtUp || r.reader.Applied() >= r.end
	}
	r.handleReport(report, r.reader.Machine() != before)
	if applied := r.reader.Applied(); r.follower.Next() <= applied {
		r.follower.StartAt(applied + 1)
	}
	return nil
}

// Trimmed implements logfollow.Handler.
func (h *logHandler) Trimmed(earliest platform.Offset) error {
	r := (*Replica)(h)
	r.options.Events.Emit(event.ConfigTrimmed, event.Fields{"earliest": earliest})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = max(r.end, earliest-1)
	r.earliest = earliest
	return nil
}
