package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store, without faults.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), topics: map[string][][]byte{}, changed: make(chan struct{})}
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s, nil
}

// putConfig writes a configuration as the operator does.
func (s *store) putConfig(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := "config"
	s.add(name("operator-topic"), append(append([]byte{byte(len(key))}, key...), text...))
}

// add appends a record. The caller holds the lock.
func (s *store) add(topic string, record []byte) {
	s.topics[topic] = append(s.topics[topic], record)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(name("era"), "0")
	topic := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case name("append"):
		s.append(w, r, topic)
	case name("read"):
		s.read(w, r, topic)
	case name("newest"):
		s.newest(w, r, topic)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, topic string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		s.add(topic, body[4:4+n])
		body = body[4+n:]
	}
	_ = json.NewEncoder(w).Encode(map[string]int{"offset": offset, "end": len(s.topics[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, topic string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from > len(records) {
			w.WriteHeader(http.StatusGone)
			_, _ = io.WriteString(w, `{"first":0}`)
			return
		}
		response := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		response = binary.BigEndian.AppendUint64(response, 0)
		for _, record := range records[from:] {
			response = binary.BigEndian.AppendUint32(response, uint32(len(record)))
			response = append(response, record...)
		}
		if from < len(records) {
			_, _ = w.Write(response)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			_, _ = w.Write(response)
			return
		}
	}
}

type storeItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

func (s *store) newest(w http.ResponseWriter, r *http.Request, topic string) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := map[string]storeItem{}
	for i, record := range s.topics[topic] {
		keyEnd := 1 + int(record[0])
		item := storeItem{string(record[1:keyEnd]), record[keyEnd:], i}
		newest[item.Key] = item
		if len(item.Value) == 0 {
			delete(newest, item.Key)
		}
	}
	items := []storeItem{}
	for key, item := range newest {
		if !query.Has("after") || key > query.Get("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(s.topics[topic])})
}
