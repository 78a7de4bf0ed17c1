package ring

import (
	"context"
	"time"
)

// Step is one change of a core's state, made in the core's goroutine.
type Step = func(now time.Time)

// Loop runs the goroutine of a core until ctx ends: it takes steps from the rings, either of which may be nil, calls
// tick each period, and calls after each of these.
func Loop(ctx context.Context, period time.Duration, tick Step, after func(), first, second *Ring[Step]) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-first.steps():
			step(time.Now())
		case step := <-second.steps():
			step(time.Now())
		case <-ticker.C:
			tick(time.Now())
		}
		after()
	}
}

// steps returns the channel to receive from. That of a nil ring never has an item.
func (r *Ring[T]) steps() <-chan T {
	if r == nil {
		return nil
	}
	return r.items
}
