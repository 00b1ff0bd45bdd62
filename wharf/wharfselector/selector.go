package wharfselector

import (
	"github.com/samber/oops"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// Labels are the key and value pairs that describe a request or a target.
type Labels = labels.Set

// Selector is a parsed label selector. The zero Selector matches nothing.
type Selector struct {
	inner labels.Selector
}

// Parse parses a selector. The text "*" matches everything. An empty text is an
// error with the code "selector-empty", because a rule that matches everything is
// nearly always a mistake. Other invalid texts give the code "selector-syntax".
func Parse(text string) (Selector, error) {
	if text == "*" {
		return Selector{inner: labels.Everything()}, nil
	}
	if text == "" {
		return Selector{}, oops.Code("selector-empty").Errorf(`selector is empty; write "*" to match everything`)
	}
	inner, err := labels.Parse(text)
	if err != nil {
		return Selector{}, oops.Code("selector-syntax").Wrap(err)
	}
	return Selector{inner: inner}, nil
}

// Matches reports whether the selector matches the labels.
func (s Selector) Matches(set Labels) bool {
	return s.inner != nil && s.inner.Matches(set)
}

// String returns the canonical form of the selector, which Parse accepts. It is
// empty for the zero Selector.
func (s Selector) String() string {
	if s.inner == nil {
		return ""
	}
	if s.inner.Empty() {
		return "*"
	}
	return s.inner.String()
}

// RequiredValues returns the values that the selector allows for a key. The result
// is false if the selector does not restrict the key to a list of values. Callers
// use it to index rules by a key, so that they need not evaluate every rule.
func (s Selector) RequiredValues(key string) ([]string, bool) {
	if s.inner == nil {
		return nil, false
	}
	requirements, _ := s.inner.Requirements()
	for _, r := range requirements {
		if r.Key() != key {
			continue
		}
		switch r.Operator() {
		case selection.Equals, selection.DoubleEquals, selection.In:
			return r.Values().List(), true
		}
	}
	return nil, false
}

// CheckLabels returns an error with the code "label-syntax" if a key or value of the
// label set is invalid.
func CheckLabels(set Labels) error {
	_, err := labels.ValidatedSelectorFromSet(set)
	if err != nil {
		return oops.Code("label-syntax").Wrap(err)
	}
	return nil
}
