// Package decay counts events with exponentially decaying weights.
package decay

import (
	"math"
	"time"
)

// Count is a count of events that halves in each half-life. The zero value is an empty count.
type Count struct {
	value float64
	at    time.Time
}

// Value returns the count at now.
func (c Count) Value(now time.Time, halfLife time.Duration) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(halfLife))
}

// Add returns the count with n more events at now.
func (c Count) Add(now time.Time, halfLife time.Duration, n float64) Count {
	return Count{value: c.Value(now, halfLife) + n, at: now}
}

// LastAt returns when events were last added.
func (c Count) LastAt() time.Time { return c.at }
