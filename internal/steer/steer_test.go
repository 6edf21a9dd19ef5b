package steer

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestPass(t *testing.T) {
	fresh := 100 * time.Millisecond
	cases := map[string]struct {
		first, second Agent
		age           time.Duration
		want          bool
	}{
		"equal":                 {Agent{Flows: 100, Limit: 2000}, Agent{Flows: 100, Limit: 2000}, fresh, false},
		"a little more":         {Agent{Flows: 102, Limit: 2000}, Agent{Flows: 100, Limit: 2000}, fresh, false},
		"clearly more":          {Agent{Flows: 120, Limit: 2000}, Agent{Flows: 100, Limit: 2000}, fresh, true},
		"clearly more, stale":   {Agent{Flows: 120, Limit: 2000}, Agent{Flows: 100, Limit: 2000}, time.Minute, false},
		"draining":              {Agent{Draining: true, Limit: 2000}, Agent{Flows: 100, Limit: 2000}, fresh, true},
		"both draining":         {Agent{Draining: true, Limit: 2000}, Agent{Draining: true, Limit: 2000}, fresh, false},
		"full":                  {Agent{Flows: 2000, Limit: 2000}, Agent{Flows: 1999, Limit: 2000}, fresh, true},
		"both full":             {Agent{Flows: 2000, Limit: 2000}, Agent{Flows: 2000, Limit: 2000}, fresh, false},
		"second one is failing": {Agent{Flows: 500, Limit: 2000}, Agent{Failing: true, Limit: 2000}, fresh, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Pass(c.first, c.second, c.age), c.want)
		})
	}
}
