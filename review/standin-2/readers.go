package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playReaders lets half of the machines lose power for good: those that read the configuration
// from the store. The configuration changes half a second later.
func playReaders(w *world) (int, error) {
	const (
		perZone  = 4
		settle   = 6 * time.Second
		sendTime = 10 * time.Second
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := w.startStore("127.37.0"); err != nil {
		return notRun, err
	}
	services := []string{"svc-a"}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	added := route{name: "r-added", host: "added.example", prefix: "/added/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	w.setConfig(w.configuration(1, []route{first}, services))
	for range perZone {
		for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
			w.add(zone, "svc-a", 284, 100, 50*time.Millisecond)
		}
	}
	if err := w.startAll(ctx); err != nil {
		return notRun, err
	}
	time.Sleep(settle)
	// A few changes show which nodes read the store: their logs name it as the source, unless
	// another node was faster.
	version := 1
	for range 6 {
		version++
		w.setConfig(w.configuration(version, []route{first}, services))
		time.Sleep(time.Second)
	}
	readers, err := w.readers()
	if err != nil {
		return notRun, err
	}
	var names []string
	for _, m := range readers {
		names = append(names, m.name)
	}
	w.say("machines that read the store: %s", strings.Join(names, ", "))
	if len(readers) == 0 || len(readers) > len(w.machines)/2 {
		return notRun, fmt.Errorf("%d of %d machines read the store", len(readers), len(w.machines))
	}
	time.Sleep(contactTime)
	lost := map[*machine]bool{}
	if w.trouble {
		for _, m := range readers {
			lost[m] = true
			m.signal(syscall.SIGKILL)
			m.up.crash()
		}
		w.say("these machines are lost")
	}
	time.Sleep(500 * time.Millisecond)
	w.setConfig(w.configuration(version+1, []route{first, added}, services))
	acked := time.Now()
	w.say("the configuration with the added route is acknowledged")

	var (
		mu                sync.Mutex
		group             sync.WaitGroup
		late, old, served int
		last              time.Duration
	)
	callers, stop := context.WithTimeout(ctx, sendTime)
	defer stop()
	for _, m := range w.machines {
		if lost[m] {
			continue
		}
		for range 2 {
			c := &caller{machine: m, method: http.MethodGet, host: added.host, deadline: 3 * time.Second, pause: 50 * time.Millisecond}
			c.nextPath = func(id string) string { return added.prefix + id }
			group.Add(1)
			go c.run(callers, &group, func(_ *caller, a answer) {
				after := a.sent.Sub(acked)
				mu.Lock()
				defer mu.Unlock()
				if after > configTime {
					late++
				}
				switch {
				case a.status == http.StatusOK:
					served++
				case a.status == http.StatusNotFound && after > configTime:
					old++
					last = max(last, after)
				}
			})
		}
	}
	group.Wait()
	w.say("%d requests sent later than %v after the acknowledgement by clients of machines in touch; %d got 404, the last of them sent after %.3f s; %d served in all", late, configTime, old, last.Seconds(), served)
	if served == 0 {
		return notRun, fmt.Errorf("no request was served")
	}
	if old > 0 {
		w.say("CONFIG broken")
		return broken, nil
	}
	return held, nil
}

// readers returns the machines whose nodes got a configuration after the first from the store.
func (w *world) readers() ([]*machine, error) {
	var out []*machine
	for _, m := range w.machines {
		data, err := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"name":"config-advanced"`) && strings.Contains(line, `"source":"log"`) &&
				!strings.Contains(line, `"routes-version":1,`) {
				out = append(out, m)
				break
			}
		}
	}
	return out, nil
}
