package wharfwire

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
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
	is.NoErr(UnpackHeaders(got, packed))
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

// TestHeaderEncoding checks that a packed header has the encoding of a Header message,
// which nodes of earlier versions decode.
func TestHeaderEncoding(t *testing.T) {
	is := is.New(t)
	packed := PackHeaders(http.Header{"X-Name": {"one", "", "three"}})
	is.Equal(len(packed), 1)
	var m Header
	is.NoErr(proto.Unmarshal(packed[0], &m))
	is.Equal(m.GetName(), "X-Name")
	is.Equal(m.GetValues(), []string{"one", "", "three"})
	encoded, err := proto.Marshal(&m)
	is.NoErr(err)
	got := http.Header{}
	is.NoErr(UnpackHeaders(got, [][]byte{encoded, encoded}))
	is.Equal(got, http.Header{"X-Name": {"one", "", "three"}})
}

func TestMalformedHeaderIsRefused(t *testing.T) {
	whole := PackHeaders(http.Header{"X-Name": {"value"}})[0]
	tests := []struct {
		name    string
		encoded []byte
	}{
		{"truncated", whole[:len(whole)-1]},
		{"length beyond the end", []byte{0x0a, 0x7f}},
		{"field of another type", []byte{0x08, 0x01}},
		{"group", []byte{0x0b}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).True(UnpackHeaders(http.Header{}, [][]byte{tc.encoded}) != nil)
		})
	}
}

func FuzzUnpackHeaders(f *testing.F) {
	f.Add(PackHeaders(http.Header{"X-Name": {"one", "two"}})[0])
	f.Fuzz(func(t *testing.T, encoded []byte) {
		got := http.Header{}
		if UnpackHeaders(got, [][]byte{encoded}) != nil {
			return
		}
		again := http.Header{}
		if err := UnpackHeaders(again, PackHeaders(got)); err != nil {
			t.Fatal(err)
		}
		for name, values := range got {
			if !slices.Equal(again[name], values) {
				t.Fatalf("%q was decoded as %q and then as %q", name, values, again[name])
			}
		}
	})
}
