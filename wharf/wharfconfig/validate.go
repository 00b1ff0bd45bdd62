package wharfconfig

import (
	"fmt"
	"net/netip"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"

	"ragwortwharf.dev/wharf/wharfselector"
)

// Limits of the values in documents. maxReserve is a share of a target's
// limit, maxNameLength is in bytes.
const (
	MaxRank       = 15
	maxReserve    = 0.9
	maxAttempts   = 1024
	maxTimeout    = time.Hour
	maxHorizon    = 12 * time.Hour
	maxClockSkew  = time.Minute
	maxPrecedence = 1000
	maxNameLength = 128
)

var (
	objectName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.:/-]*[a-z0-9])?$`)
	methodName = regexp.MustCompile(`^[A-Z]+$`)
)

// Validate checks the values of documents, and their references and conflicts
// among each other and with the snapshot that they would change. It returns all
// issues at once.
func Validate(docs []SourceDocument, current *Snapshot) Issues {
	v := validator{docs: docs, current: current}
	v.checkDuplicates()
	for i := range docs {
		v.checkDocument(&docs[i])
	}
	v.checkRanks()
	v.checkContradictions()
	return v.issues
}

type validator struct {
	docs    []SourceDocument
	current *Snapshot
	issues  Issues
}

func (v *validator) report(doc *SourceDocument, field string, code Code, remedy, format string, args ...any) {
	v.issues = append(v.issues, Issue{
		Code:    code,
		File:    doc.File,
		Line:    doc.Line(field),
		Message: doc.Key().String() + ": " + fmt.Sprintf(format, args...),
		Remedy:  remedy,
	})
}

func (v *validator) checkDuplicates() {
	for i := range v.docs {
		for j := range v.docs[:i] {
			if v.docs[i].Key() != v.docs[j].Key() {
				continue
			}
			v.report(&v.docs[i], "name", CodeDuplicate, "keep one of the two",
				"is already defined at %s:%d", v.docs[j].File, v.docs[j].Line(""))
			break
		}
	}
}

func (v *validator) checkDocument(doc *SourceDocument) {
	if !objectName.MatchString(doc.Name) || len(doc.Name) > maxNameLength {
		v.report(doc, "name", CodeRange, "use lower-case letters, digits, dots, colons, slashes and hyphens",
			"name %q is not valid", doc.Name)
	}
	v.checkLabels(doc)
	switch doc.Kind {
	case KindClass:
		v.checkRange(doc, "rank", float64(doc.Rank), 0, MaxRank)
		v.checkRange(doc, "reserve", doc.Reserve, 0, maxReserve)
	case KindRequest:
		v.checkRequest(doc)
	case KindRule, KindTargetRule:
		v.checkSelector(doc)
		v.checkPolicy(doc)
	case KindTargetLabel:
		v.checkTarget(doc)
	case KindDefaults:
		v.checkDefaults(doc)
	}
}

func (v *validator) checkLabels(doc *SourceDocument) {
	if err := wharfselector.CheckLabels(doc.Labels); err != nil {
		v.report(doc, "labels", CodeLabel, "use label keys and values of letters, digits, dots and hyphens", "%v", err)
	}
}

func (v *validator) checkRange(doc *SourceDocument, field string, value, low, high float64) {
	if value < low || value > high {
		v.report(doc, field, CodeRange, fmt.Sprintf("use %v to %v", low, high), "%s %v is out of range", field, value)
	}
}

func (v *validator) checkDuration(doc *SourceDocument, field string, d *Duration, low, high time.Duration) {
	if d == nil {
		return
	}
	if value := time.Duration(*d); value < low || value > high {
		v.report(doc, field, CodeRange, fmt.Sprintf("use %v to %v", low, high), "%s %v is out of range", field, value)
	}
}

func (v *validator) checkRequest(doc *SourceDocument) {
	if !strings.HasPrefix(doc.Path, "/") {
		v.report(doc, "path", CodeRange, `start the path with "/"`, "path %q is not absolute", doc.Path)
	}
	if _, err := path.Match(doc.Path, "/"); err != nil {
		v.report(doc, "path", CodeRange, `use "*" for one segment and a last "/**" for all below`, "path %q is no pattern", doc.Path)
	}
	for _, m := range doc.Methods {
		if !methodName.MatchString(m) {
			v.report(doc, "methods", CodeRange, "use upper-case names such as GET", "method %q is not valid", m)
		}
	}
	if !v.exists(ObjectKey{KindService, doc.Service}) {
		v.report(doc, "service", CodeReference, "add a document of kind service", "service %q is not configured", doc.Service)
	}
}

func (v *validator) checkSelector(doc *SourceDocument) {
	if _, err := wharfselector.Parse(doc.Selector); err != nil {
		v.report(doc, "selector", CodeSelector, "write it like a=b,c in (d,e),!f", "%v", err)
	}
}

// checkPolicy checks the fields that rules and defaults share.
func (v *validator) checkPolicy(doc *SourceDocument) {
	v.checkRange(doc, "precedence", float64(doc.Precedence), -maxPrecedence, maxPrecedence)
	v.checkDuration(doc, "timeout", doc.Timeout, time.Millisecond, maxTimeout)
	if doc.Attempts != nil {
		v.checkRange(doc, "attempts", float64(*doc.Attempts), 1, maxAttempts)
	}
	if doc.Class != "" && !v.exists(ObjectKey{KindClass, doc.Class}) {
		v.report(doc, "class", CodeReference, "add a document of kind class", "class %q is not configured", doc.Class)
	}
	setsValue := doc.Class != "" || doc.Idempotent != nil || doc.Timeout != nil || doc.Attempts != nil
	if doc.Kind == KindRule && !setsValue {
		v.report(doc, "", CodeMissingField, "set class, idempotent, timeout or attempts", "the rule sets nothing")
	}
}

func (v *validator) checkTarget(doc *SourceDocument) {
	if _, err := netip.ParseAddrPort(doc.Target); err != nil {
		v.report(doc, "target", CodeRange, "use IP:port", "target %q is no address", doc.Target)
	}
}

func (v *validator) checkDefaults(doc *SourceDocument) {
	if doc.Name != DefaultsName {
		v.report(doc, "name", CodeRange, "name it "+DefaultsName, "only one document of this kind is allowed")
	}
	v.checkPolicy(doc)
	v.checkDuration(doc, "max-timeout", doc.MaxTimeout, time.Millisecond, maxTimeout)
	v.checkDuration(doc, "resend-horizon", doc.ResendHorizon, time.Second, maxHorizon)
	v.checkDuration(doc, "clock-skew", doc.ClockSkew, 0, maxClockSkew)
	v.checkDuration(doc, "home-staleness", doc.OwnerStaleness, 5*time.Second, maxHorizon)
	if doc.Timeout != nil && doc.MaxTimeout != nil && *doc.Timeout > *doc.MaxTimeout {
		v.report(doc, "timeout", CodeContradiction, "raise max-timeout or lower timeout", "timeout is longer than max-timeout")
	}
}

// exists reports whether the documents or the current snapshot have an object.
func (v *validator) exists(key ObjectKey) bool {
	if slices.ContainsFunc(v.docs, func(d SourceDocument) bool { return d.Key() == key }) {
		return true
	}
	_, ok := v.current.Object(key)
	return ok
}

func (v *validator) checkRanks() {
	for i := range v.docs {
		doc := &v.docs[i]
		if doc.Kind != KindClass {
			continue
		}
		if other, ok := v.classOfRank(doc.Rank, doc.Name); ok {
			v.report(doc, "rank", CodeContradiction, "give each class its own rank", "class %s also has rank %d", other, doc.Rank)
		}
	}
}

// classOfRank returns another class with a rank. A class of the snapshot that
// one of the documents replaces doesn't count.
func (v *validator) classOfRank(rank int, except string) (string, bool) {
	for _, d := range v.docs {
		if d.Kind == KindClass && d.Rank == rank && d.Name != except {
			return d.Name, true
		}
	}
	for _, o := range v.current.Objects() {
		d := o.Document
		replaced := slices.ContainsFunc(v.docs, func(replacement SourceDocument) bool { return replacement.Key() == d.Key() })
		if d.Kind == KindClass && d.Rank == rank && d.Name != except && !replaced {
			return d.Name, true
		}
	}
	return "", false
}

// checkContradictions reports pairs of rules with the same selector and
// precedence that set different values.
func (v *validator) checkContradictions() {
	for i := range v.docs {
		for j := range v.docs[:i] {
			a, b := &v.docs[i], &v.docs[j]
			if a.Kind != KindRule || b.Kind != KindRule || a.Name == b.Name {
				continue
			}
			if a.Precedence == b.Precedence && sameSelector(a.Selector, b.Selector) && contradict(&a.Document, &b.Document) {
				v.report(a, "selector", CodeContradiction, "give one of the two a higher precedence",
					"rule %s at %s:%d selects the same requests and sets a different value", b.Name, b.File, b.Line(""))
			}
		}
	}
}

func sameSelector(a, b string) bool {
	x, err := wharfselector.Parse(a)
	if err != nil {
		return false
	}
	y, err := wharfselector.Parse(b)
	return err == nil && x.String() == y.String()
}

// contradict reports whether both rules set the same field to different values.
func contradict(a, b *Document) bool {
	return a.Class != "" && b.Class != "" && a.Class != b.Class ||
		differ(a.Idempotent, b.Idempotent) || differ(a.Timeout, b.Timeout) || differ(a.Attempts, b.Attempts)
}

// differ reports whether both values are set and differ.
func differ[T comparable](a, b *T) bool {
	return a != nil && b != nil && *a != *b
}
