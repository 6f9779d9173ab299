package main

import (
	"context"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/peer"
)

// newConfigFetcher returns what fetches newer configurations from other hosts.
func (g *gateway) newConfigFetcher() *peer.Fetcher {
	return peer.NewFetcher(peer.FetcherOptions{
		Pick: func(now time.Time, otherZones bool, skip func(string) bool) string {
			return g.peers.PickConfigSource(now, g.configVersion(), otherZones, skip)
		},
		Fetch: g.fetchConfig, FollowsStore: g.watcher.IsWatching, What: "configuration", Log: g.log, Now: g.clock.Now,
	})
}

func (g *gateway) fetchConfig(ctx context.Context, address string) error {
	before := g.configVersion()
	packed, err := g.transport.FetchConfig(ctx, address)
	if err != nil {
		return err
	}
	g.watcher.ApplyPackedConfig(packed, address)
	if g.configVersion() == before {
		return kind.New(kind.Peer, "%s served no newer configuration", address)
	}
	return nil
}

// newEntriesFetcher returns what fetches newer upstream entries from other hosts.
func (g *gateway) newEntriesFetcher() *peer.Fetcher {
	return peer.NewFetcher(peer.FetcherOptions{
		Pick: func(now time.Time, otherZones bool, skip func(string) bool) string {
			return g.peers.PickEntriesSource(now, g.watcher.Revision(), otherZones, skip)
		},
		Fetch: g.fetchEntries, FollowsStore: g.watcher.IsWatching, What: "upstream entries", Log: g.log, Now: g.clock.Now,
	})
}

func (g *gateway) fetchEntries(ctx context.Context, address string) error {
	entries, err := g.transport.FetchEntries(ctx, address)
	if err != nil {
		return err
	}
	if entries.StoreFailing {
		g.table.RecordStoreFailure(g.clock.Now()) // entries may have expired although their instances are alive
	}
	g.watcher.ReplaceEntries(entries.List, entries.Revision, address)
	return nil
}
