// Package connset tracks the callers' connections of a server, so that idle ones can be closed without losing a
// request. net/http's own shutdown closes an idle connection even if a request was just read from it.
package connset

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// lingerTime is how long a connection stays half-closed before it is closed. Closing a connection with unread bytes
// resets it, and the caller may then lose the end of the last answer.
const lingerTime = 500 * time.Millisecond

// Set is the set of open connections of a listener.
type Set struct {
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns an empty set.
func New() *Set { return &Set{conns: make(map[*conn]struct{})} }

// Listener returns a listener whose connections are tracked by the set. The server's ConnState must be the set's
// NoteState.
func (s *Set) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner, set: s} }

// NoteState records a change of a connection's state. It must be the ConnState of the http.Server that serves the
// listener.
func (s *Set) NoteState(c net.Conn, state http.ConnState) {
	tracked, ok := c.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	tracked.mu.Lock()
	tracked.idle = true
	tracked.mu.Unlock()
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		tracked.closeIfIdle()
	}
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

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, set: l.set, idle: true}
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.conns[c] = struct{}{}
	return c, nil
}

type conn struct {
	net.Conn
	set *Set

	mu sync.Mutex
	// idle is true while the server has not read any byte of a next request.
	idle bool
	// closed is true after closeIfIdle has half-closed the connection.
	closed bool
}

// Read implements net.Conn. It discards bytes that arrive after closeIfIdle, so that no new request can start.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if n > 0 {
		c.idle = false
	}
	return n, err
}

// Close implements net.Conn. A lingering connection is closed after lingerTime instead.
func (c *conn) Close() error {
	c.untrack()
	c.mu.Lock()
	lingering := c.closed
	c.mu.Unlock()
	if lingering {
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) untrack() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	delete(c.set.conns, c)
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite half-closes the connection. net/http calls it before Close, so that the caller still gets the last answer.
func (c *conn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// closeIfIdle half-closes the connection unless a request has started on it, and reports whether it is closed.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	if !c.idle || c.closed {
		idle := c.idle
		c.mu.Unlock()
		return idle
	}
	c.closed = true
	c.mu.Unlock()
	c.untrack()
	if err := c.CloseWrite(); err != nil {
		// The caller has already closed the connection.
		_ = c.Conn.Close()
		return true
	}
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
	// Unblocks the server's read of a next request.
	_ = c.Conn.SetReadDeadline(time.Now())
	return true
}
