//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bergamotrun/bergamotrun/platform/fakes"
)

func init() { cases["clock-step"] = clockStep }

// coldTime is how long a server is slow after its start, and says so in its heartbeats.
const coldTime = 2 * time.Second

// heartbeatRelay passes the calls of a server on to its agent.
type heartbeatRelay struct {
	agent netip.AddrPort
	// coldUntil is until when the server is slow; the relay puts the remaining time into the heartbeats.
	coldUntil time.Time

	mu sync.Mutex
	// path is the path of the server's latest call.
	path string
}

// startHeartbeatRelay starts a relay at listen for a server beside the agent at agent.
func startHeartbeatRelay(ctx context.Context, listen, agent netip.AddrPort, coldUntil time.Time) (*heartbeatRelay, error) {
	h := &heartbeatRelay{agent: agent, coldUntil: coldUntil}
	ln, err := net.Listen("tcp4", listen.String())
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(ln) }()
	go func() { <-ctx.Done(); _ = server.Close() }()
	return h, nil
}

// ServeHTTP passes a call on. In heartbeats it replaces the remaining cold time, which the project's stand-in leaves at 0.
func (h *heartbeatRelay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.path = r.URL.Path
	h.mu.Unlock()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var fields map[string]any
	if json.Unmarshal(body, &fields) == nil {
		for name := range fields {
			if strings.HasPrefix(name, "cold") {
				fields[name] = max(0, time.Until(h.coldUntil).Milliseconds())
			}
		}
		if fields != nil {
			if body, err = json.Marshal(fields); err != nil {
				return
			}
		}
	}
	status, err := h.call(r.Context(), r.Method, r.URL.Path, body)
	if err != nil {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// call sends the agent a call and returns the status of the response.
func (h *heartbeatRelay) call(ctx context.Context, method, path string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.agent.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// sendNotice sends the server's shutdown notice, to the path of its heartbeats.
func (h *heartbeatRelay) sendNotice(ctx context.Context) (int, error) {
	h.mu.Lock()
	path := h.path
	h.mu.Unlock()
	return h.call(ctx, http.MethodDelete, path, nil)
}

// clockStep starts a server, planned work, while the clock of its machine is ahead; the clock jumps back, and the process of the project
// on the machine is killed while the server is still cold. Flows that were opened before are used again some seconds later.
func clockStep(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var broken int
	var lastDisturbed time.Time
	d.onReset = func(by netip.Addr, client, service netip.AddrPort, open bool) {
		holder, sender := d.holder(client, service), d.machineAt(by)
		if !open || holder == nil || sender == nil {
			d.record.printf("reset of %s by %v; open at the client: %v, held by a server: %v", client, by, open, holder != nil)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if calm := time.Since(lastDisturbed); lastDisturbed.IsZero() || calm >= stableWindow {
			broken++
			d.record.printf("RULE BROKEN: %s resets the open flow %s, which the server of %s holds; the last disruption was %.1f s ago", sender.name, client, holder.name, calm.Seconds())
		} else {
			d.record.printf("not counted: %s resets the open flow %s, which the server of %s holds; the last disruption was %.1f s ago", sender.name, client, holder.name, calm.Seconds())
		}
	}
	if err := d.startAll("desk", "desk", "desk", "desk", "intake", "intake", "intake"); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	m, err := d.addMachine("deliver", "zone-a", "desk", []netip.Addr{d.ip(1, 1), d.ip(1, 2), d.ip(1, 3)})
	if err != nil {
		return 0, err
	}
	if err := d.startProcess(m); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	var ahead time.Duration
	if trouble {
		ahead = 1300 * time.Millisecond
		d.record.printf("the clock of %s is ahead by %s", m.name, ahead)
	}
	start := time.Now()
	at := func(s float64) { time.Sleep(time.Until(start.Add(time.Duration(s * float64(time.Second))))) }
	heartbeats := netip.AddrPortFrom(d.ip(4, 1), portAnnounce)
	if _, err := startHeartbeatRelay(d.ctx, heartbeats, netip.AddrPortFrom(m.ip, portAnnounce), start.Add(coldTime)); err != nil {
		return 0, err
	}
	s, err := fakes.StartServer(fakes.ServerOptions{
		ID: "i-added", Service: m.service, Domain: m.zone, Address: netip.AddrPortFrom(m.ip, portServer),
		Outbound: netip.AddrPortFrom(m.ip, portOutbound), Heartbeats: heartbeats, Slots: 4,
		ServiceTime: func(string) time.Duration { return 20 * time.Millisecond }, HeartbeatInterval: heartbeatInterval,
		ClockOffset: ahead, Watcher: d,
	})
	if err != nil {
		return 0, err
	}
	d.mu.Lock()
	d.servers[m] = s
	d.mu.Unlock()
	d.record.printf("%s: server i-added started, planned work", m.name)
	at(0.1)
	c, err := d.newClient()
	if err != nil {
		return 0, err
	}
	var flows []*fakes.Flow
	var flowsMu sync.Mutex
	var wg sync.WaitGroup
	for i := range 80 {
		at(0.1 + 0.007*float64(i))
		wg.Go(func() {
			f, err := c.Open(d.ctx, boardAddress)
			if err != nil {
				d.record.printf("client: flow did not open: %v", err)
				return
			}
			local, service := f.Endpoints()
			ctx, cancel := context.WithTimeout(d.ctx, 2500*time.Millisecond)
			defer cancel()
			answer, err := f.Do(ctx, fmt.Sprintf("first-%d", i))
			if err != nil {
				d.record.printf("client: first-%d failed: %v", i, err)
				return
			}
			d.record.printf("client: flow %s is open, answer %s", local, answer)
			if d.holder(local, service) == m {
				flowsMu.Lock()
				flows = append(flows, f)
				flowsMu.Unlock()
			}
		})
	}
	wg.Wait()
	if trouble {
		mu.Lock()
		lastDisturbed = time.Now()
		mu.Unlock()
		d.record.printf("the clock of %s jumps back to the true time", m.name)
		at(0.85)
		d.signal(m, syscall.SIGKILL)
		<-m.exited
		time.Sleep(restartDelay)
		if err := d.startProcess(m); err != nil {
			return 0, err
		}
		mu.Lock()
		lastDisturbed = time.Now()
		mu.Unlock()
	}
	at(7)
	failed := 0
	for i, f := range flows {
		local, _ := f.Endpoints()
		ctx, cancel := context.WithTimeout(d.ctx, 2500*time.Millisecond)
		d.record.printf("client sends second-%d on %s", i, local)
		answer, err := f.Do(ctx, fmt.Sprintf("second-%d", i))
		cancel()
		if err != nil {
			failed++
			d.record.printf("client: second-%d failed: %v", i, err)
			continue
		}
		d.record.printf("client: answer %s", answer)
	}
	mu.Lock()
	defer mu.Unlock()
	fmt.Printf("flows %d, failed %d, resets that count %d\n", len(flows), failed, broken)
	d.record.printf("flows %d, failed %d, resets that count %d", len(flows), failed, broken)
	if len(flows) < 3 {
		return exitCannot, nil
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
