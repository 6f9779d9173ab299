package release_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
)

// TestOriginsOutliveTheHosts guards against streams that nobody can take up after all hosts have ended while a service runs several
// versions.
func TestOriginsOutliveTheHosts(t *testing.T) {
	cases := []struct {
		name     string
		versions []string // of the service
		isLeader bool
		want     bool // the origins are in the store
	}{
		{"several versions", []string{"v1", "v2"}, true, true},
		{"one version", []string{"v1"}, true, false},
		{"another host is the leader", []string{"v1", "v2"}, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const seconds, perSecond, maxKeys = 90, 4, 8
				is := is.New(t)
				memory := store.NewMemory(clock.NewSystem())
				r := newRig(memory)
				origin := func(id uint64) upstream.Origin {
					return upstream.Origin{Service: "svc", Version: c.versions[id%uint64(len(c.versions))]}
				}
				begun := make([]release.Stream, 0, seconds*perSecond)
				j := release.NewJournal(release.JournalOptions{
					Store: r.client.For(store.UseRelease), Host: "h1", Tracker: r.tracker, IsLeader: func() bool { return c.isLeader }, Now: time.Now, Log: zap.NewNop(),
					Recent: func(since time.Time) (list []release.Stream) {
						for _, s := range begun {
							if !s.BegunAt.Before(since) {
								list = append(list, s)
							}
						}
						return list
					},
				})
				for id := range uint64(seconds * perSecond) {
					r.tracker.See(release.Versions{"svc": c.versions})
					begun = append(begun, release.Stream{ID: id, Origin: origin(id), BegunAt: time.Now()})
					j.Step(t.Context())
					time.Sleep(time.Second / perSecond)
				}
				other, found := newRig(memory), map[uint64]upstream.Origin{}
				f := release.NewFinder(release.FinderOptions{Tracker: other.tracker, Store: other.client, Log: zap.NewNop(), OnOrigin: func(id uint64, o upstream.Origin) { found[id] = o }})
				is.True(f.ReadOrigins(t.Context()))
				for _, s := range begun[len(begun)-20*perSecond:] { // longer than a stream
					o, ok := found[s.ID]
					is.Equal(ok, c.want)
					is.True(!ok || o == s.Origin)
				}
				list, _, err := r.client.List(t.Context(), "origins/")
				is.NoErr(err)
				is.True(len(list) <= maxKeys)
			})
		})
	}
}
