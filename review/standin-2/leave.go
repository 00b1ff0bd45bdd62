package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playLeave lets an upstream leave while the store is down, and kills the node that has
// acknowledged that. A heartbeat that the upstream sent before it left arrives late.
func playLeave(w *world) (int, error) {
	const (
		settle     = 6 * time.Second
		storeDown  = 4500 * time.Millisecond
		drainTime  = 2 * time.Second
		serveTime  = 12 * time.Second
		beatLate   = 2 * time.Second
		killAfter  = 200 * time.Millisecond
		startAfter = 500 * time.Millisecond
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := w.startStore("127.38.0"); err != nil {
		return notRun, err
	}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	w.setConfig(w.configuration(1, []route{first}, []string{"svc-a", "svc-b"}))
	// Only the first two machines have an upstream of the service.
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b"} {
		w.add(zone, []string{"svc-a", "svc-b"}[min(i/2, 1)], 284, 100, 50*time.Millisecond)
	}
	if err := w.startAll(ctx); err != nil {
		return notRun, err
	}
	time.Sleep(settle)
	var (
		mu    sync.Mutex
		group sync.WaitGroup
		sent  = map[string]time.Time{}
	)
	callers, stop := context.WithCancel(ctx)
	defer stop()
	for _, m := range w.machines[2:] {
		for range 4 {
			c := &caller{machine: m, method: http.MethodGet, host: first.host, deadline: 3 * time.Second, pause: 50 * time.Millisecond}
			c.nextPath = func(id string) string { return first.prefix + id }
			group.Add(1)
			go c.run(callers, &group, func(_ *caller, a answer) {
				mu.Lock()
				defer mu.Unlock()
				if a.err == nil {
					sent[a.id] = a.sent
				}
			})
		}
	}
	leaving := w.machines[0]
	if w.trouble {
		w.store.setSilent(true)
		w.say("the store is down")
	}
	down := time.Now()
	time.Sleep(700 * time.Millisecond)
	late, lateSent := leaving.up.describe(), time.Now()
	leaving.up.end()
	body := []byte(fmt.Sprintf(`{"born":%d}`, leaving.up.born))
	if err := leaving.up.say(http.MethodDelete, body); err != nil {
		return notRun, fmt.Errorf("the upstream's leaving has no acknowledgement: %w", err)
	}
	acked := time.Now()
	w.say("the upstream on %s leaves; acknowledged after %.3f s; it serves on for %v", leaving.name, acked.Sub(lateSent).Seconds(), serveTime)
	if w.trouble {
		time.Sleep(killAfter)
		_, exited := leaving.process()
		leaving.signal(syscall.SIGKILL)
		<-exited
		time.Sleep(startAfter)
		if err := leaving.start(); err != nil {
			return notRun, err
		}
		w.say("the node on %s was killed and is started again", leaving.name)
	}
	started := time.Now()
	time.Sleep(time.Until(lateSent.Add(beatLate)))
	for range 20 {
		if err := leaving.up.say(http.MethodPut, late); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	w.say("a heartbeat that was sent before arrives %.3f s late", time.Since(lateSent).Seconds())
	time.Sleep(time.Until(down.Add(storeDown)))
	if w.trouble {
		w.store.setSilent(false)
		w.say("the store is back")
	}
	calm := time.Now()
	time.Sleep(time.Until(acked.Add(serveTime)))
	stop()
	group.Wait()
	from := acked.Add(drainTime)
	for _, t := range []time.Time{calm, started} {
		if t = t.Add(contactTime); t.After(from) {
			from = t
		}
	}
	reached, last := 0, time.Duration(0)
	mu.Lock()
	defer mu.Unlock()
	for id, at := range sent {
		if at.After(from) && w.ranAt(id, leaving) {
			reached++
			last = max(last, at.Sub(acked))
		}
	}
	w.say("machines are in touch from %.3f s after the acknowledgement; %d requests sent later reached the upstream that has left, the last sent %.3f s after it", from.Sub(acked).Seconds(), reached, last.Seconds())
	if reached > 0 {
		w.say("DRAIN broken")
		return broken, nil
	}
	return held, nil
}
