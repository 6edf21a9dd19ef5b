// Package retry bounds the requests that the system itself repeats.
package retry

const (
	// ratio is how many repeats each request allows.
	ratio = 0.1
	// maxBalance bounds the repeats that a quiet time saves up.
	maxBalance = 10
)

// Budget allows repeats in proportion to requests: after n requests at most n/10 repeats were allowed.
// Its owner serializes access.
type Budget struct{ balance float64 }

// RecordRequest notes a request of a caller.
func (b *Budget) RecordRequest() { b.balance = min(maxBalance, b.balance+ratio) }

// Allow reports whether a request may be repeated, and takes the repeat off the budget.
func (b *Budget) Allow() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
