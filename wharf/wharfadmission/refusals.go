package wharfadmission

import "time"

const (
	// refusalWeight is the weight of a call in the moving average of the refused share, so
	// that the end of a fault shows after some 30 calls.
	refusalWeight = 1.0 / 16
	// refusingShare is the refused share above which a target counts as refusing calls, and
	// acceptingShare the one below which it doesn't any more.
	refusingShare  = 0.45
	acceptingShare = 0.1
	// refusalTTL is the time after which the refused share is no longer known, because the
	// target gets no calls.
	refusalTTL = time.Second
	// toleratedFailures is the share of the admitted calls that may fail. Of requests that
	// make eight such calls three quarters are then completed.
	toleratedFailures = 0.03
	// minRankCalls is the number of admitted calls of a rank from which their failures tell
	// something.
	minRankCalls = 10
	// safeShare is the part of the admitted share that isn't marginal.
	safeShare = 0.75
	// inProgressTime is the time for which all calls may be repeated after a target has begun to
	// refuse calls: most of them belong to requests that were admitted before and are done in part.
	inProgressTime = 400 * time.Millisecond
	// callsWeight is the weight of a window in the moving average of the calls of a rank.
	callsWeight = 0.1
	// importantRepeats is the part of the repeats that the most important rank is expected to use. It
	// gets more of them, see wharfbudget.RepeatCounter.AllowPaced, but what a window allows falls
	// while the requests that fail make fewer calls.
	importantRepeats = 0.45
	// mildShare is the refused share below which shares grow by fastGrowth while all calls are completed.
	mildShare = 0.3
	// maxRefusalCut is the smallest factor by which one window multiplies a share.
	maxRefusalCut = 0.7
	// fastGrowth is the factor by which a share grows in a window while the target refuses
	// calls and the admitted ones are completed, and slowGrowth that above knownShare of the
	// share that was last too much. acceptingGrowth and acceptingStep are the growth once
	// the target doesn't refuse any more.
	fastGrowth      = 1.08
	slowGrowth      = 1.005
	knownShare      = 0.8
	acceptingGrowth = 2.0
	acceptingStep   = 0.02
)

// Refusals measures which of the calls sent to a target it refuses without running them, and
// computes the shares of the client requests of each rank whose calls can be completed all the
// same, by sending refused calls again. The gate of a target sends no more calls than there are
// slots, so that such a refusal doesn't show the load. A Refusals isn't safe for concurrent use.
// The zero Refusals admits everything.
type Refusals struct {
	windowStart, last time.Time
	// share is the moving average of the refused share of what was sent.
	share    float64
	refusing bool
	// began is the time at which the target began to refuse calls.
	began time.Time
	ranks [rankCount]rankRefusals
}

// rankRefusals holds the calls of a rank that ended since its share was last changed.
type rankRefusals struct {
	// rejected is the share of the client requests that is not admitted.
	rejected float64
	// tooMuch is the admitted share of which too few calls were completed, zero if there was
	// none since the target refuses calls.
	tooMuch float64
	// calls counts the calls of a window, and rate is their moving average.
	calls int
	rate  float64
	// ended counts the calls of admitted requests, and failed those that were refused in
	// the end.
	ended, failed int
}

// Record records that a call was sent to the target, and whether the target refused it. It
// reports whether the target begins or ceases to refuse calls by this.
func (r *Refusals) Record(now time.Time, refused bool) (changed bool) {
	before := r.Refusing(now)
	if now.Sub(r.last) > refusalTTL {
		*r = Refusals{windowStart: now}
	}
	r.last = now
	r.share -= refusalWeight * r.share
	if refused {
		r.share += refusalWeight
	}
	if r.refusing {
		r.refusing = r.share > acceptingShare
	} else {
		r.refusing = r.share > refusingShare
	}
	if now.Sub(r.windowStart) >= delayWindow {
		r.windowStart = now
		for rank := range r.ranks {
			r.ranks[rank].endWindow(r.refusing, r.share)
		}
	}
	changed = r.Refusing(now) != before
	if changed && !before {
		r.began = now
	}
	return changed
}

