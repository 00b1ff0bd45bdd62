package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of cases that can't run.
var (
	errNotReady        = errors.New("a node isn't ready")
	errNotAcknowledged = errors.New("a notice wasn't acknowledged")
)

// startAll starts the processes of all machines.
func (t *test) startAll() {
	for _, m := range t.machines {
		m.start()
	}
}

// awaitAll waits until all nodes are ready.
func (t *test) awaitAll() {
	for _, m := range t.machines {
		if !m.awaitReady(20 * time.Second) {
			panic(cannot{errNotReady})
		}
	}
}

// load sends requests at a rate per second until the function that it returns is called, which
// waits for the last answers.
func (t *test) load(c *client, perSecond int, send func(c *client)) (stop func()) {
	var ended atomic.Bool
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for !ended.Load() {
			<-ticker.C
			group.Go(func() { send(c) })
		}
	})
	return func() {
		ended.Store(true)
		group.Wait()
	}
}

// restartDelay is how long the platform takes to start a process again that has ended by itself.
const restartDelay = 500 * time.Millisecond

// restartEnded starts processes again that end by themselves, as the platform does, until the
// function that it returns is called.
func (t *test) restartEnded() (stop func()) {
	var ended atomic.Bool
	var group sync.WaitGroup
	for _, m := range t.machines {
		group.Go(func() {
			for !ended.Load() {
				time.Sleep(10 * time.Millisecond)
				if m.running() {
					continue
				}
				time.Sleep(restartDelay)
				if !ended.Load() {
					m.start()
				}
			}
		})
	}
	return func() {
		ended.Store(true)
		group.Wait()
	}
}

// panicText returns the first lines of a panic in the logs of the processes.
func (t *test) panicText() string {
	const length = 400
	for _, m := range t.machines {
		data, err := os.ReadFile(filepath.Join(t.dir, m.name+".log"))
		if err != nil {
			continue
		}
		if i := bytes.Index(data, []byte("panic: ")); i >= 0 {
			return m.name + ": " + string(data[i:min(i+length, len(data))])
		}
	}
	return "no panic in the logs"
}
