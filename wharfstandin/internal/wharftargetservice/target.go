package wharftargetservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharftimer"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfstandin/internal/wharfhttp"
)

// Request headers that control how the target handles a request.
const (
	// HeaderTag is repeated in the response, so that a caller can check that the
	// response belongs to its request.
	HeaderTag = "X-Tag"
	// HeaderCrash ends the process when the request arrives.
	HeaderCrash = "X-Crash"
	// HeaderReset aborts the connection after the request took effect, without a
	// response.
	HeaderReset = "X-Reset"
	// HeaderBytes is the size of the padding in the response, in bytes.
	HeaderBytes = "X-Bytes"
	// HeaderCut aborts the response after half of its body.
	HeaderCut = "X-Cut"
)

const (
	announceInterval = 500 * time.Millisecond
	// coldStartFactor is the factor on the service time during Config.ColdStart.
	coldStartFactor = 5
	// leaveDelay is how long a target waits between notifying its node that it
	// leaves and shutting down, so that the node stops sending requests first.
	leaveDelay    = 500 * time.Millisecond
	crashExitCode = 3
)

// Config describes the target.
type Config struct {
	Service string
	// Address is the IP:port that the target announces.
	Address string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// AnnouncedSlots is the number of slots that the target announces, which may
	// differ from Slots.
	AnnouncedSlots int
	ServiceTime    time.Duration
	// ColdStart is the time after the start during which the service time is
	// multiplied by coldStartFactor.
	ColdStart time.Duration
	// ShedAt is the number of waiting requests above which the target refuses a
	// request; 0 means that it never does.
	ShedAt int
	// DownstreamServices lists the services that the target calls one after the
	// other for each request.
	DownstreamServices []string
	// CallPath is the path of these calls.
	CallPath string
	// NodeAdmin and NodeCaller are the admin URL and the caller URL of the node
	// on this VM.
	NodeAdmin  string
	NodeCaller string
	Labels     map[string]string
	// IgnoreCancellation makes the target keep working on a request after its
	// caller has disconnected. Its downstream calls are cancelled nevertheless.
	IgnoreCancellation bool
}

// Control changes the target while it runs. A nil field changes nothing.
type Control struct {
	ServiceTimeMs *float64 `json:"service-time-ms,omitempty"`
	// Slots is the number of slots for requests that arrive from now on.
	// Requests that run or wait keep using the old slots.
	Slots *int `json:"slots,omitempty"`
	// AnnouncedSlots is the number of slots that the target announces from now
	// on. Its JSON name stays for existing clients.
	AnnouncedSlots *int `json:"false-slots,omitempty"`
	// PauseAnnouncements stops the announcements, or resumes them if false.
	PauseAnnouncements *bool `json:"silent,omitempty"`
}

// Stats are the counters of the target.
type Stats struct {
	// Arrivals counts the requests that the target received.
	Arrivals int64 `json:"arrivals"`
	// Completed counts the complete responses that the target wrote.
	Completed int64 `json:"completed"`
	// Running is the number of requests that hold a slot.
	Running int64 `json:"running"`
	// Effects counts how often a request with each idempotency key took effect.
	// A request without a key counts under its tag.
	Effects map[string]int `json:"effects"`
}

// Target is a stand-in for a target. It is safe for concurrent use.
type Target struct {
	cfg         Config
	started     time.Time
	adminClient *resty.Client
	callClient  *http.Client

	mu sync.Mutex
	// freeSlots holds one element for each free slot.
	freeSlots      chan struct{}
	serviceTime    time.Duration
	announcedSlots int
	silent         bool
	effects        map[string]int

	arrivals  atomic.Int64
	completed atomic.Int64
	running   atomic.Int64
	waiting   atomic.Int64
	leaving   atomic.Bool
}

// New returns a target that isn't announced yet. Run announces it.
func New(cfg Config) *Target {
	return &Target{
		cfg:            cfg,
		started:        time.Now(),
		adminClient:    resty.New().SetTimeout(time.Second),
		callClient:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
		freeSlots:      newSlots(cfg.Slots),
		serviceTime:    cfg.ServiceTime,
		announcedSlots: cfg.AnnouncedSlots,
		effects:        make(map[string]int),
	}
}

