package bytelimit

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// PacerBurst is the number of bytes that may be read at once without a pacer's delay.
const PacerBurst = 512 << 10

// Pacer bounds the rate at which bytes are read, over all transfers that it paces. A nil pacer bounds nothing.
type Pacer struct {
	limiter *rate.Limiter
	// delayed counts the bytes that had to wait for their turn.
	delayed metrics.Counter
}

// NewPacer returns a pacer with a rate in bytes per second. Its metrics begin with name.
func NewPacer(name string, bytesPerSecond float64) *Pacer {
	return &Pacer{
		limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), PacerBurst),
		delayed: metrics.GetOrRegisterCounter(name+".pacedBytes", nil),
	}
}

// Wait waits for the turn of bytes that were read, at most PacerBurst. It returns false if closed is closed before.
func (p *Pacer) Wait(bytes int, closed <-chan struct{}) (ok bool) {
	if p == nil {
		return true
	}
	reservation := p.limiter.ReserveN(time.Now(), bytes)
	delay := reservation.Delay()
	if delay <= 0 {
		return true
	}
	p.delayed.Inc(int64(bytes))
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
