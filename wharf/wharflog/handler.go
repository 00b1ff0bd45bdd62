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
	// maxRecord bounds one record, in bytes.
	maxRecord = 64 << 20
	// maxWait bounds how long a read waits for records.
	maxWait = 30 * time.Second
	// defaultRead and maxRead are numbers of records in one read.
	defaultRead = 100
	maxRead     = 10_000
)

// Log is a log that a Handler can serve.
type Log interface {
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (wharfstream.Batch, error)
}

// Handler serves a log in the form that Client speaks, for stand-ins and tests.
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := h.log.Append(r.Context(), r.PathValue("stream"), data)
	switch {
	case errors.Is(err, wharfstream.ErrUncertain):
		// The answer is lost: the client must not be told anything.
		panic(http.ErrAbortHandler)
	case errors.Is(err, wharfstream.ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		reply(w, http.StatusCreated, AppendResponse{Offset: offset})
	}
}

func (h handler) read(w http.ResponseWriter, r *http.Request) {
	from := uint64(max(number(r, ParamFrom, firstOffset), 0))
	limit := min(max(number(r, ParamLimit, defaultRead), 1), maxRead)
	wait := min(time.Duration(number(r, ParamWait, 0))*time.Millisecond, maxWait)
	batch, err := h.log.Read(r.Context(), r.PathValue("stream"), from, limit, wait)
	switch {
	case errors.Is(err, wharfstream.ErrExpired):
		reply(w, http.StatusGone, batch)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		reply(w, http.StatusOK, batch)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that went away needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string, missing int) int {
	n, err := strconv.Atoi(r.URL.Query().Get(name))
	if err != nil {
		return missing
	}
	return n
}
