package upstream

import (
	"errors"
	"io"
	"net"
	"time"
)

// unwrittenTimeout bounds the wait for the next write of a request whose answer has ended. It is the time in which
// keep-alive probes detect an unreachable peer.
const unwrittenTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

// ErrEndedEarly means that a server ended its side of a connection while the request was being written, and then
// stopped reading it.
var ErrEndedEarly = errors.New("the connection ended before the request was written")

// exchange is the state of a connection's two directions. A socket reports a reset only once, to a write or to a read;
// afterwards reads report io.EOF. So the end of a connection says nothing about an answer while a write is in progress
// or after one has failed.
type exchange struct {
	// broken is the error of a failed write.
	broken error
	// writes counts the writes in progress.
	writes int
	// unwritten is true until the current request is written completely. It stays false for requests without a
	// RequestTrace.
	unwritten bool
	// answered is true once a byte of the answer to the current request has arrived.
	answered bool
	// changed is closed at the next change; nil if nobody waits.
	changed chan struct{}
}

func (e *exchange) begin() { e.unwritten, e.answered = true, false }

func (e *exchange) notify() {
	if e.changed != nil {
		close(e.changed)
		e.changed = nil
	}
}

// end returns what a read reports at the end of the connection, or a channel to wait for if that isn't known yet.
func (e *exchange) end() (changed <-chan struct{}, err error) {
	switch {
	case e.broken != nil:
		return nil, e.broken
	case !e.answered || e.writes == 0 && !e.unwritten:
		return nil, io.EOF
	}
	if e.changed == nil {
		e.changed = make(chan struct{})
	}
	return e.changed, nil
}

func (c *gatedConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.writes++
}

func (c *gatedConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.writes--
	if err != nil {
		c.exchange.broken = err
	}
	c.exchange.notify()
}

func (c *gatedConn) noteAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.answered = true
}

func (c *gatedConn) requestWritten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.unwritten = false
	c.exchange.notify()
}

// verifiedEnd returns io.EOF if the connection ended in order: no write failed, and a server that ended its answer
// early has read on until the request was written.
func (c *gatedConn) verifiedEnd() error {
	for {
		c.mu.Lock()
		changed, err := c.exchange.end()
		c.mu.Unlock()
		if err != nil {
			return err
		}
		timeout := time.NewTimer(unwrittenTimeout)
		select {
		case <-changed:
		case <-c.closed:
			err = net.ErrClosed
		case <-timeout.C:
			err = ErrEndedEarly
		}
		timeout.Stop()
		if err != nil {
			return err
		}
	}
}
