package wharfserver

import (
	"net/http"
	"runtime"
)

// yieldingHandler lets other goroutines run before each request. If a client sends its next
// request as soon as the last one is refused, the goroutine of the connection never waits
// for the network. A few hundred such connections fill the local run queue of a processor,
// and the scheduler then hardly takes goroutines from the global queue, such as those that
// read the responses of targets. Gosched moves the connection to the end of that queue.
type yieldingHandler struct {
	next http.Handler
}

// ServeHTTP serves one request.
func (h yieldingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	runtime.Gosched()
	h.next.ServeHTTP(w, r)
}
