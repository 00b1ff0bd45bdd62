package wharfselector

import (
	"github.com/samber/oops"
	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// Labels are the key and value pairs that describe a request or a target.
type Labels = labels.Set

// Selector picks out label sets. The zero Selector matches nothing.
type Selector struct {
	inner labels.Selector
}

// Parse reads a selector. An empty text is an error, because a rule that
// matches everything is nearly always a slip; "*" says it on purpose.
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

// Matches reports whether the selector picks out the labels.
func (s Selector) Matches(set Labels) bool {
	return s.inner != nil && s.inner.Matches(set)
}

// String returns the canonical form of the selector.
func (s Selector) String() string {
	if s.inner == nil {
		return ""
	}
	if s.inner.Empty() {
		return "*"
	}
	return s.inner.String()
}

// RequiredValues returns the values that the selector allows for a key. It is
// false if the selector doesn't narrow the key to a list, so callers can index
// rules by the key without evaluating them.
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

// CheckLabels reports the faults of a label set.
func CheckLabels(set Labels) error {
	_, err := labels.ValidatedSelectorFromSet(set)
	if err != nil {
		return oops.Code("label-syntax").Wrap(err)
	}
	return nil
}
