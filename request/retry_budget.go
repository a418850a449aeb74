package request

import "sync"

const (
	// retriesPerRequest is the share of a retry that each request adds to the
	// budget.
	retriesPerRequest = 0.1
	// maxSavedRetries is the maximum balance of the budget, in retries.
	maxSavedRetries = 20.0
)

// retryBudget bounds retries and hedged attempts to a share of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxSavedRetries} }

// deposit adds the share of one request to the budget.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxSavedRetries, b.tokens+retriesPerRequest)
}

// tryWithdraw takes one retry from the budget and reports whether the balance
// allowed it.
func (b *retryBudget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
