package wharfproxy

import (
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"ragwortwharf.dev/wharf/wharfoutcome"
	"ragwortwharf.dev/wharf/wharfquarantine"
)

// maxBufferedBody is how much of a body is kept for a second attempt, in bytes. A
// longer body is streamed and sent once.
const maxBufferedBody = 64 << 10

// body is the body of a request: the part that is kept, and the rest that
// still comes from the caller.
type body struct {
	prefix []byte
	rest   io.Reader
	length int64
	// restSent says that the rest was given to an attempt.
	restSent bool
}

// readBody reads the part of the body that is kept, and finds out whether a
// short body is complete before anything is sent.
func (e *Proxy) readBody(c *call) (wharfoutcome.Outcome, bool) {
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

func bodyErrorReason(err error) wharfoutcome.Reason {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return wharfoutcome.ReasonBodyIncomplete
	}
	return wharfoutcome.ReasonCancelled
}

// fingerprintOf identifies a request by what its target gets to see.
func fingerprintOf(c *call) wharfquarantine.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.service, c.r.Method, c.r.URL.RequestURI()} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body.prefix)
	return wharfquarantine.Fingerprint(d.Sum64())
}
