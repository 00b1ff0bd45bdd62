package wharfstream

import (
	"errors"
	"time"
)

// Record is one entry of a stream. Time is the time of the append by the clock
// of the log service.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the lowest offset that the service still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset of the next record to be appended.
	Next uint64 `json:"next"`
}

var (
	// ErrUnavailable means that the service did not accept the call.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUncertain means that an append may or may not have taken effect.
	ErrUncertain = errors.New("append may or may not have taken effect")
	// ErrExpired means that a read requested records that are no longer kept.
	ErrExpired = errors.New("records have expired")
	// ErrRateLimited means that the service rejected an append because of its rate
	// limit.
	ErrRateLimited = errors.New("append rate limit reached")
)
