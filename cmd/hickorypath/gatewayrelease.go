package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/state/store"
	"hickorypath/platform"
)

// newVersionFinder returns what finds the single version that a service has run lately.
func (g *gateway) newVersionFinder() *release.Finder {
	return release.NewFinder(release.FinderOptions{
		Tracker: g.versions, Table: g.table, Store: g.store.For(store.UseRelease),
		EntryPrefix: platform.EntryPrefix, DecodeEntry: platform.DecodeEntry,
		StoreFailing: func() bool { return g.table.IsStoreFailing(g.clock.Now()) },
		OnOrigin:     func(stream uint64, o upstream.Origin) { g.origins.PutStored(g.clock.Now(), stream, o) },
		AskHosts:     g.askVersions, IsAlone: func() bool { return g.peers.MaxHosts() == 1 }, Log: g.log,
	})
}

// versionHosts is the number of other hosts that are asked for the versions that they have seen.
const versionHosts = 3

// askVersions returns the versions that other hosts have seen lately, those that watch the store first. Answers of hosts that may
// not know all of them do not count.
func (g *gateway) askVersions(ctx context.Context) (answers []release.Versions, ok bool) {
	hosts := g.peers.LiveMessages(g.clock.Now())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	slices.SortStableFunc(hosts, func(a, b peer.Message) int {
		if a.WatchesStore == b.WatchesStore {
			return 0
		}
		if a.WatchesStore {
			return -1
		}
		return 1
	})
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, m := range hosts[:min(len(hosts), versionHosts)] {
		asked.Go(func() {
			e, err := g.transport.FetchEntries(ctx, m.FetchAddress)
			if err != nil || e.Versions == nil {
				return // the others may answer
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, e.Versions)
		})
	}
	asked.Wait()
	return answers, len(answers) > 0
}
