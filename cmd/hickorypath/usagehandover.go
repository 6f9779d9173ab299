package main

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/node"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/usage"
)

// Times of the handover of uncommitted usage to other hosts.
const (
	handoverExpiry = 24 * time.Hour  // how long the other hosts keep the usage while the store is down
	handoverDelay  = 2 * time.Second // time for the usage to reach the other hosts before this host exits
)

// flushUsage commits the remaining usage to the store at shutdown. If that fails, it replicates the usage to the other
// hosts, which commit it later.
func (h *host) flushUsage(ctx context.Context) {
	r := get[*usage.Recorder](h.injector)
	err := r.Flush(ctx)
	if err == nil {
		return
	}
	h.log.Warn("cannot commit the remaining usage; handing it over to other hosts", zap.Int("increments", r.Pending()), zap.Error(err))
	now := get[clock.Clock](h.injector).Now()
	id := get[identity](h.injector)
	replicator := get[*node.Node](h.injector).Replicator()
	replicator.Put(replication.TopicUsage, id.host+"/"+id.incarnation, uint64(now.UnixNano()), r.Export(), now.Add(handoverExpiry))
	clock.Pause(ctx, handoverDelay)
}

// importUsage takes over the uncommitted usage of a host that has shut down. Only the few hosts that are preferred for
// the record's key import it.
func (h *host) importUsage(r replication.Record) {
	host, _, _ := strings.Cut(r.Key(), "/")
	if host == h.settings.Host() || !lease.IsPreferred(liveHosts(get[*node.Node](h.injector).Members()), h.settings.Host(), r.Key()) {
		return
	}
	if err := get[*usage.Recorder](h.injector).Import(r.Value()); err != nil {
		h.log.Error("cannot decode the usage handed over by another host", zap.String("from", r.Key()), zap.Error(err))
	}
}
