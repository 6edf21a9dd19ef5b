package load

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const scenarioHead = "name = \"a\"\ndeployment = \"ovesna\"\nservice = \"order-desk\"\n"

func TestScenarioErrorsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		"flows = 0":                                    "flows = 0",
		"load = 11.0":                                  "load = 11",
		"duration = \"0s\"":                            "duration = 0s",
		"against = [\"random\"]":                       "random",
		"opaque = true\nstreams = 3":                   "opaque = true",
		"opaque = true\nagainst = [\"hash\"]":          "opaque = true",
		"opaque = true\n[[event]]\nkind = \"drain\"\n": "opaque = true",
	} {
		is := is.New(t)
		_, err := Parse("scenario", []byte(scenarioHead+text))
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), want)) // The field and its value.
	}
}

func TestArrivalsFollowFromTheSeed(t *testing.T) {
	is := is.New(t)
	s, err := Parse("scenario", []byte(scenarioHead))
	is.NoErr(err)
	first, again := s.arrivals(10), s.arrivals(10)
	is.Equal(first, again)
	s.Seed++
	is.True(len(first) > 0 && first[0].at != s.arrivals(10)[0].at)
}

// Two slots, one of them twice as slow: the faster one is taken first, and the third request waits for it.
func TestBoundTakesTheFastestFreeSlot(t *testing.T) {
	is := is.New(t)
	const work = 10 * time.Millisecond
	got := bound([]arrival{{at: 0, work: work}, {at: 0, work: work}, {at: time.Millisecond, work: work}}, 1, []float64{1, 2})
	is.Equal(got, []time.Duration{work, 2 * work, 2*work - time.Millisecond})
}

func TestRequestsTellTheirWork(t *testing.T) {
	is := is.New(t)
	is.Equal(workOf("short-7/40ms"), 40*time.Millisecond)
}
