package wharflog

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-resty/resty/v2"

	"ragwortwharf.dev/wharf/wharfsocket"
	"ragwortwharf.dev/wharf/wharfstream"
)

// Path and query parameters of the log service.
const (
	// RecordsPath is the path at which records of a stream are appended and read.
	RecordsPath = "/v1/streams/{stream}/records"
	ParamFrom   = "from"
	ParamLimit  = "limit"
	ParamWait   = "wait-ms"
)

// callTimeout limits one call, in addition to the wait of a read.
const callTimeout = 2 * time.Second

// AppendResponse is the body of the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// Client calls the log service over HTTP. It never repeats a call. It is safe
// for concurrent use.
type Client struct {
	http *resty.Client
}

// NewClient returns a client of the log service at a base URL.
func NewClient(url string) *Client {
	// Neither the client nor the transport may retry: a repeated append could add
	// the record twice, and the caller would not learn that a response was lost.
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.DialContext = wharfsocket.Plain(callTimeout)
	return &Client{http: resty.New().SetTransport(transport).SetBaseURL(url).SetRetryCount(0)}
}

// Append adds a record and returns its offset. The error is ErrRateLimited or
// ErrUnavailable if the record was not appended, and wraps ErrUncertain if it may
// have been.
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

// Read returns up to limit records, starting at offset from. If there is none it
// waits for one, at most for wait, and then returns an empty batch. If records
// have expired, the error is ErrExpired and the batch holds the offsets that are
// still available. Other errors wrap ErrUnavailable.
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
