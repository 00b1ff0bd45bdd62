package wharfconfig

import (
	"time"

	"github.com/samber/oops"
)

// Kind is the kind of a document.
type Kind string

// Kinds of documents.
const (
	KindClass       Kind = "class"
	KindService     Kind = "service"
	KindRequest     Kind = "request"
	KindRule        Kind = "rule"
	KindTargetRule  Kind = "target-rule"
	KindTargetLabel Kind = "target-label"
	KindDefaults    Kind = "defaults"
)

// DefaultsName is the required name of the single document of kind defaults.
const DefaultsName = "defaults"

// Duration is a time.Duration that is written as text such as "1.5s".
type Duration time.Duration

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses the duration with time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return oops.Code("duration-syntax").Errorf("%q is not a duration such as 250ms or 2s", text)
	}
	*d = Duration(v)
	return nil
}

// Document is one object in the form that operators write. The kind determines
// which fields are allowed; see fieldsOfKind.
type Document struct {
	Kind Kind   `json:"kind" yaml:"kind"`
	Name string `json:"name" yaml:"name"`

	// Rank orders classes; zero is the most important.
	Rank int `json:"rank,omitempty" yaml:"rank"`
	// Reserve is the share of a target's limit that less important classes
	// can't use, from 0 to maxReserve.
	Reserve float64 `json:"reserve,omitempty" yaml:"reserve"`

	Labels   map[string]string `json:"labels,omitempty" yaml:"labels"`
	Service  string            `json:"service,omitempty" yaml:"service"`
	Methods  []string          `json:"methods,omitempty" yaml:"methods"`
	Path     string            `json:"path,omitempty" yaml:"path"`
	Selector string            `json:"selector,omitempty" yaml:"selector"`

	Precedence int       `json:"precedence,omitempty" yaml:"precedence"`
	Class      string    `json:"class,omitempty" yaml:"class"`
	Idempotent *bool     `json:"idempotent,omitempty" yaml:"idempotent"`
	Timeout    *Duration `json:"timeout,omitempty" yaml:"timeout"`
	Attempts   *int      `json:"attempts,omitempty" yaml:"attempts"`
	Leaving    *bool     `json:"leaving,omitempty" yaml:"leaving"`
	Target     string    `json:"target,omitempty" yaml:"target"`

	MaxTimeout     *Duration `json:"max-timeout,omitempty" yaml:"max-timeout"`
	ResendHorizon  *Duration `json:"resend-horizon,omitempty" yaml:"resend-horizon"`
	ClockSkew      *Duration `json:"clock-skew,omitempty" yaml:"clock-skew"`
	OwnerStaleness *Duration `json:"home-staleness,omitempty" yaml:"home-staleness"` // the key keeps its earlier name
}

// Key returns the key of the object.
func (d *Document) Key() ObjectKey {
	return ObjectKey{Kind: d.Kind, Name: d.Name}
}

// ObjectKey identifies an object across its versions.
type ObjectKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the key as "kind/name".
func (k ObjectKey) String() string {
	return string(k.Kind) + "/" + k.Name
}

// kindFields lists the fields of one kind, besides kind and name.
type kindFields struct {
	kind     Kind
	required []string
	optional []string
}

var fieldsOfKind = []kindFields{
	{KindClass, []string{"rank"}, []string{"reserve"}},
	{KindService, nil, []string{"labels"}},
	{KindRequest, []string{"service", "path"}, []string{"methods", "labels"}},
	{KindRule, []string{"selector"}, []string{"precedence", "class", "idempotent", "timeout", "attempts"}},
	{KindTargetRule, []string{"selector", "leaving"}, nil},
	{KindTargetLabel, []string{"target", "labels"}, nil},
	{KindDefaults, nil, []string{"class", "timeout", "max-timeout", "attempts", "resend-horizon", "clock-skew", "home-staleness"}},
}

func fieldsOf(kind Kind) (kindFields, bool) {
	for _, f := range fieldsOfKind {
		if f.kind == kind {
			return f, true
		}
	}
	return kindFields{}, false
}

func kindNames() []string {
	names := make([]string, len(fieldsOfKind))
	for i, f := range fieldsOfKind {
		names[i] = string(f.kind)
	}
	return names
}
