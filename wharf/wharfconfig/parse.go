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

// SourceDocument is a document with the place that it was read from.
type SourceDocument struct {
	Document
	File string
	// lines holds the line of each field; the empty name is the document's.
	lines []fieldLine
}

type fieldLine struct {
	field string
	line  int
}

// Line returns the line of a field, or that of the document.
func (l *SourceDocument) Line(field string) int {
	first := 1
	for _, fl := range l.lines {
		if fl.field == field {
			return fl.line
		}
		if fl.field == "" {
			first = fl.line
		}
	}
	return first
}

// Parse reads all documents of a YAML file and reports every fault of their
// form at once. Faults of meaning are found by Validate.
func Parse(file string, data []byte) ([]SourceDocument, Issues) {
	var docs []SourceDocument
	var faults Issues
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return docs, faults
		}
		if err != nil {
			return docs, append(faults, yamlFaults(file, err)...)
		}
		doc, found := parseDocument(file, &node)
		faults = append(faults, found...)
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
	var faults Issues
	if err := mapping.Decode(&doc.Document); err != nil {
		faults = append(faults, yamlFaults(file, err)...)
	}
	return doc, append(faults, checkFields(&doc)...)
}

// checkFields refuses fields that the kind doesn't have and finds missing ones.
func checkFields(doc *SourceDocument) Issues {
	fields, ok := fieldsOf(doc.Kind)
	if !ok {
		return Issues{{
			CodeUnknownKind, doc.File, doc.Line("kind"),
			fmt.Sprintf("kind %q is unknown", doc.Kind),
			"use one of " + strings.Join(kindNames(), ", "),
		}}
	}
	var faults Issues
	allowed := slices.Concat([]string{"kind", "name"}, fields.required, fields.optional)
	for _, fl := range doc.lines[1:] {
		if slices.Contains(allowed, fl.field) {
			continue
		}
		faults = append(faults, Issue{
			CodeUnknownField, doc.File, fl.line,
			fmt.Sprintf("kind %s has no field %q", doc.Kind, fl.field),
			"its fields are " + strings.Join(allowed, ", "),
		})
	}
	for _, name := range append([]string{"name"}, fields.required...) {
		if doc.has(name) {
			continue
		}
		faults = append(faults, Issue{
			CodeMissingField, doc.File, doc.Line(""),
			fmt.Sprintf("kind %s needs the field %q", doc.Kind, name),
			"add it",
		})
	}
	return faults
}

func (l *SourceDocument) has(field string) bool {
	return slices.ContainsFunc(l.lines, func(fl fieldLine) bool { return fl.field == field })
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// yamlFaults turns the errors of the YAML library into faults with lines.
func yamlFaults(file string, err error) Issues {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	faults := make(Issues, 0, len(messages))
	for _, message := range messages {
		fault := Issue{Code: CodeSyntax, File: file, Line: 1, Message: message, Remedy: "correct the YAML"}
		if m := yamlLine.FindStringSubmatch(message); m != nil {
			fault.Line, _ = strconv.Atoi(m[1])
			fault.Message = m[2]
		}
		faults = append(faults, fault)
	}
	return faults
}
