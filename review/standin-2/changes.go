package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// contactTime and configTime are the bounds contact_ms and config_ms of the settings.
	contactTime = 3 * time.Second
	configTime  = 2 * time.Second
)

// probe sends requests on a route from all machines for a time, and counts the answers.
func (w *world) probe(ctx context.Context, r route, length time.Duration) *tally {
	var (
		mu    sync.Mutex
		out   tally
		group sync.WaitGroup
	)
	callers, stop := context.WithTimeout(ctx, length)
	defer stop()
	for _, m := range w.machines {
		for range 3 {
			c := &caller{machine: m, method: http.MethodGet, host: r.host, deadline: 3 * time.Second, pause: 100 * time.Millisecond}
			c.nextPath = func(id string) string { return r.prefix + id }
			group.Add(1)
			go c.run(callers, &group, func(_ *caller, a answer) {
				mu.Lock()
				defer mu.Unlock()
				out.add(a)
			})
		}
	}
	group.Wait()
	w.say("%s: %d sent, %d served, by status %v", r.name, out.sent, out.served, out.statuses)
	return &out
}

// startSix starts six machines in three zones, with two services, and one route to the first.
func (w *world) startSix(ctx context.Context, network string, first route) error {
	if err := w.startStore(network); err != nil {
		return err
	}
	w.setConfig(w.configuration(1, []route{first}, []string{"svc-a", "svc-b"}))
	for i, zone := range []string{"zone-a", "zone-b", "zone-c", "zone-a", "zone-b", "zone-c"} {
		w.add(zone, []string{"svc-a", "svc-b"}[i/3], 284, 100, 100*time.Millisecond)
	}
	return w.startAll(ctx)
}

// playMoved lets the settings files change: the store has another address. Both addresses work
// for a while.
func playMoved(w *world) (int, error) {
	const overlap = 10 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	added := route{name: "r-added", host: "added.example", prefix: "/added/", kind: "safe", timeoutMs: 1000, service: "svc-b"}
	if err := w.startSix(ctx, "127.33.0", first); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.storeHost = 251
		if err := w.store.listen(w.storeAddress()); err != nil {
			return notRun, err
		}
		for _, m := range w.machines {
			if err := m.writeSettings(); err != nil {
				return notRun, err
			}
			m.signal(syscall.SIGHUP)
		}
		w.say("the settings files name the new address of the store, SIGHUP sent; the old one still works")
		time.Sleep(overlap)
		_ = w.store.servers[0].Close()
		w.say("the old address of the store is closed")
	}
	time.Sleep(2 * contactTime)
	w.setConfig(w.configuration(2, []route{first, added}, []string{"svc-a", "svc-b"}))
	w.say("the configuration with the added route is acknowledged")
	time.Sleep(configTime + 500*time.Millisecond)
	onFirst, onAdded := w.probe(ctx, first, 5*time.Second), w.probe(ctx, added, 15*time.Second)
	if onFirst.served == 0 {
		return notRun, fmt.Errorf("no request on the first route was served")
	}
	if n := onAdded.statuses[http.StatusNotFound]; n > 0 {
		w.say("CONFIG broken: %d requests got 404 though the route is there", n)
		return broken, nil
	}
	return held, nil
}

// playWeights adds a route whose weights are fractions.
func playWeights(w *world) (int, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	added := route{
		name: "r-added", host: "added.example", prefix: "/added/", kind: "safe", timeoutMs: 1000,
		weights: []weight{{"svc-a", 90}, {"svc-b", 10}},
	}
	if w.trouble {
		added.weights = []weight{{"svc-a", 0.9}, {"svc-b", 0.1}}
	}
	if err := w.startSix(ctx, "127.34.0", first); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	w.setConfig(w.configuration(2, []route{first, added}, []string{"svc-a", "svc-b"}))
	w.say("the configuration with the added route is acknowledged")
	time.Sleep(configTime + contactTime)
	onFirst, onAdded := w.probe(ctx, first, 10*time.Second), w.probe(ctx, added, 10*time.Second)
	if onFirst.served == 0 {
		return notRun, fmt.Errorf("no request on the first route was served")
	}
	if onAdded.sent >= 20 && onAdded.share() < onFirst.share()/4 {
		w.say("CONFIG broken: served on the added route %.3f, on the first %.3f", onAdded.share(), onFirst.share())
		return broken, nil
	}
	return held, nil
}
