package local

import (
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

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

// A process that another fault pauses while it stops has its whole grace period, but no more. Guards against false reports of
// processes that don't stop within it.
func TestPausedTimeIsNotPartOfGracePeriod(t *testing.T) {
	is := is.New(t)
	const limit = 300 * time.Millisecond
	dir := t.TempDir()
	script := filepath.Join(dir, "script")
	is.NoErr(os.WriteFile(script, []byte("#!/bin/sh\ntrap 'test -e \"$0.stop\" && exit 0' TERM\n: >\"$0.ready\"\nwhile :; do sleep 0.02; done\n"), 0o700))
	p, err := newProcess(dir, script, "relay-0", "relay", netip.MustParseAddr("127.0.0.1"), "")
	is.NoErr(err)
	is.NoErr(p.Start())
	defer p.Kill()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) { // Until the script handles SIGTERM.
		if _, err := os.Stat(script + ".ready"); err == nil {
			break
		}
		is.True(time.Now().Before(deadline))
	}
	is.True(!p.AwaitExit(p.Signal(syscall.SIGTERM), limit))
	is.NoErr(os.WriteFile(script+".stop", nil, 0o600))
	p.Signal(syscall.SIGSTOP)
	exited := p.Signal(syscall.SIGTERM)
	time.AfterFunc(3*limit, func() { p.Signal(syscall.SIGCONT) })
	is.True(p.AwaitExit(exited, limit))
}