// newSlots returns a channel that holds n free slots.
func newSlots(n int) chan struct{} {
	free := make(chan struct{}, n)
	for range n {
		free <- struct{}{}
	}
	return free
}

// Handler returns the HTTP handler of the target: its statistics and its control
// under /standin/, and the requests of the service on every other path.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/stats", t.stats)
	mux.HandleFunc("PUT /standin/control", t.control)
	mux.HandleFunc("/", t.serve)
	return mux
}

// Run announces the target to its node until the context ends. Then it tells
// the node that the target leaves, waits for leaveDelay, and calls stop, which
// stops the server.
func (t *Target) Run(ctx context.Context, stop context.CancelFunc) {
	defer stop()
	t.announceLoop(ctx)
	t.leaving.Store(true)
	_, _ = t.adminClient.R().SetQueryParam("address", t.cfg.Address).Delete(t.cfg.NodeAdmin + "/wharf/v1/targets")
	time.Sleep(leaveDelay)
}

// announceLoop announces the target every announceInterval until the context
// ends.
func (t *Target) announceLoop(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// announce announces the target to its node once.
func (t *Target) announce(ctx context.Context) {
	t.mu.Lock()
	silent, announcedSlots := t.silent, t.announcedSlots
	t.mu.Unlock()
	if silent {
		return
	}
	// An error is ignored: the node may start later, and the next announcement
	// tries again.
	_, _ = t.adminClient.R().SetContext(ctx).SetBody(wharfmember.Target{
		Service: t.cfg.Service, Address: t.cfg.Address, Slots: announcedSlots, Labels: t.cfg.Labels,
	}).Post(t.cfg.NodeAdmin + "/wharf/v1/targets")
}

func (t *Target) stats(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wharfhttp.Reply(w, http.StatusOK, Stats{
		Arrivals: t.arrivals.Load(), Completed: t.completed.Load(), Running: t.running.Load(), Effects: t.effects,
	})
}

func (t *Target) control(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.ServiceTimeMs != nil {
		t.serviceTime = time.Duration(*c.ServiceTimeMs * float64(time.Millisecond))
	}
	if c.Slots != nil {
		t.freeSlots = newSlots(*c.Slots)
	}
	if c.AnnouncedSlots != nil {
		t.announcedSlots = *c.AnnouncedSlots
	}
	if c.PauseAnnouncements != nil {
		t.silent = *c.PauseAnnouncements
	}
	w.WriteHeader(http.StatusNoContent)
}

// serve handles one request of the service.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.arrivals.Add(1)
	if r.Header.Get(HeaderCrash) != "" {
		os.Exit(crashExitCode)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		// The text stays as it is: it goes out to callers.
		http.Error(w, "body broke off", http.StatusBadRequest)
		return
	}
	ctx := t.workContext(r)
	t.mu.Lock()
	freeSlots, serviceTime := t.freeSlots, t.serviceTime
	t.mu.Unlock()
	if !t.acquire(ctx, freeSlots) {
		refuse(w, wharfoutcome.ReasonOverload)
		return
	}
	defer func() { freeSlots <- struct{}{} }()
	t.running.Add(1)
	defer t.running.Add(-1)
	if time.Since(t.started) < t.cfg.ColdStart {
		serviceTime *= coldStartFactor
	}
	if !wharftimer.Sleep(ctx, serviceTime) {
		return
	}
	if !t.callDownstream(w, r) {
		return
	}
	t.recordEffect(r)
	if r.Header.Get(HeaderReset) != "" {
		panic(http.ErrAbortHandler)
	}
	t.respond(w, r)
}

// workContext returns the context for the work on a request. It ends when the
// caller disconnects, unless the target ignores cancellation.
func (t *Target) workContext(r *http.Request) context.Context {
	if t.cfg.IgnoreCancellation {
		return context.WithoutCancel(r.Context())
	}
	return r.Context()
}

