package wharfstream

// epochBits is the number of bits of an offset that count the records of an epoch.
const epochBits = 40

const (
	// MaxEpoch is the highest epoch that an offset can have.
	MaxEpoch = 1<<(64-epochBits) - 1
	// MaxPosition is the highest position that an offset can have.
	MaxPosition = 1<<epochBits - 1
)

// Epoch returns the epoch of an offset. The epoch rises when the log was restored from an
// older copy, which gives out the offsets of lost records again: an offset of a later epoch
// is higher than all those of earlier ones. It is zero for a log that loses nothing.
func Epoch(offset uint64) uint64 {
	return offset >> epochBits
}

// OffsetIn returns the offset of a position in the log in an epoch.
func OffsetIn(epoch, position uint64) uint64 {
	return epoch<<epochBits | position
}

// Position returns the position of an offset in the log of its epoch.
func Position(offset uint64) uint64 {
	return offset & (1<<epochBits - 1)
}
