package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as it is sent. Tombstone says that the key was deleted at the revision.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type leaseState struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is a sound stand-in of the platform's metadata store. It loses nothing and answers at once.
type kvStore struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*leaseState
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
}

func newStore() (*kvStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{revision: 1, items: map[string]item{}, leases: map[uint64]*leaseState{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *kvStore) address() string { return s.listener.Addr().String() }

func (s *kvStore) close() { _ = s.server.Close() }

// operatorPut writes a key without a condition, as the operator does.
func (s *kvStore) operatorPut(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	s.signal()
}

func (s *kvStore) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *kvStore) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the keys of the leases that have ended.
func (s *kvStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.dropLease(id)
	}
}

func (s *kvStore) dropLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	s.signal()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]uint64{"store-revision": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"store-revision"`
	}{i, s.revision})
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	page := struct {
		Items         []item `json:"items"`
		Truncated     bool   `json:"truncated"`
		StoreRevision uint64 `json:"store-revision"`
	}{Items: []item{}, StoreRevision: s.revision}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, i)
		}
	}
	sort.Slice(page.Items, func(a, b int) bool { return page.Items[a].Key < page.Items[b].Key })
	if len(page.Items) > pageSize {
		page.Items, page.Truncated = page.Items[:pageSize], true
	}
	reply(w, http.StatusOK, page)
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	const poll = 100 * time.Millisecond
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-time.After(min(poll, time.Until(end))):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expect"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	present, holds := []item{}, true
	for _, e := range m.Expect {
		i, found := s.items[e.Key]
		if found {
			present = append(present, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range m.Puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, p := range m.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range m.Deletes {
		s.remove(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var m struct {
		TTL string `json:"ttl_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&m)
	ttl, err := time.ParseDuration(m.TTL)
	if err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &leaseState{ttl: ttl, expires: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_time": m.TTL})
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, found := s.leases[id]
	if !found {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]string{"ttl_time": l.ttl.String()})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	reply(w, http.StatusOK, struct{}{})
}
