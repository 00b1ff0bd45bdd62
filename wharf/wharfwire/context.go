package wharfwire

import (
	"strconv"
	"strings"

	"github.com/samber/oops"
)

const (
	contextVersion   = "1"
	contextParts     = 5
	requestIDDigits  = 32
	maxContextLength = 128
)

// MaxDepth is the deepest call chain that a node accepts.
const MaxDepth = 32

// Context is what the wharf-context header carries from the call that a
// service serves to the calls that it makes. The grant names the entry in the
// ledger of the node that dispatched the call; class, deadline and attempts
// stay in that entry, where a service can't change them.
type Context struct {
	RequestID string
	Grant     uint64
	Depth     int
	// Attempts says how many were granted. It informs the service only.
	Attempts int
}

// String returns the header form.
func (c Context) String() string {
	return strings.Join([]string{
		contextVersion,
		c.RequestID,
		strconv.FormatUint(c.Grant, 16),
		strconv.Itoa(c.Depth),
		strconv.Itoa(c.Attempts),
	}, "-")
}

// ParseContext reads the header form.
func ParseContext(text string) (Context, error) {
	if len(text) > maxContextLength {
		return Context{}, contextError("is %d bytes long, at most %d are allowed", len(text), maxContextLength)
	}
	parts := strings.Split(text, "-")
	if len(parts) != contextParts || parts[0] != contextVersion {
		return Context{}, contextError("has not the form %s-REQUEST-GRANT-DEPTH-ATTEMPTS", contextVersion)
	}
	if !isLowerHex(parts[1], requestIDDigits) {
		return Context{}, contextError("has a request id that is not %d hexadecimal digits", requestIDDigits)
	}
	grant, err := strconv.ParseUint(parts[2], 16, 64)
	if err != nil {
		return Context{}, contextError("has the grant %q, which is not hexadecimal", parts[2])
	}
	depth, err := strconv.Atoi(parts[3])
	if err != nil || depth < 0 {
		return Context{}, contextError("has the depth %q, which is not a whole number", parts[3])
	}
	attempts, err := strconv.Atoi(parts[4])
	if err != nil || attempts < 0 {
		return Context{}, contextError("has the attempts %q, which is not a whole number", parts[4])
	}
	return Context{RequestID: parts[1], Grant: grant, Depth: depth, Attempts: attempts}, nil
}

func contextError(format string, args ...any) error {
	return oops.Code("context-syntax").Errorf("wharf-context "+format, args...)
}

func isLowerHex(s string, n int) bool {
	if len(s) != n {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
