package wharftarget

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestURIIsSentUnchanged guards against a target that gets another path or query than the caller has
// sent: it is encoded again, or a part is dropped. A URI that can't be sent unchanged is refused.
func TestURIIsSentUnchanged(t *testing.T) {
	tests := []struct {
		uri  string
		kept bool
	}{
		{"/routes%2Fnorth/7", true},
		{"/stops/east%20hall?day=1%2F2", true},
		{"/a|b\"c", true},
		{"/a?", true},
		{"//", true},
		{"//routes%2Fnorth/7", true},
		{"//stops/east%20hall?day=1%2F2", true},
		{"//stops/east%20hall?day=|\"&&?x=%", true},
		{"//a?", true},
		{"//a/%e4%BD%a0", true},
		{"//a:b@c/;d=1,2/[x]/!$&'()*+=~", true},
		{"///a//b%2f%2F", true},
		{"//host:80/a", true},
		{"//a|b", false},
		{"//a\"b?x", false},
		{"//\u00e4", false},
		{"//a%zz", false},
	}
	for _, tc := range tests {
		t.Run(tc.uri, func(t *testing.T) {
			is := is.New(t)
			is.Equal(KeepsURI(tc.uri), tc.kept)
			if !tc.kept {
				return
			}
			r := &http.Request{Method: http.MethodGet, URL: requestURL("127.0.0.1:1", tc.uri), Header: http.Header{}}
			var wire bytes.Buffer
			is.NoErr(r.Write(&wire))
			line, err := bufio.NewReader(&wire).ReadString('\n')
			is.NoErr(err)
			is.Equal(line, "GET "+tc.uri+" HTTP/1.1\r\n")
		})
	}
}
