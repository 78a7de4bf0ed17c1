// Package configlog keeps a process's replica of the configuration up to date, from the log service or from peers.
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

// logSilence is the time without a successful read after which the log counts as unreachable.
// A read of an idle stream lasts up to 2 s.
const logSilence = 4 * time.Second

// Options are the dependencies of a replica.
type Options struct {
	Log platform.Log
	// Peers returns the RPC addresses (ip:port) of processes that serve ConfigFeed.
	Peers  func() []string
	Events *event.Log
	// PeerInterval is the mean time between two looks at whether peers are needed; 0 means 1 s.
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
	// end is the highest offset of the stream that is known to exist.
	end platform.Offset
	// earliest is the first record that the log kept when it last refused a read; 0 before that.
	earliest platform.Offset
	clock    logClock

	feed feed
}

// NewReplica returns a replica that knows nothing until Run has read the log or a peer.
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

// Run follows the configuration until ctx ends.
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
// The error is a *resource.TooOldError when the caller must list again.
func (r *Replica) Changes(kind resource.Kind, after platform.Offset) ([]resource.Change, platform.Offset, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changes, err := r.reader.Machine().Changes(kind, after)
	return changes, r.reader.Applied(), err
}

// Ready returns nil when the configuration is known, or an error that says why not.
func (r *Replica) Ready() error {
	if r.View() != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if waiting := r.reader.Waiting(); waiting > 0 {
		return fmt.Errorf("configuration not known: the log starts at offset %d and no complete snapshot reaches it yet", waiting)
	}
	if r.reader.Applied()+1 < r.earliest {
		return fmt.Errorf("configuration not known: the log keeps nothing before offset %d and no peer has answered yet", r.earliest)
	}
	if r.end > 0 {
		return fmt.Errorf("configuration not known: applied offset %d of %d", r.reader.Applied(), r.end)
	}
	return errors.New("configuration not known: neither the log service nor a peer has answered yet")
}

// LogReachable reports whether the log was read successfully a short while ago.
func (r *Replica) LogReachable() bool { return r.follower.SinceRead(time.Now()) < logSilence }

// Result returns the verdict on an operation, if it is one of the last that were decided.
func (r *Replica) Result(operationID string) (resource.Result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader.Machine().Result(operationID)
}

// await returns a channel that receives the verdict on an operation, at once when it is known already.
// The caller must call the function returned when it no longer waits.
func (r *Replica) await(operationID string) (<-chan resource.Result, func()) {
	verdict := make(chan resource.Result, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, found := r.reader.Machine().Result(operationID); found {
		verdict <- known
		return verdict, func() {}
	}
	r.waiters[operationID] = append(r.waiters[operationID], verdict)
	return verdict, func() { r.forget(operationID, verdict) }
}

func (r *Replica) forget(operationID string, verdict chan resource.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.waiters[operationID][:0:0]
	for _, waiter := range r.waiters[operationID] {
		if waiter != verdict {
			kept = append(kept, waiter)
		}
	}
	if len(kept) == 0 {
		delete(r.waiters, operationID)
		return
	}
	r.waiters[operationID] = kept
}

// take hands what the reader did to readers and waiters. The caller holds the lock.
func (r *Replica) take(report resource.Report, restored bool) {
	for _, ignored := range report.Ignored {
		r.options.Events.EmitError(event.ConfigRecordIgnored, ignored.Err, event.Fields{"offset": ignored.Offset})
	}
	// The view comes first, so that an operator who was answered reads what was written.
	r.publish()
	for _, result := range report.Results {
		r.answer(result)
	}
	if restored {
		r.answerFromSnapshot()
	}
}

func (r *Replica) answer(result resource.Result) {
	for _, waiter := range r.waiters[result.OperationID] {
		waiter <- result
	}
	delete(r.waiters, result.OperationID)
}

// answerFromSnapshot answers operations whose records were skipped by a snapshot.
func (r *Replica) answerFromSnapshot() {
	for operationID := range r.waiters {
		if result, found := r.reader.Machine().Result(operationID); found {
			r.answer(result)
		}
	}
}

// publish makes the state visible once it has caught up. Before that, a starting process would act on old state.
func (r *Replica) publish() {
	current := r.reader.Machine().View()
	before := r.view.Load()
	if !r.caughtUp || current == before {
		return
	}
	r.view.Store(current)
	metrics.GetOrRegisterGauge("config.applied", nil).Update(int64(current.Applied))
	close(r.changed)
	r.changed = make(chan struct{})
	if before == nil {
		r.options.Events.Emit(event.ConfigKnown, event.Fields{"applied": current.Applied})
	}
}

// logHandler takes what the follower reads from the log.
type logHandler Replica

// Records implements logfollow.Handler.
func (h *logHandler) Records(batch platform.Batch) error {
	r := (*Replica)(h)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.note(batch.Records, r.caughtUp, time.Now())
	before := r.reader.Machine()
	report := r.reader.Apply(batch.Records)
	if batch.Next > 0 {
		r.end = max(r.end, batch.Next-1)
		r.caughtUp = r.caughtUp || r.reader.Applied() >= r.end
	}
	r.take(report, r.reader.Machine() != before)
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
