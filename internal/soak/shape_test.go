package soak

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bergamotrun/bergamotrun/internal/local"
)

// Unknown names are refused, by an error that has the name.
func TestUnknownNamesAreRefused(t *testing.T) {
	is := is.New(t)
	for _, opts := range []Options{{Shape: "odd"}, {Late: "odd", Shape: shapeRestarts}, {Only: "odd"}, {Final: "odd"}} {
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

// Guards against users that are silent for longer than the idle timeout, whose flows the system may discard.
func TestAimedUsersAreSilentUntilAfterTheKill(t *testing.T) {
	is := is.New(t)
	d := &deployment{startedAt: time.Now()}
	killedAt := d.killedAt()
	for seed := range uint64(1000) {
		u := &virtualUser{rand: rand.New(rand.NewPCG(seed, 0)), maxPause: longestPause}
		u.times = d.aimedTimes(u.rand)
		last := u.times[len(u.times)-1].Sub(killedAt)
		is.True(!u.times[0].After(killedAt) && u.times[0].Add(aimedLead).After(killedAt))
		is.True(last >= minAimedAt && last < maxAimedAt)
		now := d.startedAt
		for len(u.times) > 0 {
			at, aimed := u.times[0], len(u.times)
			pause := u.nextPause(now)
			now = now.Add(pause)
			is.True(pause <= longestPause && !now.After(at))
			is.Equal(len(u.times) < aimed, now.Equal(at))
		}
		is.Equal(now.Sub(killedAt), last)
	}
}

// After a loss of power servers run again, with new IDs or with those that they had, and hold nothing.
func TestServersStartAgainAfterLossOfPower(t *testing.T) {
	is := is.New(t)
	d := newTestDeployment(t, 9)
	for _, p := range d.Agents {
		is.NoErr(d.StartServer(p))
	}
	p := d.Agents[0]
	for _, sameIDs := range []bool{false, true} {
		before := d.Server(p)
		d.opts.SameIDs = sameIDs
		d.losePower(context.Background(), rand.New(rand.NewPCG(1, 0)))
		is.True(d.Server(p) != before)
		is.Equal(d.Server(p).ID() == before.ID(), sameIDs)
	}
}
