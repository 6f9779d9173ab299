package fleet

import (
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/route"
)

// keyPrefix is the key prefix of this package's records among the load records.
const keyPrefix = "pool/"

// Interval between the summaries that a host publishes, and lifetime of a summary.
const (
	summaryInterval = 200 * time.Millisecond
	summaryExpiry   = 2 * time.Second
)

// summary is the message that a host publishes about one pool.
type summary struct {
	Pool  string                `cbor:"p"`
	Host  string                `cbor:"h"`
	Body  pool.Summary          `cbor:"s"`
	Loads map[string]route.Load `cbor:"l,omitempty"`
}

// summaryEncoding keeps the times of load reports to the microsecond. With whole seconds, a report would
// seem older than a failure that came before it.
var summaryEncoding = lo.Must(cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode())

// takeLoads returns and clears the loads that this host polled since the last call.
func (e *poolEntry) takeLoads() map[string]route.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	loads := e.unsentLoads
	e.unsentLoads = map[string]route.Load{}
	return loads
}

func (e *poolEntry) setPeer(host string, p peerState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.peers[host] = p
}

// publish sends the other hosts a summary of the queued and running requests of each pool on this host.
func (f *Fleet) publish() {
	now := f.options.Clock.Now()
	f.advisories.addMembers(now, f.options.LiveHosts())
	if period, combined := f.options.Replicator.SoftPeriod(); combined {
		f.publishDigests(now, period)
		return
	}
	for _, e := range f.allPools() {
		data, err := summaryEncoding.Marshal(summary{Pool: e.Name(), Host: f.options.Host, Body: e.Summary(), Loads: e.takeLoads()})
		if err != nil {
			f.options.Log.Error("cannot encode summary", zap.Error(err))
			continue
		}
		f.options.Replicator.Put(replication.TopicLoad, keyPrefix+e.Name()+"/"+f.options.Host, uint64(now.UnixNano()), data, now.Add(summaryExpiry))
	}
}

// receiveSummary merges another host's summary of a pool, or a combined digest.
func (f *Fleet) receiveSummary(r replication.Record) {
	if !strings.HasPrefix(r.Key(), keyPrefix) {
		return
	}
	if name, source := replication.SplitSoftKey(r.Key()); replication.IsCombinedResult(r.Key()) {
		f.receiveDigest(strings.TrimPrefix(name, keyPrefix), source, r.Value())
		return
	}
	var s summary
	if err := cbor.Unmarshal(r.Value(), &s); err != nil {
		f.options.Log.Warn("cannot decode summary of another host", zap.Error(err))
		return
	}
	e, ok := f.findPool(s.Pool)
	if !ok || s.Pool == "" || s.Host == f.options.Host {
		return
	}
	e.MergeSummary(s.Host, s.Body)
	e.setPeer(s.Host, peerState{running: s.Body.RunningByUpstream, receivedAt: f.options.Clock.Now()})
	for id, l := range s.Loads {
		e.recordRemoteLoad(id, l)
		if e.recordRecovery(id, l.At) {
			f.refreshPool(s.Pool)
		}
	}
}

// recordRemoteLoad records the load of an upstream that another host polled.
func (e *poolEntry) recordRemoteLoad(id string, l route.Load) {
	e.UpdateLoad(id, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastLoads[id] = l
}
