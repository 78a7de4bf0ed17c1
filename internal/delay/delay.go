// Package delay provides waits that end early when a context is done, and randomized durations.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx is done. It returns true when d elapsed.
func For(ctx context.Context, d time.Duration) (elapsed bool) {
	return Until(ctx, d, nil)
}

// Until waits for d, until wake delivers a value or is closed, or until ctx is done. It returns true when d elapsed. A
// nil wake never ends the wait.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) (elapsed bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-wake:
	case <-ctx.Done():
	}
	return false
}

// Spread returns d with a jitter of up to half of d in either direction, so that processes don't act at the same time.
// d must be above 0.
func Spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }
