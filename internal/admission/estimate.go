package admission

import (
	"math/rand/v2"
	"time"
)

const (
	// intervalSmoothing is the weight of a new sample in the moving average.
	intervalSmoothing = 0.2
	// minimumRetryAfter and maximumRetryAfter bound the retry time before the random factor is applied.
	minimumRetryAfter = time.Second
	maximumRetryAfter = time.Minute
	// jitterMin and jitterWidth define the random factor of 0.5 to 1.5, so that callers that were refused at the same
	// time don't retry at the same time.
	jitterMin   = 0.5
	jitterWidth = 1.0
)

// dispatchInterval measures the mean interval between dispatches while entries wait for busy servers.
type dispatchInterval struct {
	mean time.Duration
	last time.Time
}

// record adds a dispatch. The interval since the last dispatch is sampled only if there was a backlog.
func (d *dispatchInterval) record(now time.Time, backlog bool) {
	if backlog && !d.last.IsZero() {
		sample := now.Sub(d.last)
		d.mean += time.Duration(intervalSmoothing * float64(sample-d.mean))
	}
	d.last = now
}

// reset clears the time of the last dispatch, so that a period without backlog isn't sampled as a long interval.
func (d *dispatchInterval) reset() { d.last = time.Time{} }

func (q *Queue) newRefusal(entry Entry, cause Cause, estimate time.Duration) Refusal {
	return Refusal{Entry: entry, Cause: cause, RetryAfter: RetryAfter(estimate, q.random)}
}

// RetryAfter returns a retry time: the estimate clamped to its bounds, multiplied by a random factor of 0.5 to 1.5.
func RetryAfter(estimate time.Duration, random *rand.Rand) time.Duration {
	bounded := min(max(estimate, minimumRetryAfter), maximumRetryAfter)
	factor := jitterMin + jitterWidth*random.Float64()
	return time.Duration(float64(bounded) * factor)
}

// expiryHeap is a min-heap of items ordered by expiry time.
type expiryHeap []*item

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool {
	a, b := h[i].entry.expiresAt(), h[j].entry.expiresAt()
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
