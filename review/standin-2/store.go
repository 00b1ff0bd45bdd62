package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is a record of a topic of the store.
type record struct {
	offset int
	data   []byte
	at     time.Time
}

// topic is partition 0 of a topic. The newest record of each key of a keyed topic is kept
// for good, the others expire.
type topic struct {
	records []record
	first   int
	end     int
	newest  map[string]record
}

// store is a stand-in for the platform's metadata store: a log with keyed topics.
type store struct {
	names map[string]string
	// keep is the time after which records expire, and answer how long a call takes.
	keep, answer time.Duration

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	servers []*http.Server
	// silent leaves all calls without a response, and does nothing for them.
	silent bool
}

// setSilent takes the store down, or brings it back.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.wake()
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func newStore(names map[string]string, keep time.Duration) *store {
	return &store{
		names: names, keep: keep, answer: 4 * time.Millisecond,
		topics: map[string]*topic{}, changed: make(chan struct{}),
	}
}

// listen serves at an address. A second address shows the same records.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(l) }()
	s.servers = append(s.servers, server)
	return nil
}

func (s *store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

// add appends a record; the caller holds the lock.
func (s *store) add(name string, data []byte) int {
	t, now := s.topic(name), time.Now()
	r := record{t.end, data, now}
	t.records, t.end = append(t.records, r), t.end+1
	if strings.HasPrefix(name, "keyed.") && len(data) > int(data[0]) {
		key := string(data[1 : 1+int(data[0])])
		t.newest[key] = r
		if len(data) == 1+int(data[0]) {
			delete(t.newest, key)
		}
	}
	for len(t.records) > 0 && now.Sub(t.records[0].at) > s.keep {
		t.records = t.records[1:]
	}
	t.first = t.end - len(t.records)
	return r.offset
}

// put writes the value of a key, as the operator does. It returns when the record is stored.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(name, append(append([]byte{byte(len(key))}, key...), value...))
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves a call of a node.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.answer)
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Store-Era", "0")
	switch r.URL.Path {
	case s.names["append"]:
		s.append(w, r, body)
	case s.names["read"]:
		s.read(w, r)
	case s.names["newest"]:
		s.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.URL.Query().Get("topic")
	first := s.topic(name).end
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.wake()
	reply(w, map[string]any{"offset": first, "end": s.topic(name).end})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxBytes := 1024 << 10
	if kb, err := strconv.Atoi(q.Get("max_kb")); err == nil {
		maxBytes = kb << 10
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.isSilent() {
			<-r.Context().Done()
			return
		}
		s.mu.Lock()
		t, changed := s.topic(q.Get("topic")), s.changed
		if from < t.first || from > t.end {
			first := t.first
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]any{"first": first})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(t.end))
		out = binary.BigEndian.AppendUint64(out, uint64(t.first))
		head := len(out)
		for _, rec := range t.records[from-t.first:] {
			if len(out) > head && len(out)+len(rec.data) > maxBytes {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(len(rec.data)))
			out = append(out, rec.data...)
		}
		s.mu.Unlock()
		if len(out) > head {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			_, _ = w.Write(out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageItems, pageBytes = 500, 1 << 20
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > after || after == "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, more, size := []map[string]any{}, false, 0
	for _, k := range keys {
		rec := t.newest[k]
		size += len(rec.data)
		if more = len(items) == pageItems || len(items) > 0 && size > pageBytes; more {
			break
		}
		items = append(items, map[string]any{"key": k, "value": rec.data[1+len(k):], "offset": rec.offset})
	}
	end := t.end
	s.mu.Unlock()
	reply(w, map[string]any{"items": items, "more": more, "end": end})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
