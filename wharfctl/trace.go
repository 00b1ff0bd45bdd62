package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// traceCommand prints the lines about one request in the logs of nodes.
type traceCommand struct {
	ID    string   `arg:"" help:"ID of the request."`
	Files []string `arg:"" optional:"" help:"Log files in JSON, in any order; standard input if omitted."`
}

// logLine is one line of a log in JSON.
type logLine struct {
	Time    time.Time      `json:"timestamp"`
	Level   string         `json:"level"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
	// source is the name of the log file, or the last word before the JSON
	// text on the line if there is one.
	source string
}

// Run prints the matching lines of all logs in order of time.
func (c *traceCommand) Run(t *terminal) error {
	lines, err := c.read()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return oops.Code("request-unknown").Errorf("no line names the request %s; lines about it may have been dropped", c.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		t.printf("%s %s %v %s%s\n", l.Time.Format(time.RFC3339Nano), l.source, l.Fields["event"], l.Message, l.details())
	}
	return nil
}

// read returns the matching lines of all logs, in the order of the files.
func (c *traceCommand) read() ([]logLine, error) {
	if len(c.Files) == 0 {
		return c.scan("-", os.Stdin)
	}
	var all []logLine
	for _, name := range c.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, oops.Code("log-unreadable").Wrap(err)
		}
		lines, err := c.scan(name, f)
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// scan returns the lines about the request. Lines that aren't JSON are skipped,
// because other programs may write to the same log.
func (c *traceCommand) scan(source string, r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, []byte(c.ID)) {
			continue
		}
		l := logLine{source: source}
		if json.Unmarshal(text[start:], &l) != nil || l.Fields["request"] != c.ID {
			continue
		}
		// Log collectors write the name of the node before the line.
		if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
			l.source = prefix[len(prefix)-1]
		}
		lines = append(lines, l)
	}
	if err := scanner.Err(); err != nil {
		return nil, oops.Code("log-unreadable").With("source", source).Wrap(err)
	}
	return lines, nil
}

// details formats the remaining fields, sorted by name.
func (l logLine) details() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "event" && name != "name" && name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
