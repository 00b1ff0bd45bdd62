package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the deployment: a process of the project's program and the upstream
// beside it.
type machine struct {
	t       *test
	name    string
	zone    string
	service string
	// Addresses of the node and of the upstream beside it.
	app, inbound, outbound, ready, control string
	ports                                  [2]int
	settings                               string

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// ends describes how the processes of the machine ended.
	ends []string
}

// heartbeatMs is the interval of the heartbeats of upstreams, as the settings name it.
const heartbeatMs = 1500

// newMachine reserves the addresses of a machine on its own loopback address.
func (t *test) newMachine(zone, service string) *machine {
	n := len(t.machines) + 1
	ip := fmt.Sprintf("127.83.%d.%d", os.Getpid()%250+1, n)
	m := &machine{t: t, name: fmt.Sprintf("m%d", n), zone: zone, service: service}
	var held []net.Listener
	port := func() int {
		l, err := net.Listen("tcp", ip+":0")
		t.must(err)
		held = append(held, l)
		return l.Addr().(*net.TCPAddr).Port
	}
	address := func() string { return fmt.Sprintf("%s:%d", ip, port()) }
	m.app, m.inbound, m.outbound, m.ready, m.control = address(), address(), address(), address(), address()
	m.ports[0] = port()
	m.ports[1] = min(m.ports[0]+15, 65535)
	for _, l := range held {
		_ = l.Close()
	}
	m.settings = filepath.Join(t.dir, m.name+".json")
	m.writeSettings(ip)
	t.machines = append(t.machines, m)
	return m
}

func (m *machine) writeSettings(ip string) {
	settings := map[string]any{
		"self": map[string]any{
			"node_name": "sidecar-" + m.name, "role": "node", "machine_class": "sidecar", "serves": []string{"sidecar"},
			"ip": ip, "zone": m.zone, "region": "r1", "fault_counted": false, "bootstrap": true, "data_dir": nil,
			"limits":   map[string]any{"cpu_share": 0.64, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"app_addr": m.app, "service": m.service,
		},
		"network": map[string]any{
			"listen":         map[string]string{"inbound": m.inbound, "outbound": m.outbound, "ready": m.ready, "control": m.control},
			"internal_ports": m.ports, "seeds": []string{}, "zones": map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"},
		},
		"platform": map[string]any{
			"discovery": "local", "entry": "local", "heartbeat_interval_ms": heartbeatMs,
			"platform": map[string]any{
				"address": m.t.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 24,
				"append_ms": 1.0, "part_mb_s": 20.0, "read_mb_s": 80.0, "record_bytes": 262144, "call_bytes": 2097152,
				"keep_s": 300, "part_mb": 200, "min_ttl_ms": 1000,
			},
		},
		"terms": map[string]any{
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "pressure", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
				"grace_s": 6, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
				"retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 49, "recovery_s": 15,
			},
		},
	}
	data, err := json.MarshalIndent(settings, "", " ")
	m.t.must(err)
	m.t.must(os.WriteFile(m.settings, data, 0o600))
}

// start starts the project's program with the command of the deploy file.
func (m *machine) start() {
	words := strings.Fields(name("program"))
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = append(os.Environ(), name("boot")+"="+m.settings)
	out, err := os.OpenFile(filepath.Join(m.t.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	m.t.must(err)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with the test, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	m.t.must(cmd.Start())
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.mu.Unlock()
	m.t.record("start %s pid %d", m.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		m.mu.Lock()
		m.ends = append(m.ends, fmt.Sprint(err))
		m.mu.Unlock()
		m.t.record("end %s pid %d: %v", m.name, cmd.Process.Pid, err)
		close(ended)
	}()
}

// signal sends a signal to the process of the machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.t.record("signal %s %v", m.name, s)
		_ = m.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// running reports whether the process runs.
func (m *machine) running() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended == nil {
		return false
	}
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until the node says that it is ready.
func (m *machine) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready+name("ready-path"), http.NoBody)
		response, err := http.DefaultClient.Do(r)
		cancel()
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// beat is what an upstream says of itself in a heartbeat.
type beat struct {
	instance, service, state string
	born                     int64
	sequence, capacity       int
}

// put sends a heartbeat to the node. It returns the status, zero without a response.
func (m *machine) put(b beat) int {
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"capacity":%d},"status":{"state":%q,"sequence":%d,"warmup_left_ms":0}}`,
		m.app, b.born, b.service, m.zone, b.capacity, b.state, b.sequence)
	status := m.callControl(http.MethodPut, b.instance, body)
	m.t.record("beat %s to %s state %s sequence %d: %d", b.instance, m.name, b.state, b.sequence, status)
	return status
}

// del sends the notice that an upstream leaves.
func (m *machine) del(b beat) int {
	status := m.callControl(http.MethodDelete, b.instance, fmt.Sprintf(`{"born":%d}`, b.born))
	m.t.record("delete %s at %s: %d", b.instance, m.name, status)
	return status
}

// callControl sends a call of the upstream to the node. It returns the status, zero without a response.
func (m *machine) callControl(method, instance, body string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, method, "http://"+m.control+name("instances-path")+instance, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
