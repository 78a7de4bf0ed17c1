// Package decay counts events so that past ones weigh less and less.
package decay

import (
	"math"
	"time"
)

// Count is a number of events that halves in each half-life. The zero value counts nothing.
type Count struct {
	value float64
	at    time.Time
}

// Value returns the count at now.
func (c Count) Value(now time.Time, halfLife time.Duration) float64 {
	return c.value * math.Exp2(-float64(now.Sub(c.at))/float64(halfLife))
}

// Add returns the count with n events more at now.
func (c Count) Add(now time.Time, halfLife time.Duration, n float64) Count {
	return Count{value: c.Value(now, halfLife) + n, at: now}
}

// LastAt returns when events were last added.
func (c Count) LastAt() time.Time { return c.at }
