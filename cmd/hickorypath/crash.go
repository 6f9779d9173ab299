package main

import (
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/spread"
	"hickorypath/internal/policy/suspect"
)

// crashReport is what hosts tell each other about one request that ran on a crashed upstream.
type crashReport struct {
	Suspicion  *suspect.Suspicion  `cbor:"s,omitempty"`
	Quarantine *suspect.Quarantine `cbor:"q,omitempty"`
}

// tellCrash spreads suspicions and quarantines to all hosts.
func tellCrash(sp *spread.Spread, c clock.Clock) func(string, []suspect.Suspicion, []suspect.Quarantine) {
	put := func(print suspect.Print, part string, r crashReport, until time.Time) {
		data, err := cbor.Marshal(r)
		if err != nil {
			return
		}
		key := part + strconv.FormatUint(uint64(print), 16)
		sp.Put(spread.Suspect, key, uint64(c.Now().UnixNano()), data, until)
	}
	return func(_ string, suspicions []suspect.Suspicion, quarantines []suspect.Quarantine) {
		for _, s := range suspicions {
			put(s.Print, "s", crashReport{Suspicion: &s}, s.Until)
		}
		for _, q := range quarantines {
			put(q.Print, "q", crashReport{Quarantine: &q}, q.Until)
		}
	}
}

// takeCrash merges what other hosts tell about crashes.
func takeCrash(s *exchange.Suspects, c clock.Clock) func(spread.Record) {
	return func(r spread.Record) {
		var report crashReport
		if err := cbor.Unmarshal(r.Value(), &report); err != nil {
			return
		}
		if report.Suspicion != nil {
			s.MergeSuspicion(c.Now(), *report.Suspicion)
		}
		if report.Quarantine != nil {
			s.Merge(c.Now(), *report.Quarantine)
		}
	}
}
