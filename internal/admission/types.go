// Package admission queues requests in bounded queues by priority class until a backend server can take them. Each
// entry ends in exactly one of three ways: dispatched, given up, or caller gone. The core contains no clock and no
// goroutine; the time and the random source are arguments.
package admission

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// Class is a priority class in force.
type Class struct {
	Name string
	// Rank orders the classes; 0 is the most urgent.
	Rank int
	// QueueLimit bounds the waiting requests of the class.
	QueueLimit int
	// MaximumWait bounds the time in the queue.
	MaximumWait time.Duration
	// Batch is the batch window in force; its zero value holds nothing.
	Batch BatchWindow
}

// Names of the default classes.
const (
	Urgent     = "urgent"
	Standard   = "standard"
	Background = "background"
)

// DefaultClasses returns the classes that are in force when the operators declare none.
func DefaultClasses() []Class {
	return []Class{
		{Name: Urgent, Rank: 0, QueueLimit: 512, MaximumWait: 10 * time.Second},
		{Name: Standard, Rank: 1, QueueLimit: 1024, MaximumWait: 30 * time.Second},
		{Name: Background, Rank: 2, QueueLimit: 2048, MaximumWait: 2 * time.Minute},
	}
}

// Fallback returns the class of requests that name none: standard when it exists, otherwise the least urgent. It
// returns false for no classes.
func Fallback(classes []Class) (Class, bool) {
	if len(classes) == 0 {
		return Class{}, false
	}
	for _, class := range classes {
		if class.Name == Standard {
			return class, true
		}
	}
	return slices.MaxFunc(classes, func(a, b Class) int { return cmp.Compare(a.Rank, b.Rank) }), true
}

// Entry is one request that asks for a backend server.
type Entry struct {
	// ID is unique among the entries of a queue.
	ID      uint64
	Target  routing.Target
	Class   Class
	Arrived time.Time
	// Deadline is the caller's; zero when it gave none.
	Deadline time.Time
}

// giveUpAt returns when the entry is given up on.
func (e *Entry) giveUpAt() time.Time {
	at := e.Arrived.Add(e.Class.MaximumWait)
	if !e.Deadline.IsZero() && e.Deadline.Before(at) {
		return e.Deadline
	}
	return at
}

// batched reports whether the entry may be held for a batch. Plain services run no batches.
func (e *Entry) batched() bool { return e.Class.Batch.Window > 0 && e.Target.Service == "" }

// Cause says why a request was given up on.
type Cause uint8

// Causes of giving up.
const (
	// QueueFull means that the class has no room.
	QueueFull Cause = iota + 1
	// WaitTooLong means that the estimated wait exceeds the caller's deadline or the class's maximum on arrival.
	WaitTooLong
	// WaitEnded means that the request waited until its deadline or the class's maximum.
	WaitEnded
	// Stopping means that the gateway is shutting down.
	Stopping
)

// GivenUp is the final answer to a request that was not run.
type GivenUp struct {
	Entry Entry
	Cause Cause
	// RetryAfter is already spread by a random factor.
	RetryAfter time.Duration
}

// Result is what became of the attempt to dispatch an entry.
type Result uint8

// Results of an attempt to dispatch.
const (
	// Dispatched means that the entry left the queue.
	Dispatched Result = iota
	// NoCapacity means that servers hold the target and are busy.
	NoCapacity
	// NoCopy means that no server holds the target.
	NoCopy
	// Excluded means that this entry can't use the servers that hold the target, while others of the target may.
	Excluded
)

// Waiting sums up the entries of one target and rank.
type Waiting struct {
	Target routing.Target
	Rank   int
	Count  int
	Oldest time.Time
}
