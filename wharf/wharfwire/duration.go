package wharfwire

import "time"

// maxDuration bounds the times in messages. It is longer than any time that a node sends, and
// far from what a time.Duration can hold.
const maxDuration = 30 * 24 * time.Hour

// Duration returns a time in a message, which is a number of milliseconds, as a duration from
// zero to maxDuration.
func Duration(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxDuration.Milliseconds())) * time.Millisecond
}
