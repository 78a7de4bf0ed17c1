package upstream

import (
	"errors"
	"io"
	"net"
	"time"
)

const (
	// unpacedBytes and unpacedPerSecond are what each answer may bring without being paced: whole at once, and beyond that for each
	// second that it takes. Sound streams stay far below.
	unpacedBytes     = 64 << 10
	unpacedPerSecond = 64 << 10
	// maximumRead bounds one read.
	maximumRead = 32 << 10
)

// allowance is what an answer may still bring without being paced.
type allowance struct {
	startedAt time.Time
	// used counts the bytes that were read without waiting.
	used int
}

// exceededBy records bytes that were read and returns how many of them are to be paced.
func (a *allowance) exceededBy(now time.Time, bytes int) (excess int) {
	a.used += bytes
	if a.used <= unpacedBytes {
		return 0
	}
	allowed := unpacedBytes + int(unpacedPerSecond*now.Sub(a.startedAt).Seconds())
	excess = max(min(bytes, a.used-allowed), 0)
	a.used -= excess
	return excess
}

// Read implements net.Conn. It waits for its turn if the current answer is large. It returns io.EOF only if the
// connection has ended in order; see verifiedEnd.
func (c *gatedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), maximumRead)])
	if n > 0 {
		c.noteAnswer()
	}
	if errors.Is(err, io.EOF) {
		err = c.verifiedEnd()
	}
	if n == 0 || c.pacer == nil {
		return n, err
	}
	c.mu.Lock()
	excess := c.allowance.exceededBy(time.Now(), n)
	c.mu.Unlock()
	if excess > 0 && !c.pacer.Wait(excess, c.closed) {
		return n, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. It ends a read that waits for its turn.
func (c *gatedConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
