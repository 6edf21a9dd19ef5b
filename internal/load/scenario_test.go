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
		is.True(strings.Contains(err.Error(), want)) // The error names the field and its value.
	}
}

func TestArrivalsDependOnTheSeed(t *testing.T) {
	is := is.New(t)
	s, err := Parse("scenario", []byte(scenarioHead))
	is.NoErr(err)
	first, again := s.generateArrivals(10), s.generateArrivals(10)
	is.Equal(first, again)
	s.Seed++
	is.True(len(first) > 0 && first[0].at != s.generateArrivals(10)[0].at)
}

// With two slots, one of them twice as slow, the faster one is taken first. The third request waits until it is free
// again.
func TestPooledQueueTakesTheFastestFreeSlot(t *testing.T) {
	is := is.New(t)
	const serviceTime = 10 * time.Millisecond
	got := pooledQueueLatencies([]arrival{
		{at: 0, serviceTime: serviceTime}, {at: 0, serviceTime: serviceTime}, {at: time.Millisecond, serviceTime: serviceTime},
	}, 1, []float64{1, 2})
	is.Equal(got, []time.Duration{serviceTime, 2 * serviceTime, 2*serviceTime - time.Millisecond})
}

func TestServiceTimeOf(t *testing.T) {
	is := is.New(t)
	is.Equal(serviceTimeOf("short-7/40ms"), 40*time.Millisecond)
}
