package local

import (
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Whoever reads the settings file while it is rewritten gets all settings. Guards against processes that end when they start while
// their settings change.
func TestRewrittenSettingsAreWhole(t *testing.T) {
	is := is.New(t)
	const settings = "domain = \"domain-0\"\n"
	p, err := newProcess(t.TempDir(), "/bin/false", "relay-0", "relay", netip.MustParseAddr("127.0.0.1"), settings)
	is.NoErr(err)
	var writers sync.WaitGroup
	for range 2 {
		writers.Go(func() {
			for range 200 {
				if err := p.RewriteSettings(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { writers.Wait(); close(done) }()
	t.Cleanup(writers.Wait)
	for {
		text, err := os.ReadFile(p.settingsFile)
		is.NoErr(err)
		is.True(strings.HasPrefix(string(text), settings))
		select {
		case <-done:
			return
		default:
		}
	}
}
