package wharfconfig

import (
	"fmt"
	"strings"
)

// Code is the code of an issue, for operators and scripts.
type Code string

// Codes of the issues that documents can have.
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

// Issue is one error in a document. Remedy is the advice to the operator on how
// to correct it and may be empty.
type Issue struct {
	Code    Code
	File    string
	Line    int
	Message string
	Remedy  string
}

// Error returns the issue on one line.
func (i Issue) Error() string {
	text := fmt.Sprintf("%s:%d: %s [%s]", i.File, i.Line, i.Message, i.Code)
	if i.Remedy != "" {
		text += "; " + i.Remedy
	}
	return text
}

// Issues lists all issues that one run of Parse or Validate found.
type Issues []Issue

// Error returns the issues, one on each line.
func (list Issues) Error() string {
	lines := make([]string, len(list))
	for i, issue := range list {
		lines[i] = issue.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (list Issues) Err() error {
	if len(list) == 0 {
		return nil
	}
	return list
}
