// Package connset tracks the callers' connections of a server: it bounds their number, ends those whose callers don't read, and closes
// idle ones without losing a request. net/http's own shutdown closes an idle connection even if a request was just read from it.
package connset

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/event"
)

// lingerTime is how long a connection stays half-closed before it is closed. Closing a connection with unread bytes
// resets it, and the caller may then lose the end of the last answer.
const lingerTime = 500 * time.Millisecond

// Metrics of all sets of a process.
var (
	openConnections    = metrics.GetOrRegisterCounter("callers.connections", nil)
	yieldedConnections = metrics.GetOrRegisterCounter("callers.connectionsYielded", nil)
	refusedConnections = metrics.GetOrRegisterCounter("callers.connectionsRefused", nil)
	refusedHeads       = metrics.GetOrRegisterCounter("callers.headsWithoutRoom", nil)
	unreadAnswers      = metrics.GetOrRegisterCounter("callers.answersUnread", nil)
)

// Options bound the connections of a set. The zero value bounds nothing.
type Options struct {
	// Limit is the number of open connections; 0 for no limit.
	Limit int
	// WriteTimeout is the time for which a caller may accept no byte of an answer; 0 for no limit.
	WriteTimeout time.Duration
	// Heads bounds the memory of the heads of all requests until they are answered; nil for no limit.
	Heads *bytelimit.Budget
	// Events may be nil.
	Events *event.Log
}

// Set is the set of open connections of a listener.
type Set struct {
	options      Options
	refused      event.Repeated
	unread       event.Repeated
	refusedHeads event.Repeated

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns an empty set.
func New(options Options) *Set {
	if options.Events == nil {
		options.Events = event.Discard()
	}
	return &Set{options: options, conns: make(map[*conn]struct{})}
}

// Listener returns a listener whose connections are tracked by the set. The set must be attached to the server that serves it.
func (s *Set) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner, set: s} }

// Attach makes a server report its connections' states and requests to the set.
func (s *Set) Attach(server *http.Server) {
	server.ConnState = s.NoteState
	server.ConnContext = withConn
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r.Context()); c != nil && !c.startRequest(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// NoteState records a change of a connection's state.
func (s *Set) NoteState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	// An idle connection yields its room, so that this one returns it before.
	s.mu.Lock()
	tracked.headRoom.Release()
	draining := s.draining
	s.mu.Unlock()
	headSize := tracked.becomeIdle()
	if draining {
		tracked.closeIfIdle()
		return
	}
	s.holdHead(tracked, headSize)
}

// Drain makes each connection close as soon as its current request is answered.
func (s *Set) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes the connections without a request in progress, and returns how many remain open.
func (s *Set) CloseIdle() (open int) {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		if !c.closeIfIdle() {
			open++
		}
	}
	return open
}

type listener struct {
	net.Listener
	set *Set
}

// Accept implements net.Listener. A connection beyond the limit for which no other one yields is closed unread, so that its caller
// knows that no request of it has run.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, set: l.set, activeAt: time.Now(), headRoom: l.set.options.Heads.Hold()}
		if l.set.add(c) {
			return c, nil
		}
		refusedConnections.Inc(1)
		l.set.refused.Emit(l.set.options.Events, event.ConnectionRefused, event.Fields{
			"caller": inner.RemoteAddr().String(), "limit": l.set.options.Limit,
		})
		if err := transportOf(inner).Close(); err != nil {
			l.set.options.Events.EmitError(event.ConnectionRefused, err, nil)
		}
	}
}

// add adds a connection, in place of another one if the set is full. It returns false if none yields.
func (s *Set) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.Limit > 0 && len(s.conns) >= s.options.Limit && !s.yieldOne(c.activeAt, anyConn) {
		return false
	}
	s.conns[c] = struct{}{}
	openConnections.Inc(1)
	return true
}

// remove removes a connection and returns its room. Further calls have no effect. The caller holds s.mu.
func (s *Set) remove(c *conn) {
	c.headRoom.Release()
	if _, found := s.conns[c]; found {
		delete(s.conns, c)
		openConnections.Dec(1)
	}
}

// anyConn is true of each connection.
func anyConn(*conn) bool { return true }

// yieldOne closes the connection that its caller is least likely to miss, of those for which isWanted is true. It returns false if there
// is none. The caller holds s.mu.
func (s *Set) yieldOne(now time.Time, isWanted func(*conn) bool) bool {
	for {
		var least *conn
		var leastClaim claim
		for c := range s.conns {
			if current, yields := c.claim(now); yields && isWanted(c) && (least == nil || current.less(leastClaim)) {
				least, leastClaim = c, current
			}
		}
		if least == nil {
			return false
		}
		if least.yield(now) {
			s.remove(least)
			return true
		}
	}
}

// contextKey is the key of a request's connection in its context.
type contextKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if tracked, ok := c.(*conn); ok {
		return context.WithValue(ctx, contextKey{}, tracked)
	}
	return ctx
}

func connOf(ctx context.Context) *conn {
	tracked, _ := ctx.Value(contextKey{}).(*conn)
	return tracked
}

// AwaitRequest records that the server waits for the rest of a request, so that its connection may yield if the caller stops.
func AwaitRequest(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.setPhase(arriving)
	}
}

// ResumeRequest records that a request is being processed. It returns false if its connection has yielded, so that the request must
// not run.
func ResumeRequest(ctx context.Context) (ok bool) {
	c := connOf(ctx)
	return c == nil || c.setPhase(processing)
}

// Received returns the number of bytes that have been read from the connection of a request, 0 if it isn't tracked.
func Received(ctx context.Context) int64 {
	if c := connOf(ctx); c != nil {
		return c.received()
	}
	return 0
}
