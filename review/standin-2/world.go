package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// world is a small deployment: the store, the machines, and the record of what was sent,
// answered and run.
type world struct {
	names map[string]string
	// root is the root of the repository, and dir a temporary folder.
	root, dir string
	started   time.Time
	store     *store
	// network is the first part of all addresses, and storeHost the last part of that of the
	// store, which the settings files name.
	network   string
	storeHost int
	machines  []*machine
	trouble   bool

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   map[string][]*machine
	lastID int
}

// newWorld opens the record in the folder of a case.
func newWorld(folder string) (*world, error) {
	data, err := os.ReadFile("review/standin-2/names.json")
	if err != nil {
		return nil, err
	}
	w := &world{started: time.Now(), runs: map[string][]*machine{}, trouble: os.Getenv("TROUBLE") != "0"}
	if err := json.Unmarshal(data, &w.names); err != nil {
		return nil, err
	}
	if w.root, err = os.Getwd(); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if w.file, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	w.record = bufio.NewWriter(w.file)
	return w, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// ran records that an upstream began to run a request.
func (w *world) ran(id string, u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], u.machine)
	_, _ = fmt.Fprintf(w.record, "%8.3f run %s at %s\n", time.Since(w.started).Seconds(), id, u.machine.name)
}

// runsOf returns how often upstreams began to run a request.
func (w *world) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs[id])
}

// ranAt reports whether the upstream of a machine began to run a request.
func (w *world) ranAt(id string, m *machine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.runs[id], m)
}

// newID returns the id of a new request.
func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	return fmt.Sprintf("%08x%08x", w.started.Unix()&0xffffffff, w.lastID)
}

// zones returns the zones of the machines with their region.
func (w *world) zones() map[string]string {
	out := map[string]string{}
	for _, m := range w.machines {
		out[m.zone] = "region-1"
	}
	return out
}

// storeAddress returns the address of the store.
func (w *world) storeAddress() string {
	return net.JoinHostPort(fmt.Sprintf("%s.%d", w.network, w.storeHost), strconv.Itoa(portStore))
}

// startStore starts the store. All addresses of the world begin with network.
func (w *world) startStore(network string) error {
	const keep = 20 * time.Second
	w.network, w.storeHost = network, 250
	if err := choosePorts(network + ".1"); err != nil {
		return err
	}
	w.store = newStore(w.names, keep)
	return w.store.listen(w.storeAddress())
}

// add adds a machine with an upstream.
func (w *world) add(zone, service string, memoryMB, slots int, work time.Duration) *machine {
	n := len(w.machines) + 1
	name := fmt.Sprintf("m%d", n)
	m := &machine{world: w, name: name, ip: fmt.Sprintf("%s.%d", w.network, n), zone: zone, service: service, memoryMB: memoryMB}
	m.up = &upstream{
		machine: m, id: "i-" + name, born: time.Now().UnixMilli(), slots: slots, workTime: work,
		body: []byte(strings.Repeat("x", 400)),
	}
	w.machines = append(w.machines, m)
	return m
}

// startAll starts the upstreams and the nodes, and waits until all nodes are ready.
func (w *world) startAll(ctx context.Context) error {
	for _, m := range w.machines {
		if err := m.up.listen(); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		m.up.start(ctx)
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(w.machines) {
			return nil
		}
	}
	return fmt.Errorf("nodes aren't ready within 8 s")
}

// close ends all processes and closes the record.
func (w *world) close() {
	for _, m := range w.machines {
		m.end()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// exit codes of a case.
const (
	held, broken, notRun = 0, 1, 2
)
