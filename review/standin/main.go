// Command standin plays the cases of the review: it starts the project's program as separate
// processes on loopback addresses, with stand-ins for the store, the upstreams and the clients.
package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// cannot is the panic of a case that can't run.
type cannot struct{ error }

// test is one run of a case.
type test struct {
	// dir is a temporary folder.
	dir string
	// trouble is false if the case runs without its disruption.
	trouble  bool
	store    *store
	machines []*machine

	mu      sync.Mutex
	began   time.Time
	out     *bufio.Writer
	lastID  int
	runs    map[string][]run
	answers map[string]answer
	sends   map[string]answer
}

func (t *test) must(err error) {
	if err != nil {
		panic(cannot{err})
	}
}

// record writes a line to the record, with the seconds since the start.
func (t *test) record(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.line(format, args...)
}

// line writes a line. The caller holds the lock.
func (t *test) line(format string, args ...any) {
	_, _ = fmt.Fprintf(t.out, "%9.4f %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

func (t *test) newID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	return fmt.Sprintf("q%07x", t.lastID)
}

func (t *test) sent(a answer, machine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends[a.id] = a
	t.line("sent %s at %s to %s", a.id, machine, a.route)
}

func (t *test) answered(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[a.id] = a
	t.line("answer %s status %d %s", a.id, a.status, a.instance)
}

func (t *test) ran(r run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[r.id] = append(t.runs[r.id], r)
	t.line("run %s at %s service %s caller %s uri %s", r.id, r.instance, r.service, r.caller, r.uri)
}

// since returns the seconds since the start.
func (t *test) since(at time.Time) float64 { return at.Sub(t.began).Seconds() }

// kill ends all processes of the test.
func (t *test) kill() {
	for _, m := range t.machines {
		m.mu.Lock()
		cmd := m.cmd
		m.mu.Unlock()
		if cmd != nil && m.running() {
			_ = cmd.Process.Kill()
			m.wait()
		}
	}
}

// route is a route of the configuration.
type route struct {
	name, host, prefix, kind, service string
	timeout                           time.Duration
}

// config returns a configuration with some routes.
func config(version int, routes ...route) string {
	var resources []string
	services := map[string]bool{}
	for _, r := range routes {
		resources = append(resources, fmt.Sprintf(name("route"), r.name, r.host, r.prefix, r.kind, r.timeout.Milliseconds(), r.service))
		services[r.service] = true
	}
	for s := range services {
		resources = append(resources, fmt.Sprintf(`{"resource_kind":"services","metadata":{"name":%q},"spec":{"health_path":"/health"}}`, s))
	}
	resources = append(resources, `{"resource_kind":"limits","metadata":{"name":"limits"},"spec":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_ms":5000,"idle_timeout_ms":10000}}`)
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, version, strings.Join(resources, ","))
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(t *test) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER, in the root of the repository")
		os.Exit(exitCannot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(playCase func(t *test) bool, folder string) (code int) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	t := &test{
		dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), out: bufio.NewWriter(record),
		runs: map[string][]run{}, answers: map[string]answer{}, sends: map[string]answer{},
	}
	defer func() {
		t.kill()
		if p := recover(); p != nil {
			c, ok := p.(cannot)
			if !ok {
				panic(p)
			}
			t.record("the case can't run: %v", c.error)
			fmt.Fprintln(os.Stderr, "the case can't run:", c.error)
			code = exitCannot
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		_ = t.out.Flush()
		_ = record.Close()
	}()
	t.store, err = startStore()
	t.must(err)
	t.record("trouble: %v", t.trouble)
	if playCase(t) {
		t.record("result: broken")
		fmt.Println("broken")
		return exitBroken
	}
	t.record("result: held")
	fmt.Println("held")
	return exitHeld
}

// say writes a line to the record and to standard output.
func (t *test) say(format string, args ...any) {
	t.record(format, args...)
	fmt.Printf(format+"\n", args...)
}
