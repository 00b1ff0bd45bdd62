package wharfroute

import (
	"strings"
	"time"
)

// WeightedService is a service with its weight in a route. The service gets the
// share of the route's requests that its weight has in the total weight.
type WeightedService struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix   string            `json:"prefix"`
	Services []WeightedService `json:"shares"` // stored under its earlier name
	// Rank is the importance of the requests. Zero is the most important rank.
	Rank       int  `json:"rank"`
	Idempotent bool `json:"idempotent"`
	// Timeout is the maximum time until the caller gets a response.
	Timeout time.Duration `json:"timeout"`
	// Objective is the latency objective: a response that takes longer is worth
	// less to the caller.
	Objective time.Duration `json:"objective"`
	// MaxTargets is the maximum number of targets that one request may reach. Zero
	// means no limit.
	MaxTargets int `json:"targets"` // stored under its earlier name
	// Public is true if requests need no key of an account, where requests have accounts.
	Public bool `json:"public,omitempty"`
}

// TotalWeight returns the sum of the weights.
func (r *Route) TotalWeight() int {
	sum := 0
	for _, s := range r.Services {
		sum += s.Weight
	}
	return sum
}

// Allows reports whether the route sends requests to a service, which needs a
// weight above zero.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Limits holds the published limits on the size of callers' requests, the time to
// send their headers, and the idle time of connections. They are stored with the
// routes, but nodes don't apply them.
type Limits struct {
	HeaderBytes   int           `json:"header-bytes"`
	BodyBytes     int64         `json:"body-bytes"`
	HeaderTimeout time.Duration `json:"header-timeout"`
	IdleTimeout   time.Duration `json:"idle-timeout"`
}

// Set is one version of all routes, in the form that is stored and sent to nodes.
type Set struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Limits  Limits  `json:"limits"`
	// KeysRequired is true if requests of routes that aren't public need a key of an account.
	KeysRequired bool      `json:"keys-required,omitempty"`
	Accounts     []Account `json:"accounts,omitempty"`
}

// routeKey is the key of a route in the index. The host is in lower case.
type routeKey struct {
	host, prefix string
}

// Table is an index of a set of routes. A nil Table has no routes. A Table is
// immutable and safe for concurrent use.
type Table struct {
	set      Set
	routes   map[routeKey]*Route
	services map[string]struct{}
	// keys holds the accounts by the digests of their keys, and names by their names.
	keys, names map[string]*Account
	// limited is true if an account has a limited quota.
	limited bool
}

// NewTable returns an index of a set of routes. The caller must not modify the set
// afterwards.
func NewTable(set Set) *Table {
	t := &Table{set: set, routes: make(map[routeKey]*Route, len(set.Routes)), services: map[string]struct{}{}}
	for i := range set.Routes {
		r := &set.Routes[i]
		t.routes[routeKey{strings.ToLower(r.Host), r.Prefix}] = r
		for _, s := range r.Services {
			t.services[s.Service] = struct{}{}
		}
	}
	t.indexAccounts()
	return t
}

func (t *Table) indexAccounts() {
	t.keys, t.names = map[string]*Account{}, make(map[string]*Account, len(t.set.Accounts))
	for i := range t.set.Accounts {
		a := &t.set.Accounts[i]
		t.names[a.Name] = a
		t.limited = t.limited || a.Quota.Limited()
		for _, k := range a.Keys {
			t.keys[k] = a
		}
	}
}

// KeysRequired reports whether requests of routes that aren't public need a key.
func (t *Table) KeysRequired() bool {
	return t.Set().KeysRequired
}

// QuotasLimited reports whether a client account has a limited quota.
func (t *Table) QuotasLimited() bool {
	return t != nil && t.limited
}

// AccountOf returns the account that a key belongs to, or nil. The lookup by digest takes a time
// that tells nothing of the keys.
func (t *Table) AccountOf(key string) *Account {
	if t == nil || key == "" || len(t.keys) == 0 {
		return nil
	}
	return t.keys[KeyDigest(key)]
}

// Account returns the account with a name, or nil.
func (t *Table) Account(name string) *Account {
	if t == nil {
		return nil
	}
	return t.names[name]
}

// Set returns the set of routes, an empty one for a nil Table. The caller must not
// modify it.
func (t *Table) Set() Set {
	if t == nil {
		return Set{}
	}
	return t.set
}

// Version returns the version of the set, zero for a nil Table.
func (t *Table) Version() uint64 {
	return t.Set().Version
}

// HasService reports whether a route names the service, with any weight.
func (t *Table) HasService(name string) bool {
	if t == nil {
		return false
	}
	_, ok := t.services[name]
	return ok
}

// Find returns the route of the host with the longest matching prefix of the path,
// or nil if none matches. The case of the host does not matter.
func (t *Table) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := t.routes[routeKey{host, path[:end+1]}]; ok {
			return r
		}
	}
	return nil
}
