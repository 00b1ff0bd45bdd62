package wharfstream

import (
	"errors"
	"time"
)

// Record is one entry of a stream. Its time is that of the log service.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record `json:"records"`
	// Oldest is the first offset that the service still keeps.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append gets.
	Next uint64 `json:"next"`
}

var (
	// ErrUnavailable means that the service didn't take the call.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrUncertain means that an append may or may not have taken effect.
	ErrUncertain = errors.New("append may or may not have taken effect")
	// ErrExpired means that records were asked for that are no longer kept.
	ErrExpired = errors.New("records have expired")
	// ErrRateLimited means that the service refused an append for its rate limit.
	ErrRateLimited = errors.New("append rate limit reached")
)
