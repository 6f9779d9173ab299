package review

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as it travels.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is the platform's key-value store.
type kvStore struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	oldest   uint64 // the history holds the events after this revision
	items    map[string]item
	history  []item
	leases   map[uint64]*kvLease
	lastID   uint64
	changed  chan struct{} // closed with each change
	copies   []kvCopy
	away     bool
	blocked  map[string]bool // addresses of machines that the store turns away
}

type kvLease struct {
	ttl, end time.Duration // end: time since begin
}

// kvCopy is a copy of the store from which it may be restored.
type kvCopy struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]kvLease
	lastID   uint64
}

var begin = time.Now()

func newStore() *kvStore {
	return &kvStore{revision: 1, items: map[string]item{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}), blocked: map[string]bool{}}
}

// run ends leases and keeps copies until the process ends.
func (s *kvStore) run() {
	for n := 0; ; n++ {
		time.Sleep(50 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.away && time.Since(begin) > l.end {
				s.endLease(id)
			}
		}
		if n%10 == 0 && !s.away {
			leases := map[uint64]kvLease{}
			for id, l := range s.leases {
				leases[id] = *l
			}
			s.copies = append(s.copies, kvCopy{time.Now(), s.revision, maps.Clone(s.items), leases, s.lastID})
		}
		s.mu.Unlock()
	}
}

// setAway makes the store unreachable: calls get no answer. Leases pause meanwhile.
func (s *kvStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notify()
	if !away {
		for _, l := range s.leases {
			l.end = max(l.end, time.Since(begin)+l.ttl)
		}
	}
}

// restore replaces the store by the newest copy that is at least age old. The revisions go back, and the era rises.
func (s *kvStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.copies) {
		if time.Since(c.at) >= age {
			s.items, s.revision, s.oldest, s.history, s.lastID = maps.Clone(c.items), c.revision, c.revision, nil, c.lastID
			s.leases = map[uint64]*kvLease{}
			for id, l := range c.leases {
				s.leases[id] = &kvLease{l.ttl, time.Since(begin) + l.ttl}
			}
			break
		}
	}
	s.era++
	s.copies = nil
	s.notify()
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) put(key string, value []byte, lease uint64) {
	old, ok := s.items[key]
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *kvStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// write is what the operator and the engines do, which do not depend on the HTTP interface here.
func (s *kvStore) write(key string, value any) bool {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.revision++
	s.put(key, data, 0)
	s.notify()
	return true
}

func (s *kvStore) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		s.mu.Unlock()
		<-r.Context().Done() // no answer
		s.mu.Lock()
		return
	}
	if host, _, _ := strings.Cut(r.RemoteAddr, ":"); s.blocked[host] {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
		s.answer(w, 200, struct {
			item
			StoreRevision uint64 `json:"storeRevision"`
		}{it, s.revision})
	case path == "/kv-range":
		list := []item{}
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				list = append(list, s.items[key])
			}
		}
		s.answer(w, 200, map[string]any{"items": list, "morePages": false, "storeRevision": s.revision})
	case path == "/kv-watch":
		s.watch(w, r)
	case path == "/kv-txn":
		s.txn(w, r)
	case path == "/kv-lease":
		var in struct {
			TTL int64 `json:"ttlMs"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.lastID++
		ttl := time.Duration(in.TTL) * time.Millisecond
		s.leases[s.lastID] = &kvLease{ttl, time.Since(begin) + ttl}
		s.answer(w, 200, map[string]any{"lease": s.lastID, "ttlMs": in.TTL})
	case strings.HasPrefix(path, "/kv-keep/"), strings.HasPrefix(path, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		l, ok := s.leases[id]
		if !ok {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.end = time.Since(begin) + l.ttl
		}
		s.answer(w, 200, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		s.answer(w, http.StatusBadRequest, nil)
	}
}

func (s *kvStore) answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	era := s.era
	for {
		if s.away {
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
			return
		}
		if after < s.oldest || after > s.revision || s.era != era {
			s.answer(w, http.StatusGone, nil)
			return
		}
		list := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				list = append(list, it)
			}
		}
		changed := s.changed
		if len(list) == 0 {
			s.mu.Unlock()
			select {
			case <-changed:
				s.mu.Lock()
				continue
			case <-r.Context().Done():
				s.mu.Lock()
				return
			case <-end.C:
				s.mu.Lock()
			}
		}
		s.answer(w, 200, map[string]any{"events": list, "storeRevision": s.revision})
		return
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectedRev []item   `json:"expectedRev"`
		Writes      []item   `json:"writes"`
		Remove      []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		s.answer(w, http.StatusBadRequest, nil)
		return
	}
	held, state := true, []item{}
	for _, x := range in.ExpectedRev {
		held = held && s.items[x.Key].Revision == x.Revision
		if it, ok := s.items[x.Key]; ok {
			state = append(state, it)
		}
	}
	if !held {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"items": state})
		return
	}
	for _, x := range in.Writes {
		if x.Lease != 0 && s.leases[x.Lease] == nil {
			s.answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, x := range in.Writes {
		s.put(x.Key, x.Value, x.Lease)
	}
	for _, key := range in.Remove {
		s.remove(key)
	}
	s.notify()
	s.answer(w, 200, map[string]any{"revision": s.revision})
}
