package wharftarget

import (
	"net/url"
	"strings"
)

// absoluteSlashes begins a URI that net/http takes for one with a host if it is opaque.
const absoluteSlashes = "//"

// requestURL returns the URL of a request to a target. The opaque form keeps the URI as the caller
// wrote it, without decoding and encoding it again. net/http would send an opaque URI that begins
// with // as an absolute URI, whose host is the first path segment, so such a URI is set as path
// and query, with the path in its encoded form.
func requestURL(address, uri string) *url.URL {
	u := &url.URL{Scheme: "http", Host: address}
	if !strings.HasPrefix(uri, absoluteSlashes) {
		u.Opaque = uri
		return u
	}
	path, query, hasQuery := strings.Cut(uri, "?")
	u.Path, u.RawPath = path, path
	if decoded, err := url.PathUnescape(path); err == nil {
		u.Path = decoded
	}
	u.RawQuery, u.ForceQuery = query, hasQuery
	return u
}

// KeepsURI reports whether a request to a target can have the URI as the caller wrote it. net/http
// encodes a path that begins with // if it has characters that a URI can't have.
func KeepsURI(uri string) bool {
	if !strings.HasPrefix(uri, absoluteSlashes) {
		return true
	}
	u := requestURL("", uri)
	path, _, _ := strings.Cut(uri, "?")
	return u.EscapedPath() == path
}
