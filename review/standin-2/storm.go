package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playStorm lets the configuration grow by many routes and then change in storms, while clients
// upload. The platform kills a process that exceeds the memory of its machine.
func playStorm(w *world) (int, error) {
	const (
		memoryMB   = 184
		routes     = 1200
		stormGap   = 200 * time.Millisecond
		stormTime  = 4 * time.Second
		stormPause = 250 * time.Millisecond
		playTime   = 105 * time.Second
		uploads    = 300
		bodyBytes  = 60_000
		workTime   = 900 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := w.startStore("127.31.0"); err != nil {
		return notRun, err
	}
	services := []string{"svc-a"}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "upload", timeoutMs: 4000, service: "svc-a"}
	w.setConfig(w.configuration(1, []route{first}, services))
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		w.add(zone, "svc-a", memoryMB, 405, workTime)
	}
	if err := w.startAll(ctx); err != nil {
		return notRun, err
	}
	for _, m := range w.machines {
		go m.watchMemory(ctx)
	}
	var (
		group             sync.WaitGroup
		mu                sync.Mutex
		sent, served, cut int
	)
	callers, stop := context.WithCancel(ctx)
	defer stop()
	body := strings.Repeat("u", bodyBytes)
	for _, m := range w.machines {
		for range uploads {
			c := &caller{machine: m, method: http.MethodPost, host: first.host, path: "/first/upload", deadline: 4 * time.Second, pause: 50 * time.Millisecond, body: body}
			group.Add(1)
			go c.run(callers, &group, func(_ *caller, a answer) {
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.status == http.StatusOK {
					served++
				}
				if a.err != nil && a.kept && w.runsOf(a.id) > 0 {
					cut++
				}
			})
		}
	}
	many := manyRoutes(first, routes)
	w.say("each configuration has %d bytes", len(w.configuration(2, many, services)))
	changes, stormBegan := 0, time.Now()
	for time.Since(w.started) < playTime {
		if w.trouble || changes == 0 {
			changes++
			many[1].timeoutMs = 1000 + changes
			w.setConfig(w.configuration(1+changes, many, services))
		}
		time.Sleep(stormGap)
		if time.Since(stormBegan) < stormTime {
			continue
		}
		time.Sleep(stormPause)
		stormBegan = time.Now()
		w.say("%d changes, resident: %s", changes, w.resident())
		mu.Lock()
		done := cut > 50
		mu.Unlock()
		if done {
			break
		}
	}
	stop()
	group.Wait()
	for _, m := range w.machines {
		w.say("%s: peak %d kB resident, killed %d times", m.name, m.peakKB, m.kills)
	}
	w.say("%d requests sent, %d served; %d passed on from a kept connection and cut without an answer", sent, served, cut)
	if served == 0 {
		return notRun, fmt.Errorf("no request was served")
	}
	if cut > 3 {
		w.say("LOST broken")
		return broken, nil
	}
	return held, nil
}

// resident returns the resident memory of all nodes.
func (w *world) resident() string {
	var out []string
	for _, m := range w.machines {
		cmd, _ := m.process()
		out = append(out, fmt.Sprintf("%s %d kB", m.name, residentKB(cmd.Process.Pid)))
	}
	return strings.Join(out, ", ")
}
