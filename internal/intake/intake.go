// Package intake reads the bodies of callers' requests within bounds on the memory that all of them take together, on the time that one
// takes, and on the processor time that the delimiters of chunks cost.
package intake

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
)

// Errors of Read. None of the requests has run. Any other error means that the caller has broken off its request.
var (
	ErrTooLarge = errors.New("the body is larger than allowed")
	ErrNoRoom   = errors.New("there is no room for the body")
	ErrTooSlow  = errors.New("the body arrives too slowly")
)

// RetryAfter is the time after which a request for which there was no room should come again: bodies that make no progress have
// yielded by then.
const RetryAfter = stalledAfter

const (
	// exemptBytes is the memory that the body of each request may hold in any case.
	exemptBytes = 16 << 10
	// firstChunkedBytes is the first size of the buffer of a body in chunks.
	firstChunkedBytes = 4 << 10
	// stalledAfter is the time without progressBytes after which a body yields its room to others.
	stalledAfter  = time.Second
	progressBytes = 16 << 10
	// unpacedDelimiters is the number of bytes of delimiters that each body may bring without being paced.
	unpacedDelimiters = 64 << 10
)

// Metrics of all bodies of a process.
var (
	tooLarge = metrics.GetOrRegisterCounter("callers.bodiesTooLarge", nil)
	noRoom   = metrics.GetOrRegisterCounter("callers.bodiesWithoutRoom", nil)
	stalled  = metrics.GetOrRegisterCounter("callers.bodiesStalled", nil)
	yielded  = metrics.GetOrRegisterCounter("callers.bodiesYielded", nil)
)

// defaultName begins the names of the metrics of the budget and the pacer where the limits name no other.
const defaultName = "callers"

// Limits bound the bodies of a process.
type Limits struct {
	// Name begins the names of the metrics of the budget and the pacer; empty for that of callers.
	Name string
	// Bytes bounds the memory of all bodies, beside a few KB of each request; 0 for no bound. One body is held in any case.
	Bytes int64
	// Copies is the number of copies of a body that are held at the same time, 0 for one.
	Copies int
	// Stall is the time without a byte after which a body is given up, Timeout bounds the time for a body that has no
	// deadline. 0 for no bound.
	Stall, Timeout time.Duration
	// DelimiterRate bounds the bytes a second that are neither bodies nor heads, over all bodies: sizes of chunks and trailers. 0 for
	// no bound.
	DelimiterRate int
	// Events may be nil.
	Events *event.Log
}

// Bodies reads the bodies of all requests of a process.
type Bodies struct {
	limits     Limits
	budget     *bytelimit.Budget
	delimiters *bytelimit.Pacer
	refused    event.Repeated

	mu sync.Mutex
	// arriving holds the bodies that are being read.
	arriving map[*arrival]struct{}
}

// New returns a reader of bodies.
func New(limits Limits) *Bodies {
	b := &Bodies{limits: limits, arriving: make(map[*arrival]struct{})}
	b.limits.Copies = max(b.limits.Copies, 1)
	if b.limits.Events == nil {
		b.limits.Events = event.Discard()
	}
	if limits.Name == "" {
		limits.Name = defaultName
	}
	if limits.Bytes > 0 {
		b.budget = bytelimit.NewBudget(limits.Name, limits.Bytes, exemptBytes)
	}
	if limits.DelimiterRate > 0 {
		b.delimiters = bytelimit.NewPacer(limits.Name, float64(limits.DelimiterRate))
	}
	return b
}

// Body is a request's body, which takes room until it is released.
type Body struct {
	data    []byte
	holding *bytelimit.Holding
}

// Bytes returns the body; nil for a nil body.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.data
}

// Release returns the room. Further calls have no effect; a nil body takes none.
func (b *Body) Release() {
	if b != nil {
		b.holding.Release()
	}
}

// Handler bounds the time that net/http waits for a body that next doesn't read.
func (b *Bodies) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 && b.limits.Stall > 0 {
			// An error means that the caller has gone, which next finds out.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(b.limits.Stall))
		}
		next.ServeHTTP(w, r)
	})
}

// Buffer returns a handler that reads bodies of at most limit bytes before it calls next, whose own reading has no bounds.
func (b *Bodies) Buffer(limit int64, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := b.Read(w, r, limit, time.Time{})
		if err != nil {
			http.Error(w, err.Error(), StatusOf(err))
			return
		}
		defer body.Release()
		buffered := r.WithContext(r.Context())
		buffered.Body = io.NopCloser(bytes.NewReader(body.Bytes()))
		next.ServeHTTP(w, buffered)
	})
}

// StatusOf returns the status of the answer to a request for an error of Read.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}

// CloseUnread makes the connection close after the answer to a request if its body is large and unread, so that the answer doesn't wait
// for it.
func CloseUnread(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength > exemptBytes {
		w.Header().Set("Connection", "close")
	}
}

// Read reads the body of a request, which may have limit bytes and has to be there by the deadline, if there is one.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	a := b.newArrival(w, r, limit, deadline)
	err := a.reserve()
	if err == nil && r.ContentLength != 0 {
		err = a.read()
	}
	if err == nil && !connset.ResumeRequest(r.Context()) {
		// The connection yielded as the last bytes arrived. Its caller takes the request for one that wasn't read.
		err = ErrTooSlow
	}
	if err != nil {
		b.end(a)
		a.holding.Release()
		b.note(a, err)
		// What is left of the body must not be taken for another request, nor be waited for.
		w.Header().Set("Connection", "close")
		return nil, err
	}
	return &Body{data: a.data, holding: a.holding}, nil
}

// note counts and logs a body that was refused.
func (b *Bodies) note(a *arrival, err error) {
	switch {
	case errors.Is(err, ErrTooLarge):
		tooLarge.Inc(1)
	case errors.Is(err, ErrNoRoom):
		noRoom.Inc(1)
	case errors.Is(err, ErrTooSlow):
		stalled.Inc(1)
	default:
		return
	}
	b.refused.Emit(b.limits.Events, event.BodyRefused, event.Fields{
		"caller": a.request.RemoteAddr, "reason": err.Error(), "announced": a.request.ContentLength, "read": len(a.data),
		"ms": time.Since(a.startedAt).Milliseconds(),
	})
}

// begin registers a body that is being read.
func (b *Bodies) begin(a *arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[a] = struct{}{}
}

// end removes a body that is no longer being read, so that it doesn't yield. Further calls have no effect.
func (b *Bodies) end(a *arrival) (hasYielded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, a)
	return a.yielded
}

// grow takes room for so many bytes in all. Bodies that make no progress yield if there is too little.
func (b *Bodies) grow(a *arrival, bytes int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.yielded {
		return ErrNoRoom
	}
	for !a.holding.GrowAlone(bytes) {
		if !b.yieldOne(a, time.Now()) {
			return ErrNoRoom
		}
	}
	return nil
}

// yieldOne takes the room of the body that has made no progress for longest. It returns false if all others make progress. The caller
// holds b.mu.
func (b *Bodies) yieldOne(asking *arrival, now time.Time) bool {
	var slowest *arrival
	for a := range b.arriving {
		if a != asking && a.holding.Taken() > 0 && now.Sub(a.progressAt) >= stalledAfter &&
			(slowest == nil || a.progressAt.Before(slowest.progressAt)) {
			slowest = a
		}
	}
	if slowest == nil {
		return false
	}
	delete(b.arriving, slowest)
	slowest.yielded = true
	slowest.holding.Release()
	slowest.interrupt()
	yielded.Inc(1)
	return true
}
