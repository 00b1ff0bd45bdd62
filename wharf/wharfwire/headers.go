package wharfwire

import "net/http"

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

// PackHeaders converts the end-to-end headers to messages. The messages share
// the value slices with h.
func PackHeaders(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		if listed(hopByHop, name) || listed(nodeHeaders, name) {
			continue
		}
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

// UnpackHeaders puts the headers of the messages into headers, without hop-by-hop
// headers and those that each node sets itself. It replaces headers of the same
// name and shares the value slices with the messages.
func UnpackHeaders(headers http.Header, packed []*Header) {
	for _, h := range packed {
		name := http.CanonicalHeaderKey(h.GetName())
		if listed(hopByHop, name) || listed(nodeHeaders, name) {
			continue
		}
		headers[name] = h.GetValues()
	}
}

func listed(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
