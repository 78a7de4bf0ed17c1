// Package ring provides bounded queues between goroutines.
package ring

import (
	"context"

	"github.com/rcrowley/go-metrics"
)

// Ring is a bounded first-in, first-out queue. It is safe for concurrent use by any number of producers and consumers.
// A full ring refuses new items, so that a slow consumer causes counted refusals and not memory growth.
type Ring[T any] struct {
	items   chan T
	refused metrics.Counter
}

// New returns a ring that holds up to capacity items.
// Refused pushes are counted in the default metrics registry as "ring.<name>.refused".
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{
		items:   make(chan T, capacity),
		refused: metrics.GetOrRegisterCounter("ring."+name+".refused", nil),
	}
}

// TryPush adds an item unless the ring is full, and reports whether it was added.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Inc(1)
		return false
	}
}

// Push adds an item. If the ring is full, it blocks until there is space or ctx ends. It returns ctx.Err() if the item
// was not added.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Items returns the channel to receive from, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int { return len(r.items) }
