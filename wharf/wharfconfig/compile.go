package wharfconfig

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfbudget"
	"ragwortwharf.dev/wharf/wharfselector"
)

// Default values, used where no document sets another.
const (
	DefaultClass          = "default"
	DefaultTimeout        = 5 * time.Second
	DefaultMaxTimeout     = time.Minute
	DefaultResendHorizon  = 10 * time.Minute
	DefaultClockSkew      = 2 * time.Second
	DefaultOwnerStaleness = 15 * time.Minute
	defaultRank           = MaxRank / 2
)

// labelService is the label by which rules are indexed.
const labelService = "service"

// compiled is the index of a snapshot that classification uses.
type compiled struct {
	classes  []Class
	services map[string]*serviceIndex
	// general holds the rules that aren't restricted to named services.
	general      []rule
	targetRules  []targetRule
	targetLabels map[string]map[string]string
	defaults     defaults
}

// serviceIndex holds the documents of one service. Requests are ordered with
// the most specific first, rules with the highest precedence first.
type serviceIndex struct {
	labels   map[string]string
	requests []request
	rules    []rule
}

type request struct {
	name    string
	methods []string
	path    string
	labels  map[string]string
}

type rule struct {
	selector wharfselector.Selector
	doc      *Document
}

type targetRule struct {
	selector wharfselector.Selector
	name     string
	leaving  bool
}

type defaults struct {
	class          string
	timeout        time.Duration
	maxTimeout     time.Duration
	attempts       int
	resendHorizon  time.Duration
	clockSkew      time.Duration
	ownerStaleness time.Duration
}

// Class is a class of requests of the same importance.
type Class struct {
	Name string
	// Rank orders classes; zero is the most important.
	Rank int
	// Reserve is the share of a target's limit that less important classes
	// can't use, from 0 to maxReserve.
	Reserve float64
}

func compile(objects map[ObjectKey]Object) *compiled {
	c := &compiled{
		services:     map[string]*serviceIndex{},
		targetLabels: map[string]map[string]string{},
		defaults:     compileDefaults(objects),
	}
	for _, o := range objects {
		c.add(o)
	}
	slices.SortFunc(c.classes, func(a, b Class) int { return cmp.Compare(a.Rank, b.Rank) })
	slices.SortFunc(c.general, compareRules)
	slices.SortFunc(c.targetRules, func(a, b targetRule) int { return cmp.Compare(a.name, b.name) })
	for _, s := range c.services {
		slices.SortFunc(s.requests, compareRequests)
		s.rules = append(s.rules, c.general...)
		slices.SortFunc(s.rules, compareRules)
	}
	return c
}

func (c *compiled) add(o Object) {
	d := o.Document
	switch d.Kind {
	case KindClass:
		c.classes = append(c.classes, Class{Name: d.Name, Rank: d.Rank, Reserve: d.Reserve})
	case KindService:
		c.service(d.Name).labels = d.Labels
	case KindRequest:
		s := c.service(d.Service)
		s.requests = append(s.requests, request{name: d.Name, methods: d.Methods, path: d.Path, labels: d.Labels})
	case KindRule:
		c.addRule(rule{o.selector, d})
	case KindTargetRule:
		c.targetRules = append(c.targetRules, targetRule{o.selector, d.Name, *d.Leaving})
	case KindTargetLabel:
		c.targetLabels[d.Target] = d.Labels
	}
}

// addRule adds a rule to the services that its selector requires, or to the
// general rules if it requires none.
func (c *compiled) addRule(r rule) {
	names, restricted := r.selector.RequiredValues(labelService)
	if !restricted {
		c.general = append(c.general, r)
		return
	}
	for _, name := range names {
		s := c.service(name)
		s.rules = append(s.rules, r)
	}
}

// service returns the index of a service and creates it if needed.
func (c *compiled) service(name string) *serviceIndex {
	s, ok := c.services[name]
	if !ok {
		s = &serviceIndex{}
		c.services[name] = s
	}
	return s
}

// compareRules orders by descending precedence, then by name.
func compareRules(a, b rule) int {
	if n := cmp.Compare(b.doc.Precedence, a.doc.Precedence); n != 0 {
		return n
	}
	return cmp.Compare(a.doc.Name, b.doc.Name)
}

// compareRequests orders the more specific document first: by the number of
// literal characters in the path, then by the number of methods, then by name.
func compareRequests(a, b request) int {
	if n := cmp.Compare(literalLength(b.path), literalLength(a.path)); n != 0 {
		return n
	}
	if n := cmp.Compare(len(b.methods), len(a.methods)); n != 0 {
		return n
	}
	return cmp.Compare(a.name, b.name)
}

func literalLength(pattern string) int {
	return len(strings.ReplaceAll(pattern, "*", ""))
}

func compileDefaults(objects map[ObjectKey]Object) defaults {
	d := defaults{
		class:          DefaultClass,
		timeout:        DefaultTimeout,
		maxTimeout:     DefaultMaxTimeout,
		attempts:       wharfbudget.DefaultAttempts,
		resendHorizon:  DefaultResendHorizon,
		clockSkew:      DefaultClockSkew,
		ownerStaleness: DefaultOwnerStaleness,
	}
	o, ok := objects[ObjectKey{KindDefaults, DefaultsName}]
	if !ok {
		return d
	}
	doc := o.Document
	if doc.Class != "" {
		d.class = doc.Class
	}
	if doc.Attempts != nil {
		d.attempts = *doc.Attempts
	}
	override(&d.timeout, doc.Timeout)
	override(&d.maxTimeout, doc.MaxTimeout)
	override(&d.resendHorizon, doc.ResendHorizon)
	override(&d.clockSkew, doc.ClockSkew)
	override(&d.ownerStaleness, doc.OwnerStaleness)
	return d
}

func override(value *time.Duration, d *Duration) {
	if d != nil {
		*value = time.Duration(*d)
	}
}
