package wharfproxy

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
)

// maxBufferedBody is how much of a request body is buffered for further
// attempts, in bytes. A longer body is streamed and can be sent only once.
const maxBufferedBody = 64 << 10

// body is the body of a request: a buffered prefix, and the rest that is still
// to be read from the caller.
type body struct {
	prefix []byte
	// rest is nil if the prefix is the whole body.
	rest io.Reader
	// length is the Content-Length of the request in bytes, -1 if unknown.
	length int64
	// restSent is true once an attempt has begun to send the rest, and restRead once it has
	// read the rest to its end.
	restSent bool
	restRead atomic.Bool
}

// readBody buffers the prefix of the body. A body that is shorter than the
// buffer is read to its end, so that an incomplete one is refused before
// anything is sent.
func (p *Proxy) readBody(c *call) (wharfoutcome.Outcome, bool) {
	c.body.length = c.r.ContentLength
	if c.r.Body != nil && c.r.Body != http.NoBody {
		prefix, err := io.ReadAll(io.LimitReader(c.r.Body, maxBufferedBody))
		if err != nil {
			return wharfoutcome.Refuse(bodyErrorReason(err)), false
		}
		c.body.prefix = prefix
		if len(prefix) == maxBufferedBody {
			c.body.rest = c.r.Body
		}
	}
	c.fingerprint = fingerprintOf(c)
	return wharfoutcome.Outcome{}, true
}

// closeAfter tells the caller that its connection ends with the response, if the rest of the body
// isn't read by then: net/http would read the next request twice at once, and panic, if it
// reached the end of the body only after the handler.
func (b *body) closeAfter(h http.Header) {
	if b.restSent && !b.restRead.Load() {
		h.Set("Connection", "close")
	}
}

// bodyErrorReason returns the reason for an error while reading the body: the
// body was incomplete, or the caller disconnected.
func bodyErrorReason(err error) wharfoutcome.Reason {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return wharfoutcome.ReasonBodyIncomplete
	}
	return wharfoutcome.ReasonCancelled
}

// fingerprintOf hashes what the target receives of a request: service, method,
// URI and the buffered prefix of the body. Resends of a request have the same
// fingerprint.
func fingerprintOf(c *call) wharfquarantine.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.service, c.r.Method, c.r.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body.prefix)
	return wharfquarantine.Fingerprint(d.Sum64())
}
