package wharflog

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"ragwortwharf.dev/wharf/wharfstream"
)

const (
	// maxRecordBytes limits the size of one record.
	maxRecordBytes = 64 << 20
	// maxWait limits how long a read waits for records.
	maxWait = 30 * time.Second
	// defaultReadRecords and maxReadRecords limit the number of records that one
	// read returns.
	defaultReadRecords = 100
	maxReadRecords     = 10_000
)

// Log is a log that Handler can serve. Its methods return the errors of
// wharfstream.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// Handler returns an HTTP handler that serves a log to Clients. It is for tests and
// for the program that stands in for the log service.
func Handler(l Log) http.Handler {
	h := handler{l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+RecordsPath, h.append)
	mux.HandleFunc("GET "+RecordsPath, h.read)
	return mux
}

type handler struct {
	log Log
}

func (h handler) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, wharfstream.ErrUncertain):
		// Close the connection without a response, so that the client can't
		// tell whether the append took effect.
		panic(http.ErrAbortHandler)
	case errors.Is(err, wharfstream.ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusCreated, AppendResponse{Offset: offset})
	}
}

func (h handler) read(w http.ResponseWriter, r *http.Request) {
	from := uint64(max(queryNumber(r, ParamFrom, firstOffset), 0))
	limit := min(max(queryNumber(r, ParamLimit, defaultReadRecords), 1), maxReadRecords)
	wait := min(time.Duration(queryNumber(r, ParamWait, 0))*time.Millisecond, maxWait)
	batch, err := h.log.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	switch {
	case errors.Is(err, wharfstream.ErrExpired):
		writeJSON(w, http.StatusGone, batch)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, http.StatusOK, batch)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: a client that has disconnected needs no response.
	_ = json.NewEncoder(w).Encode(body)
}

// queryNumber returns a query parameter, or the default if it is missing or not
// a number.
func queryNumber(r *http.Request, name string, defaultValue int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return defaultValue
	}
	return n
}
