package wharfadmission

import (
	"math"
	"slices"
	"time"
)

const (
	// shareHalfLife is the time in which the weight of earlier shares in the moving
	// average halves. The calls of a request reach several targets, whose shares differ.
	// For a share below the average it is this time divided by fallSquarings squarings of the weight,
	// 25 ms: a request is completed only if all targets serve its calls, and each hop upstream learns
	// of congestion one such time later.
	shareHalfLife = 100 * time.Millisecond
	fallSquarings = 2
	// shareTTL is the age after which a share is no longer known to be right. It then
	// doubles in each shareDoublingTime, so that a target that admits too few requests to
	// learn the present share recovers.
	shareTTL          = 500 * time.Millisecond
	shareDoublingTime = 500 * time.Millisecond
	// usedTTL is how long a service counts as called for the requests of a rank after the
	// last such call.
	usedTTL = 10 * time.Second
)

// DownstreamShares holds the shares of the client requests of each rank that the services
// downstream of a target can serve. The congested target computes the shares, because it
// sees all calls, while each of many targets upstream makes too few calls to measure the
// congestion. Each response carries the shares of all ranks upstream, so that a rank of which
// few requests are admitted learns of more room from the calls of the others. A
// DownstreamShares isn't safe for concurrent use. The zero DownstreamShares admits everything.
type DownstreamShares struct {
	services []serviceShares
}

// serviceShares holds the shares that the targets of a called service reported.
type serviceShares struct {
	service  string
	admitted [rankCount]float64
	// accounts holds the shares of the accounts that get less than their rank.
	accounts listedShares
	at       time.Time
	// used holds the time of the last call for a request of each rank.
	used [rankCount]time.Time
}

// Observe records the shares that the response to a call reported, and the service and the
// rank of the client request that the call was made for.
func (s *DownstreamShares) Observe(now time.Time, service string, rank int, reported RankShares) {
	s.ObserveReport(now, service, rank, Report{Ranks: reported})
}

// ObserveReport is Observe with the shares of accounts.
func (s *DownstreamShares) ObserveReport(now time.Time, service string, rank int, reported Report) {
	if reported.Ranks == (RankShares{}) {
		return
	}
	k := s.service(service)
	k.used[clampRank(rank)] = now
	rise, fall := 0.0, 0.0
	if !k.at.IsZero() {
		rise, fall = earlierWeights(now.Sub(k.at))
	}
	if len(reported.Accounts) > 0 || len(k.accounts.shares) > 0 {
		k.accounts.observe(now, reported, rise, fall, &k.admitted)
	}
	for r := range k.admitted {
		if admitted, known := reported.Ranks.Admitted(r); known {
			k.admitted[r] = average(k.admitted[r], admitted, rise, fall)
		}
	}
	k.at = now
}

// earlierWeights returns the weights of an average of an age in the next one, for a larger and for a
// smaller value.
func earlierWeights(age time.Duration) (rise, fall float64) {
	rise = math.Exp2(-age.Seconds() / shareHalfLife.Seconds())
	fall = rise
	for range fallSquarings {
		fall *= fall
	}
	return rise, fall
}

func (s *DownstreamShares) service(name string) *serviceShares {
	for i := range s.services {
		if s.services[i].service == name {
			return &s.services[i]
		}
	}
	s.services = append(s.services, serviceShares{service: name})
	k := &s.services[len(s.services)-1]
	for r := range k.admitted {
		k.admitted[r] = 1
	}
	return k
}

// Admitted returns the share of the client requests of a rank to admit: the smallest share of
// the services that are called for such requests.
func (s *DownstreamShares) Admitted(now time.Time, rank int) float64 {
	return s.AdmittedOf(now, 0, rank)
}

// AdmittedOf returns the share of the client requests of an account and a rank to admit.
func (s *DownstreamShares) AdmittedOf(now time.Time, account uint32, rank int) float64 {
	rank = clampRank(rank)
	admitted := 1.0
	for i := range s.services {
		k := &s.services[i]
		if now.Sub(k.used[rank]) > usedTTL {
			continue
		}
		share := max(k.accounts.admitted(account, rank, k.admitted[rank]), minAdmittedShare)
		if stale := now.Sub(k.at) - shareTTL; stale > 0 {
			share *= math.Exp2(stale.Seconds() / shareDoublingTime.Seconds())
		}
		admitted = min(admitted, share)
	}
	return admitted
}

// Report returns the shares of all ranks, and those of the accounts that get less.
func (s *DownstreamShares) Report(now time.Time) Report {
	report := Report{Ranks: s.Shares(now)}
	for i := range s.services {
		for _, k := range s.services[i].accounts.shares {
			if len(report.Accounts) < maxListedAccounts && !slices.ContainsFunc(report.Accounts, func(t AccountShare) bool { return t.key() == k.key }) {
				account, rank := k.key.Account(), k.key.Rank()
				report.Accounts = append(report.Accounts, NewAccountShare(account, rank, s.AdmittedOf(now, account, rank)))
			}
		}
	}
	slices.Sort(report.Accounts)
	return report
}

// Shares returns the shares of all ranks.
func (s *DownstreamShares) Shares(now time.Time) RankShares {
	return allShares(func(rank int) float64 { return s.Admitted(now, rank) })
}

// AdmitOf reports whether a client request of an account and a priority is admitted.
func (s *DownstreamShares) AdmitOf(now time.Time, account uint32, p Priority) bool {
	return p.admittedBy(s.AdmittedOf(now, account, p.Rank()))
}

// Admit reports whether a client request of a priority is admitted.
func (s *DownstreamShares) Admit(now time.Time, p Priority) bool {
	return p.admittedBy(s.Admitted(now, p.Rank()))
}
