package soak

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

// process is a real process of the system under test.
type process struct {
	name string
	ip   netip.Addr
	args []string
	file string
	log  *os.File
	// beside is held while the backend server beside the process is stopped and started.
	beside sync.Mutex

	mu sync.Mutex
	// cmd is the running process, nil while there is none; expected says that the soak ended it.
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool
	paused   bool
	// planned says that the process was told to stop, and harmed when something else was last done to it or its links.
	planned bool
	harmed  time.Time
	started time.Time
	// exits counts ends that the soak did not cause.
	exits int
}

func newProcess(dir, binary, name, command string, ip netip.Addr, settings string) (*process, error) {
	file := filepath.Join(dir, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	return &process{name: name, ip: ip, args: []string{binary, command, "-config", file}, file: file, log: log, harmed: time.Now()}, nil
}

// start starts the process, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	if !p.planned {
		p.harmed = time.Now()
	}
	p.done = make(chan struct{})
	p.cmd, p.expected, p.paused, p.planned, p.started = cmd, false, false, false, time.Now()
	go p.wait(cmd, p.done)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	defer close(done)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expected {
		p.exits++
		_, _ = fmt.Fprintf(p.log, "soak: process ended by itself: %v\n", err)
	}
	p.cmd = nil
	if !p.planned {
		p.harmed = time.Now()
	}
}

// signal sends a signal; one that ends the process is remembered as the soak's doing. The channel is closed when the
// process has ended.
func (p *process) signal(sig syscall.Signal) <-chan struct{} {
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

// end ends the process and waits for its end.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	<-p.signal(syscall.SIGKILL)
}

// touch notes that something was done to the process's links.
func (p *process) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harmed = time.Now()
}

// calm reports whether the process has run undisturbed for a while.
func (p *process) calm(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.paused && now.Sub(p.harmed) > window && now.Sub(p.started) > window
}

// unharmed reports whether nothing but planned work was done to the process for a while.
func (p *process) unharmed(now time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.paused && now.Sub(p.harmed) > window
}

// edit changes the settings file without changing what it says.
func (p *process) edit() error {
	text, err := os.ReadFile(p.file)
	if err != nil {
		return errors.Wrap(err, "edit settings")
	}
	text = append(bytes.TrimRight(text, "#\n"), []byte("\n#\n")...)
	return errors.Wrap(os.WriteFile(p.file, text, 0o600), "edit settings")
}

// ready asks the process whether it takes traffic.
func (p *process) ready() bool {
	client := http.Client{Timeout: 400 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", p.ip, portReady, fakes.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
