package wharftransport

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharfnode/internal/wharfliveness"
)

const (
	// ProbePath is the URL path at which a node answers the probes of other nodes.
	ProbePath = "/wharf/v1/alive"
	// probeTimeout bounds the answer to a probe. It covers the round trip between regions
	// and the wait for the processor of a busy node.
	probeTimeout = 250 * time.Millisecond
)

// probeTransport makes a connection for each probe, because those that exist may be what
// fails.
var probeTransport = &http.Transport{DisableKeepAlives: true, DialContext: wharfsocket.Plain(probeTimeout)}

// probeNode asks the process of a node for an answer. Any answer shows that it runs.
func probeNode(ctx context.Context, address string) wharfliveness.Liveness {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodHead, "http://"+address+ProbePath, http.NoBody)
	if err != nil {
		return wharfliveness.Dead
	}
	response, err := probeTransport.RoundTrip(r)
	switch {
	case err == nil:
		_ = response.Body.Close()
		return wharfliveness.Alive
	case connected.Load():
		return wharfliveness.Silent
	default:
		return wharfliveness.Dead
	}
}
