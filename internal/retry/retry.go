// Package retry limits the number of retries that the system makes on its own.
package retry

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.1
	// maxBalance bounds the retries that accumulate while none are needed.
	maxBalance = 10
)

// Budget limits retries to a fraction of the requests: after n requests, it has allowed at most n/10 retries. It isn't safe
// for concurrent use.
type Budget struct{ balance float64 }

// RecordRequest adds a caller's request to the budget.
func (b *Budget) RecordRequest() { b.balance = min(maxBalance, b.balance+retryRatio) }

// Allow reports whether a request may be retried, and if so takes the retry from the budget.
func (b *Budget) Allow() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
