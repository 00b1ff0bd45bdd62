package wharfconfig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// SourceDocument is a document with its position in a file.
type SourceDocument struct {
	Document
	File string
	// lines holds the first line of the document under the empty name, then the
	// line of each field.
	lines []fieldLine
}

type fieldLine struct {
	field string
	line  int
}

// Line returns the line of a field, or the first line of the document if it
// doesn't have the field.
func (d *SourceDocument) Line(field string) int {
	documentLine := 1
	for _, fl := range d.lines {
		if fl.field == field {
			return fl.line
		}
		if fl.field == "" {
			documentLine = fl.line
		}
	}
	return documentLine
}

// Parse reads all documents of a YAML file. It returns the documents that are
// well formed, and every syntax and field issue of the others. Validate checks
// the values.
func Parse(file string, data []byte) ([]SourceDocument, Issues) {
	var docs []SourceDocument
	var issues Issues
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return docs, issues
		}
		if err != nil {
			return docs, append(issues, yamlIssues(file, err)...)
		}
		doc, found := parseDocument(file, &node)
		issues = append(issues, found...)
		if len(found) == 0 {
			docs = append(docs, doc)
		}
	}
}

func parseDocument(file string, node *yaml.Node) (SourceDocument, Issues) {
	if len(node.Content) != 1 || node.Content[0].Kind != yaml.MappingNode {
		return SourceDocument{}, Issues{{CodeSyntax, file, node.Line, "document is not a mapping", "write fields such as \"kind: service\""}}
	}
	mapping := node.Content[0]
	doc := SourceDocument{File: file, lines: []fieldLine{{"", mapping.Line}}}
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		doc.lines = append(doc.lines, fieldLine{mapping.Content[i].Value, mapping.Content[i].Line})
	}
	var issues Issues
	if err := mapping.Decode(&doc.Document); err != nil {
		issues = append(issues, yamlIssues(file, err)...)
	}
	return doc, append(issues, checkFields(&doc)...)
}

// checkFields reports fields that the kind doesn't have and required fields
// that are missing.
func checkFields(doc *SourceDocument) Issues {
	fields, ok := fieldsOf(doc.Kind)
	if !ok {
		return Issues{{
			CodeUnknownKind, doc.File, doc.Line("kind"),
			fmt.Sprintf("kind %q is unknown", doc.Kind),
			"use one of " + strings.Join(kindNames(), ", "),
		}}
	}
	var issues Issues
	allowed := slices.Concat([]string{"kind", "name"}, fields.required, fields.optional)
	for _, fl := range doc.lines[1:] {
		if slices.Contains(allowed, fl.field) {
			continue
		}
		issues = append(issues, Issue{
			CodeUnknownField, doc.File, fl.line,
			fmt.Sprintf("kind %s has no field %q", doc.Kind, fl.field),
			"its fields are " + strings.Join(allowed, ", "),
		})
	}
	for _, name := range append([]string{"name"}, fields.required...) {
		if doc.has(name) {
			continue
		}
		issues = append(issues, Issue{
			CodeMissingField, doc.File, doc.Line(""),
			fmt.Sprintf("kind %s needs the field %q", doc.Kind, name),
			"add the field",
		})
	}
	return issues
}

func (d *SourceDocument) has(field string) bool {
	return slices.ContainsFunc(d.lines, func(fl fieldLine) bool { return fl.field == field })
}

// yamlLine matches the line number and the message in an error of the YAML
// library.
var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// yamlIssues converts an error of the YAML library into issues with lines.
func yamlIssues(file string, err error) Issues {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	issues := make(Issues, 0, len(messages))
	for _, message := range messages {
		issue := Issue{Code: CodeSyntax, File: file, Line: 1, Message: message, Remedy: "correct the YAML"}
		if m := yamlLine.FindStringSubmatch(message); m != nil {
			issue.Line, _ = strconv.Atoi(m[1])
			issue.Message = m[2]
		}
		issues = append(issues, issue)
	}
	return issues
}
