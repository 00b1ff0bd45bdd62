package wharflog

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"ragwortwharf.dev/wharf/wharfstream"
)

// Paths and parameters of the log service.
const (
	// RecordsPath is where the records of a stream are appended and read.
	RecordsPath = "/v1/streams/{stream}/records"
	ParamFrom   = "from"
	ParamLimit  = "limit"
	ParamWait   = "wait-ms"
)

// callTimeout bounds one call, on top of the wait that a read asks for.
const callTimeout = 2 * time.Second

// AppendResponse is the body of the answer to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Client speaks HTTP to the log service. It never repeats a call.
type Client struct {
	http *resty.Client
}

// NewClient returns a client of the log service at a URL.
func NewClient(url string) *Client {
	// No retry is configured here or in the transport: an append that is
	// repeated without the caller's knowledge would hide a lost answer.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &Client{http: resty.New().SetTransport(transport).SetBaseURL(url).SetRetryCount(0)}
}

// Append adds a record. ErrUncertain means that it may have taken effect.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var appended AppendResponse
	response, err := c.http.R().
		SetContext(ctx).
		SetPathParam("stream", stream).
		SetHeader("Content-Type", "application/octet-stream").
		SetBody(bytes.NewReader(data)).
		SetResult(&appended).
		Post(RecordsPath)
	if err != nil {
		return 0, errors.Join(wharfstream.ErrUncertain, err)
	}
	switch response.StatusCode() {
	case http.StatusCreated:
		return appended.Offset, nil
	case http.StatusTooManyRequests:
		return 0, wharfstream.ErrRateLimited
	case http.StatusServiceUnavailable:
		return 0, wharfstream.ErrUnavailable
	default:
		return 0, wharfstream.ErrUncertain
	}
}

// Read returns records from an offset on, and waits for one if there is none.
// With ErrExpired the batch says which offsets are left.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	var batch wharfstream.Batch
	response, err := c.http.R().
		SetContext(ctx).
		SetPathParam("stream", stream).
		SetQueryParam(ParamFrom, strconv.FormatUint(from, 10)).
		SetQueryParam(ParamLimit, strconv.Itoa(limit)).
		SetQueryParam(ParamWait, strconv.FormatInt(wait.Milliseconds(), 10)).
		SetResult(&batch).
		SetError(&batch).
		Get(RecordsPath)
	if err != nil {
		return wharfstream.Batch{}, errors.Join(wharfstream.ErrUnavailable, err)
	}
	switch response.StatusCode() {
	case http.StatusOK:
		return batch, nil
	case http.StatusGone:
		return batch, wharfstream.ErrExpired
	default:
		return wharfstream.Batch{}, wharfstream.ErrUnavailable
	}
}
