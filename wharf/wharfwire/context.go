package wharfwire

import (
	"strconv"
	"strings"

	"github.com/samber/oops"
)

const (
	contextVersion   = "1"
	contextFields    = 5
	requestIDDigits  = 32
	maxContextLength = 128 // bytes
)

// MaxDepth is the greatest depth of a call chain that a node accepts.
const MaxDepth = 32

// Context is the content of the Wharf-Context header. A service copies the
// header from the call that it serves to the calls that it makes. Grant
// identifies the entry in the ledger (wharfbudget.Ledger) of the node that
// dispatched the call. That entry holds class, deadline and attempts, so that a
// service can't change them.
type Context struct {
	// RequestID identifies the user request, the request at the start of the call
	// chain.
	RequestID string
	Grant     uint64
	Depth     int
	// Attempts is the number of attempts granted, for the information of the
	// service only. Nodes don't use it.
	Attempts int
}

// String returns the value of the header.
func (c Context) String() string {
	return strings.Join([]string{
		contextVersion,
		c.RequestID,
		strconv.FormatUint(c.Grant, 16),
		strconv.Itoa(c.Depth),
		strconv.Itoa(c.Attempts),
	}, "-")
}

// ParseContext parses the value of the header.
func ParseContext(text string) (Context, error) {
	if len(text) > maxContextLength {
		return Context{}, contextError("is %d bytes long, at most %d are allowed", len(text), maxContextLength)
	}
	parts := strings.Split(text, "-")
	if len(parts) != contextFields || parts[0] != contextVersion {
		return Context{}, contextError("does not have the form %s-REQUEST-GRANT-DEPTH-ATTEMPTS", contextVersion)
	}
	if !isLowerHex(parts[1], requestIDDigits) {
		return Context{}, contextError("has a request id that is not %d lower-case hexadecimal digits", requestIDDigits)
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

// isLowerHex reports whether s consists of n lower-case hexadecimal digits.
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
