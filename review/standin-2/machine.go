package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are the same on all machines. Each machine has a loopback address of its own.
var (
	portIn, portApp, portReady, portOut, portControl = 18300, 18301, 18302, 18304, 18306
	portStore                                        = 18309
	portInternal, portInternalLast                   = 18320, 18335
)

// choosePorts moves all ports to a range that is free at an address.
func choosePorts(ip string) error {
	const step, tries = 100, 100
	for range tries {
		if portsFree(ip) {
			return nil
		}
		for _, p := range []*int{&portIn, &portApp, &portReady, &portOut, &portControl, &portStore, &portInternal, &portInternalLast} {
			*p += step
		}
	}
	return fmt.Errorf("no free ports at %s", ip)
}

func portsFree(ip string) bool {
	for p := portIn; p <= portInternalLast; p++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(p)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

const beatInterval = 1500 * time.Millisecond

// machine is a machine of the deployment: an upstream and the node beside it.
type machine struct {
	world   *world
	name    string
	ip      string
	zone    string
	service string
	// memoryMB is the limit above which the platform kills the process.
	memoryMB int

	up *upstream

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	peakKB  int
	kills   int
	stopped bool
}

func (m *machine) addr(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) settingsPath() string { return filepath.Join(m.world.dir, m.name+".json") }

// writeSettings writes the settings file in place of the old one.
func (m *machine) writeSettings() error {
	settings := map[string]any{
		"self": map[string]any{
			"node_name": m.name, "role": "node", "machine_class": "sidecar", "serves": []string{"sidecar"},
			"ip": m.ip, "zone": m.zone, "region": "region-1", "fault_counted": false, "bootstrap": true, "data_dir": nil,
			"limits":   map[string]any{"cpu_share": 0.64, "cores": 1, "memory_mb": m.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"app_addr": m.addr(portApp), "service": m.service,
		},
		"network": map[string]any{
			"listen":         map[string]any{"inbound": m.addr(portIn), "outbound": m.addr(portOut), "ready": m.addr(portReady), "control": m.addr(portControl)},
			"internal_ports": []int{portInternal, portInternalLast}, "seeds": []string{}, "zones": m.world.zones(),
		},
		"platform": map[string]any{
			"discovery": "local", "entry": "local", "heartbeat_interval_ms": beatInterval.Milliseconds(),
			"platform": map[string]any{
				"address": m.world.storeAddress(), "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 24, "append_ms": 1.0,
				"part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 20, "part_mb": 200, "min_ttl_ms": 1000,
			},
		},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"},
			"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
				"loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "retry_ratio": 0.2,
				"retry_window_s": 10, "retry_slack": 49, "recovery_s": 15,
			},
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	tmp := m.settingsPath() + ".new"
	if err := os.WriteFile(tmp, data, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, m.settingsPath())
}

// start starts the process of the node.
func (m *machine) start() error {
	if err := m.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.world.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/wharfplatform", "--log-format=json")
	cmd.Dir = m.world.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", m.world.names["boot"] + "=" + m.settingsPath()}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

func (m *machine) process() (*exec.Cmd, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd, m.exited
}

// signal sends a signal to the process of the node.
func (m *machine) signal(s syscall.Signal) {
	if cmd, _ := m.process(); cmd != nil {
		_ = cmd.Process.Signal(s)
	}
}

// end ends the process of the node for good.
func (m *machine) end() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	cmd, exited := m.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-exited
}

// watchMemory kills the process when it exceeds the memory of the machine, as the platform
// does, and starts it again.
func (m *machine) watchMemory(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		cmd, exited := m.process()
		kb := residentKB(cmd.Process.Pid)
		m.mu.Lock()
		m.peakKB = max(m.peakKB, kb)
		stopped := m.stopped
		m.mu.Unlock()
		if stopped || kb*1024 <= m.memoryMB*1_000_000 {
			continue
		}
		m.world.note("memory %s: %d kB resident, more than %d MB: the platform kills the process", m.name, kb, m.memoryMB)
		m.mu.Lock()
		m.kills++
		m.mu.Unlock()
		_ = cmd.Process.Kill()
		<-exited
		time.Sleep(500 * time.Millisecond)
		if err := m.start(); err != nil {
			m.world.note("restart %s: %v", m.name, err)
		}
	}
}

// residentKB returns the resident memory of a process, zero if it has ended.
func residentKB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}

