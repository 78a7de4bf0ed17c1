package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// initialTurnover is assumed until slots have been observed to become free.
	initialTurnover = 300 * time.Millisecond
	// maximumTurnover bounds one observation, so that a pause in orders doesn't count as slow requests.
	maximumTurnover = 3 * time.Second
	// turnoverWeight is the weight of one observation in the moving average.
	turnoverWeight = 0.2
)

// turnover is the moving average of the time between two slots that become free while adapters wait for one.
type turnover struct {
	mean     time.Duration
	placedAt time.Time
}

// placed records that an adapter that was waited for since waitingSince gets a slot.
func (t *turnover) placed(now, waitingSince time.Time) {
	if !t.placedAt.IsZero() && waitingSince.Before(t.placedAt) {
		sample := min(now.Sub(t.placedAt), maximumTurnover)
		t.mean = time.Duration((1-turnoverWeight)*float64(t.interval()) + turnoverWeight*float64(sample))
	}
	t.placedAt = now
}

func (t *turnover) interval() time.Duration {
	if t.mean == 0 {
		return initialTurnover
	}
	return t.mean
}

// SlotQueue returns the server's slots and the adapters that wait for one.
func (c *Core) SlotQueue(now time.Time) serving.SlotQueue {
	queue := serving.SlotQueue{
		Free: c.options.Engine.AdapterSlots - len(c.slots), Turnover: c.turnover.interval(),
	}
	for adapter, s := range c.slots {
		if c.evictable(now, adapter, s) {
			queue.Free++
		}
	}
	for adapter, byNode := range c.demand.pending {
		if entry, valid := merge(now, byNode); valid && c.slots[adapter] == nil {
			queue.Waiting[queue.Rank(entry.demand.Priority)]++
		}
	}
	return queue
}
