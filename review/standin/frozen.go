package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen"] = playFrozen }

// Doses of the disruption. One of the ten machines is frozen, and the process of another one is
// killed.
const (
	frozenMachines  = 10
	frozenFor       = 2500 * time.Millisecond
	frozenRounds    = 6
	frozenPerRound  = 200
	frozenUpstreams = 4
)

// playFrozen freezes a machine while its clients wait for the answers to unsafe requests. The
// process of another machine is killed and started again meanwhile; the upstream beside it runs on.
func playFrozen(t *test) bool {
	for i := range frozenMachines {
		service := "front"
		if i >= frozenMachines-frozenUpstreams {
			service = "book"
		}
		t.newMachine("z1", service)
	}
	t.store.putConfig(config(1, route{"book", "h.example", "/book/", "unsafe", "book", 5 * time.Second}))
	t.startAll()
	for _, m := range t.machines[frozenMachines-frozenUpstreams:] {
		t.newUpstream(m, "i-"+m.name, "book", 150, 600*time.Millisecond)
	}
	t.awaitAll()
	time.Sleep(4 * time.Second)
	a, b := t.machines[0], t.machines[frozenMachines-1]
	clients := newClient(a)
	for range frozenRounds {
		var group sync.WaitGroup
		for range frozenPerRound {
			group.Go(func() { clients.send("POST", "h.example", "/book/x", strings.NewReader("slot"), 5*time.Second) })
		}
		time.Sleep(300 * time.Millisecond)
		if t.trouble {
			a.signal(syscall.SIGSTOP)
			time.Sleep(50 * time.Millisecond)
			b.signal(syscall.SIGKILL)
			b.wait()
			b.start()
			time.Sleep(frozenFor - 50*time.Millisecond)
			a.signal(syscall.SIGCONT)
		}
		group.Wait()
		time.Sleep(7 * time.Second)
	}
	return t.unsafeBroken()
}

// unsafeBroken reports whether an unsafe request has run twice, or has run although it was
// answered with a status that promises that it has not.
func (t *test) unsafeBroken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	twice, refused := 0, 0
	counts := map[int]int{}
	for id, a := range t.answers {
		counts[a.status]++
		if len(t.runs[id]) > 1 {
			twice++
			t.line("TWICE: %s has run %d times, answer %d", id, len(t.runs[id]), a.status)
		}
		switch a.status {
		case 408, 421, 429, 503:
			if len(t.runs[id]) > 0 {
				refused++
				t.line("REFUSED: %s was answered %d and has run at %s", id, a.status, t.runs[id][0].instance)
			}
		}
	}
	summary := fmt.Sprintf("answers by status: %v, run twice: %d, refused and run: %d", counts, twice, refused)
	t.line("%s", summary)
	fmt.Println(summary)
	return twice+refused > 0
}
