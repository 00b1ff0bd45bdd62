package wharfadmission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxListedAccounts bounds the accounts in a report. Those that lose most of their requests
	// are listed, and the others share what the listed ones leave.
	maxListedAccounts = 16
	// maxAccountDemands bounds the accounts of which a target measures the demand, each with every
	// rank of its requests. Those beyond it are not listed.
	maxAccountDemands = 1024
	// idleWindows is the number of windows without a call after which an account is forgotten.
	idleWindows = 100
	// minRelativeShare is the least share of an account as a part of that of its rank.
	minRelativeShare = 0.25
)

// AccountShare is the admitted share of the requests of an account and a rank in one number for
// messages: the account in the upper 32 bits, then the rank and the share in a byte each, as in
// RankShares. The zero AccountShare says nothing.
type AccountShare uint64

// AccountHash returns a number that identifies a client account in reports, zero for none.
func AccountHash(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(uint32(xxhash.Sum64String(name)), 1)
}

// NewAccountShare returns the share of the requests of a rank of an account, which a hash of its
// name identifies.
func NewAccountShare(account uint32, rank int, admitted float64) AccountShare {
	return AccountShare(account)<<32 | AccountShare(clampRank(rank))<<shareBits | AccountShare(encodeShare(admitted))
}

// Account returns the hash that identifies the account.
func (s AccountShare) Account() uint32 {
	return uint32(s >> 32)
}

// Rank returns the rank.
func (s AccountShare) Rank() int {
	return clampRank(int(s >> shareBits & maxShareValue))
}

// Admitted returns the admitted share.
func (s AccountShare) Admitted() float64 {
	return decodeShare(uint64(s & maxShareValue))
}

// key returns the account and the rank.
func (s AccountShare) key() AccountShare {
	return s &^ maxShareValue
}

// Report is what a target and the services downstream report of the requests that they can serve: the
// shares of all ranks, and those of the accounts that get less than their rank, in ascending order.
// The zero Report knows nothing.
type Report struct {
	Ranks    RankShares
	Accounts []AccountShare
}

// Admitted returns the share of the requests of an account and a rank, or false if it isn't known.
func (r Report) Admitted(account uint32, rank int) (float64, bool) {
	if len(r.Accounts) > 0 {
		key := NewAccountShare(account, rank, 0).key()
		for _, s := range r.Accounts {
			if s.key() == key {
				return s.Admitted(), true
			}
		}
	}
	return r.Ranks.Admitted(rank)
}

// Min returns the smaller share of each rank and account. It allocates memory only if both reports
// list accounts.
func (r Report) Min(o Report) Report {
	smaller := Report{Ranks: r.Ranks.Min(o.Ranks), Accounts: r.Accounts}
	switch {
	case len(o.Accounts) == 0:
	case len(r.Accounts) == 0:
		smaller.Accounts = o.Accounts
	default:
		smaller.Accounts = slices.Clone(r.Accounts)
		for _, s := range o.Accounts {
			if !slices.ContainsFunc(r.Accounts, func(t AccountShare) bool { return t.key() == s.key() }) {
				smaller.Accounts = append(smaller.Accounts, s)
			}
		}
		for i, s := range smaller.Accounts {
			a, _ := r.Admitted(s.Account(), s.Rank())
			b, _ := o.Admitted(s.Account(), s.Rank())
			smaller.Accounts[i] = NewAccountShare(s.Account(), s.Rank(), min(a, b))
		}
		smaller.Accounts = smaller.Accounts[:min(len(smaller.Accounts), maxListedAccounts)]
		slices.Sort(smaller.Accounts)
	}
	return smaller
}

// accountDemand is what the requests of an account and a rank need of a target.
type accountDemand struct {
	key AccountShare
	// arrivals is the time of slots of the calls in this window, rate its moving average, and
	// meanShare that of the share under which they were admitted.
	arrivals, rate, meanShare float64
	// share is the share that the target can serve, and past holds its last values.
	share float64
	past  [shareLag]float64
	// idle counts the windows since the last call.
	idle int
}

// demand returns what the account would need if all of its requests were admitted.
func (d *accountDemand) demand() float64 {
	return d.rate / max(d.meanShare, minAdmittedShare)
}

