package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeAnswer is the time of an answer of the platform's store.
const storeAnswer = 4 * time.Millisecond

type kvItem struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Tombstone  bool   `json:"tombstone,omitempty"`
}

// kvStore is a stand-in of the platform's key-value store: transactions, ranges and watches.
// Leases are not served: camphorhead uses none.
type kvStore struct {
	mu       sync.Mutex
	items    map[string]kvItem
	history  []kvItem
	revision uint64
	changed  chan struct{} // closed and replaced at each change
}

func newStore() *kvStore {
	return &kvStore{items: map[string]kvItem{}, revision: 10, changed: make(chan struct{})}
}

// put writes a key as the operator does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value)
	s.announce()
}

func (s *kvStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *kvStore) write(key string, value []byte) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	it := kvItem{Key: key, Value: value, Revision: s.revision, CreatedRev: created}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *kvStore) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeAnswer)
	switch r.Method + " " + r.URL.Path {
	case "GET /-/kv-key":
		s.serveKey(w, r)
	case "GET /-/kv-range":
		s.serveRange(w, r)
	case "GET /-/kv-watch":
		s.serveWatch(w, r)
	case "POST /-/kv-txn":
		s.serveTxn(w, r)
	default:
		http.Error(w, "not served", http.StatusBadRequest)
	}
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	respond(w, http.StatusOK, struct {
		kvItem
		StoreRevision uint64 `json:"store_revision"`
	}{it, revision})
}

// pageItems is the most items of one page of a range.
const pageItems = 500

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []kvItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageItems
	respond(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageItems)], "has_more": more, "store_revision": revision})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		events := []kvItem{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRev []kvItem `json:"expected_rev"`
		Writes      []kvItem `json:"writes"`
		Deletes     []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []kvItem{}, true
	for _, e := range t.ExpectedRev {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, it := range t.Writes {
		s.write(it.Key, it.Value)
	}
	for _, key := range t.Deletes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Tombstone: true})
		}
	}
	s.announce()
	respond(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
