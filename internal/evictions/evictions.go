// Package evictions records which adapters a model server has evicted recently, since it loads them faster than others.
package evictions

import (
	"maps"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Memory holds a bounded number of evicted adapters and drops those that were evicted first. It isn't safe for
// concurrent use.
type Memory struct {
	limit     int
	evictedAt map[serving.Adapter]time.Time
}

// New returns an empty memory for up to limit adapters.
func New(limit int) *Memory {
	return &Memory{limit: limit, evictedAt: make(map[serving.Adapter]time.Time)}
}

// Add records that an adapter was evicted at now.
func (m *Memory) Add(now time.Time, adapter serving.Adapter) {
	m.evictedAt[adapter] = now
	if len(m.evictedAt) > m.limit {
		delete(m.evictedAt, m.oldest())
	}
}

// At returns when an adapter was evicted, if it is recorded.
func (m *Memory) At(adapter serving.Adapter) (at time.Time, recorded bool) {
	at, recorded = m.evictedAt[adapter]
	return at, recorded
}

// All returns the recorded adapters, in no particular order.
func (m *Memory) All() []serving.Adapter { return slices.Collect(maps.Keys(m.evictedAt)) }

func (m *Memory) oldest() (oldest serving.Adapter) {
	var oldestAt time.Time
	for adapter, at := range m.evictedAt {
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = adapter, at
		}
	}
	return oldest
}
