package wharfwire

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseContextErrors(t *testing.T) {
	id := strings.Repeat("a", requestIDDigits)
	tests := []struct {
		name string
		text string
	}{
		{"empty", ""},
		{"other version", "2-" + id + "-1-0-1"},
		{"short request id", "1-abc-1-0-1"},
		{"upper case request id", "1-" + strings.ToUpper(id) + "-1-0-1"},
		{"grant is not hexadecimal", "1-" + id + "-xyz-0-1"},
		{"negative depth", "1-" + id + "-1--1-1"},
		{"attempts missing", "1-" + id + "-1-0-"},
		{"oversized", strings.Repeat("1", maxContextLength+1)},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, err := ParseContext(tc.text)
			is.New(t).True(err != nil)
		})
	}
}

func FuzzParseContext(f *testing.F) {
	f.Add(Context{RequestID: strings.Repeat("0", requestIDDigits), Grant: 7, Depth: 2, Attempts: 9}.String())
	f.Fuzz(func(t *testing.T, text string) {
		c, err := ParseContext(text)
		if err != nil {
			return
		}
		reparsed, err := ParseContext(c.String())
		if err != nil || reparsed != c {
			t.Fatalf("%q was formatted as %q, which parses differently: %v", text, c.String(), err)
		}
	})
}

func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	packed := PackHeaders(http.Header{
		"Connection":  {"close"},
		HeaderContext: {"x"},
		"Accept":      {"a", "b"},
	})
	got := http.Header{}
	UnpackHeaders(got, packed)
	is.Equal(got, http.Header{"Accept": {"a", "b"}})
}

func TestBodySumDetectsDifferentBody(t *testing.T) {
	is := is.New(t)
	var full, chunked, empty BodySum
	full.Add([]byte("timetable"))
	chunked.Add([]byte("time"))
	chunked.Add([]byte("table"))
	is.True(full.Matches(chunked.End()))
	is.True(!full.Matches(empty.End()))
	is.True(!full.Matches(nil))
	is.True(empty.Matches((&BodySum{}).End()))
}