// accountDemands divides what a target can serve of each rank between the accounts: max-min fair by
// the time of slots. The zero accountDemands has measured nothing.
type accountDemands struct {
	index  map[AccountShare]int
	demand []accountDemand
	// named is true once a call of an account has arrived, and divided once a window has ended since.
	// Until then nothing is divided.
	named, divided bool
	// order is used to sort the demands of a rank.
	order []int
	// listed holds the accounts with the smallest shares. A report that was handed out isn't changed.
	listed []AccountShare
}

// record adds the work of a call of an account.
func (a *accountDemands) record(account uint32, rank int, slotSeconds float64) {
	a.named = a.named || account != 0
	if !a.named {
		return
	}
	key := NewAccountShare(account, rank, 0).key()
	i, ok := a.index[key]
	if !ok {
		if len(a.demand) >= maxAccountDemands {
			return
		}
		if a.index == nil {
			a.index = map[AccountShare]int{}
		}
		i = len(a.demand)
		a.index[key] = i
		a.demand = append(a.demand, accountDemand{key: key, meanShare: 1, share: 1})
		for w := range a.demand[i].past {
			a.demand[i].past[w] = 1
		}
	}
	a.demand[i].arrivals += slotSeconds
	a.demand[i].idle = 0
}

// admitted returns the share of the requests of an account and a rank whose own share is known.
func (a *accountDemands) admitted(account uint32, rank int) (float64, bool) {
	if !a.named {
		return 0, false
	}
	i, ok := a.index[NewAccountShare(account, rank, 0).key()]
	if !ok {
		return 0, false
	}
	return a.demand[i].share, true
}

// advance ends a number of windows and divides the shares of the ranks. It sets the shares of the
// accounts that aren't listed. weights holds the weight of the windows in the moving averages.
func (a *accountDemands) advance(windows int, weights, shares *[rankCount]float64, unlisted *[rankCount]float64) {
	for i := len(a.demand) - 1; i >= 0; i-- {
		a.demand[i].observe(windows, weights)
		if a.demand[i].idle > idleWindows {
			a.remove(i)
		}
	}
	a.listed, a.divided = nil, true
	for rank := range unlisted {
		unlisted[rank] = a.divide(rank, shares[rank])
	}
	slices.Sort(a.listed)
}

// grow lets all shares grow instead of dividing them anew, and forgets the calls of the window.
func (a *accountDemands) grow(increase float64) {
	for i := range a.demand {
		d := &a.demand[i]
		d.arrivals, d.share = 0, min(d.share+increase, 1)
	}
	listed := make([]AccountShare, 0, len(a.listed))
	for _, s := range a.listed {
		if i, ok := a.index[s.key()]; ok {
			listed = append(listed, NewAccountShare(s.Account(), s.Rank(), a.demand[i].share))
		}
	}
	a.listed = listed
}

// observe ends a number of windows.
func (d *accountDemand) observe(windows int, weights *[rankCount]float64) {
	weight := weights[d.key.Rank()]
	for range min(windows, maxIncreaseWindows) {
		d.rate += weight * (d.arrivals/float64(windows) - d.rate)
		d.meanShare += weight * (d.past[0] - d.meanShare)
		copy(d.past[:], d.past[1:])
		d.past[shareLag-1] = d.share
	}
	d.arrivals, d.idle = 0, d.idle+windows
}

func (a *accountDemands) remove(i int) {
	end := len(a.demand) - 1
	delete(a.index, a.demand[i].key)
	if i != end {
		a.demand[i] = a.demand[end]
		a.index[a.demand[i].key] = i
	}
	a.demand = a.demand[:end]
}

