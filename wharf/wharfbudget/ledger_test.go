package wharfbudget

import (
	"testing"

	"github.com/matryer/is"
)

// TestLedgerFindsRequests checks that a call is found by the id of its request only while
// it is being served.
func TestLedgerFindsRequests(t *testing.T) {
	is := is.New(t)
	var l Ledger
	_, ok := l.Find("a")
	is.True(!ok)
	l.Open(1, ServedCall{Request: "a", Rank: 2})
	l.Open(2, ServedCall{Request: "b", Rank: 3})
	found, ok := l.Find("a")
	is.True(ok)
	is.Equal(found.Rank, 2)
	// A later call of the same request replaces the earlier one, whose end doesn't remove it.
	l.Open(3, ServedCall{Request: "a", Rank: 1})
	l.Close(1)
	found, ok = l.Find("a")
	is.True(ok)
	is.Equal(found.Rank, 1)
	l.Close(3)
	_, ok = l.Find("a")
	is.True(!ok)
	_, ok = l.Find("b")
	is.True(ok)
}
