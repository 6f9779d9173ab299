package standin2

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is the time that the platform's store takes for an answer.
const storeLatency = 4 * time.Millisecond

// item is a key of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type grant struct {
	ttl  time.Duration
	ends time.Time
}

// state is what the store holds, and what a copy of it holds.
type state struct {
	items    map[string]item
	history  []item
	floor    uint64 // history up to this revision is gone
	revision uint64
	leases   map[uint64]grant
	lastID   uint64
}

func (s *state) clone() *state {
	c := *s
	c.items, c.leases, c.history = maps.Clone(s.items), maps.Clone(s.leases), slices.Clone(s.history)
	return &c
}

// kvStore is the platform's store. Each host reaches it through an address of its own.
type kvStore struct {
	mu      sync.Mutex
	state   *state
	era     uint64
	down    bool
	cut     map[string]bool // hosts that get 503
	changed chan struct{}
}

func newStore() *kvStore {
	s := &kvStore{state: &state{items: map[string]item{}, leases: map[uint64]grant{}, revision: 1000, lastID: 7000}, cut: map[string]bool{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *kvStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.state.leases {
		if time.Now().After(g.ends) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.state.leases, id)
	for key, i := range s.state.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *kvStore) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) write(key string, value []byte, lease uint64) uint64 {
	s.state.revision++
	created := s.state.revision
	if old, ok := s.state.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.state.revision, Created: created, Lease: lease}
	s.state.items[key] = i
	s.state.history = append(s.state.history, i)
	s.signal()
	return s.state.revision
}

func (s *kvStore) remove(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	delete(s.state.items, key)
	s.state.revision++
	s.state.history = append(s.state.history, item{Key: key, Revision: s.state.revision, Deleted: true})
	s.signal()
}

// put is a write of the operator or of an engine.
func (s *kvStore) put(key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.write(key, data, 0)
	}
}

// drop is a deletion of the operator or of an engine.
func (s *kvStore) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// get returns the value of a key, nil if it does not exist.
func (s *kvStore) get(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.items[key].Value
}

func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

func (s *kvStore) setCut(host string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[host] = cut
	s.signal()
}

// copy returns a copy of the store from which it can be restored.
func (s *kvStore) copy() *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.clone()
}

// restore brings the store back from a copy, in a new era.
func (s *kvStore) restore(c *state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.down = c, false
	s.era++
	s.signal()
}

// serve serves the store to one host.
func (s *kvStore) serve(host string, l net.Listener) {
	mux := http.NewServeMux()
	handle := func(pattern string, fn func(r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			s.mu.Lock()
			if s.down || s.cut[host] {
				w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
				s.mu.Unlock()
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			status, body := fn(r)
			w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
			s.mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(status)
			if body != nil {
				_ = json.NewEncoder(w).Encode(body)
			}
		})
	}
	handle("GET /kv-key", s.handleGet)
	handle("GET /kv-range", s.handleRange)
	handle("POST /kv-txn", s.handleTxn)
	handle("POST /kv-lease", func(r *http.Request) (int, any) {
		var in struct {
			TTLMs int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.state.lastID++
		ttl := time.Duration(in.TTLMs) * time.Millisecond
		s.state.leases[s.state.lastID] = grant{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.state.lastID, "ttlMs": in.TTLMs}
	})
	handle("POST /kv-keep/{id}", func(r *http.Request) (int, any) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		g, ok := s.state.leases[id]
		if !ok {
			return 404, nil
		}
		g.ends = time.Now().Add(g.ttl)
		s.state.leases[id] = g
		return 200, map[string]any{"ttlMs": g.ttl.Milliseconds()}
	})
	handle("DELETE /kv-lease-end/{id}", func(r *http.Request) (int, any) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		if _, ok := s.state.leases[id]; !ok {
			return 404, nil
		}
		s.endLease(id)
		return 200, map[string]any{}
	})
	mux.HandleFunc("GET /kv-watch", func(w http.ResponseWriter, r *http.Request) { s.handleWatch(host, w, r) })
	_ = http.Serve(l, mux)
}

func (s *kvStore) handleGet(r *http.Request) (int, any) {
	i, ok := s.state.items[r.URL.Query().Get("key")]
	if !ok {
		return 404, map[string]any{"storeRevision": s.state.revision}
	}
	return 200, map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": i.Lease, "storeRevision": s.state.revision}
}

func (s *kvStore) handleRange(r *http.Request) (int, any) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, s.state.items[key])
		}
	}
	more := len(list) > pageSize
	return 200, map[string]any{"items": list[:min(len(list), pageSize)], "morePages": more, "storeRevision": s.state.revision}
}

func (s *kvStore) handleTxn(r *http.Request) (int, any) {
	var in struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expectedRev"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"writes"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return 400, nil
	}
	failed, now := false, []item{}
	for _, e := range in.ExpectedRev {
		i, ok := s.state.items[e.Key]
		failed = failed || i.Revision != e.Revision
		if ok {
			now = append(now, i)
		}
	}
	if failed {
		return 412, map[string]any{"items": now}
	}
	for _, w := range in.Writes {
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return 403, nil
		}
		if _, ok := s.state.leases[w.Lease]; w.Lease != 0 && !ok {
			return 404, nil
		}
	}
	for _, w := range in.Writes {
		s.write(w.Key, w.Value, w.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.state.revision}
}

func (s *kvStore) handleWatch(host string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		if s.down || s.cut[host] {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.state.revision || after < s.state.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.state.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.state.revision, s.changed
		s.mu.Unlock()
		timeout := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-end:
				timeout = true
			case <-r.Context().Done():
				return
			}
		}
		_ = timeout
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "storeRevision": revision})
		return
	}
}