// divide divides the share of a rank between its accounts, lists those that get less, and returns
// the share of the others.
func (a *accountDemands) divide(rank int, share float64) float64 {
	a.order = a.order[:0]
	total := 0.0
	for i := range a.demand {
		if a.demand[i].key.Rank() == rank {
			a.order = append(a.order, i)
			total += a.demand[i].demand()
		}
	}
	fair := math.Inf(1)
	if share < 1 {
		slices.SortFunc(a.order, func(i, j int) int { return cmp.Compare(a.demand[i].demand(), a.demand[j].demand()) })
		fair = a.fairPart(share * total)
	}
	for _, i := range a.order {
		d := &a.demand[i]
		d.share = min(max(fair/max(d.demand(), math.SmallestNonzeroFloat64), minRelativeShare*share, minAdmittedShare), 1)
	}
	if share >= 1 || len(a.order) < 2 {
		return share
	}
	return a.list(rank, share*total)
}

// fairPart returns the largest demand of an account that is served whole, if room is divided
// between the accounts in the order of their demands.
func (a *accountDemands) fairPart(room float64) float64 {
	for n, i := range a.order {
		part := room / float64(len(a.order)-n)
		if a.demand[i].demand() > part {
			return part
		}
		room -= a.demand[i].demand()
	}
	return math.Inf(1)
}

// list adds the accounts of a rank with the largest demands to the list, as far as it has room, and
// returns the share of the others, which get what is left of the room of the rank.
func (a *accountDemands) list(rank int, room float64) float64 {
	rest := 0.0
	for n := len(a.order) - 1; n >= 0; n-- {
		d := &a.demand[a.order[n]]
		if d.share < 1 && len(a.listed) < maxListedAccounts {
			a.listed = append(a.listed, NewAccountShare(d.key.Account(), rank, d.share))
			room -= d.share * d.demand()
			continue
		}
		rest += d.demand()
	}
	if rest <= room || rest == 0 {
		return 1
	}
	return max(room/rest, minAdmittedShare)
}

// listedShares holds the shares of accounts that the targets of a called service reported, in the
// order of their keys.
type listedShares struct {
	shares []listedShare
}

// listedShare is the moving average of the share of an account.
type listedShare struct {
	key      AccountShare
	admitted float64
	// at is the time of the last report that listed the account.
	at time.Time
}

// observe adds a report. rise and fall are the weights of the earlier averages, and ranks holds the
// shares of the ranks before the report, with which that of an account begins.
func (l *listedShares) observe(now time.Time, reported Report, rise, fall float64, ranks *[rankCount]float64) {
	i := 0
	for _, s := range reported.Accounts {
		for i < len(l.shares) && l.shares[i].key < s.key() {
			i = l.observeUnlisted(now, i, reported.Ranks, rise, fall)
		}
		if i == len(l.shares) || l.shares[i].key != s.key() {
			if len(l.shares) >= 2*maxListedAccounts {
				continue
			}
			l.shares = slices.Insert(l.shares, i, listedShare{key: s.key(), admitted: ranks[s.Rank()]})
		}
		k := &l.shares[i]
		k.admitted, k.at = average(k.admitted, s.Admitted(), rise, fall), now
		i++
	}
	for i < len(l.shares) {
		i = l.observeUnlisted(now, i, reported.Ranks, rise, fall)
	}
}

// observeUnlisted adds the share of the rank to that of an account that a report doesn't list, or
// removes the account if none has listed it for a while. It returns the index of the next one.
func (l *listedShares) observeUnlisted(now time.Time, i int, ranks RankShares, rise, fall float64) int {
	k := &l.shares[i]
	if now.Sub(k.at) > shareTTL {
		l.shares = slices.Delete(l.shares, i, i+1)
		return i
	}
	if admitted, known := ranks.Admitted(k.key.Rank()); known {
		k.admitted = average(k.admitted, admitted, rise, fall)
	}
	return i + 1
}

// admitted returns the share of an account and a rank, or that of the rank if the account isn't listed.
func (l *listedShares) admitted(account uint32, rank int, ofRank float64) float64 {
	if len(l.shares) == 0 {
		return ofRank
	}
	key := NewAccountShare(account, rank, 0).key()
	for i := range l.shares {
		if l.shares[i].key == key {
			return l.shares[i].admitted
		}
	}
	return ofRank
}

// average returns a moving average after a new value, with the weight of the earlier average for a
// larger and for a smaller value.
func average(before, value, rise, fall float64) float64 {
	if value < before {
		return value + fall*(before-value)
	}
	return value + rise*(before-value)
}