// acquire waits for a free slot. It returns false if the target sheds the
// request or the context ends first.
func (t *Target) acquire(ctx context.Context, freeSlots chan struct{}) bool {
	select {
	case <-freeSlots:
		return true
	default:
	}
	defer t.waiting.Add(-1)
	if n := t.waiting.Add(1); t.cfg.ShedAt > 0 && n > int64(t.cfg.ShedAt) {
		return false
	}
	select {
	case <-freeSlots:
		return true
	case <-ctx.Done():
		return false
	}
}

// recordEffect counts the effect of a request under its idempotency key, or
// under its tag if it has no key. A GET request has no effect.
func (t *Target) recordEffect(r *http.Request) {
	key := r.Header.Get(wharfwire.HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(HeaderTag)
	}
	if key == "" || r.Method == http.MethodGet {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.effects[key]++
}

// callDownstream calls the services in Config.DownstreamServices one after the
// other and reports whether all calls succeeded. After a failed call it writes the
// response: the request has had no effect at this target yet, so the target can
// forward the outcome of that call.
func (t *Target) callDownstream(w http.ResponseWriter, r *http.Request) bool {
	for _, service := range t.cfg.DownstreamServices {
		if !t.callService(w, r, service) {
			return false
		}
	}
	return true
}

// callService calls one service through the node and reports whether the call
// succeeded. If not, it writes the response to the caller.
func (t *Target) callService(w http.ResponseWriter, r *http.Request, service string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, t.cfg.NodeCaller+t.cfg.CallPath, http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	req.Header.Set(wharfwire.HeaderService, service)
	req.Header.Set(wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext))
	req.Header.Set(wharfwire.HeaderTimeout, r.Header.Get(wharfwire.HeaderTimeout))
	req.Header.Set(HeaderTag, r.Header.Get(HeaderTag))
	response, err := t.callClient.Do(req)
	if err != nil {
		http.Error(w, "call to "+service+" failed", http.StatusBadGateway)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		return true
	}
	forwardFailure(w, response, service)
	return false
}

// forwardFailure responds to a request whose downstream call failed. If that
// call was not run, the target refuses the request with the same reason and
// Retry-After header. Otherwise it responds with status 502.
func forwardFailure(w http.ResponseWriter, response *http.Response, service string) {
	if response.Header.Get(wharfwire.HeaderOutcome) != wharfoutcome.NotRun.String() {
		http.Error(w, "call to "+service+" failed", http.StatusBadGateway)
		return
	}
	w.Header().Set(wharfwire.HeaderRetryAfter, response.Header.Get(wharfwire.HeaderRetryAfter))
	refuse(w, wharfoutcome.Reason(response.Header.Get(wharfwire.HeaderReason)))
}

// refuse responds that the request was not run, for a reason.
func refuse(w http.ResponseWriter, reason wharfoutcome.Reason) {
	w.Header().Set(wharfwire.HeaderOutcome, wharfoutcome.NotRun.String())
	w.Header().Set(wharfwire.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond sends the tag, the padding, and the tag again, so that a caller can
// distinguish a complete response to its own request from any other response.
func (t *Target) respond(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.Header.Get(HeaderBytes))
	tag := r.Header.Get(HeaderTag)
	body := fmt.Sprintf("%s %s\n%s\n%s\n", t.cfg.Service, tag, strings.Repeat("x", max(size, 0)), tag)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(HeaderTag, tag)
	if r.Header.Get(HeaderCut) != "" {
		_, _ = io.WriteString(w, body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.WriteString(w, body); err == nil {
		t.completed.Add(1)
	}
}

// IsComplete reports whether a response body is the complete response to the
// request with a tag.
func IsComplete(body []byte, tag string) bool {
	text := string(body)
	first, _, _ := strings.Cut(text, "\n")
	return strings.HasSuffix(first, " "+tag) && strings.HasSuffix(text, "\n"+tag+"\n")
}
