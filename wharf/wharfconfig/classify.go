package wharfconfig

import (
	"path"
	"slices"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfselector"
)

// RequestAttributes holds the properties of a request that classification
// uses. Caller may be empty.
type RequestAttributes struct {
	Service string
	Method  string
	Path    string
	Caller  string
}

// Policy is the result of classifying a request.
type Policy struct {
	// Request is the name of the matching configuration document of kind request,
	// or of the matching route. It is empty if none matched.
	Request    string
	Class      Class
	Idempotent bool
	Timeout    time.Duration
	MaxTimeout time.Duration
	Attempts   int
	// MaxTargets limits the number of targets that the request may be sent to;
	// zero means that only Attempts limits it.
	MaxTargets int
	// Objective is the latency objective: a response that takes longer is worth
	// less to the caller. Zero means that none is known.
	Objective time.Duration
	// ClassRule, IdempotentRule, TimeoutRule and AttemptsRule name the rule
	// that set each value; empty means that the default applies.
	ClassRule      string
	IdempotentRule string
	TimeoutRule    string
	AttemptsRule   string
	// Labels holds the labels that the selectors were matched against.
	Labels wharfselector.Labels
}

var emptyCompiled = compile(nil)

// index returns the compiled form, which is empty for a nil snapshot.
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

// Class returns a class by its name. A name without a document gets the middle
// rank, so that requests of an unknown class neither displace all others nor
// starve.
func (s *Snapshot) Class(name string) Class {
	for _, c := range s.index().classes {
		if c.Name == name {
			return c
		}
	}
	return Class{Name: name, Rank: defaultRank}
}

// Classes returns the configured classes, most important first.
func (s *Snapshot) Classes() []Class {
	return s.index().classes
}

// ResendHorizon returns how long callers may resend a request that has an
// idempotency key.
func (s *Snapshot) ResendHorizon() time.Duration {
	return s.index().defaults.resendHorizon
}

// ClockSkew returns the largest difference allowed between the clocks of the
// callers and of the log.
func (s *Snapshot) ClockSkew() time.Duration {
	return s.index().defaults.clockSkew
}

// OwnerStaleness returns the largest age of the last confirmation that the owner
// of an idempotency key had read the whole log. The owner is the node that may run
// requests with the key (see package wharfidempotency). With an older confirmation
// the owner starts no requests with a caller's key.
func (s *Snapshot) OwnerStaleness() time.Duration {
	return s.index().defaults.ownerStaleness
}

// Classify returns the policy of a request. Each value comes from the matching
// rule with the highest precedence that sets the value; between rules of equal
// precedence the first by name applies. Without such a rule the default applies.
// The timeout never exceeds the maximum.
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
		p.addLabels(index, r)
	}
	class := c.defaults.class
	for _, rule := range rules {
		if rule.selector.Matches(p.Labels) {
			p.applyRule(rule.doc, &class)
		}
	}
	p.Class = s.Class(class)
	p.Timeout = min(p.Timeout, p.MaxTimeout)
	return p
}

// addLabels adds the labels of the service and of the most specific request
// document that matches.
func (p *Policy) addLabels(index *serviceIndex, r RequestAttributes) {
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

// matches reports whether the method and path fit the request document. A path
// that ends in "/**" matches the prefix before it and all paths below.
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

// applyRule sets the values that no earlier rule has set.
func (p *Policy) applyRule(d *Document, class *string) {
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

// isSafeMethod reports whether RFC 9110 defines the method as safe. RFC 9110
// also defines PUT and DELETE as idempotent, but not all services comply, so
// these methods need a rule that declares them idempotent.
func isSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	default:
		return false
	}
}

// TargetAttributes holds the properties of a target that target rules select
// by.
type TargetAttributes struct {
	Service       string
	Address       string
	Node          string
	FailureDomain string
	Region        string
	Labels        map[string]string
}

// IsLeaving reports whether a target rule marks the target as leaving, and
// returns the name of that rule.
func (s *Snapshot) IsLeaving(t TargetAttributes) (string, bool) {
	c := s.index()
	if len(c.targetRules) == 0 {
		return "", false
	}
	labels := wharfselector.Labels{
		labelService:     t.Service,
		"node":           t.Node,
		"failure-domain": t.FailureDomain,
		"region":         t.Region,
	}
	for k, v := range t.Labels {
		labels[k] = v
	}
	for k, v := range c.targetLabels[t.Address] {
		labels[k] = v
	}
	for _, r := range c.targetRules {
		if r.leaving && r.selector.Matches(labels) {
			return r.name, true
		}
	}
	return "", false
}
