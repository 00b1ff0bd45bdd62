package wharfadmission

const (
	// sharesRanks is the number of ranks that a RankShares has room for.
	sharesRanks = 8
	// shareBits is the size of a share, and maxShareValue the value of the share one.
	shareBits     = 8
	maxShareValue = 1<<shareBits - 1
)

// RankShares holds the admitted shares of the ranks in one number for messages, the most
// important rank in the lowest byte. A byte of zero means that the share isn't known, and
// other values are steps from zero to one. The last byte is for all ranks that have none of
// their own. The zero RankShares knows nothing.
type RankShares uint64

// sharesIndex returns the index of the share of a rank.
func sharesIndex(rank int) int {
	return min(clampRank(rank), sharesRanks-1)
}

// With returns the shares with that of a rank set.
func (s RankShares) With(rank int, admitted float64) RankShares {
	shift := sharesIndex(rank) * shareBits
	value := RankShares(1 + admitted*(maxShareValue-1) + 0.5)
	return s&^(maxShareValue<<shift) | value<<shift
}

// Admitted returns the admitted share of a rank, or false if it isn't known.
func (s RankShares) Admitted(rank int) (float64, bool) {
	value := s >> (sharesIndex(rank) * shareBits) & maxShareValue
	if value == 0 {
		return 0, false
	}
	return float64(value-1) / (maxShareValue - 1), true
}

// allShares returns the shares that a function gives for the ranks.
func allShares(admitted func(rank int) float64) RankShares {
	var s RankShares
	for rank := range sharesRanks - 1 {
		s = s.With(rank, admitted(rank))
	}
	last := 1.0
	for rank := sharesRanks - 1; rank < rankCount; rank++ {
		last = min(last, admitted(rank))
	}
	return s.With(sharesRanks-1, last)
}

// Min returns the smaller share of each rank. A share that isn't known doesn't count.
func (s RankShares) Min(o RankShares) RankShares {
	var smaller RankShares
	for shift := 0; shift < sharesRanks*shareBits; shift += shareBits {
		a, b := s>>shift&maxShareValue, o>>shift&maxShareValue
		if a == 0 || b != 0 && b < a {
			a = b
		}
		smaller |= a << shift
	}
	return smaller
}
