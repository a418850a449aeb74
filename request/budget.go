package request

import "sync"

const (
	// budgetShare is the part of a retry that each request earns.
	budgetShare = 0.1
	// budgetMax bounds the retries saved up.
	budgetMax = 20.0
)

// retryBudget bounds retries and hedges to a share of the requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: budgetMax} }

// earn counts a request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetMax, b.tokens+budgetShare)
}

// spend takes one retry and reports whether it was there.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
