// Package netfault provides listeners for the stand-ins whose connections can become silent, freeze or break.
package netfault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

// Listener accepts connections that are subject to the faults of its target.
type Listener struct {
	net.Listener
	target string
	faults *fault.Registry

	mu    sync.Mutex
	open  map[*conn]struct{}
	done  chan struct{}
	close sync.Once
}

// Listen listens on a TCP address. Its faults can be switched on once DeclareFaults has been called.
func Listen(address, target string, faults *fault.Registry) (*Listener, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := &Listener{
		Listener: inner,
		target:   target,
		faults:   faults,
		open:     make(map[*conn]struct{}),
		done:     make(chan struct{}),
	}
	return listener, nil
}

// DeclareFaults declares fault.Silence and fault.Freeze for the listener's target.
func (l *Listener) DeclareFaults() {
	l.faults.DeclareAction(l.target, fault.Silence, func(fault.Order) { l.silenceAll() })
	l.faults.Declare(l.target, fault.Freeze)
}

// Accept implements net.Listener. It closes new connections while fault.Restart is active.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.faults.Active(l.target, fault.Restart) {
			_ = inner.Close()
			continue
		}
		return l.track(inner), nil
	}
}

// Close implements net.Listener. It also ends a freeze of the open connections.
func (l *Listener) Close() error {
	l.close.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Break closes every open connection.
func (l *Listener) Break() {
	for _, c := range l.connections() {
		_ = c.Close()
	}
}

func (l *Listener) closed() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}

func (l *Listener) silenceAll() {
	for _, c := range l.connections() {
		c.silent.Store(true)
	}
}

func (l *Listener) track(inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &conn{Conn: inner, listener: l}
	l.open[c] = struct{}{}
	return c
}

func (l *Listener) connections() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*conn, 0, len(l.open))
	for c := range l.open {
		list = append(list, c)
	}
	return list
}

func (l *Listener) untrack(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// conn is a connection that is subject to the faults of its listener.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	// drainOnce starts drain at the first Close of a silent connection.
	drainOnce sync.Once
}

// Read discards the data of a silent connection until the peer closes it, and delays the data of a frozen one.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return n, err
		}
		c.awaitThaw()
		if !c.silent.Load() {
			return n, nil
		}
	}
}

// Write discards the data on a silent connection and reports success. It waits while the connection is frozen.
func (c *conn) Write(data []byte) (int, error) {
	c.awaitThaw()
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection. A silent one stays open until the peer or the listener closes it, because closing it
// would reveal to the peer that the connection is dead.
func (c *conn) Close() error {
	if c.silent.Load() && !c.listener.closed() {
		c.drainOnce.Do(func() { go c.drain() })
		return nil
	}
	return c.closeNow()
}

// drain discards received data until the peer closes the connection.
func (c *conn) drain() {
	_ = c.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.Conn)
	_ = c.closeNow()
}

func (c *conn) closeNow() error {
	c.listener.untrack(c)
	return c.Conn.Close()
}

// awaitThaw waits while the connection is frozen.
func (c *conn) awaitThaw() {
	c.listener.faults.AwaitClear(c.listener.done, c.listener.target, fault.Freeze)
}
