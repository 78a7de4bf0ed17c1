package upstream

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// notHeld counts the answers for which a budget had no room.
var notHeld = metrics.GetOrRegisterCounter("upstream.notHeld", nil)

// Budget bounds the memory that answers take while they are held, over all answers at the same time. What an answer needs at
// most is far more than what a sound one takes, so that bounds of single answers don't bound their sum.
type Budget struct {
	mu   sync.Mutex
	free int64
	// exempt is the number of bytes that each answer may hold in any case.
	exempt int
}

// NewBudget returns a budget of so many bytes, beside exempt bytes of each answer.
func NewBudget(bytes int64, exempt int) *Budget { return &Budget{free: bytes, exempt: exempt} }

// Hold returns the holding of an answer, which must be released. A nil budget bounds nothing.
func (b *Budget) Hold() *Holding { return &Holding{budget: b} }

// Holding is what one answer takes of a budget. It isn't safe for concurrent use.
type Holding struct {
	budget *Budget
	taken  int64
}

// Grow reports whether the answer may hold so many bytes in all. It takes the bytes from the budget if so.
func (h *Holding) Grow(bytes int) (ok bool) {
	if h.budget == nil {
		return true
	}
	needed := int64(bytes-h.budget.exempt) - h.taken
	if needed <= 0 {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if needed > h.budget.free {
		notHeld.Inc(1)
		return false
	}
	h.budget.free -= needed
	h.taken += needed
	return true
}

// Release returns all bytes to the budget.
func (h *Holding) Release() {
	if h.taken == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.free += h.taken
	h.taken = 0
}
