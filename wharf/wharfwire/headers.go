package wharfwire

import "net/http"

// Names of the HTTP headers that callers, services and nodes share.
const (
	HeaderService        = "Wharf-Service"
	HeaderContext        = "Wharf-Context"
	HeaderTimeout        = "Wharf-Timeout-Ms"
	HeaderCaller         = "Wharf-Caller"
	HeaderOutcome        = "Wharf-Outcome"
	HeaderReason         = "Wharf-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRetryAfter     = "Retry-After"
	// HeaderRetryAfterMs gives the advice of retry-after in milliseconds.
	HeaderRetryAfterMs = "Wharf-Retry-After-Ms"
)

// hopByHop lists the headers that belong to one connection only.
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

// ownHeaders lists the headers that a node sets itself on each hop.
var ownHeaders = []string{
	HeaderContext,
	HeaderOutcome,
	HeaderReason,
	HeaderTimeout,
}

// PackHeaders copies the end-to-end headers into messages.
func PackHeaders(h http.Header) []*Header {
	out := make([]*Header, 0, len(h))
	for name, values := range h {
		if listed(hopByHop, name) || listed(ownHeaders, name) {
			continue
		}
		out = append(out, &Header{Name: name, Values: values})
	}
	return out
}

// UnpackHeaders copies messages into headers, without those of one hop.
func UnpackHeaders(into http.Header, packed []*Header) {
	for _, h := range packed {
		name := http.CanonicalHeaderKey(h.GetName())
		if listed(hopByHop, name) || listed(ownHeaders, name) {
			continue
		}
		into[name] = h.GetValues()
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
