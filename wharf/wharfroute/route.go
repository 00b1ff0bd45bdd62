package wharfroute

import (
	"strings"
	"time"
)

// WeightedService is the part of a route's requests that one service gets.
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
	Services []WeightedService `json:"shares"`
	// Rank orders routes; zero is the most important.
	Rank       int  `json:"rank"`
	Idempotent bool `json:"idempotent"`
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration `json:"timeout"`
	// Objective is the time in which an answer has its full value.
	Objective time.Duration `json:"objective"`
	// Targets is how many targets one request may be sent to.
	Targets int `json:"targets"`
}

// TotalWeight returns the sum of the weights.
func (r *Route) TotalWeight() int {
	sum := 0
	for _, s := range r.Services {
		sum += s.Weight
	}
	return sum
}

// Allows reports whether the route sends requests to a service.
func (r *Route) Allows(service string) bool {
	for _, s := range r.Services {
		if s.Service == service && s.Weight > 0 {
			return true
		}
	}
	return false
}

// Limits bound what callers may send and how long they may take.
type Limits struct {
	HeaderBytes   int           `json:"header-bytes"`
	BodyBytes     int64         `json:"body-bytes"`
	HeaderTimeout time.Duration `json:"header-timeout"`
	IdleTimeout   time.Duration `json:"idle-timeout"`
}

// Set is one version of all routes, as it is stored and sent.
type Set struct {
	Version uint64  `json:"version"`
	Routes  []Route `json:"routes"`
	Limits  Limits  `json:"limits"`
}

// place is what a route is found by.
type place struct {
	host, prefix string
}

// Table is a set of routes with an index. A nil Table knows no route.
type Table struct {
	set    Set
	routes map[place]*Route
	names  map[string]struct{}
}

// NewTable indexes a set of routes. The caller must not change it any more.
func NewTable(set Set) *Table {
	t := &Table{set: set, routes: make(map[place]*Route, len(set.Routes)), names: map[string]struct{}{}}
	for i := range set.Routes {
		r := &set.Routes[i]
		t.routes[place{strings.ToLower(r.Host), r.Prefix}] = r
		for _, s := range r.Services {
			t.names[s.Service] = struct{}{}
		}
	}
	return t
}

// Set returns the stored form.
func (t *Table) Set() Set {
	if t == nil {
		return Set{}
	}
	return t.set
}

// Version returns the version of the set, zero if there is none.
func (t *Table) Version() uint64 {
	return t.Set().Version
}

// HasService reports whether some route leads to a service.
func (t *Table) HasService(name string) bool {
	if t == nil {
		return false
	}
	_, ok := t.names[name]
	return ok
}

// Find returns the route of the host with the longest prefix of the path, or
// nil.
func (t *Table) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	host = strings.ToLower(host)
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := t.routes[place{host, path[:end+1]}]; ok {
			return r
		}
	}
	return nil
}
