package wharfadmin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfconfig"
	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfselector"
	"ragwortwharf.dev/wharfnode/internal/wharfproxy"
	"ragwortwharf.dev/wharfnode/internal/wharftarget"
	"ragwortwharf.dev/wharfnode/internal/wharfview"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

const (
	// maxAnnouncement bounds the body of an announcement, in bytes.
	maxAnnouncement = 64 << 10
	// maxSlots bounds the slots that a target announces.
	maxSlots = 100_000
)

// targetRegistrar registers the targets that announce themselves to this node.
type targetRegistrar interface {
	AnnounceTarget(t wharfmember.Target)
	SetTargetLeaving(address string) bool
}

// API holds the HTTP handlers for operators and targets.
type API struct {
	View       *wharfview.View
	Registry   *wharftarget.Registry
	Proxy      *wharfproxy.Proxy
	Ledger     *wharfbudget.Ledger
	Keys       *wharfidempotency.KeyStore
	Quarantine *wharfquarantine.List
	Registrar  targetRegistrar
	Auditor    auditor
	Log        wharfevents.Log
	Metrics    wharfevents.Metrics
}

// auditor records actions of the node.
type auditor interface {
	Audit(action string, details ...wharfevents.Field)
}

// Handler returns the HTTP handler of the API.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /wharf/v1/targets", a.announce)
	mux.HandleFunc("DELETE /wharf/v1/targets", a.leave)
	mux.HandleFunc("GET /wharf/v1/targets", a.targets)
	mux.HandleFunc("GET /wharf/v1/status", a.status)
	mux.HandleFunc("GET /wharf/v1/members", a.members)
	mux.HandleFunc("GET /wharf/v1/config", a.config)
	mux.HandleFunc("GET /wharf/v1/audit", a.audit)
	mux.HandleFunc("GET /wharf/v1/explain", a.explain)
	mux.HandleFunc("GET /wharf/v1/quarantine", a.quarantine)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.Metrics.WritePrometheus(w) })
	return mux
}

// apiError is the body of every error response.
type apiError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

// announce registers a target, or renews its announcement.
func (a *API) announce(w http.ResponseWriter, r *http.Request) {
	t, apiErr := readTarget(w, r)
	if apiErr != nil {
		a.Log.Emit(wharfevents.AnnouncementRefused, wharfevents.Field{Name: "fault", Value: apiErr.Message})
		reply(w, http.StatusBadRequest, apiErr)
		return
	}
	a.Registrar.AnnounceTarget(t)
	reply(w, http.StatusOK, t)
}

func readTarget(w http.ResponseWriter, r *http.Request) (wharfmember.Target, *apiError) {
	var t wharfmember.Target
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return t, &apiError{"announcement-syntax", err.Error()}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		// The text stays as it is: it goes out to targets.
		return t, &apiError{"announcement-syntax", "more follows the announcement"}
	}
	if t.Service == "" {
		return t, &apiError{"service-missing", "service is empty"}
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		return t, &apiError{"address-syntax", "address is not of the form IP:port"}
	}
	if t.Slots < 1 || t.Slots > maxSlots {
		return t, &apiError{"slots-range", "slots must be 1 to 100000"}
	}
	if err := wharfselector.CheckLabels(t.Labels); err != nil {
		return t, &apiError{"label-syntax", err.Error()}
	}
	return t, nil
}

// leave marks a target as leaving. The target gets no new requests from then on.
func (a *API) leave(w http.ResponseWriter, r *http.Request) {
	address := r.URL.Query().Get("address")
	if !a.Registrar.SetTargetLeaving(address) {
		reply(w, http.StatusNotFound, apiError{"target-unknown", "no target has announced the address " + address})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (a *API) targets(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, a.Registry.Status())
}

// Status is the response body of the status route of a node.
type Status struct {
	Self wharfmember.Member `json:"self"`
	// Offset is the log offset of the state.
	Offset uint64 `json:"offset"`
	// StateAge is the age of the last confirmation of the state, or
	// unconfirmedAge.
	StateAge float64 `json:"state-age-seconds"`
	Members  int     `json:"members"`
	// Calls is the number of requests in flight at the proxy of this node.
	// ServedCalls is the number of calls that the targets of this node are serving.
	Calls       int                  `json:"calls"`
	ServedCalls int                  `json:"served"`
	Keys        int                  `json:"keys"`
	KeyBytes    int                  `json:"key-bytes"`
	Ejected     []string             `json:"ejected"`
	Owned       []string             `json:"owned-services"`
	Targets     []wharftarget.Status `json:"targets"`
}

// unconfirmedAge is the reported age of a state that has not been confirmed.
const unconfirmedAge = -1

func (a *API) status(w http.ResponseWriter, _ *http.Request) {
	s := Status{
		Self:        a.View.SelfMember(),
		Offset:      a.View.State().Offset(),
		StateAge:    unconfirmedAge,
		Calls:       a.Proxy.InFlight(),
		ServedCalls: a.Ledger.Len(),
		Keys:        a.Keys.Len(),
		KeyBytes:    a.Keys.Bytes(),
		Ejected:     a.Proxy.Ejected(),
		Owned:       a.View.State().Ownership().OwnedBy(a.View.Self()),
		Targets:     a.Registry.Status(),
	}
	if confirmedAt := a.View.ConfirmedAt(); !confirmedAt.IsZero() {
		s.StateAge = time.Since(confirmedAt).Seconds()
	}
	s.Members = a.View.KnownNodes()
	reply(w, http.StatusOK, s)
}

func (a *API) members(w http.ResponseWriter, _ *http.Request) {
	var all []wharfmember.Member
	a.View.Members(func(t *wharfmember.Table) { all = t.All() })
	reply(w, http.StatusOK, all)
}

// Config is the response body of the configuration route.
type Config struct {
	Offset  uint64               `json:"offset"`
	Objects []wharfconfig.Object `json:"objects"`
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	state := a.View.State()
	reply(w, http.StatusOK, Config{Offset: state.Offset(), Objects: state.Config().Objects()})
}

// audit serves the decisions on configuration changes. The actions of nodes are in
// the audit stream of the log only.
func (a *API) audit(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, a.View.Config().Decisions())
}
