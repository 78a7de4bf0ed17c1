// Package ledger makes non-idempotent requests run at most once. A claim for the caller's key is on the claims
// stream, as the first for its key, before the first byte goes to a backend server.
package ledger

import (
	"context"
	"time"
)

// KeyHash identifies a caller's idempotency key together with the target that it was used on.
type KeyHash [16]byte

// Key is what a caller gives to identify a non-idempotent request.
type Key struct {
	Hash KeyHash
	// Time is when the caller made the key; zero when the key doesn't tell.
	Time time.Time
}

// State is the state of a key.
type State int

// States of a key.
const (
	// Claimed means that the asking attempt holds the claim: it may be dispatched, once.
	Claimed State = iota + 1
	// InProgress means that another attempt holds the claim and is alive.
	InProgress
	// Completed means that the request ran and its outcome is known.
	Completed
	// Unavailable means that no claim could be made; the request was not run.
	Unavailable
	// Expired means that the key is older than the lifetime of keys; this request was not run.
	Expired
	// Unknown means that an earlier attempt may have run; it's never repeated.
	Unknown
)

// Outcome is the answer of a request that ran.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyLost is true when the request ran and its body is no longer held.
	BodyLost bool
}

// Verdict is the ledger's answer to Begin.
type Verdict struct {
	State      State
	Outcome    Outcome
	RetryAfter time.Duration
	Reason     string
}

// Claims decides who may dispatch a non-idempotent request. Its methods may be called from any goroutine.
type Claims interface {
	// Begin claims key for the attempt and waits for the decision, until ctx ends. After a verdict of
	// Claimed the caller must call exactly one of Complete, Release and Abandon.
	Begin(ctx context.Context, key Key, attempt string) Verdict
	// Complete records the outcome of an attempt that ran.
	Complete(key Key, attempt string, outcome Outcome)
	// Release records that the attempt was not run and never will be.
	Release(key Key, attempt string)
	// Abandon records that it's not known whether the attempt ran.
	Abandon(key Key, attempt string)
}
