package wharfpropagation

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"
	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfstate"
)

// pollInterval is the resolution of the measurement.
const pollInterval = 10 * time.Millisecond

// Plan describes a measurement.
type Plan struct {
	LogURL  string
	Nodes   []string
	Changes int
	Pause   time.Duration
	Limit   time.Duration
}

// Report holds, for each change, the time until the last node had it.
type Report struct {
	Nodes int
	Times []time.Duration
}

// Run publishes changes one by one and waits for each to be in force.
func Run(ctx context.Context, p Plan) (Report, error) {
	report := Report{Nodes: len(p.Nodes)}
	platform := wharflog.NewClient(p.LogURL)
	client := resty.New().SetTimeout(time.Second)
	for range p.Changes {
		data, err := someChange()
		if err != nil {
			return report, err
		}
		offset, err := platform.Append(ctx, wharfstate.Stream, data)
		if err != nil {
			return report, err
		}
		accepted := time.Now()
		if !everywhere(ctx, client, p, offset) {
			return report, oops.Errorf("offset %d was not everywhere within %v", offset, p.Limit)
		}
		report.Times = append(report.Times, time.Since(accepted))
		time.Sleep(p.Pause)
	}
	return report, nil
}

// someChange returns a change that adds an object of its own.
func someChange() ([]byte, error) {
	id := uuid.NewString()
	document := wharfconfig.Document{Kind: wharfconfig.KindService, Name: "spread-" + id}
	change := wharfconfig.Change{
		ID: id, Author: "spread",
		Edits: []wharfconfig.Edit{{Key: document.Key(), Document: &document}},
	}
	return wharfstate.Envelope{Change: &change}.Encode()
}

// everywhere waits until each node has come to an offset.
func everywhere(ctx context.Context, client *resty.Client, p Plan, offset uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	var group sync.WaitGroup
	for _, node := range p.Nodes {
		w := &watcher{client: client, node: node, offset: offset}
		group.Go(func() { w.run(ctx) })
	}
	group.Wait()
	return ctx.Err() == nil
}

// watcher waits for one node.
type watcher struct {
	client *resty.Client
	node   string
	offset uint64
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		var status struct {
			Offset uint64 `json:"offset"`
		}
		_, err := w.client.R().SetContext(ctx).SetResult(&status).Get(w.node + "/wharf/v1/status")
		if err == nil && status.Offset >= w.offset {
			return
		}
		time.Sleep(pollInterval)
	}
}

// Write prints the report.
func (r Report) Write(w io.Writer) {
	if len(r.Times) == 0 {
		return
	}
	sorted := slices.Clone(r.Times)
	slices.Sort(sorted)
	_, _ = fmt.Fprintf(w, "%d changes to %d nodes: in force everywhere after a median of %v, at most %v\n",
		len(sorted), r.Nodes, sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}
