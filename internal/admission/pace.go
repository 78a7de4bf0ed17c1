package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// paceShare is the weight of a new interval in the moving average.
	paceShare = 0.2
	// minimumRetryAfter and maximumRetryAfter bound the time that callers are told, before the random factor.
	minimumRetryAfter = time.Second
	maximumRetryAfter = time.Minute
	// spreadLow and spreadWidth make the random factor 0.5 to 1.5, so that callers refused together don't come
	// back together.
	spreadLow   = 0.5
	spreadWidth = 1.0
)

// pace measures the mean interval between dispatches while entries wait for busy servers.
type pace struct {
	interval time.Duration
	last     time.Time
}

func (p *pace) dispatched(now time.Time, backlog bool) {
	if backlog && !p.last.IsZero() {
		sample := now.Sub(p.last)
		p.interval += time.Duration(paceShare * float64(sample-p.interval))
	}
	p.last = now
}

// idle forgets the last dispatch, so that a time without backlog isn't taken for a slow pace.
func (p *pace) idle() { p.last = time.Time{} }

func (q *Queue) giveUp(entry Entry, cause Cause, estimate time.Duration) GivenUp {
	return GivenUp{Entry: entry, Cause: cause, RetryAfter: Spread(estimate, q.random)}
}

// Spread returns the time after which to retry: the estimate within its bounds, times a random factor of 0.5 to 1.5.
func Spread(estimate time.Duration, random *rand.Rand) time.Duration {
	bounded := min(max(estimate, minimumRetryAfter), maximumRetryAfter)
	factor := spreadLow + spreadWidth*random.Float64()
	return time.Duration(float64(bounded) * factor)
}

// expiryHeap orders items by the time at which they are given up on.
type expiryHeap []*item

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i].entry.giveUpAt(), h[j].entry.giveUpAt()
	if a.Equal(b) {
		return h[i].entry.ID < h[j].entry.ID
	}
	return a.Before(b)
}

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