// RecordEnd records that a call of a priority has ended, and whether the target had refused it
// each time that it was sent.
func (r *Refusals) RecordEnd(p Priority, refused bool) {
	k := &r.ranks[clampRank(p.Rank())]
	k.calls++
	if !r.Repeats(p) {
		return
	}
	k.ended++
	if refused {
		k.failed++
	}
}

// Expect bounds the shares by what can be completed with as many repeats as a ratio of the calls
// allows, at the rates of calls so far. The node calls it when the target begins to refuse calls, because
// requests fail until the shares follow from their calls.
func (r *Refusals) Expect(ratio float64) {
	total := 0.0
	for rank := range r.ranks {
		total += r.ranks[rank].rate
	}
	needed := r.share / (1 - min(r.share, 0.9))
	repeats := ratio * total
	important, others := importantRepeats*repeats, (1-importantRepeats)*repeats
	first := true
	for rank := range r.ranks {
		k := &r.ranks[rank]
		switch {
		case k.rate == 0:
		case first:
			k.expect(important, needed)
			first = false
		default:
			k.expect(others, needed)
			others = max(others-k.rate*needed, 0)
		}
	}
}

// Repeats reports whether a refused call of a priority may be sent again: the repeats are for
// the requests that are admitted, so that what they need isn't spent on others.
func (r *Refusals) Repeats(p Priority) bool {
	return p.admittedBy(r.Admitted(p.Rank())) || r.last.Sub(r.began) < inProgressTime
}

// Marginal reports whether a priority is among the last ones that are admitted. Their calls
// are the first to go without repeats, so that the others are completed if there are too few.
func (r *Refusals) Marginal(p Priority) bool {
	return !p.admittedBy(safeShare * r.Admitted(p.Rank()))
}

// Admitted returns the share of the client requests of a rank whose calls can be completed.
func (r *Refusals) Admitted(rank int) float64 {
	return 1 - r.ranks[clampRank(rank)].rejected
}

// Shares returns the shares of all ranks.
func (r *Refusals) Shares() RankShares {
	return allShares(r.Admitted)
}

// Share returns the share of the calls that the target refuses, zero if it isn't known.
func (r *Refusals) Share(now time.Time) float64 {
	if now.Sub(r.last) > refusalTTL {
		return 0
	}
	return r.share
}

// Refusing reports whether the target refuses a notable share of its calls.
func (r *Refusals) Refusing(now time.Time) bool {
	return r.refusing && now.Sub(r.last) <= refusalTTL
}

// expect bounds the share of a rank by the repeats in a window that are left for it, if each of its
// calls needs a number of repeats.
func (k *rankRefusals) expect(repeats, needed float64) {
	if demand := k.rate * needed; demand > repeats {
		k.rejected = max(k.rejected, 1-max(repeats/demand, minAdmittedShare))
	}
}

// endWindow computes the share of a rank from the calls that have ended, while the target refuses
// a share of what is sent to it.
func (k *rankRefusals) endWindow(refusing bool, refused float64) {
	k.rate += callsWeight * (float64(k.calls) - k.rate)
	k.calls = 0
	admitted := 1 - k.rejected
	enough := k.ended >= minRankCalls
	failed := float64(k.failed) / float64(max(k.ended, 1))
	switch {
	case !refusing:
		k.tooMuch, admitted = 0, acceptingGrowth*admitted+acceptingStep
	case enough && failed > toleratedFailures:
		k.tooMuch, admitted = admitted, admitted*max(1-failed, maxRefusalCut)
	case enough && (admitted < knownShare*k.tooMuch || refused < mildShare):
		admitted *= fastGrowth
	case enough:
		admitted *= slowGrowth
	default:
		return
	}
	k.rejected, k.ended, k.failed = 1-min(max(admitted, minAdmittedShare), 1), 0, 0
}
