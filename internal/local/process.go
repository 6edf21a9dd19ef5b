package local

import (
	"bytes"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

// The ports are the same for all processes, as each has its own IP address. They are named after the settings.
const (
	portControl  = 7001
	portHops     = 7002
	portClients  = 7003
	portReady    = 7004
	portMetrics  = 7005
	portAnnounce = 7006
	portOutbound = 7007
	portServer   = 7008
	portStore    = 7009
)

// exitCheckInterval is the time between two checks of a process's running time while its exit is awaited.
const exitCheckInterval = 20 * time.Millisecond

// Process runs a subcommand of the executable as a child process, which can be restarted. It is safe for concurrent use.
type Process struct {
	// Name and IP are unique within a deployment.
	Name string
	IP   netip.Addr
	// ServerMu is held while the backend server next to the process is being replaced.
	ServerMu sync.Mutex

	args         []string
	settingsFile string
	logFile      *os.File

	mu sync.Mutex
	// cmd is the running process or nil, and done is closed when it has exited. exitExpected is set once the process has
	// been sent SIGKILL or SIGTERM.
	cmd          *exec.Cmd
	done         chan struct{}
	exitExpected bool
	paused       bool
	// stopPlanned is set once the process has been sent SIGTERM. lastDisturbed is the time of the last fault injected into
	// the process or its links; planned stops, the following starts and SIGHUP don't count.
	stopPlanned   bool
	lastDisturbed time.Time
	startedAt     time.Time
	// runningTime is how long the process was running until it was last paused or resumed, resumedAt when it was resumed; zero while
	// it is paused.
	runningTime time.Duration
	resumedAt   time.Time
	// unexpectedExits counts exits without a preceding SIGKILL or SIGTERM.
	unexpectedExits int
}

func newProcess(dir, binary, name, command string, ip netip.Addr, settings string) (*Process, error) {
	settingsFile := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(settingsFile, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	logFile, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return &Process{Name: name, IP: ip, args: []string{binary, command, "-config", settingsFile}, settingsFile: settingsFile, logFile: logFile, lastDisturbed: time.Now()}, nil
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.logFile, p.logFile
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	if !p.stopPlanned {
		p.lastDisturbed = time.Now()
	}
	p.done = make(chan struct{})
	p.cmd, p.exitExpected, p.paused, p.stopPlanned, p.startedAt = cmd, false, false, false, time.Now()
	p.runningTime, p.resumedAt = 0, p.startedAt
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	defer close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.exitExpected {
		p.unexpectedExits++
		_, _ = fmt.Fprintf(p.logFile, "local: process exited unexpectedly: %v\n", err)
	}
	p.cmd = nil
	if !p.stopPlanned {
		p.lastDisturbed = time.Now()
	}
}

// Signal sends a signal to the process. After SIGKILL or SIGTERM its exit counts as expected. The returned channel is
// closed when the process has exited.
func (p *Process) Signal(sig syscall.Signal) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	switch sig {
	case syscall.SIGKILL:
		p.exitExpected, p.stopPlanned = true, false
	case syscall.SIGTERM:
		p.exitExpected, p.stopPlanned = true, true
	case syscall.SIGSTOP:
		p.runningTime, p.resumedAt, p.paused = p.runningTimeLocked(), time.Time{}, true
	case syscall.SIGCONT:
		p.runningTime, p.resumedAt, p.paused = p.runningTimeLocked(), time.Now(), false
	}
	if sig != syscall.SIGHUP && sig != syscall.SIGTERM {
		p.lastDisturbed = time.Now()
	}
	_ = p.cmd.Process.Signal(sig) // The process may have exited meanwhile.
	return p.done
}

// AwaitExit waits until exited, a channel that Signal returned, is closed, for at most limit of the process's running time: time in
// which the process is paused doesn't count. It reports whether the process exited.
func (p *Process) AwaitExit(exited <-chan struct{}, limit time.Duration) bool {
	p.mu.Lock()
	start := p.runningTimeLocked()
	p.mu.Unlock()
	for {
		select {
		case <-exited:
			return true
		case <-time.After(exitCheckInterval):
		}
		p.mu.Lock()
		running := p.runningTimeLocked() - start
		p.mu.Unlock()
		if running > limit {
			return false
		}
	}
}

// runningTimeLocked returns how long the process has been running since its start without being paused. The caller holds mu.
func (p *Process) runningTimeLocked() time.Duration {
	if p.resumedAt.IsZero() {
		return p.runningTime
	}
	return p.runningTime + time.Since(p.resumedAt)
}

// Kill kills the process, also when it is paused, and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	<-p.Signal(syscall.SIGKILL)
}

// MarkDisturbed records that a fault was injected into something that the process depends on, such as its links.
func (p *Process) MarkDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastDisturbed = time.Now()
}

// Stable reports whether the process is running and has neither been started nor disturbed within the window before now.
func (p *Process) Stable(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.paused && now.Sub(p.lastDisturbed) > window && now.Sub(p.startedAt) > window
}

// Undisturbed reports whether the process is not paused and has not been disturbed within the window before now. Unlike
// Stable, it allows for planned restarts.
func (p *Process) Undisturbed(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && now.Sub(p.lastDisturbed) > window
}

// Running reports whether the process has been running since a time and hasn't been sent SIGTERM.
func (p *Process) Running(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.paused && !p.exitExpected && p.startedAt.Before(since)
}

// RewriteSettings replaces the settings file by one with an empty comment at its end, which changes no setting. A process that
// reads the file meanwhile gets the whole of either.
func (p *Process) RewriteSettings() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := os.ReadFile(p.settingsFile)
	if err != nil {
		return errors.Wrap(err, "edit settings")
	}
	text = append(bytes.TrimRight(text, "#\n"), []byte("\n#\n")...)
	replacement := p.settingsFile + ".new"
	if err := os.WriteFile(replacement, text, 0o600); err != nil {
		return errors.Wrap(err, "edit settings")
	}
	return errors.Wrap(os.Rename(replacement, p.settingsFile), "edit settings")
}

// Ready reports whether the readiness check of the process succeeds.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.IP, portReady, fakes.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Metrics returns the address at which the process serves its metrics.
func (p *Process) Metrics() netip.AddrPort { return netip.AddrPortFrom(p.IP, portMetrics) }

// UnexpectedExits returns how often the process exited without a preceding SIGKILL or SIGTERM.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}
