package wharfconfig

import (
	"path"
	"slices"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfselector"
)

// RequestAttributes is what classification knows of a request.
type RequestAttributes struct {
	Service string
	Method  string
	Path    string
	Caller  string
}

// Policy is how a request is treated.
type Policy struct {
	Request    string
	Class      Class
	Idempotent bool
	Timeout    time.Duration
	MaxTimeout time.Duration
	Attempts   int
	// Targets is how many targets the request may be sent to, zero for no bound
	// besides Attempts.
	Targets int
	// Objective is the time in which an answer has its full value, zero if none
	// is known.
	Objective time.Duration
	// ClassRule, IdempotentRule, TimeoutRule and AttemptsRule name the rule
	// that decided each value; empty means the default.
	ClassRule      string
	IdempotentRule string
	TimeoutRule    string
	AttemptsRule   string
	// Labels are those that the selectors were matched against.
	Labels wharfselector.Labels
}

var emptyCompiled = compile(nil)

func (s *Snapshot) index() *compiled {
	if s == nil || s.compiled == nil {
		return emptyCompiled
	}
	return s.compiled
}

// HasService reports whether a service is configured.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.index().services[name]
	return ok
}

// Class returns a class by its name. A name without a document gets a rank in
// the middle, so that work of an unknown class neither rules nor starves.
func (s *Snapshot) Class(name string) Class {
	for _, c := range s.index().classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name, Rank: defaultRank}
}

// Classes returns the configured classes, the most important first.
func (s *Snapshot) Classes() []Class {
	return s.index().classes
}

// ResendHorizon returns how long callers may resend a request with a key.
func (s *Snapshot) ResendHorizon() time.Duration {
	return s.index().defaults.resendHorizon
}

// ClockSkew returns how far the clocks of callers and log may differ.
func (s *Snapshot) ClockSkew() time.Duration {
	return s.index().defaults.clockSkew
}

// HomeStaleness returns how long a home of keys goes on without confirmation
// that it knows the end of the log.
func (s *Snapshot) HomeStaleness() time.Duration {
	return s.index().defaults.homeStaleness
}

// Classify decides how a request is treated.
func (s *Snapshot) Classify(r RequestAttributes) Policy {
	c := s.index()
	p := Policy{
		Idempotent: isSafeMethod(r.Method),
		Timeout:    c.defaults.timeout,
		MaxTimeout: c.defaults.maxTimeout,
		Attempts:   c.defaults.attempts,
		Labels:     wharfselector.Labels{labelService: r.Service, "method": r.Method},
	}
	if r.Caller != "" {
		p.Labels["caller"] = r.Caller
	}
	rules := c.general
	if index, ok := c.services[r.Service]; ok {
		rules = index.rules
		p.describe(index, r)
	}
	class := c.defaults.class
	for _, rule := range rules {
		if rule.selector.Matches(p.Labels) {
			p.take(rule.doc, &class)
		}
	}
	p.Class = s.Class(class)
	p.Timeout = min(p.Timeout, p.MaxTimeout)
	return p
}

// describe adds the labels of the service and of the request document.
func (p *Policy) describe(index *serviceIndex, r RequestAttributes) {
	for k, v := range index.labels {
		p.Labels[k] = v
	}
	for _, q := range index.requests {
		if !q.matches(r) {
			continue
		}
		p.Request = q.name
		p.Labels["request"] = q.name
		for k, v := range q.labels {
			p.Labels[k] = v
		}
		return
	}
}

func (q request) matches(r RequestAttributes) bool {
	if len(q.methods) > 0 && !slices.Contains(q.methods, r.Method) {
		return false
	}
	if prefix, ok := strings.CutSuffix(q.path, "/**"); ok {
		return r.Path == prefix || strings.HasPrefix(r.Path, prefix+"/")
	}
	matched, err := path.Match(q.path, r.Path)
	return err == nil && matched
}

// take fills the values that no earlier rule has set.
func (p *Policy) take(d *Document, class *string) {
	if d.Class != "" && p.ClassRule == "" {
		*class, p.ClassRule = d.Class, d.Name
	}
	if d.Idempotent != nil && p.IdempotentRule == "" {
		p.Idempotent, p.IdempotentRule = *d.Idempotent, d.Name
	}
	if d.Timeout != nil && p.TimeoutRule == "" {
		p.Timeout, p.TimeoutRule = time.Duration(*d.Timeout), d.Name
	}
	if d.Attempts != nil && p.AttemptsRule == "" {
		p.Attempts, p.AttemptsRule = *d.Attempts, d.Name
	}
}

// isSafeMethod reports whether RFC 9110 calls the method safe. PUT and DELETE
// are idempotent by that text, but services are known to break it, so a rule
// has to say so.
func isSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	default:
		return false
	}
}

// TargetAttributes is what target rules can select by.
type TargetAttributes struct {
	Service       string
	Address       string
	Node          string
	FailureDomain string
	Region        string
	Labels        map[string]string
}

// IsLeaving reports whether operators have told a target to leave, and by
// which rule.
func (s *Snapshot) IsLeaving(t TargetAttributes) (string, bool) {
	c := s.index()
	if len(c.targetRules) == 0 {
		return "", false
	}
	set := wharfselector.Labels{
		labelService:     t.Service,
		"node":           t.Node,
		"failure-domain": t.FailureDomain,
		"region":         t.Region,
	}
	for k, v := range t.Labels {
		set[k] = v
	}
	for k, v := range c.targetLabels[t.Address] {
		set[k] = v
	}
	for _, r := range c.targetRules {
		if r.leaving && r.selector.Matches(set) {
			return r.name, true
		}
	}
	return "", false
}
