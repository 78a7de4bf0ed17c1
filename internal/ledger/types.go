// Package ledger makes non-idempotent requests run at most once. Before the first byte is sent to a backend server, a
// claim for the caller's key has been read back from the claims stream as the first claim of that key.
package ledger

import (
	"context"
	"time"
)

// KeyHash identifies a caller's idempotency key together with the request target it was used on.
type KeyHash [16]byte

// Key identifies a non-idempotent request; the caller supplies it.
type Key struct {
	Hash KeyHash
	// Time is when the caller created the key, or zero if the key carries no time.
	Time time.Time
}

// State is the state of a key.
type State int

// States of a key.
const (
	// Claimed means that the calling attempt holds the claim: it may be dispatched, once.
	Claimed State = iota + 1
	// InProgress means that another attempt holds the claim and is alive.
	InProgress
	// Completed means that the request ran and its outcome is known.
	Completed
	// Unavailable means that no claim could be made; the request was not run.
	Unavailable
	// Expired means that the key is older than the lifetime of keys; this request was not run.
	Expired
	// Unknown means that an earlier attempt may have run; the request is never repeated.
	Unknown
)

// Outcome is the response to a request that ran.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped is true when the request ran but the body of its response is no longer held.
	BodyDropped bool
}

// Verdict is the result of Begin.
type Verdict struct {
	State      State
	Outcome    Outcome
	RetryAfter time.Duration
	Reason     string
}

// Claims decides which attempt may dispatch a non-idempotent request. It is safe for concurrent use.
type Claims interface {
	// Begin claims key for the attempt and waits for the decision or the end of ctx. After a verdict of
	// Claimed the caller must call exactly one of Complete, Release and Abandon.
	Begin(ctx context.Context, key Key, attempt string) Verdict
	// Complete records the outcome of an attempt that ran.
	Complete(key Key, attempt string, outcome Outcome)
	// Release records that the attempt was not run and will never be.
	Release(key Key, attempt string)
	// Abandon records that the attempt may or may not have run.
	Abandon(key Key, attempt string)
}
