package ring

import (
	"context"
	"time"
)

// Step is a state change of a core, executed in the core's goroutine.
type Step = func(now time.Time)

// Loop runs the event loop of a core until ctx ends. It executes steps from the rings, either of which may be nil, and
// calls tick every period. After each step or tick it calls after.
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

// steps returns the channel of the ring. For a nil ring it returns a nil channel, which blocks forever.
func (r *Ring[T]) steps() <-chan T {
	if r == nil {
		return nil
	}
	return r.items
}
