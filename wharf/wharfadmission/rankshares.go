package wharfadmission

const (
	// shareBits is the size of a share, and maxShareValue the value of the share one.
	shareBits     = 8
	maxShareValue = 1<<shareBits - 1
	// wordRanks is the number of ranks in a word.
	wordRanks = 64 / shareBits
)

// RankShares holds the admitted shares of the ranks in two numbers for messages, the most
// important rank in the lowest byte of the first. A byte of zero means that the share isn't known,
// and other values are steps from zero to one. The zero RankShares knows nothing.
type RankShares struct {
	words [rankCount / wordRanks]uint64
}

// RankSharesOf returns the shares of the numbers of a message.
func RankSharesOf(low, high uint64) RankShares {
	return RankShares{words: [2]uint64{low, high}}
}

// Words returns the numbers for a message.
func (s RankShares) Words() (low, high uint64) {
	return s.words[0], s.words[1]
}

// place returns the word of a rank and the shift of its byte.
func place(rank int) (word, shift int) {
	rank = clampRank(rank)
	return rank / wordRanks, rank % wordRanks * shareBits
}

// With returns the shares with that of a rank set.
func (s RankShares) With(rank int, admitted float64) RankShares {
	word, shift := place(rank)
	s.words[word] = s.words[word]&^(maxShareValue<<shift) | encodeShare(admitted)<<shift
	return s
}

// Admitted returns the admitted share of a rank, or false if it isn't known.
func (s RankShares) Admitted(rank int) (float64, bool) {
	word, shift := place(rank)
	value := s.words[word] >> shift & maxShareValue
	if value == 0 {
		return 0, false
	}
	return decodeShare(value), true
}

// encodeShare returns the value of an admitted share in messages. Zero is no share.
func encodeShare(admitted float64) uint64 {
	return uint64(1 + admitted*(maxShareValue-1) + 0.5)
}

// decodeShare returns the admitted share of a value.
func decodeShare(value uint64) float64 {
	return max(float64(value)-1, 0) / (maxShareValue - 1)
}

// allShares returns the shares that a function gives for the ranks.
func allShares(admitted func(rank int) float64) RankShares {
	var s RankShares
	for rank := range rankCount {
		s = s.With(rank, admitted(rank))
	}
	return s
}

// Min returns the smaller share of each rank. A share that isn't known doesn't count.
func (s RankShares) Min(o RankShares) RankShares {
	var smaller RankShares
	for word := range s.words {
		smaller.words[word] = minShares(s.words[word], o.words[word])
	}
	return smaller
}

// minShares returns the smaller share of each rank of two words.
func minShares(s, o uint64) (smaller uint64) {
	if s == 0 || o == 0 || s == o {
		return s | o
	}
	for shift := 0; shift < wordRanks*shareBits; shift += shareBits {
		a, b := s>>shift&maxShareValue, o>>shift&maxShareValue
		if a == 0 || b != 0 && b < a {
			a = b
		}
		smaller |= a << shift
	}
	return smaller
}
