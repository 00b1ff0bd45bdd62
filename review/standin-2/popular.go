package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// tally counts the answers to the requests on a route.
type tally struct {
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(a answer) {
	t.sent++
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	t.statuses[a.status]++
	if a.status == http.StatusOK {
		t.served++
	}
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// playPopular adds a route all of whose requests have the same path, and lets the upstreams of
// one zone crash and come back, at most once in each zone.
func playPopular(w *world) (int, error) {
	const (
		crashTime = 4 * time.Second
		contact   = 3 * time.Second
		measured  = 20 * time.Second
		zones     = 3
	)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := w.startStore("127.32.0"); err != nil {
		return notRun, err
	}
	services := []string{"svc-a"}
	first := route{name: "r-first", host: "first.example", prefix: "/first/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	added := route{name: "r-added", host: "added.example", prefix: "/board/", kind: "safe", timeoutMs: 1000, service: "svc-a"}
	w.setConfig(w.configuration(1, []route{first}, services))
	for i := range 6 {
		zone := "zone-" + string("aabbcc"[i])
		w.add(zone, "svc-a", 284, 100, 300*time.Millisecond)
	}
	if err := w.startAll(ctx); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	w.setConfig(w.configuration(2, []route{first, added}, services))
	w.say("the configuration with the added route is acknowledged")
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	var from time.Time
	var onFirst, onAdded tally
	var group sync.WaitGroup
	callers, stop := context.WithCancel(ctx)
	defer stop()
	for _, m := range w.machines {
		for i := range 12 {
			c := &caller{machine: m, method: "GET", host: first.host, deadline: 3 * time.Second, pause: 100 * time.Millisecond}
			c.nextPath = func(id string) string { return "/first/" + id }
			count := &onFirst
			if i%2 == 1 {
				c.host, c.nextPath, count = added.host, func(string) string { return "/board/main" }, &onAdded
			}
			group.Add(1)
			go c.run(callers, &group, func(_ *caller, a answer) {
				mu.Lock()
				defer mu.Unlock()
				if !from.IsZero() && a.sent.After(from) {
					count.add(a)
				}
			})
		}
	}
	time.Sleep(4 * time.Second)
	// Zone by zone, since a success of the path between the two crashes prevents the quarantine.
	for zone := range zones {
		pair := w.machines[2*zone : 2*zone+2]
		if w.trouble {
			for _, m := range pair {
				m.up.crash()
				w.say("the upstream on %s crashes", m.name)
			}
			time.Sleep(crashTime)
			for _, m := range pair {
				if err := m.up.restart(ctx); err != nil {
					return notRun, err
				}
				w.say("the upstream on %s is back as %s", m.name, m.up.id)
			}
		}
		// Upstreams are announced again by their next heartbeat. The measurement begins well after.
		time.Sleep(2 * contact)
		mu.Lock()
		from, onFirst, onAdded = time.Now(), tally{}, tally{}
		mu.Unlock()
		time.Sleep(measured)
		mu.Lock()
		first, added := onFirst, onAdded
		from = time.Time{}
		mu.Unlock()
		w.say("first route: %d sent, %d served, by status %v", first.sent, first.served, first.statuses)
		w.say("added route: %d sent, %d served, by status %v", added.sent, added.served, added.statuses)
		if first.served == 0 {
			return notRun, fmt.Errorf("no request on the first route was served")
		}
		if added.sent >= 20 && added.share() < first.share()/4 {
			w.say("CONFIG broken: served on the added route %.3f, on the first %.3f", added.share(), first.share())
			return broken, nil
		}
	}
	stop()
	group.Wait()
	return held, nil
}
