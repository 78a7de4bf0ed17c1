// Package admission holds requests in bounded queues by priority class until a backend server can serve them. Each
// entry ends in exactly one of three ways: it is dispatched, it is refused or expires, or its caller disconnects. The
// package reads no clock and starts no goroutine; the time and the random source are arguments.
package admission

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// Class is the effective configuration of a priority class.
type Class struct {
	Name string
	// Rank orders the classes; 0 is the most urgent.
	Rank int
	// QueueLimit is the maximum number of waiting requests of the class.
	QueueLimit int
	// MaximumWait is the maximum time that a request spends in the queue.
	MaximumWait time.Duration
	// Batch is the effective batch window; its zero value disables holding.
	Batch BatchWindow
}

// Names of the default classes.
const (
	Urgent     = "urgent"
	Standard   = "standard"
	Background = "background"
)

// DefaultClasses returns the classes that apply if the operators declare none.
func DefaultClasses() []Class {
	return []Class{
		{Name: Urgent, Rank: 0, QueueLimit: 512, MaximumWait: 10 * time.Second},
		{Name: Standard, Rank: 1, QueueLimit: 1024, MaximumWait: 30 * time.Second},
		{Name: Background, Rank: 2, QueueLimit: 2048, MaximumWait: 2 * time.Minute},
	}
}

// DefaultClass returns the class of requests that don't name one: standard if it exists, otherwise the least urgent
// class. It returns false if classes is empty.
func DefaultClass(classes []Class) (Class, bool) {
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

// Entry is a request that waits for a backend server.
type Entry struct {
	// ID is unique among the entries of a queue.
	ID      uint64
	Target  routing.Target
	Class   Class
	Arrived time.Time
	// Deadline is the caller's deadline, or zero if it set none.
	Deadline time.Time
}

// expiresAt returns when the entry expires: at its deadline or after the class's maximum wait, whichever is earlier.
func (e *Entry) expiresAt() time.Time {
	at := e.Arrived.Add(e.Class.MaximumWait)
	if !e.Deadline.IsZero() && e.Deadline.Before(at) {
		return e.Deadline
	}
	return at
}

// batched reports whether the entry may be held for a batch. Requests for plain services are not batched.
func (e *Entry) batched() bool { return e.Class.Batch.Window > 0 && e.Target.Service == "" }

// Cause is the reason why a request was refused or removed without being run.
type Cause uint8

// Values of Cause.
const (
	// QueueFull means that the queue of the class has reached its limit.
	QueueFull Cause = iota + 1
	// WaitTooLong means that on arrival the estimated wait exceeded the caller's deadline or the class's maximum.
	WaitTooLong
	// WaitEnded means that the request reached its deadline or the class's maximum wait.
	WaitEnded
	// Stopping means that the gateway is shutting down.
	Stopping
)

// Refusal is the final result of a request that was not run.
type Refusal struct {
	Entry Entry
	Cause Cause
	// RetryAfter already includes the random factor.
	RetryAfter time.Duration
}

// Result is the outcome of an attempt to dispatch an entry.
type Result uint8

// Results of a dispatch attempt.
const (
	// Dispatched means that the entry left the queue.
	Dispatched Result = iota
	// NoCapacity means that all servers that hold the target are busy.
	NoCapacity
	// NoCopy means that no server holds the target.
	NoCopy
	// Excluded means that this entry can't use any server that holds the target, although other entries may.
	Excluded
)

// Waiting summarises the entries of one target and rank.
type Waiting struct {
	Target routing.Target
	Rank   int
	Count  int
	Oldest time.Time
}
