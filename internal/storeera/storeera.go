// Package storeera determines what a return of the platform's store from an older copy means for the rest of a node.
//
// With each return the store begins a new era, which all its answers name. What it acknowledged after the copy was made is lost:
// the generations of groups and the offsets of logs are given out again. Numbers of different eras are therefore ordered by era
// first, and answers of an earlier era change nothing.
package storeera

import (
	"sync"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// generationsPerEra is larger than any number of generations that a return can take back.
const generationsPerEra = 1 << 32

// Token returns a number that orders the generations of a group over all eras, also for servers which compare nothing else. In
// era 0 it's the generation. With eras up to serving.MaximumStoreEra and generations below 2^32 it stays below 2^53, as servers may
// decode JSON numbers as floating point.
func Token(era serving.StoreEra, generation int64) int64 {
	return int64(era)*generationsPerEra + generation
}

// Change is a new era of the store.
type Change struct {
	Before, Now serving.StoreEra
	// Returned is false for the first era that the process knows.
	Returned bool
	// Source is the peer address of the node from which the era is known, or empty for the store itself.
	Source string
}

// Tracker holds the newest era that the store or another node has named. It's safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	era   serving.StoreEra
	known bool
	// onChange is called for each new era. It may be called concurrently.
	onChange func(Change)
}

// NewTracker returns a tracker that knows no era.
func NewTracker() *Tracker { return &Tracker{onChange: func(Change) {}} }

// OnChange sets the function to call for each new era. It must be called before the tracker is used by several goroutines.
func (t *Tracker) OnChange(call func(Change)) { t.onChange = call }

// Current returns the newest known era.
func (t *Tracker) Current() serving.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// Answered implements serving.StoreEras. An answer of an earlier era is late, or comes from a part of the store that hasn't
// returned. One that names no era is one of era 0.
func (t *Tracker) Answered(era serving.StoreEra) (current bool) { return era >= t.note("", era, true) }

// Told records the era that another node names. It proves that the era has begun, and nothing of what the store holds in it.
func (t *Tracker) Told(source string, era serving.StoreEra) { t.note(source, era, false) }

// note records an era and returns the newest one known before. answered is true if the store itself has named it, or names none.
func (t *Tracker) note(source string, era serving.StoreEra, answered bool) (before serving.StoreEra) {
	t.mu.Lock()
	before, known := t.era, t.known
	isNew := era > before
	t.era, t.known = max(before, era), known || answered || isNew
	t.mu.Unlock()
	if isNew {
		t.onChange(Change{Before: before, Now: era, Returned: known, Source: source})
	}
	return before
}
