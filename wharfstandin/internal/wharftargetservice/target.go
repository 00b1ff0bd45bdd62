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

// Headers that tell the target what to do with a request.
const (
	// HeaderTag comes back in the answer, so that callers can tell answers
	// apart.
	HeaderTag = "X-Tag"
	// HeaderCrash ends the process when it is dispatched.
	HeaderCrash = "X-Crash"
	// HeaderReset breaks the connection off after the request took effect.
	HeaderReset = "X-Reset"
	// HeaderBytes is the size of the answer's filling, in bytes.
	HeaderBytes = "X-Bytes"
	// HeaderCut breaks the answer off in its middle.
	HeaderCut = "X-Cut"
)

const (
	renewInterval = 500 * time.Millisecond
	coldFactor    = 5
	// leaveTime is what a leaving target gives its node before it closes.
	leaveTime = 500 * time.Millisecond
	crashCode = 3
)

// Config describes the target.
type Config struct {
	Service        string
	Address        string
	Slots          int
	AnnouncedSlots int
	ServiceTime    time.Duration
	ColdStart      time.Duration
	ShedAt         int
	Calls          []string
	CallPath       string
	NodeAdmin      string
	NodeCaller     string
	Labels         map[string]string
	// IgnoreCancellation lets the target work on when its caller goes away.
	IgnoreCancellation bool
}

// Control changes the target while it runs.
type Control struct {
	ServiceTimeMs *float64 `json:"service-time-ms,omitempty"`
	Slots         *int     `json:"slots,omitempty"`
	// AnnouncedSlots is what the target announces from now on.
	AnnouncedSlots *int `json:"false-slots,omitempty"`
	// Silent stops the announcements.
	Silent *bool `json:"silent,omitempty"`
}

// Stats are what the target has counted.
type Stats struct {
	Arrivals  int64 `json:"arrivals"`
	Completed int64 `json:"completed"`
	Running   int64 `json:"running"`
	// Effects counts how often each key took effect.
	Effects map[string]int `json:"effects"`
}

// Target is the stand-in.
type Target struct {
	cfg     Config
	started time.Time
	admin   *resty.Client
	caller  *http.Client

	mu          sync.Mutex
	free        chan struct{}
	serviceTime time.Duration
	announced   int
	silent      bool
	effects     map[string]int

	arrivals  atomic.Int64
	completed atomic.Int64
	running   atomic.Int64
	waiting   atomic.Int64
	leaving   atomic.Bool
}

// New returns a target that isn't announced yet.
func New(cfg Config) *Target {
	return &Target{
		cfg:         cfg,
		started:     time.Now(),
		admin:       resty.New().SetTimeout(time.Second),
		caller:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}},
		free:        slots(cfg.Slots),
		serviceTime: cfg.ServiceTime,
		announced:   cfg.AnnouncedSlots,
		effects:     make(map[string]int),
	}
}

func slots(n int) chan struct{} {
	free := make(chan struct{}, n)
	for range n {
		free <- struct{}{}
	}
	return free
}

// Handler returns the routes of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/stats", t.stats)
	mux.HandleFunc("PUT /standin/control", t.control)
	mux.HandleFunc("/", t.serve)
	return mux
}

// Run keeps the announcement renewed until the context ends. Then it tells the
// node, waits for requests in flight, and stops the server.
func (t *Target) Run(ctx context.Context, stop context.CancelFunc) {
	defer stop()
	t.loop(ctx)
	t.leaving.Store(true)
	_, _ = t.admin.R().SetQueryParam("address", t.cfg.Address).Delete(t.cfg.NodeAdmin + "/wharf/v1/targets")
	time.Sleep(leaveTime)
}

// loop renews the announcement.
func (t *Target) loop(ctx context.Context) {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		t.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) renew(ctx context.Context) {
	t.mu.Lock()
	silent, announced := t.silent, t.announced
	t.mu.Unlock()
	if silent {
		return
	}
	// The node may start later; the next renewal tries again.
	_, _ = t.admin.R().SetContext(ctx).SetBody(wharfmember.Target{
		Service: t.cfg.Service, Address: t.cfg.Address, Slots: announced, Labels: t.cfg.Labels,
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
		t.free = slots(*c.Slots)
	}
	if c.AnnouncedSlots != nil {
		t.announced = *c.AnnouncedSlots
	}
	if c.Silent != nil {
		t.silent = *c.Silent
	}
	w.WriteHeader(http.StatusNoContent)
}

// serve does the work of one request.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	t.arrivals.Add(1)
	if r.Header.Get(HeaderCrash) != "" {
		os.Exit(crashCode)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		http.Error(w, "body broke off", http.StatusBadRequest)
		return
	}
	ctx := t.workContext(r)
	t.mu.Lock()
	free, serviceTime := t.free, t.serviceTime
	t.mu.Unlock()
	if !t.acquire(ctx, free) {
		refuse(w, wharfoutcome.ReasonOverload)
		return
	}
	defer func() { free <- struct{}{} }()
	t.running.Add(1)
	defer t.running.Add(-1)
	if time.Since(t.started) < t.cfg.ColdStart {
		serviceTime *= coldFactor
	}
	if !wharftimer.Sleep(ctx, serviceTime) {
		return
	}
	if !t.callOn(w, r) {
		return
	}
	t.takeEffect(r)
	if r.Header.Get(HeaderReset) != "" {
		panic(http.ErrAbortHandler)
	}
	t.answer(w, r)
}

