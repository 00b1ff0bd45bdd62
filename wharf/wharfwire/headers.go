package wharfwire

import (
	"net/http"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protowire"
)

// Names of the HTTP headers between callers, services and nodes.
const (
	HeaderService        = "Wharf-Service"
	HeaderContext        = "Wharf-Context"
	HeaderTimeout        = "Wharf-Timeout-Ms"
	HeaderCaller         = "Wharf-Caller"
	HeaderOutcome        = "Wharf-Outcome"
	HeaderReason         = "Wharf-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRetryAfterMs is the retry-after hint in milliseconds.
	HeaderRetryAfterMs = "Wharf-Retry-After-Ms"
	// HeaderAccountKey holds the key of a client account, and HeaderAccount, which nodes set for
	// targets, its name.
	HeaderAccountKey = "Wharf-Account-Key"
	HeaderAccount    = "Wharf-Account"
	// HeaderRateLimit is how many requests a second a target takes from all nodes
	// together, a decimal number. The limit holds as long as responses name it.
	HeaderRateLimit = "Wharf-Rate-Limit"
	// HeaderLeaving is "1" in the responses of a target that is about to stop.
	HeaderLeaving = "Wharf-Leaving"
)

// hopByHop lists the headers that apply to a single connection (hop-by-hop
// headers).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
}

// nodeHeaders lists the headers that each node sets itself and doesn't forward.
var nodeHeaders = []string{
	HeaderContext,
	HeaderOutcome,
	HeaderReason,
	HeaderTimeout,
}

// forwarded reports whether a header is forwarded from one connection to the next.
func forwarded(name string) bool {
	return !listed(hopByHop, name) && !listed(nodeHeaders, name)
}

var errMalformedHeader = oops.Code("header-malformed").Errorf("a header of a frame is malformed")

// Fields of a Header message.
const (
	nameField  protowire.Number = 1
	valueField protowire.Number = 2
)

// PackHeaders encodes each end-to-end header as a Header message.
func PackHeaders(h http.Header) [][]byte {
	size := 0
	for name, values := range h {
		size += sizeHeader(name, values)
	}
	buffer, out := make([]byte, 0, size), make([][]byte, 0, len(h))
	for name, values := range h {
		if !forwarded(name) {
			continue
		}
		start := len(buffer)
		buffer = appendHeader(buffer, name, values)
		out = append(out, buffer[start:len(buffer):len(buffer)])
	}
	return out
}

func sizeHeader(name string, values []string) int {
	size := protowire.SizeTag(nameField) + protowire.SizeBytes(len(name))
	for _, v := range values {
		size += protowire.SizeTag(valueField) + protowire.SizeBytes(len(v))
	}
	return size
}

func appendHeader(b []byte, name string, values []string) []byte {
	b = protowire.AppendTag(b, nameField, protowire.BytesType)
	b = protowire.AppendString(b, name)
	for _, v := range values {
		b = protowire.AppendTag(b, valueField, protowire.BytesType)
		b = protowire.AppendString(b, v)
	}
	return b
}

// UnpackHeaders puts encoded headers into headers, without hop-by-hop headers and
// those that each node sets itself. It replaces headers of the same name. It returns
// an error if a header is malformed.
func UnpackHeaders(headers http.Header, packed [][]byte) error {
	// Most headers have one value, so the values of all headers share an array.
	values := make([]string, 0, len(packed))
	for _, encoded := range packed {
		start := len(values)
		name, all, err := decodeHeader(encoded, values)
		if err != nil {
			return err
		}
		values = all
		name = http.CanonicalHeaderKey(name)
		if forwarded(name) {
			headers[name] = values[start:len(values):len(values)]
		}
	}
	return nil
}

// decodeHeader returns the name of an encoded header, and appends its values.
func decodeHeader(encoded []byte, values []string) (string, []string, error) {
	name, text := "", string(encoded)
	for at := 0; at < len(encoded); {
		number, kind, n := protowire.ConsumeTag(encoded[at:])
		if n < 0 || kind != protowire.BytesType {
			return "", nil, errMalformedHeader
		}
		content, length := protowire.ConsumeBytes(encoded[at+n:])
		if length < 0 {
			return "", nil, errMalformedHeader
		}
		at += n + length
		switch number {
		case nameField:
			name = text[at-len(content) : at]
		case valueField:
			values = append(values, text[at-len(content):at])
		}
	}
	return name, values, nil
}

func listed(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
