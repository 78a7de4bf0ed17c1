// Package connset keeps the connections of a server's callers, so that idle ones can be closed without losing a request:
// net/http closes an idle connection even when a request was just read from it.
package connset

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// lingerTime is how long a connection stays half-closed. Closing one with unread bytes resets it, which may take the
// end of the last answer from the caller.
const lingerTime = 500 * time.Millisecond

// Set is the set of open connections of a listener.
type Set struct {
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
}

// New returns an empty set.
func New() *Set { return &Set{conns: make(map[*conn]struct{})} }

// Listener returns a listener whose connections belong to the set. The set's NoteState has to be the server's
// ConnState.
func (s *Set) Listener(inner net.Listener) net.Listener { return &listener{Listener: inner, set: s} }

// NoteState is to be the ConnState of the http.Server that serves the listener.
func (s *Set) NoteState(c net.Conn, state http.ConnState) {
	known, ok := c.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	known.mu.Lock()
	known.idle = true
	known.mu.Unlock()
	s.mu.Lock()
	draining := s.draining
	s.mu.Unlock()
	if draining {
		known.closeIfIdle()
	}
}

// Drain makes each connection close once its request in progress is answered.
func (s *Set) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// CloseIdle closes the connections on which no request has begun, and returns how many stay open.
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
	// idle is true while no byte of a next request was handed to the server.
	idle   bool
	closed bool
}

// Read implements net.Conn. Bytes that arrive as the connection is closed are dropped, so that their request can't
// begin.
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

// Close implements net.Conn. A connection that lingers is closed later.
func (c *conn) Close() error {
	c.forget()
	c.mu.Lock()
	lingers := c.closed
	c.mu.Unlock()
	if lingers {
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) forget() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	delete(c.set.conns, c)
}

// CloseWrite lets net/http half-close the connection before it's closed, so that the last answer isn't lost.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// closeIfIdle ends the connection for its caller unless a request has begun on it.
func (c *conn) closeIfIdle() bool {
	c.mu.Lock()
	if !c.idle || c.closed {
		idle := c.idle
		c.mu.Unlock()
		return idle
	}
	c.closed = true
	c.mu.Unlock()
	c.forget()
	if err := c.CloseWrite(); err != nil {
		// The caller has closed it already.
		_ = c.Conn.Close()
		return true
	}
	time.AfterFunc(lingerTime, func() { _ = c.Conn.Close() })
	// Ends the server's wait for a next request.
	_ = c.Conn.SetReadDeadline(time.Now())
	return true
}
