package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
)

// Unknown names are refused, by an error that has the name.
func TestUnknownNamesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, opts := range []Options{{Shape: "odd"}, {Late: "odd", Shape: shapeRestarts}, {Only: "odd"}} {
		_, err := Run(context.Background(), opts)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), `"odd"`))
	}
}

func TestLateStartsAreOfAgents(t *testing.T) {
	is := is.New(t)
	agents, entries := make([]*local.Process, 9), make([]*local.Process, 4)
	for i := range agents {
		agents[i] = new(local.Process)
	}
	for i := range entries {
		entries[i] = new(local.Process)
	}
	for late, want := range map[string]int{"": 0, lateNone: 0, lateOne: 1, lateSome: 3, lateAll: 9} {
		d := &deployment{opts: Options{Late: late}, Deployment: &local.Deployment{Agents: agents, Entries: entries}}
		r := rand.New(rand.NewPCG(1, 0))
		downtimes := d.downtimes(r, d.Processes())
		got := 0
		for _, p := range agents {
			if downtimes[p] >= minDowntime+minLateness {
				got++
			}
		}
		is.Equal(got, want)
		for _, p := range entries {
			is.True(downtimes[p] < maxDowntime)
		}
	}
}
