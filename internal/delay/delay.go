// Package delay waits without outliving a context.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx ends. It returns true when the time passed.
func For(ctx context.Context, d time.Duration) (passed bool) {
	return Until(ctx, d, nil)
}

// Until waits for d, until wake receives or is closed, or until ctx ends. It returns true when the time passed. A nil
// wake never receives.
func Until(ctx context.Context, d time.Duration, wake <-chan struct{}) (passed bool) {
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

// Spread returns a random duration from half of d to one and a half times d, so that processes don't act together. d
// must be above 0.
func Spread(d time.Duration) time.Duration { return d/2 + rand.N(d) }
