package main

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/spread"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/upstream/fleet"
)

// crashReport is what hosts tell each other about a crash: the upstream, or one request that ran there.
type crashReport struct {
	Pool       string              `cbor:"p,omitempty"`
	Upstream   string              `cbor:"u,omitempty"`
	Suspicion  *suspect.Suspicion  `cbor:"s,omitempty"`
	Quarantine *suspect.Quarantine `cbor:"q,omitempty"`
}

// tellCrash spreads suspicions and quarantines to all hosts.
func tellCrash(sp *spread.Spread, c clock.Clock, f *fleet.Fleet) func(string, string, []suspect.Suspicion, []suspect.Quarantine) {
	put := func(key string, r crashReport, until time.Time) {
		data, err := cbor.Marshal(r)
		if err != nil {
			return
		}
		sp.Put(spread.Suspect, key, uint64(c.Now().UnixNano()), data, until)
	}
	return func(pool, upstream string, suspicions []suspect.Suspicion, quarantines []suspect.Quarantine) {
		f.Down(pool, upstream)
		put("u/"+upstream, crashReport{Pool: pool, Upstream: upstream}, c.Now().Add(crashExpiry))
		for _, s := range suspicions {
			put("s/"+nameOf(s.Print), crashReport{Suspicion: &s}, s.Until)
		}
		for _, q := range quarantines {
			put("q/"+nameOf(q.Print), crashReport{Quarantine: &q}, q.Until)
		}
	}
}

// crashExpiry is how long the news of a crash travels; polls then tell the state of the upstream.
const crashExpiry = 10 * time.Second

func nameOf(p suspect.Print) string { return strconv.FormatUint(uint64(p), 16) }

// takeCrash merges what other hosts tell about crashes.
func takeCrash(s *exchange.Suspects, c clock.Clock, f *fleet.Fleet) func(spread.Record) {
	return func(r spread.Record) {
		var report crashReport
		if err := cbor.Unmarshal(r.Value(), &report); err != nil {
			return
		}
		if report.Upstream != "" {
			f.Down(report.Pool, report.Upstream)
		}
		if report.Suspicion != nil {
			s.MergeSuspicion(c.Now(), *report.Suspicion)
		}
		if report.Quarantine != nil {
			s.Merge(c.Now(), *report.Quarantine)
		}
	}
}
