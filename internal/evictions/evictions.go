// Package evictions remembers which adapters a model server has evicted lately, as it loads those fast.
package evictions

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Memory holds a bounded number of evicted adapters; the oldest give way. It isn't safe for concurrent use.
type Memory struct {
	limit int
	at    map[serving.Adapter]time.Time
}

// New returns an empty memory of up to limit adapters.
func New(limit int) *Memory {
	return &Memory{limit: limit, at: make(map[serving.Adapter]time.Time)}
}

// Add notes that an adapter was evicted.
func (m *Memory) Add(now time.Time, adapter serving.Adapter) {
	m.at[adapter] = now
	if len(m.at) > m.limit {
		delete(m.at, m.oldest())
	}
}

// At returns when an adapter was evicted, if it's remembered.
func (m *Memory) At(adapter serving.Adapter) (at time.Time, remembered bool) {
	at, remembered = m.at[adapter]
	return at, remembered
}

func (m *Memory) oldest() (first serving.Adapter) {
	var at time.Time
	for adapter, evicted := range m.at {
		if at.IsZero() || evicted.Before(at) {
			first, at = adapter, evicted
		}
	}
	return first
}
