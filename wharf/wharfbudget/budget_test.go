package wharfbudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "ragwortwharf.dev/wharf/internal/wharfseed"
)

// attemptFunc takes one attempt from a grant and delegates a part of the rest.
type attemptFunc func(g Grant) (rest Grant, delegated int, ok bool)

// copyGrant is a naive attemptFunc: it delegates the rest without reducing the grant
// by it.
func copyGrant(g Grant) (Grant, int, bool) {
	if g.left < 1 {
		return g, 0, false
	}
	return Grant{left: g.left - 1}, g.left - 1, true
}

// runRandomTree simulates a random call tree in which every hop retries and calls
// further hops, and counts the attempts. Lost responses return nothing.
func runRandomTree(t *rapid.T, withAttempt attemptFunc, g Grant, depth int, attempts *int) Grant {
	tries := rapid.IntRange(0, 4).Draw(t, "tries")
	for range tries {
		rest, delegated, ok := withAttempt(g)
		if !ok {
			return g
		}
		*attempts++
		if *attempts > 4*DefaultAttempts {
			return rest
		}
		left := NewGrant(delegated)
		if depth > 0 {
			left = runRandomTree(t, withAttempt, left, depth-1, attempts)
		}
		g = rest
		if rapid.Bool().Draw(t, "answered") {
			g = g.WithReturned(delegated, left.Left())
		}
	}
	return g
}

func TestAttemptsStayWithinRootGrant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		root := rapid.IntRange(0, DefaultAttempts).Draw(t, "root")
		attempts := 0
		runRandomTree(t, Grant.WithAttempt, NewGrant(root), 9, &attempts)
		if attempts > root {
			t.Fatalf("%d attempts for a grant of %d", attempts, root)
		}
	})
}

// TestCopiedGrantBreaksBound checks that the bound of
// TestAttemptsStayWithinRootGrant can fail: copied grants exceed it.
func TestCopiedGrantBreaksBound(t *testing.T) {
	attempts := 0
	var chain func(g Grant, depth int)
	chain = func(g Grant, depth int) {
		for range 2 {
			_, delegated, ok := copyGrant(g)
			if !ok || depth == 0 {
				return
			}
			attempts++
			chain(NewGrant(delegated), depth-1)
		}
	}
	chain(NewGrant(8), 5)
	is.New(t).True(attempts > 8)
}

func TestChainWithoutFaultsStaysWithinGrant(t *testing.T) {
	tests := []struct {
		name  string
		depth int
		width int
	}{
		{"chain of nine", 9, 1},
		{"two calls in sequence at each of four hops", 4, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			_, ok := walk(NewGrant(DefaultAttempts), tc.depth, tc.width)
			is.New(t).True(ok)
		})
	}
}

// walk makes width calls in sequence at each hop. Each response returns the unused
// attempts.
func walk(g Grant, depth, width int) (Grant, bool) {
	if depth == 0 {
		return g, true
	}
	for range width {
		rest, delegated, ok := g.WithAttempt()
		if !ok {
			return g, false
		}
		left, ok := walk(NewGrant(delegated), depth-1, width)
		if !ok {
			return g, false
		}
		g = rest.WithReturned(delegated, left.Left())
	}
	return g, true
}

func TestLedger(t *testing.T) {
	is := is.New(t)
	var l Ledger
	_, ok := l.TakeAttempt(7)
	is.True(!ok) // an unknown grant creates no attempts
	l.Open(7, ServedCall{Grant: NewGrant(3)})
	delegated, ok := l.TakeAttempt(7)
	is.True(ok)
	is.Equal(delegated, 2)
	_, ok = l.TakeAttempt(7)
	is.True(!ok)
	l.Return(7, delegated, 100)
	is.Equal(l.Close(7).Grant.Left(), 2) // a peer can return no more than was delegated to it
	is.Equal(l.Len(), 0)
}

func TestLedgerMeasuresDownstreamTime(t *testing.T) {
	is := is.New(t)
	var l Ledger
	at := func(ms int) time.Time { return time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond) }
	l.Open(1, ServedCall{})
	l.BeginDownstreamCall(at(10), 1)
	l.BeginDownstreamCall(at(20), 1) // concurrent calls count once
	l.EndDownstreamCall(at(40), 1, DownstreamResult{LevelReduction: 3})
	l.EndDownstreamCall(at(50), 1, DownstreamResult{Refused: true, LevelReduction: 1})
	l.BeginDownstreamCall(at(70), 1)
	l.EndDownstreamCall(at(75), 1, DownstreamResult{Retried: true})
	e := l.Close(1)
	is.Equal(e.DownstreamTime, 45*time.Millisecond)
	is.True(e.DownstreamRefused && e.Retried)
	is.Equal(e.LevelReduction, uint16(3))
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	var b RetryBudget
	allowed := 0
	for range 100 {
		if b.Allow() {
			allowed++
		}
	}
	is.Equal(allowed, retryBurst)
	for range 10 {
		b.Success()
	}
	is.True(b.Allow())
	is.True(!b.Allow())
}

func BenchmarkLedgerTake(b *testing.B) {
	var l Ledger
	l.Open(1, ServedCall{Grant: NewGrant(64)})
	b.ReportAllocs()
	for b.Loop() {
		delegated, _ := l.TakeAttempt(1)
		l.Refund(1, delegated)
	}
}
