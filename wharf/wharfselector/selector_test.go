package wharfselector

import (
	"testing"

	"github.com/matryer/is"
)

func TestMatches(t *testing.T) {
	set := Labels{"service": "schedules", "method": "GET", "tier": "core"}
	tests := []struct {
		text string
		want bool
	}{
		{"service=schedules", true},
		{"service=schedules,method in (GET,HEAD)", true},
		{"service=schedules,!tier", false},
		{"tier notin (batch)", true},
		{"*", true},
	}
	for _, tc := range tests {
		t.Run(tc.text, func(t *testing.T) {
			is := is.New(t)
			s, err := Parse(tc.text)
			is.NoErr(err)
			is.Equal(s.Matches(set), tc.want)
		})
	}
}

func TestZeroSelectorMatchesNothing(t *testing.T) {
	is.New(t).True(!Selector{}.Matches(Labels{}))
}

// FuzzParse checks that Parse accepts the canonical form of every selector and that
// this form is stable.
func FuzzParse(f *testing.F) {
	f.Add("a=b,c in (d,e),!f")
	f.Add("*")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		again, err := Parse(s.String())
		if err != nil {
			t.Fatalf("parse canonical form %q of %q: %v", s.String(), text, err)
		}
		if again.String() != s.String() {
			t.Fatalf("canonical form is %q, want %q", again.String(), s.String())
		}
	})
}
