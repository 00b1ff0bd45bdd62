package wharftarget

import (
	"net/http"
	"regexp"
)

// statusLine matches the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}( |$)`)

// continuesHead reports whether the head of a response consists of a part of another one and the
// head of a second response, whose status line has become the end of a line of the first. A
// faulty target writes such a part on a kept connection before its next response.
func continuesHead(response *http.Response) bool {
	if statusLine.MatchString(response.Status) {
		return true
	}
	for _, values := range response.Header {
		for _, value := range values {
			if statusLine.MatchString(value) {
				return true
			}
		}
	}
	// net/http takes the names in the header Trailer out of the other headers.
	for name := range response.Trailer {
		if statusLine.MatchString(name) {
			return true
		}
	}
	return false
}
