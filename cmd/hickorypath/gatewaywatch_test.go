package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/memnet"
	"hickorypath/internal/standin/platformapi"

	"hickorypath/internal/core/clock"
)

// forgetfulStore is a store that falls silent: it never answers the calls that arrive meanwhile, nor the watches that wait then, and
// leaves their connections open.
type forgetfulStore struct {
	store  http.Handler
	silent atomic.Bool
	times  atomic.Int64 // how often it has fallen silent
}

// ServeHTTP implements http.Handler.
func (s *forgetfulStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	before := s.times.Load()
	if !s.silent.Load() {
		out := httptest.NewRecorder()
		s.store.ServeHTTP(out, r)
		if s.times.Load() == before || !strings.HasPrefix(r.URL.Path, "/kv-watch") {
			for name, values := range out.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(out.Code)
			_, _ = w.Write(out.Body.Bytes())
			return
		}
	}
	<-r.Context().Done()
}

// silence makes the store silent for d.
func (s *forgetfulStore) silence(d time.Duration) {
	s.times.Add(1)
	s.silent.Store(true)
	time.Sleep(d)
	s.silent.Store(false)
}

// hushedStore is a store that stops answering on some of its connections, and goes on answering on others and on new ones.
type hushedStore struct {
	store http.Handler
	rand  *rand.Rand

	mu    sync.Mutex
	conns map[string]bool // whether a connection is silent, by the address of its other end
}

// ServeHTTP implements http.Handler.
func (s *hushedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if _, ok := s.conns[r.RemoteAddr]; !ok {
		s.conns[r.RemoteAddr] = false
	}
	s.mu.Unlock()
	out := httptest.NewRecorder()
	s.store.ServeHTTP(out, r)
	s.mu.Lock()
	isSilent := s.conns[r.RemoteAddr]
	s.mu.Unlock()
	if isSilent {
		<-r.Context().Done()
		return
	}
	for name, values := range out.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(out.Code)
	_, _ = w.Write(out.Body.Bytes())
}

// hush silences a share of the connections.
func (s *hushedStore) hush(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range slices.Sorted(maps.Keys(s.conns)) {
		s.conns[conn] = s.conns[conn] || s.rand.Float64() < share
	}
}

// TestConfigurationIsLateAfterConnectionsToTheStoreFellSilent guards against hosts that wait for answers on silent connections.
func TestConfigurationIsLateAfterConnectionsToTheStoreFellSilent(t *testing.T) {
	const contactTime = 3 * time.Second
	for _, hosts := range []int{1, 2, 6} {
		for _, share := range []float64{0.3, 0.7, 1} {
			t.Run(fmt.Sprintf("%d hosts, %.1f", hosts, share), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := &configFleet{t: t, net: memnet.New(), platform: platformapi.New(clock.NewWall()), rand: rand.New(rand.NewPCG(1, uint64(hosts)))}
					s := &hushedStore{conns: map[string]bool{}, rand: f.rand}
					f.wrap = func(store http.Handler) http.Handler { s.store = store; return s }
					f.run(hosts, 1, hosts)
					for range 20 {
						f.put()
						time.Sleep(time.Duration(f.rand.IntN(500)) * time.Millisecond)
						s.hush(share)
						time.Sleep(time.Duration(f.rand.IntN(1000)) * time.Millisecond)
						s.hush(share)
						f.put()
						took := f.awaitVersion(2 * contactTime)
						is.Equal(len(took), hosts)
						if last := took[hosts-1]; last > contactTime {
							t.Errorf("in force on the last host %s after the change", last)
						}
					}
				})
			})
		}
	}
}

// TestConfigurationIsLateAfterTheStoreForgotItsWatches guards against hosts that wait for answers to watches that the store has
// forgotten, and miss the changes that follow.
func TestConfigurationIsLateAfterTheStoreForgotItsWatches(t *testing.T) {
	const contactTime = 3 * time.Second
	for _, hosts := range []int{1, 2, 6} {
		for _, silent := range []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, silent), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := &forgetfulStore{}
					f := &configFleet{t: t, net: memnet.New(), platform: platformapi.New(clock.NewWall()), rand: rand.New(rand.NewPCG(1, uint64(hosts)))}
					f.wrap = func(store http.Handler) http.Handler { s.store = store; return s }
					f.run(hosts, 1, hosts)
					for range 30 {
						f.put() // all hosts watch again at the same moment
						time.Sleep(time.Duration(f.rand.IntN(500)) * time.Millisecond)
						s.silence(silent)
						f.put()
						took := f.awaitVersion(2 * contactTime)
						is.Equal(len(took), hosts)
						if last := took[hosts-1]; last > contactTime {
							t.Errorf("in force on the last host %s after the store answered again", last)
						}
					}
				})
			})
		}
	}
}
