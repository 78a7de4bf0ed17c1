// Package bytelimit bounds what many transfers take together: the memory of those that are held, and the rate of those that are read.
package bytelimit

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Budget bounds the memory that bodies take while they are held, over all of them at the same time. What one body needs at most is far
// more than what an ordinary one takes, so that bounds of single bodies don't bound their sum.
type Budget struct {
	mu    sync.Mutex
	bytes int64
	free  int64
	// exempt is the number of bytes that each body may hold in any case.
	exempt int
	// refused counts the bodies for which there was no room, held shows the bytes taken, and peak the most that were.
	refused    metrics.Counter
	held, peak metrics.Gauge
}

// NewBudget returns a budget of so many bytes, beside exempt bytes of each body. Its metrics begin with name.
func NewBudget(name string, bytes int64, exempt int) *Budget {
	return &Budget{
		bytes: bytes, free: bytes, exempt: exempt,
		refused: metrics.GetOrRegisterCounter(name+".notHeld", nil),
		held:    metrics.GetOrRegisterGauge(name+".heldBytes", nil),
		peak:    metrics.GetOrRegisterGauge(name+".heldBytesPeak", nil),
	}
}

// Hold returns the holding of a body, which must be released. A nil budget bounds nothing.
func (b *Budget) Hold() *Holding { return &Holding{budget: b} }

// Holding is what one body takes of a budget. It isn't safe for concurrent use.
type Holding struct {
	budget *Budget
	taken  int64
}

// Grow reports whether the body may hold so many bytes in all. It takes the bytes from the budget if so.
func (h *Holding) Grow(bytes int) (ok bool) { return h.grow(bytes, false) }

// GrowAlone is Grow, but allows any number of bytes while no other body has taken any.
func (h *Holding) GrowAlone(bytes int) (ok bool) { return h.grow(bytes, true) }

func (h *Holding) grow(bytes int, mayExceedAlone bool) (ok bool) {
	b := h.budget
	if b == nil {
		return true
	}
	needed := int64(bytes-b.exempt) - h.taken
	if needed <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	alone := b.free+h.taken == b.bytes
	if needed > b.free && !(mayExceedAlone && alone) {
		b.refused.Inc(1)
		return false
	}
	h.taken += needed
	b.take(needed)
	return true
}

// take takes bytes from the budget, or returns them if negative. The caller holds b.mu.
func (b *Budget) take(bytes int64) {
	b.free -= bytes
	taken := b.bytes - b.free
	b.held.Update(taken)
	if taken > b.peak.Value() {
		b.peak.Update(taken)
	}
}

// Release returns all bytes to the budget.
func (h *Holding) Release() {
	if h.taken == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.take(-h.taken)
	h.taken = 0
}

// Taken returns the bytes that the body takes of the budget.
func (h *Holding) Taken() int64 { return h.taken }
