package connset

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/event"
)

// phase is what the server does with a connection.
type phase int

const (
	// idle means that no byte of a next request was read.
	idle phase = iota
	// arriving means that a request has begun to arrive and isn't complete.
	arriving
	// processing means that a complete request is being processed, or its head if no one reads its body.
	processing
)

const (
	// stalledAfter is the time without a byte after which a connection with a request that arrives may yield. Nothing yields before
	// the limit is reached.
	stalledAfter = 200 * time.Millisecond
	// writeBytes bounds what is written at once, so that a slow caller makes progress within the time for a write.
	writeBytes = 16 << 10
)

type conn struct {
	net.Conn
	set *Set

	mu    sync.Mutex
	phase phase
	// activeAt is when the connection was accepted, became idle, or brought its latest byte.
	activeAt time.Time
	// readBytes counts the bytes that were read.
	readBytes int64
	// head measures the head of the current request.
	head head
	// closed is true after closeIfIdle has half-closed the connection, or discard has closed it.
	closed, yielded bool

	// headRoom is the room that the head takes. The mutex of set guards it.
	headRoom *bytelimit.Holding
}

// claim says how much a connection is worth keeping.
type claim struct {
	phase    phase
	activeAt time.Time
}

// less reports whether a connection with claim c yields before one with claim other: idle ones before others, then those that were
// active least recently.
func (c claim) less(other claim) bool {
	if c.phase != other.phase {
		return c.phase < other.phase
	}
	return c.activeAt.Before(other.activeAt)
}

// claim returns the connection's claim, and whether it yields to a new one.
func (c *conn) claim(now time.Time) (current claim, yields bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return claim{phase: c.phase, activeAt: c.activeAt}, c.yields(now)
}

// yields reports whether the connection yields to a new one. The caller holds c.mu.
func (c *conn) yields(now time.Time) bool {
	switch c.phase {
	case idle:
		return !c.closed
	case arriving:
		return !c.closed && now.Sub(c.activeAt) >= stalledAfter
	default:
		return false
	}
}

// yield closes the connection. It returns false if a request has begun to arrive, or goes on, since it was chosen.
func (c *conn) yield(now time.Time) bool {
	c.mu.Lock()
	if !c.yields(now) {
		c.mu.Unlock()
		return false
	}
	c.closed, c.yielded = true, true
	c.mu.Unlock()
	yieldedConnections.Inc(1)
	// The caller may have closed the connection already.
	_ = transportOf(c.Conn).Close()
	return true
}

// discard closes the connection at once. The request that it brings must not run.
func (c *conn) discard() {
	c.mu.Lock()
	c.closed, c.yielded = true, true
	c.mu.Unlock()
	// The caller may have closed the connection already.
	_ = transportOf(c.Conn).Close()
}

// startRequest records that a handler has got a request with a body of the given length, negative if it isn't known. It returns false if
// the connection has yielded.
func (c *conn) startRequest(bodyBytes int64) (ok bool) {
	c.mu.Lock()
	c.head.isComplete, c.head.bodyBytes = true, bodyBytes
	c.mu.Unlock()
	return c.setPhase(processing)
}

// becomeIdle records that the answer to a request has been written. It returns the memory of the part of a next head that may have
// arrived.
func (c *conn) becomeIdle() (headSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.activeAt = idle, time.Now()
	c.head.next()
	return c.head.size
}

// transportOf returns the connection below a TLS connection, whose own Close waits for a caller that reads nothing.
func transportOf(c net.Conn) net.Conn {
	if layered, ok := c.(interface{ NetConn() net.Conn }); ok {
		return layered.NetConn()
	}
	return c
}

// setPhase changes the phase. It returns false if the connection has yielded.
func (c *conn) setPhase(next phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next == arriving && c.phase != arriving {
		c.activeAt = time.Now()
	}
	c.phase = next
	return !c.yielded
}

func (c *conn) received() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readBytes
}

// Read implements net.Conn. It discards bytes that arrive after closeIfIdle or yield, so that no new request can start.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	headSize, ok := c.noteRead(data[:n], len(data))
	if !ok || !c.set.holdHead(c, headSize) {
		return 0, net.ErrClosed
	}
	return n, err
}

// noteRead records bytes that were read into a buffer of the given size, and returns the memory of the head that arrives, 0 if it is
// complete. It returns false if the bytes must be discarded.
func (c *conn) noteRead(data []byte, bufferSize int) (headSize int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, false
	}
	if len(data) == 0 {
		return 0, true
	}
	c.readBytes += int64(len(data))
	c.activeAt = time.Now()
	if c.phase == idle {
		c.phase = arriving
	}
	wasComplete := c.head.isComplete
	c.head.add(data, bufferSize)
	if wasComplete {
		return 0, true
	}
	return c.head.size, true
}

// Write implements net.Conn. It fails when the caller accepts nothing for the set's write timeout.
func (c *conn) Write(data []byte) (written int, err error) {
	timeout := c.set.options.WriteTimeout
	if timeout <= 0 {
		return c.Conn.Write(data)
	}
	for written < len(data) {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(data[written:min(written+writeBytes, len(data))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			unreadAnswers.Inc(1)
			c.set.unread.Emit(c.set.options.Events, event.AnswerUnread, event.Fields{
				"caller": c.RemoteAddr().String(), "timeout": timeout.String(),
			})
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn. A lingering connection is closed after lingerTime instead.
func (c *conn) Close() error {
	c.untrack()
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) untrack() {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	c.set.remove(c)
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
	if c.phase != idle || c.closed {
		isIdle := c.phase == idle
		c.mu.Unlock()
		return isIdle
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
