package upstream

import (
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// pacedBytes counts the bytes of large answers that had to wait for their turn.
var pacedBytes = metrics.GetOrRegisterCounter("upstream.pacedBytes", nil)

const (
	// unpacedBytes and unpacedPerSecond are what each answer may bring without being paced: whole at once, and beyond that for each
	// second that it takes. Sound streams stay far below.
	unpacedBytes     = 64 << 10
	unpacedPerSecond = 64 << 10
	// paceBurst is the number of bytes that answers beyond that may bring at once, maximumRead bounds one read.
	paceBurst   = 512 << 10
	maximumRead = 32 << 10
)

// Pacer bounds the rate at which large answers are read, all of them together, so that a flood of bytes leaves the processor and
// the network link to other answers. It counts the bytes on the network: heads, and chunks of one byte, cost more than a body. A nil
// pacer bounds nothing.
type Pacer struct{ limiter *rate.Limiter }

// NewPacer returns a pacer with a rate in bytes per second.
func NewPacer(bytesPerSecond float64) *Pacer {
	return &Pacer{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), paceBurst)}
}

// wait waits for the turn of bytes that were read. It returns false if closed is closed before.
func (p *Pacer) wait(bytes int, closed <-chan struct{}) (ok bool) {
	reservation := p.limiter.ReserveN(time.Now(), bytes)
	delay := reservation.Delay()
	if delay <= 0 {
		return true
	}
	pacedBytes.Inc(int64(bytes))
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-closed:
		reservation.Cancel()
		return false
	}
}

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

// Read implements net.Conn. It waits for its turn if the current answer is large.
func (c *gatedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data[:min(len(data), maximumRead)])
	if n == 0 || c.pacer == nil {
		return n, err
	}
	c.mu.Lock()
	excess := c.allowance.exceededBy(time.Now(), n)
	c.mu.Unlock()
	if excess > 0 && !c.pacer.wait(excess, c.closed) {
		return n, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn. It ends a read that waits for its turn.
func (c *gatedConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
