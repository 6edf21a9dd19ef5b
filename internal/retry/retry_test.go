package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRetriesAreAtMostATenthOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if isRequest {
				requests++
				b.RecordRequest()
			} else if b.Allow() {
				retries++
			}
			if 10*retries > requests {
				t.Fatalf("allowed %d retries of %d requests", retries, requests)
			}
		}
	})
}
