package main

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/policy/poison"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/fleet"
)

// crashReport is the message that hosts replicate to each other about a crash. It holds either the crashed upstream, a
// suspicion or quarantine of a request that ran there, the turn of a suspected request, which decides when that request may
// start again, or what the host knows of messages that crash upstreams.
type crashReport struct {
	Pool       string              `cbor:"p,omitempty"`
	Upstream   string              `cbor:"u,omitempty"`
	Suspicion  *suspect.Suspicion  `cbor:"s,omitempty"`
	Quarantine *suspect.Quarantine `cbor:"q,omitempty"`
	Turn       *suspect.Turn       `cbor:"t,omitempty"`
	Parts      *partReport         `cbor:"m,omitempty"`
}

// partReport is what a host knows of messages that crash upstreams.
type partReport struct {
	At       time.Time         `cbor:"a"`
	Evidence []poison.Evidence `cbor:"e"`
}

// crashEncoding encodes times with nanosecond precision, because the turns of suspected requests are ordered by time.
var crashEncoding = lo.Must(cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode())

// replicateReport replicates a report to all hosts under a key, until the report expires.
func replicateReport(replicator *replication.Replicator, c clock.Clock, key string, r crashReport, until time.Time) {
	data, err := crashEncoding.Marshal(r)
	if err != nil {
		return
	}
	replicator.Put(replication.TopicSuspect, key, uint64(c.Now().UnixNano()), data, until)
}

// newTurnReplicator returns a function that replicates the turn of a suspected request of this host to all hosts.
func newTurnReplicator(replicator *replication.Replicator, c clock.Clock) func(suspect.Turn) {
	return func(t suspect.Turn) {
		replicateReport(replicator, c, "t/"+t.Host+"/"+hexFingerprint(t.Fingerprint), crashReport{Turn: &t}, t.Until)
	}
}

// partExpiry is how long what a host knows of messages that crash upstreams is replicated.
const partExpiry = 10 * time.Minute

// newPartReplicator returns a function that replicates what this host knows of messages that crash upstreams to all hosts.
func newPartReplicator(replicator *replication.Replicator, c clock.Clock, host string) func([]poison.Evidence) {
	return func(evidence []poison.Evidence) {
		now := c.Now()
		replicateReport(replicator, c, "m/"+host, crashReport{Parts: &partReport{At: now, Evidence: evidence}}, now.Add(partExpiry))
	}
}

// newCrashReplicator returns a function that marks a crashed upstream as down and replicates the crash, with its
// suspicions and quarantines, to all hosts.
func newCrashReplicator(replicator *replication.Replicator, c clock.Clock, f *fleet.Fleet) func(string, string, []suspect.Suspicion, []suspect.Quarantine) {
	put := func(key string, r crashReport, until time.Time) {
		replicateReport(replicator, c, key, r, until)
	}
	return func(pool, upstream string, suspicions []suspect.Suspicion, quarantines []suspect.Quarantine) {
		f.MarkDown(pool, upstream)
		put("u/"+upstream, crashReport{Pool: pool, Upstream: upstream}, c.Now().Add(crashExpiry))
		for _, s := range suspicions {
			put("s/"+hexFingerprint(s.Fingerprint), crashReport{Suspicion: &s}, s.Until)
		}
		for _, q := range quarantines {
			put("q/"+hexFingerprint(q.Fingerprint), crashReport{Quarantine: &q}, q.Until)
		}
	}
}

// crashExpiry is how long the report of a crashed upstream is replicated. After that, polling shows the upstream's state.
const crashExpiry = 10 * time.Second

func hexFingerprint(p suspect.Fingerprint) string { return strconv.FormatUint(uint64(p), 16) }

// newCrashHandler returns a function that merges the crash reports of other hosts into the local state.
func newCrashHandler(s *exchange.SuspectTracker, p *exchange.PartTracker, c clock.Clock, f *fleet.Fleet) func(replication.Record) {
	return func(r replication.Record) {
		report, ok := decodeCrashReport(r)
		if !ok {
			return
		}
		if report.Upstream != "" {
			f.MarkDown(report.Pool, report.Upstream)
		}
		if report.Suspicion != nil {
			s.MergeSuspicion(c.Now(), *report.Suspicion)
		}
		if report.Turn != nil {
			s.MergeTurn(c.Now(), *report.Turn)
		}
		if report.Parts != nil {
			p.Merge(c.Now(), report.Parts.At, report.Parts.Evidence)
		}
		if report.Quarantine != nil {
			s.MergeQuarantine(c.Now(), *report.Quarantine)
		}
	}
}

func decodeCrashReport(r replication.Record) (report crashReport, ok bool) {
	err := cbor.Unmarshal(r.Value(), &report)
	return report, err == nil
}
