package wharfprocess

import (
	"bytes"
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
	"testing"
	"time"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/internal/wharftest"
)

// ports allocates the addresses of this package's tests.
var ports = wharftest.Ports{Base: 15000}

// process is a program that runs as a child process and can be started again.
type process struct {
	t       *testing.T
	program string
	args    []string
	mu      sync.Mutex
	cmd     *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
}

func startProcess(t *testing.T, program string, args ...string) *process {
	t.Helper()
	path, err := filepath.Abs("../../../bin/" + program)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Fatalf("%v; run make build first", err)
	}
	p := &process{t: t, program: path, args: args}
	p.start()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.ended
		if t.Failed() {
			t.Logf("%s %v:\n%s", program, args, p.output.String())
		}
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	cmd := exec.Command(p.program, p.args...)
	cmd.Stdout, cmd.Stderr = &p.output, &p.output
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	go func() {
		// The exit status is ignored, because tests kill the process on
		// purpose.
		_ = cmd.Wait()
		close(ended)
	}()
}

func (p *process) signal(s syscall.Signal) {
	// The error is ignored, because the process may have ended already.
	_ = p.cmd.Process.Signal(s)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) restart() {
	p.kill()
	p.start()
}

// vm is a node and its target, as two processes.
type vm struct {
	node, target                   *process
	id                             string
	callerURL, adminURL, targetURL string
}

// cluster is a log and several VMs, all as processes.
type cluster struct {
	t      *testing.T
	logURL string
	vms    []*vm
	seeds  []string
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	address := ports.Address(t)
	c := &cluster{t: t, logURL: "http://" + address}
	startProcess(t, "wharfstandin", "log", "--listen", address)
	c.awaitListening(address)
	return c
}

func (c *cluster) awaitListening(address string) {
	c.t.Helper()
	wharftest.Eventually(c.t, address+" listens", func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

func (c *cluster) startVM(domain, service string, targetArgs ...string) *vm {
	c.t.Helper()
	caller, node, admin, targetAddress := ports.Address(c.t), ports.Address(c.t), ports.Address(c.t), ports.Address(c.t)
	args := []string{
		"--caller-listen", caller, "--node-listen", node, "--admin-listen", admin,
		"--failure-domain", domain, "--log-url", c.logURL, "--stop-timeout", "20s",
	}
	if len(c.seeds) > 0 {
		args = append(args, "--seeds", strings.Join(c.seeds, ","))
	}
	v := &vm{id: domain + "/" + node, callerURL: "http://" + caller, adminURL: "http://" + admin, targetURL: "http://" + targetAddress}
	v.node = startProcess(c.t, "wharfnode", args...)
	c.awaitListening(admin)
	v.target = startProcess(c.t, "wharfstandin", append([]string{
		"target", "--listen", targetAddress, "--service", service, "--node-admin", v.adminURL, "--node-caller", v.callerURL,
	}, targetArgs...)...)
	c.seeds = append(c.seeds, node)
	c.vms = append(c.vms, v)
	return v
}

// awaitConvergence waits until each node knows all members and owns the keys of
// its target, and all nodes have applied the same log offset.
func (c *cluster) awaitConvergence() {
	c.t.Helper()
	for _, v := range c.vms {
		wharftest.Eventually(c.t, "node "+v.id+" knows all members and owns keys", func() bool {
			var s struct {
				Members int      `json:"members"`
				Owned   []string `json:"owned-services"`
			}
			return getJSON(v.adminURL+"/wharf/v1/status", &s) && s.Members >= len(c.vms) && len(s.Owned) > 0
		})
	}
	// Equal offsets mean that every node has applied the last ownership record.
	wharftest.Eventually(c.t, "all nodes have the same offset", func() bool {
		offsets := map[uint64]bool{}
		for _, v := range c.vms {
			var s struct {
				Offset uint64 `json:"offset"`
			}
			if !getJSON(v.adminURL+"/wharf/v1/status", &s) {
				return false
			}
			offsets[s.Offset] = true
		}
		return len(offsets) == 1
	})
}

func getJSON(url string, into any) bool {
	client := http.Client{Timeout: 2 * time.Second}
	r, err := client.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK && json.NewDecoder(r.Body).Decode(into) == nil
}

// setLogFaults sets the injected faults of the log, as JSON.
func (c *cluster) setLogFaults(faults string) {
	c.t.Helper()
	r, err := http.NewRequest(http.MethodPut, c.logURL+"/faults", strings.NewReader(faults))
	if err != nil {
		c.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// stats are the counters of a target.
type stats struct {
	Running int            `json:"running"`
	Effects map[string]int `json:"effects"`
}

func (v *vm) stats() stats {
	var s stats
	getJSON(v.targetURL+"/standin/stats", &s)
	return s
}

// keyOwnedBy returns a key of the service "bookings" that the node of the VM
// owns.
func (c *cluster) keyOwnedBy(owner *vm) string {
	c.t.Helper()
	var table *wharfidempotency.OwnershipTable
	for i, v := range c.vms {
		table = table.WithRecords([]wharfidempotency.LoggedRecord{{
			Offset: uint64(i + 1),
			Record: wharfidempotency.OwnershipRecord{Kind: wharfidempotency.Announce, Node: v.id, Incarnation: 1, Services: []string{"bookings"}},
		}})
	}
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		if o, ok := table.Owner("bookings", key); ok && o.Node == owner.id {
			return key
		}
	}
}

// reply is the outcome of a caller's request. It is zero if the caller received
// no response.
type reply struct {
	status  int
	outcome string
	reason  string
}

// headerTag is the header by which the stand-in target identifies a request
// without a key when it counts effects.
const headerTag = "X-Tag"

// book sends a booking with a key.
func (v *vm) book(key string, timeout time.Duration) reply {
	return v.post(wharfwire.HeaderIdempotencyKey, key, timeout)
}

// bookWithoutKey sends a booking without a key. Only the target can identify
// it, by its tag.
func (v *vm) bookWithoutKey(tag string, timeout time.Duration) reply {
	return v.post(headerTag, tag, timeout)
}

func (v *vm) post(header, value string, timeout time.Duration) reply {
	r, err := http.NewRequest(http.MethodPost, v.callerURL+"/bookings", strings.NewReader("slot 7"))
	if err != nil {
		return reply{}
	}
	r.Header.Set(wharfwire.HeaderService, "bookings")
	r.Header.Set(header, value)
	r.Header.Set(wharfwire.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout + 5*time.Second}
	response, err := client.Do(r)
	if err != nil {
		return reply{}
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return reply{response.StatusCode, response.Header.Get(wharfwire.HeaderOutcome), response.Header.Get(wharfwire.HeaderReason)}
}
