package admission

const (
	// retryShare is the number of retries that each request adds to the budget.
	retryShare = 0.1
	// retryReserve caps the accumulated retries, so that a period without retries can't fund a retry storm later. It is
	// also the initial budget, so that the first requests may be retried.
	retryReserve = 10
)

// RetryBudget limits the retries that the gateway makes itself to 10% of the requests. It is not safe for concurrent
// use.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// CountRequest adds the share of one caller's request to the budget.
func (b *RetryBudget) CountRequest() { b.tokens = min(b.tokens+retryShare, retryReserve) }

// AllowRetry consumes one retry if the budget allows it, and reports whether it did.
func (b *RetryBudget) AllowRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
