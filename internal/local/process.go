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

// The ports of all processes; each has an IP of its own.
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

// Process is a process of the program. It is safe for concurrent use.
type Process struct {
	// Name and IP tell the process apart from others.
	Name string
	IP   netip.Addr
	// ServerMu is held while the backend server beside the process is stopped and started.
	ServerMu sync.Mutex

	args []string
	file string
	log  *os.File

	mu sync.Mutex
	// cmd is the running process, nil while there is none; expected says that it was told to end.
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool
	paused   bool
	// planned says that the process was told to stop, and harmed when something else was last done to it or its links.
	planned bool
	harmed  time.Time
	started time.Time
	// exits counts ends that nobody asked for.
	exits int
}

func newProcess(dir, binary, name, command string, ip netip.Addr, settings string) (*Process, error) {
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return &Process{Name: name, IP: ip, args: []string{binary, command, "-config", file}, file: file, log: log, harmed: time.Now()}, nil
}

// Start starts the process, unless it runs.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.Name)
	}
	if !p.planned {
		p.harmed = time.Now()
	}
	p.done = make(chan struct{})
	p.cmd, p.expected, p.paused, p.planned, p.started = cmd, false, false, false, time.Now()
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	defer close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expected {
		p.exits++
		_, _ = fmt.Fprintf(p.log, "local: process ended by itself: %v\n", err)
	}
	p.cmd = nil
	if !p.planned {
		p.harmed = time.Now()
	}
}

// Signal sends a signal; one that ends the process is remembered as asked for. The channel is closed when the
// process has ended.
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
		p.expected, p.planned = true, false
	case syscall.SIGTERM:
		p.expected, p.planned = true, true
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
	if sig != syscall.SIGHUP && sig != syscall.SIGTERM {
		p.harmed = time.Now()
	}
	_ = p.cmd.Process.Signal(sig) // It may have ended meanwhile.
	return p.done
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGCONT)
	<-p.Signal(syscall.SIGKILL)
}

// MarkDisturbed notes that something was done to the process's links.
func (p *Process) MarkDisturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harmed = time.Now()
}

// Stable reports whether the process has run undisturbed for a while.
func (p *Process) Stable(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.paused && now.Sub(p.harmed) > window && now.Sub(p.started) > window
}

// Undisturbed reports whether nothing but planned work was done to the process for a while.
func (p *Process) Undisturbed(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && now.Sub(p.harmed) > window
}

// RewriteSettings changes the settings file without changing what it says.
func (p *Process) RewriteSettings() error {
	text, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, "edit settings")
	}
	text = append(bytes.TrimRight(text, "#\n"), []byte("\n#\n")...)
	return errors.Wrap(os.WriteFile(p.file, text, 0o600), "edit settings")
}

// Ready asks the process whether it takes traffic.
func (p *Process) Ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.IP, portReady, fakes.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Metrics returns where the process serves its metrics.
func (p *Process) Metrics() netip.AddrPort { return netip.AddrPortFrom(p.IP, portMetrics) }

// UnexpectedExits returns how often the process ended though nobody asked for it.
func (p *Process) UnexpectedExits() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exits
}
