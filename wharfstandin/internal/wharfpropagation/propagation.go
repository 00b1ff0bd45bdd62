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
	LogURL string
	// Nodes lists the admin URLs of the nodes.
	Nodes []string
	// Changes is the number of changes to publish.
	Changes int
	// Pause is the time between two changes.
	Pause time.Duration
	// Limit bounds the time that one change takes to reach every node.
	Limit time.Duration
}

// Report holds the results of a measurement.
type Report struct {
	// Nodes is the number of nodes.
	Nodes int
	// Times holds, for each change, the time from the log's response to the
	// append until the last node had applied the change.
	Times []time.Duration
}

// Run publishes changes one by one and waits for each to reach every node. It
// returns an error, with the report up to then, if an append fails or a change
// takes longer than the limit.
func Run(ctx context.Context, p Plan) (Report, error) {
	report := Report{Nodes: len(p.Nodes)}
	logClient := wharflog.NewClient(p.LogURL)
	client := resty.New().SetTimeout(time.Second)
	for range p.Changes {
		data, err := newChange()
		if err != nil {
			return report, err
		}
		offset, err := logClient.Append(ctx, wharfstate.StateStream, data)
		if err != nil {
			return report, err
		}
		accepted := time.Now()
		if !waitForNodes(ctx, client, p, offset) {
			return report, oops.Errorf("offset %d did not reach every node within %v", offset, p.Limit)
		}
		report.Times = append(report.Times, time.Since(accepted))
		time.Sleep(p.Pause)
	}
	return report, nil
}

// newChange returns an encoded change that adds a service with a unique name.
func newChange() ([]byte, error) {
	id := uuid.NewString()
	document := wharfconfig.Document{Kind: wharfconfig.KindService, Name: "spread-" + id}
	change := wharfconfig.Change{
		ID: id, Author: "spread",
		Edits: []wharfconfig.Edit{{Key: document.Key(), Document: &document}},
	}
	return wharfstate.Envelope{Change: &change}.Encode()
}

// waitForNodes waits until each node has applied the log up to an offset. It
// returns false if that takes longer than the limit or the context ends.
func waitForNodes(ctx context.Context, client *resty.Client, p Plan, offset uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, p.Limit)
	defer cancel()
	var group sync.WaitGroup
	for _, node := range p.Nodes {
		s := &statusPoller{client: client, node: node, offset: offset}
		group.Go(func() { s.run(ctx) })
	}
	group.Wait()
	return ctx.Err() == nil
}

// statusPoller polls the status of one node until the node has applied the log
// up to an offset.
type statusPoller struct {
	client *resty.Client
	node   string
	offset uint64
}

func (s *statusPoller) run(ctx context.Context) {
	for ctx.Err() == nil {
		var status struct {
			Offset uint64 `json:"offset"`
		}
		_, err := s.client.R().SetContext(ctx).SetResult(&status).Get(s.node + "/wharf/v1/status")
		if err == nil && status.Offset >= s.offset {
			return
		}
		time.Sleep(pollInterval)
	}
}

// Write writes the median and the longest time as text. It writes nothing if the
// report has no times.
func (r Report) Write(w io.Writer) {
	if len(r.Times) == 0 {
		return
	}
	sorted := slices.Clone(r.Times)
	slices.Sort(sorted)
	_, _ = fmt.Fprintf(w, "%d changes to %d nodes: in force everywhere after a median of %v, at most %v\n",
		len(sorted), r.Nodes, sorted[len(sorted)/2].Round(time.Millisecond), sorted[len(sorted)-1].Round(time.Millisecond))
}
