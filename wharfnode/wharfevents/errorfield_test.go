package wharfevents

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/samber/oops"
)

// TestErrorFieldHasCodeAndDetails guards against log lines that carry a source
// location or lack the code or details of an error.
func TestErrorFieldHasCodeAndDetails(t *testing.T) {
	is := is.New(t)
	is.Equal(ErrorField(errors.New("no room")).Value, "no room")
	err := oops.Code("store-unanswered").With("status", 503).With("cause", "timeout").Errorf("log unavailable")
	is.Equal(ErrorField(err).Value, "store-unanswered: log unavailable; cause: timeout; status: 503")
	is.True(!strings.Contains(ErrorField(oops.Wrap(err)).Value.(string), ".go:"))
}
