package wharflogservice

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"ragwortwharf.dev/wharf/wharflog"
	"ragwortwharf.dev/wharf/wharfstream"
)

// TestFaults injects each fault over HTTP and checks the errors that the log
// client of the nodes returns. It guards against a stand-in that ignores a
// fault, so that other tests run without the fault that they asked for.
func TestFaults(t *testing.T) {
	tests := []struct {
		name   string
		faults string
		rate   float64
		err    error
		// records is the number of records in the log after two appends.
		records int
	}{
		{"none", `{}`, 100, nil, 2},
		{"down", `{"down":true}`, 100, wharfstream.ErrUnavailable, 0},
		{"slow", `{"slow-ms":20}`, 100, nil, 2},
		{"responses lost", `{"lose-answers":2}`, 100, wharfstream.ErrUncertain, 2},
		{"rate limited", `{}`, 0.001, wharfstream.ErrRateLimited, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			service := New(time.Hour, tc.rate)
			server := httptest.NewServer(service.Handler())
			defer server.Close()
			r, err := http.NewRequest(http.MethodPut, server.URL+"/faults", strings.NewReader(tc.faults))
			is.NoErr(err)
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			client := wharflog.NewClient(server.URL)
			for range 2 {
				_, err = client.Append(context.Background(), "s", []byte("x"))
				is.True(errors.Is(err, tc.err) && (err == nil) == (tc.err == nil))
			}
			batch, err := service.log.Read(context.Background(), "s", 1, 10, 0)
			is.NoErr(err)
			is.Equal(len(batch.Records), tc.records)
		})
	}
}
