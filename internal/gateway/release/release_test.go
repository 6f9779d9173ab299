package release_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

// rig is a host with a store.
type rig struct {
	memory  *store.Memory
	client  *store.Client
	tracker *release.Tracker
}

func newRig(memory *store.Memory) *rig {
	return &rig{memory: memory, client: store.New(memory.Backend(), store.Options{Clock: clock.NewSystem()}), tracker: release.NewTracker(time.Now)}
}

// recorder returns a recorder of the host, which is the leader while isLeader is true.
func (r *rig) recorder(firstStart bool, isLeader *bool) *release.Recorder {
	return release.NewRecorder(release.RecorderOptions{Store: r.client, Tracker: r.tracker, FirstStart: firstStart, IsLeader: func() bool { return *isLeader }, Log: zap.NewNop()})
}

// record returns the record in the store, empty if there is none.
func (r *rig) record(t *testing.T) string {
	e, err := r.client.Get(t.Context(), release.RecordKey)
	if kind.Of(err) == kind.Missing {
		return ""
	}
	is.New(t).NoErr(err)
	return string(e.Value())
}

func TestRecordHoldsVersionsThatLeftLately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewSystem())
		first, second := newRig(memory), newRig(memory)
		firstLeads, secondLeads := true, false
		a, b := first.recorder(true, &firstLeads), second.recorder(true, &secondLeads)
		step := func(d time.Duration, versions ...string) {
			for range d / time.Second {
				first.tracker.See(release.Versions{"svc": versions})
				second.tracker.See(release.Versions{"svc": versions})
				a.Step(t.Context())
				b.Step(t.Context())
				time.Sleep(time.Second)
			}
		}
		step(time.Second, "v1")
		is.Equal(first.record(t), `{"svc":["v1"]}`)
		step(time.Second, "v1", "v2")
		is.Equal(first.record(t), `{"svc":["v1","v2"]}`)
		step(30*time.Second, "v2")
		is.Equal(first.record(t), `{"svc":["v1","v2"]}`)
		third := newRig(memory) // a host that has started later takes the duty over
		firstLeads = false
		thirdLeads := true
		c := third.recorder(false, &thirdLeads)
		c.Step(t.Context())
		is.Equal(third.record(t), `{"svc":["v1","v2"]}`)
		thirdLeads, secondLeads = false, true
		step(release.Retention+2*time.Second, "v2")
		is.Equal(second.record(t), `{"svc":["v2"]}`)
	})
}

// TestNoRecordOfAnUnknownPast guards against a record that lacks the versions of the time before the leader's start.
func TestNoRecordOfAnUnknownPast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, leads := newRig(store.NewMemory(clock.NewSystem())), true
		rec := r.recorder(false, &leads)
		for range release.Retention / time.Second {
			r.tracker.See(release.Versions{"svc": {"v1"}})
			rec.Step(t.Context())
			is.Equal(r.record(t), "")
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		r.tracker.See(release.Versions{"svc": {"v1"}})
		rec.Step(t.Context())
		is.Equal(r.record(t), `{"svc":["v1"]}`)
	})
}

