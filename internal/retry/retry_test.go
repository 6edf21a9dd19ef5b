package retry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestRepeatsAreAtMostATenthOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Budget
		requests, repeats := 0, 0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "calls") {
			if isRequest {
				requests++
				b.RecordRequest()
			} else if b.Allow() {
				repeats++
			}
			if 10*repeats > requests {
				t.Fatalf("%d repeats of %d requests", repeats, requests)
			}
		}
	})
}
