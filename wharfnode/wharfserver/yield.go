package wharfserver

import (
	"net/http"

	"ragwortwharf.dev/wharfnode/internal/wharfprocessor"
)

// yieldingHandler makes the connections of a server take turns on the processor.
type yieldingHandler struct {
	next      http.Handler
	processor *wharfprocessor.Meter
}

// ServeHTTP serves one request.
func (h yieldingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.processor.Yield()
	h.next.ServeHTTP(w, r)
}