// workContext bounds the work on a request.
func (t *Target) workContext(r *http.Request) context.Context {
	if t.cfg.IgnoreCancellation {
		return context.WithoutCancel(r.Context())
	}
	return r.Context()
}

// acquire waits for a slot. It is false if the target sheds the request or the
// caller goes away.
func (t *Target) acquire(ctx context.Context, free chan struct{}) bool {
	select {
	case <-free:
		return true
	default:
	}
	defer t.waiting.Add(-1)
	if n := t.waiting.Add(1); t.cfg.ShedAt > 0 && n > int64(t.cfg.ShedAt) {
		return false
	}
	select {
	case <-free:
		return true
	case <-ctx.Done():
		return false
	}
}

func (t *Target) takeEffect(r *http.Request) {
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

// callOn calls the services below in turn. When one fails, nothing has taken
// effect here, so the target passes on what it was told.
func (t *Target) callOn(w http.ResponseWriter, r *http.Request) bool {
	for _, service := range t.cfg.Calls {
		if !t.callService(w, r, service) {
			return false
		}
	}
	return true
}

func (t *Target) callService(w http.ResponseWriter, r *http.Request, service string) bool {
	q, err := http.NewRequestWithContext(r.Context(), http.MethodGet, t.cfg.NodeCaller+t.cfg.CallPath, http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return false
	}
	q.Header.Set(wharfwire.HeaderService, service)
	q.Header.Set(wharfwire.HeaderContext, r.Header.Get(wharfwire.HeaderContext))
	q.Header.Set(wharfwire.HeaderTimeout, r.Header.Get(wharfwire.HeaderTimeout))
	q.Header.Set(HeaderTag, r.Header.Get(HeaderTag))
	response, err := t.caller.Do(q)
	if err != nil {
		http.Error(w, "call to "+service+" failed", http.StatusBadGateway)
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	if err == nil && response.StatusCode == http.StatusOK {
		return true
	}
	passOn(w, response, service)
	return false
}

// passOn reports the failure of a call below.
func passOn(w http.ResponseWriter, response *http.Response, service string) {
	if response.Header.Get(wharfwire.HeaderOutcome) != wharfoutcome.NotRun.String() {
		http.Error(w, "call to "+service+" failed", http.StatusBadGateway)
		return
	}
	w.Header().Set(wharfwire.HeaderRetryAfter, response.Header.Get(wharfwire.HeaderRetryAfter))
	refuse(w, wharfoutcome.Reason(response.Header.Get(wharfwire.HeaderReason)))
}

func refuse(w http.ResponseWriter, reason wharfoutcome.Reason) {
	w.Header().Set(wharfwire.HeaderOutcome, wharfoutcome.NotRun.String())
	w.Header().Set(wharfwire.HeaderReason, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// answer sends the tag, the filling, and the tag again, so that a caller can
// tell a whole answer to its own request from anything else.
func (t *Target) answer(w http.ResponseWriter, r *http.Request) {
	size, _ := strconv.Atoi(r.Header.Get(HeaderBytes))
	tag := r.Header.Get(HeaderTag)
	whole := fmt.Sprintf("%s %s\n%s\n%s\n", t.cfg.Service, tag, strings.Repeat("x", max(size, 0)), tag)
	w.Header().Set("Content-Length", strconv.Itoa(len(whole)))
	w.Header().Set(HeaderTag, tag)
	if r.Header.Get(HeaderCut) != "" {
		_, _ = io.WriteString(w, whole[:len(whole)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if _, err := io.WriteString(w, whole); err == nil {
		t.completed.Add(1)
	}
}

// IsComplete reports whether an answer is that of a request with a tag.
func IsComplete(body []byte, tag string) bool {
	text := string(body)
	first, _, _ := strings.Cut(text, "\n")
	return strings.HasSuffix(first, " "+tag) && strings.HasSuffix(text, "\n"+tag+"\n")
}
