package wharfconfig

import (
	"fmt"
	"strings"
)

// Code names a kind of fault.
type Code string

// Codes of faults in documents.
const (
	CodeSyntax        Code = "syntax"
	CodeUnknownKind   Code = "unknown-kind"
	CodeUnknownField  Code = "unknown-field"
	CodeMissingField  Code = "missing-field"
	CodeRange         Code = "range"
	CodeSelector      Code = "selector"
	CodeLabel         Code = "label"
	CodeDuplicate     Code = "duplicate"
	CodeContradiction Code = "contradiction"
	CodeReference     Code = "reference"
)

// Issue is one thing that is wrong with a document, and how to mend it.
type Issue struct {
	Code    Code
	File    string
	Line    int
	Message string
	Remedy  string
}

// Error returns the fault on one line.
func (f Issue) Error() string {
	text := fmt.Sprintf("%s:%d: %s [%s]", f.File, f.Line, f.Message, f.Code)
	if f.Remedy != "" {
		text += "; " + f.Remedy
	}
	return text
}

// Issues is the list of all faults that one reading found.
type Issues []Issue

// Error returns the faults, one a line.
func (f Issues) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (f Issues) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