// ready asks the node whether it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Get("http://" + m.addr(portReady) + m.world.names["ready"])
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// upstream is the application on a machine. It runs each request for workTime.
type upstream struct {
	machine  *machine
	id       string
	born     int64
	slots    int
	workTime time.Duration
	body     []byte
	headers  map[string]string

	running, sequence atomic.Int64
	// randomWork replaces workTime by a random time.
	randomWork bool
	// onRun is called when a request begins to run. It may be nil.
	onRun func(id, path string)

	mu     sync.Mutex
	server *http.Server
	conns  map[net.Conn]struct{}
	starts int
	// end ends the heartbeats.
	end context.CancelFunc
}

// listen starts to serve.
func (u *upstream) listen() error {
	l, err := net.Listen("tcp", u.machine.addr(portApp))
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = map[net.Conn]struct{}{}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second, ConnState: u.track}
	go func(s *http.Server) { _ = s.Serve(l) }(u.server)
	return nil
}

func (u *upstream) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch state {
	case http.StateNew:
		u.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(u.conns, c)
	}
}

// crash ends the upstream without a word: its port refuses connections, and those that are open
// are reset.
func (u *upstream) crash() {
	u.end()
	u.mu.Lock()
	server := u.server
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	u.mu.Unlock()
	_ = server.Close()
}

// restart starts the upstream again after a crash, as a new incarnation.
func (u *upstream) restart(ctx context.Context) error {
	u.starts++
	u.id = fmt.Sprintf("i-%s-%d", u.machine.name, u.starts)
	u.born = time.Now().UnixMilli()
	u.sequence.Store(0)
	if err := u.listen(); err != nil {
		return err
	}
	u.start(ctx)
	return nil
}

// start starts the heartbeats.
func (u *upstream) start(ctx context.Context) {
	ctx, u.end = context.WithCancel(ctx)
	go u.run(ctx)
}

// ServeHTTP runs a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := u.machine.world.names
	id := r.Header.Get(n["request-id"])
	if expect := r.Header.Get(n["expect"]); expect != "" && expect != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(n["not-executed"], "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if u.running.Add(1) > int64(u.slots) {
		u.running.Add(-1)
		w.Header().Set(n["request-id"], id)
		w.Header().Set(n["not-executed"], "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer u.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	if u.onRun != nil {
		u.onRun(id, r.URL.Path)
	}
	u.machine.world.ran(id, u)
	work := u.workTime
	if u.randomWork {
		work = time.Duration(50+rand.IntN(400)) * time.Millisecond
		if rand.IntN(5) == 0 {
			work = time.Duration(500+rand.IntN(2500)) * time.Millisecond
		}
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	for k, v := range u.headers {
		w.Header().Set(k, v)
	}
	w.Header().Set(n["request-id"], id)
	w.Header().Set(n["seal"], "seal-"+id)
	w.Header().Set(n["load"], fmt.Sprintf("%d,0,%d", u.running.Load(), u.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(u.body)))
	_, _ = w.Write(u.body)
}

// beat sends a heartbeat.
func (u *upstream) beat() error {
	return u.say(http.MethodPut, u.describe())
}

// describe returns the content of the next heartbeat.
func (u *upstream) describe() []byte {
	m := u.machine
	body, _ := json.Marshal(map[string]any{
		"address": m.addr(portApp), "born": u.born,
		"info":   map[string]any{"service": m.service, "version": "v1", "zone": m.zone, "capacity": u.slots},
		"status": map[string]any{"state": "ready", "sequence": u.sequence.Add(1), "warmup_left_ms": 0},
	})
	return body
}

// say sends a message about the upstream to the node beside it.
func (u *upstream) say(method string, body []byte) error {
	m := u.machine
	r, _ := http.NewRequest(method, "http://"+m.addr(portControl)+m.world.names["instances"]+u.id, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}

func (u *upstream) run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = u.beat()
		select {
		case <-ctx.Done():
		case <-time.After(beatInterval):
		}
	}
}
