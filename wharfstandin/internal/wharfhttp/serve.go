package wharfhttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	shutdownTimeout   = 30 * time.Second
)

// Serve listens on a TCP address and serves HTTP until the context ends. Then
// it stops accepting connections and waits up to shutdownTimeout for the
// requests in flight. It returns an error if it can't listen, or if requests
// are still in flight after that time.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	s := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
	go s.run(l)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return s.http.Shutdown(stopCtx)
}

type server struct {
	http *http.Server
}

// run serves until the server is shut down.
func (s *server) run(l net.Listener) {
	_ = s.http.Serve(l)
}

// Reply writes a status and a body as a JSON response.
func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error is ignored: a client that disconnected needs no response.
	_ = json.NewEncoder(w).Encode(body)
}