func TestOnlyVersion(t *testing.T) {
	v := func(versions ...string) release.Versions { return release.Versions{"svc": versions} }
	cases := []struct {
		name    string
		table   string // version of the instance that the host knows
		stored  string // version of the instance that is in the store
		record  string
		failing bool
		answers []release.Versions // of other hosts
		alone   bool
		uptime  time.Duration
		want    string // empty if not known
	}{
		{name: "one version", table: "v1", stored: "v1", record: `{"svc":["v1"]}`, want: "v1"},
		{name: "another one has left", table: "v2", stored: "v2", record: `{"svc":["v1","v2"]}`},
		{name: "another one has joined, not known here", table: "v1", stored: "v2", record: `{"svc":["v1"]}`},
		{name: "another one has joined, not recorded", table: "v2", stored: "v2", record: `{"svc":["v1"]}`},
		{name: "no record", table: "v1", stored: "v1"},
		{name: "no record, the host has run for long", table: "v1", stored: "v1", uptime: 2 * release.Retention, want: "v1"},
		{name: "record of another service", table: "v1", stored: "v1", record: `{"other":["v9"]}`, want: "v1"},
		{name: "record cannot be read", table: "v1", stored: "v1", record: `[]`},
		{name: "store away, others agree", table: "v1", failing: true, answers: []release.Versions{v("v1"), v("v1")}, want: "v1"},
		{name: "store away, another one knows more", table: "v1", failing: true, answers: []release.Versions{v("v1"), v("v1", "v2")}},
		{name: "store away, nobody answers", table: "v1", failing: true, uptime: 2 * release.Retention},
		{name: "store away, alone", table: "v1", failing: true, alone: true, uptime: 2 * release.Retention, want: "v1"},
		{name: "store away, alone since lately", table: "v1", failing: true, alone: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				memory := store.NewMemory(clock.NewSystem())
				put := func(key, value string) {
					_, err := memory.Backend().Put(t.Context(), store.Write{Key: key, Value: []byte(value), Cond: store.Any()})
					is.NoErr(err)
				}
				if c.stored != "" {
					put("up/u1", c.stored)
				}
				if c.record != "" {
					put(release.RecordKey, c.record)
				}
				r := newRig(memory)
				table := upstream.NewTable("z", upstream.NewDialer(), zap.NewNop())
				table.Put(time.Now(), upstream.Entry{ID: "u1", Service: "svc", Version: c.table})
				time.Sleep(c.uptime)
				f := release.NewFinder(release.FinderOptions{
					Tracker: r.tracker, Table: table, Store: r.client, EntryPrefix: "up/",
					DecodeEntry: func(key string, value []byte) (upstream.Entry, error) {
						return upstream.Entry{ID: strings.TrimPrefix(key, "up/"), Service: "svc", Version: string(value)}, nil
					},
					StoreFailing: func() bool { return c.failing },
					AskHosts:     func(context.Context) ([]release.Versions, bool) { return c.answers, len(c.answers) > 0 },
					IsAlone:      func() bool { return c.alone }, Log: zap.NewNop(),
				})
				version, ok := f.OnlyVersion(t.Context(), "svc")
				is.Equal(version, c.want)
				is.Equal(ok, c.want != "")
			})
		})
	}
}

// TestReadThatBeganBeforeIsNotUsed guards against a version that joined after the store was read and before a caller came: callers
// that come during a read wait for the next one, which they share.
func TestReadThatBeganBeforeIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		memory := store.NewMemory(clock.NewSystem())
		backend := memory.Backend()
		lists, list := 0, backend.List
		backend.List = func(ctx context.Context, prefix string) ([]store.Entry, uint64, error) {
			lists++
			entries, rev, err := list(ctx, prefix)
			time.Sleep(10 * time.Millisecond) // what joins now is not in the response
			return entries, rev, err
		}
		tracker := release.NewTracker(time.Now)
		tracker.SeeRecord(release.Versions{"svc": {"v1"}})
		f := release.NewFinder(release.FinderOptions{
			Tracker: tracker, Table: upstream.NewTable("z", upstream.NewDialer(), zap.NewNop()), EntryPrefix: "up/",
			Store: store.New(backend, store.Options{Clock: clock.NewSystem()}),
			DecodeEntry: func(_ string, value []byte) (upstream.Entry, error) {
				return upstream.Entry{Service: "svc", Version: string(value)}, nil
			},
			StoreFailing: func() bool { return false }, Log: zap.NewNop(),
		})
		results := make(chan bool, 3)
		find := func() { _, ok := f.OnlyVersion(t.Context(), "svc"); results <- ok }
		go find()
		time.Sleep(5 * time.Millisecond)
		_, err := backend.Put(t.Context(), store.Write{Key: "up/u2", Value: []byte("v2"), Cond: store.Any()})
		is.NoErr(err)
		go find()
		go find()
		is.True(<-results)
		is.True(!<-results)
		is.True(!<-results)
		is.Equal(lists, 2)
	})
}
