package wharfadmission

// maxWorkKinds bounds the kinds of work that a target distinguishes. Kinds beyond it share
// kind zero.
const maxWorkKinds = 64

// workKey identifies a kind of work: a request that a client sends straight to a target may take
// another time than the calls of the same route.
type workKey struct {
	route      string
	fromClient bool
}

// WorkKinds numbers the kinds of requests that a target gets, so that a Gate can measure how long
// each of them holds a slot. A WorkKinds isn't safe for concurrent use. The zero WorkKinds knows
// no kind.
type WorkKinds struct {
	kinds map[workKey]int
}

// Of returns the kind of the requests of a route that come from clients, or of the calls that
// services make.
func (w *WorkKinds) Of(route string, fromClient bool) int {
	key := workKey{route, fromClient}
	if kind, ok := w.kinds[key]; ok {
		return kind
	}
	if len(w.kinds) >= maxWorkKinds-1 {
		return 0
	}
	if w.kinds == nil {
		w.kinds = map[workKey]int{}
	}
	w.kinds[key] = len(w.kinds) + 1
	return len(w.kinds)
}

// clampKind returns a kind, or zero for a number that is none.
func clampKind(kind int) int {
	if kind < 0 || kind >= maxWorkKinds {
		return 0
	}
	return kind
}
