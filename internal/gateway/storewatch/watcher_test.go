package storewatch_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/storewatch"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

const entryPrefix = "upstreams/"

// TestEntriesOfAnUnfinishedSyncAreNotHandedOut reads the entries for other hosts after each change that a host learns of. A
// host that takes a part of the list for the whole removes the other upstreams, or keeps those that are gone.
func TestEntriesOfAnUnfinishedSyncAreNotHandedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewWall())
		put := func(id string) uint64 {
			rev, err := memory.Backend().Put(t.Context(), store.Write{Key: entryPrefix + id})
			is.NoErr(err)
			return rev
		}
		existing := map[uint64][]string{0: {}} // upstreams that exist at a revision
		put("c")
		put("b")
		existing[put("a")] = []string{"a", "b", "c"}

		var w *storewatch.Watcher
		checked := map[uint64]bool{}
		var mu sync.Mutex
		check := func() {
			mu.Lock()
			defer mu.Unlock()
			list, revision := w.Entries()
			want, ok := existing[revision]
			if !ok || revision == 0 {
				return
			}
			checked[revision] = true
			is.Equal(slices.Sorted(maps.Keys(lo.KeyBy(list, func(e upstream.Entry) string { return e.ID }))), want)
		}
		var shouldWatch atomic.Bool
		shouldWatch.Store(true)
		w = storewatch.New(storewatch.Options{
			Store: store.New(memory.Backend(), store.Options{Clock: clock.NewWall(), Rand: rand.New(rand.NewPCG(1, 2)), WatchTimeout: 5 * time.Second}),
			Live:  config.NewLive(), Table: upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), EntryPrefix: entryPrefix,
			DecodeEntry: func(key string, _ []byte) (upstream.Entry, error) {
				return upstream.Entry{ID: strings.TrimPrefix(key, entryPrefix), Service: "s"}, nil
			},
			OnOtherKey: func(store.Event) {}, OnChange: check, OnSync: func(uint64, func(string) bool) {},
			ShouldWatch: shouldWatch.Load, Log: zap.NewNop(), Now: time.Now,
		})
		go w.Run(t.Context())
		time.Sleep(time.Second)
		check()
		whileNotWatching := func(change func()) {
			shouldWatch.Store(false)
			time.Sleep(time.Second)
			change()
			shouldWatch.Store(true)
			time.Sleep(time.Second)
			check()
		}
		remove := func(id string) { is.NoErr(memory.Backend().Delete(t.Context(), entryPrefix+id, store.Any())) }
		whileNotWatching(func() {
			remove("c")
			existing[put("d")] = []string{"a", "b", "d"}
		})
		whileNotWatching(func() {
			remove("d")
			existing[6] = []string{"a", "b"}
		})
		is.Equal(slices.Sorted(maps.Keys(checked)), []uint64{3, 5, 6})
	})
}

// TestHostsThatStartTogetherMakeFewCalls starts the hosts of a large fleet at once, each of which registers after it has read all
// keys. Most of them learn within half a second that others watch the store.
func TestHostsThatStartTogetherMakeFewCalls(t *testing.T) {
	const hosts, watchers, maxCallsPerHost = 60, 4, 3 // reading, one watch, and a part of those of the hosts that go on
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewWall())
		var othersWatch atomic.Bool
		var known [hosts]atomic.Int64 // registered hosts that a host knows
		for n := range hosts {
			client := store.New(memory.Backend(), store.Options{Clock: clock.NewWall(), Rand: rand.New(rand.NewPCG(1, uint64(n))), WatchTimeout: 5 * time.Second, WatchBatchDelay: 100 * time.Millisecond})
			w := storewatch.New(storewatch.Options{
				Store: client, Live: config.NewLive(), Table: upstream.NewTable("z1", upstream.NewDialer(), zap.NewNop()), EntryPrefix: entryPrefix,
				OnOtherKey: func(store.Event) { known[n].Add(1) }, OnChange: func() {},
				OnSync: func(uint64, func(string) bool) {
					time.AfterFunc(time.Duration(rand.N(500))*time.Millisecond, func() {
						_, err := memory.Backend().Put(t.Context(), store.Write{Key: "hosts/" + strconv.Itoa(n)})
						is.NoErr(err)
					})
				},
				ShouldWatch: func() bool { return n < watchers || !othersWatch.Load() }, Log: zap.NewNop(), Now: time.Now,
			})
			go w.Run(t.Context())
		}
		time.Sleep(500 * time.Millisecond)
		othersWatch.Store(true)
		time.Sleep(1500 * time.Millisecond)
		calls := memory.Calls() - hosts // without those that registered
		t.Logf("%d calls of %d hosts", calls, hosts)
		is.True(calls <= hosts*maxCallsPerHost)
		for n := range watchers {
			is.Equal(known[n].Load(), int64(hosts))
		}
	})
}
