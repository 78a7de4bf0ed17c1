package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

const (
	// originAppendPeriod is the time during which origins are collected for one append. With streamorigin.MaximumWriters, the
	// site appends 50 times a second at most; the bound is 60.
	originAppendPeriod = 100 * time.Millisecond
	// originsPerAppend bounds the size of an append to some 200 KB.
	originsPerAppend = 1000
	// maximumPendingOrigins bounds the origins that wait for the store.
	maximumPendingOrigins = 20_000
	// originReadInterval is the least time between two reads by one node, so that unknown requests don't load the store.
	originReadInterval = 50 * time.Millisecond
	// originExpiryPeriod is the time between two deletions of expired origins.
	originExpiryPeriod = 10 * time.Second
	// versionChangeWindow is how long after a version has left a service still counts as one with several versions for the
	// origins that are written as the second one appears. Servers may be replaced between two reads of the entries.
	versionChangeWindow = 10 * time.Second
)

// originLog keeps origins in the store while a service has several software versions, as all nodes may end at once. With one
// version nothing is written: the streams then go on at the only version.
type originLog struct {
	node *Node
	mu   sync.Mutex
	// pending holds the origins to append.
	pending []streamorigin.Origin
	// until holds the end of the pending and the appended origins that this node will delete.
	until map[string]time.Time
	// several holds the services for which all origins have been written.
	several   map[string]bool
	expiredAt time.Time

	// reads reads what was appended since this node's latest read, whose end is cursor.
	reads  *sharedRead
	cursor serving.Cursor

	written, read, failures metrics.Counter
}

func newOriginLog(node *Node) *originLog {
	l := &originLog{
		node: node, until: make(map[string]time.Time), several: make(map[string]bool),
		written: metrics.GetOrRegisterCounter("origins.written", nil), read: metrics.GetOrRegisterCounter("origins.read", nil),
		failures: metrics.GetOrRegisterCounter("origins.storeFailures", nil),
	}
	l.reads = newSharedRead(originReadInterval, l.readOnce)
	return l
}

// add appends an origin to the store if its service has had several versions within the lifetime of the stream.
func (l *originLog) add(now time.Time, origin streamorigin.Origin) {
	lifetime := origin.Until.Sub(now)
	if len(l.node.view.VersionsSince(origin.Service, now.Add(-lifetime))) > 1 {
		l.append(origin)
	}
}

func (l *originLog) append(origin streamorigin.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, known := l.until[origin.Request]
	if !known && len(l.pending) >= maximumPendingOrigins {
		l.failures.Inc(1)
		return
	}
	if origin.Until.After(until) {
		l.until[origin.Request] = origin.Until
	}
	if !known {
		l.pending = append(l.pending, origin)
	}
}

// run appends origins and deletes expired ones until ctx ends.
func (l *originLog) run(ctx context.Context) error {
	l.expiredAt = time.Now()
	for ctx.Err() == nil {
		delay.For(ctx, originAppendPeriod)
		now := time.Now()
		l.addOfChangedServices(ctx, now)
		origins, expired := l.take(now)
		if len(origins)+len(expired) == 0 {
			continue
		}
		if err := l.node.store.AppendOrigins(ctx, encodeOrigins(now, origins), expired); err != nil {
			l.logFailure(ctx, err, "append")
			l.putBack(origins)
			pause(ctx, retryPause)
			continue
		}
		l.written.Inc(int64(len(origins)))
		l.node.events.Emit(event.OriginsExchanged, event.Fields{"written": len(origins), "deleted": len(expired)})
	}
	return nil
}

// addOfChangedServices appends all origins of services in which a second version has just appeared. It reads those that
// earlier nodes have left in the store, so that they are deleted in time, and so that the first resume after a start doesn't
// wait for them.
func (l *originLog) addOfChangedServices(ctx context.Context, now time.Time) {
	for service := range l.node.view.Versions() {
		several := len(l.node.view.VersionsSince(service, now.Add(-versionChangeWindow))) > 1
		l.mu.Lock()
		changed := several && !l.several[service]
		l.several[service] = several
		l.mu.Unlock()
		if !changed {
			continue
		}
		l.node.origins.sendToWriters(now, l.node.origins.live(now, service))
		// A failure is logged, and the next resume reads again.
		_ = l.reads.do(ctx)
	}
}

// take returns the origins to append now, and the requests whose origins have expired, if any are due.
func (l *originLog) take(now time.Time) (origins []streamorigin.Origin, expired []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := min(len(l.pending), originsPerAppend)
	origins = slices.Clone(l.pending[:count])
	l.pending = slices.Delete(l.pending, 0, count)
	if now.Sub(l.expiredAt) < originExpiryPeriod {
		return origins, nil
	}
	l.expiredAt = now
	for request, until := range l.until {
		if now.After(until) && len(expired) < originsPerAppend {
			expired = append(expired, request)
			delete(l.until, request)
		}
	}
	return origins, expired
}

func (l *originLog) putBack(origins []streamorigin.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(origins, l.pending...)
}

func encodeOrigins(now time.Time, origins []streamorigin.Origin) (encoded []serving.StreamOrigin) {
	for _, origin := range origins {
		encoded = append(encoded, serving.StreamOrigin{
			Request: origin.Request, Service: origin.Service, SoftwareVersion: origin.SoftwareVersion,
			Remaining: origin.Until.Sub(now),
		})
	}
	return encoded
}

// readOnce reads what was appended since this node's latest read.
func (l *originLog) readOnce() error {
	now := time.Now()
	origins, next, err := l.node.store.ReadOrigins(l.node.ctx, l.cursor)
	if err != nil {
		l.logFailure(l.node.ctx, err, "read")
		return err
	}
	l.cursor = next
	l.read.Inc(int64(len(origins)))
	l.node.events.Emit(event.OriginsExchanged, event.Fields{
		"read": len(origins), "ms": time.Since(now).Milliseconds(),
	})
	for _, origin := range origins {
		l.adopt(now, origin)
	}
	return nil
}

// adopt records an origin from the store, and deletes it there once it has expired if this node would have written it. Its
// age isn't known, as clocks differ, so that it's kept for as long as when it was written.
func (l *originLog) adopt(now time.Time, stored serving.StreamOrigin) {
	origin := streamorigin.Origin{
		Request: stored.Request, Service: stored.Service, SoftwareVersion: stored.SoftwareVersion,
		Until: now.Add(stored.Remaining),
	}
	l.node.origins.keep(now, origin)
	if !l.node.origins.writes(origin.Request) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.until[origin.Request]; !known {
		l.until[origin.Request] = origin.Until
	}
}

func (l *originLog) logFailure(ctx context.Context, err error, step string) {
	l.failures.Inc(1)
	if ctx.Err() == nil {
		l.node.events.EmitError(event.OriginsFailed, err, event.Fields{"step": step})
	}
}
