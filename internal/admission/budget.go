package admission

const (
	// retryShare is how many retries one request pays for.
	retryShare = 0.1
	// retryReserve bounds the saved retries, so that a quiet hour doesn't pay for a storm of them. It is also the
	// budget at the start, so that the first requests may be retried.
	retryReserve = 10
)

// RetryBudget bounds the system's own retries to 10% of the requests. It must be used by one goroutine at a time.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns a budget with its reserve filled.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryReserve} }

// Request counts a request by a caller.
func (b *RetryBudget) Request() { b.tokens = min(b.tokens+retryShare, retryReserve) }

// Retry takes one retry out of the budget and reports whether there was one.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
