package suspect_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestQuarantineExpires(t *testing.T) {
	is := is.New(t)
	tracker := suspect.New(suspect.Config{FirstQuarantine: time.Minute})
	p := suspect.NewFingerprint("club", "ask", []byte("bad"))
	now := start
	for round, want := range []time.Duration{time.Minute, 2 * time.Minute} {
		if round == 0 {
			tracker.Start(now, p, "e0", 1, nil)
			suspicions, _ := tracker.Crash(now, "e0")
			is.Equal(len(suspicions), 1)
		}
		engine := fmt.Sprintf("e%d", round+1)
		tracker.Start(now, p, engine, 2, nil)
		_, quarantines := tracker.Crash(now, engine)
		is.Equal(len(quarantines), 1)
		is.Equal(quarantines[0].Until.Sub(now), want)
		_, err := tracker.Check(now, p)
		is.Equal(kind.Of(err), kind.Quarantined)
		now = now.Add(want)
		trial, err := tracker.Check(now, p)
		is.NoErr(err)
		is.True(trial) // the request is still a suspect after its quarantine
	}
}

func TestTrial(t *testing.T) {
	is := is.New(t)
	tracker := suspect.New(suspect.Config{Host: "h0"})
	p := suspect.NewFingerprint("club", "ask", []byte("innocent"))
	tracker.Start(start, p, "e0", 1, nil)
	tracker.Crash(start, "e0")
	turn, err := tracker.JoinQueue(start, p, []string{"e1"})
	is.NoErr(err)
	_, err = tracker.JoinQueue(start, p, []string{"e1"})
	is.Equal(kind.Of(err), kind.Unavailable) // a request has at most one turn
	tracker.Start(start, p, turn.Upstream, 2, nil)
	_, err = tracker.JoinQueue(start, p, []string{"e1"})
	is.Equal(kind.Of(err), kind.Unavailable) // a request is on trial at most once
	tracker.Finish(start, 2, false)          // the connection was lost, but the engine did not crash
	trial, err := tracker.Check(start, p)
	is.NoErr(err)
	is.True(trial)
	turn, err = tracker.JoinQueue(start, p, []string{"e2"})
	is.NoErr(err)
	tracker.Start(start, p, turn.Upstream, 3, nil)
	tracker.Finish(start, 3, true)
	trial, err = tracker.Check(start, p)
	is.NoErr(err)
	is.True(!trial) // a complete response clears the suspect
}

// TestRequestsToDownUpstreamAreNotSuspects checks that a request that was sent to an upstream which had crashed before
// becomes neither a suspect nor quarantined, until a complete response shows that the upstream is up again.
func TestRequestsToDownUpstreamAreNotSuspects(t *testing.T) {
	is := is.New(t)
	own, other := suspect.New(suspect.Config{}), suspect.New(suspect.Config{})
	bad := suspect.NewFingerprint("club", "ask", []byte("bad"))
	for i, engine := range []string{"e0", "e1"} { // the bad request crashes two engines through one host
		own.Start(start, bad, engine, uint64(i), nil)
		suspicions, quarantines := own.Crash(start, engine)
		for _, s := range suspicions {
			other.MergeSuspicion(start, s)
		}
		for _, q := range quarantines {
			other.MergeQuarantine(start, q)
		}
	}
	innocent := suspect.NewFingerprint("club", "ask", []byte("innocent"))
	now := start.Add(time.Millisecond)
	for i, tracker := range []*suspect.Tracker{own, other, own, other} {
		engine := fmt.Sprintf("e%d", i/2)
		trial, err := tracker.Check(now, innocent)
		is.NoErr(err)
		is.True(!trial)
		tracker.Start(now, innocent, engine, uint64(10+i), nil)
		suspicions, quarantines := tracker.Crash(now, engine)
		is.Equal(len(suspicions)+len(quarantines), 0)
	}
	now = now.Add(time.Minute) // a complete response shows that the engine is up again
	own.Start(now, innocent, "e0", 20, nil)
	own.Finish(now, 20, true)
	own.Start(now, innocent, "e0", 21, nil)
	suspicions, _ := own.Crash(now, "e0")
	is.Equal(len(suspicions), 1)
}

func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := suspect.New(suspect.Config{MaxEntries: 10})
	for i := range 100 {
		tracker.MergeQuarantine(start, suspect.Quarantine{Fingerprint: suspect.Fingerprint(i), Until: start.Add(time.Hour)})
	}
	is.Equal(tracker.QuarantineCount(start), 10)
}

// TestClearedSuspectIsEvictedTooEarly guards against a quarantine that is forgotten before older ones because the same request had been
// a suspect before.
func TestClearedSuspectIsEvictedTooEarly(t *testing.T) {
	is := is.New(t)
	tracker := suspect.New(suspect.Config{MaxEntries: 3})
	until := start.Add(time.Hour)
	tracker.MergeSuspicion(start, suspect.Suspicion{Fingerprint: 1, Until: until, Upstream: "e1", At: start})
	tracker.Start(start, 1, "e2", 7, nil)
	tracker.Finish(start, 7, true) // the request is cleared
	for _, fp := range []suspect.Fingerprint{2, 3, 1, 4} {
		tracker.MergeQuarantine(start, suspect.Quarantine{Fingerprint: fp, Until: until})
	}
	for fp, isQuarantined := range map[suspect.Fingerprint]bool{1: true, 2: false, 3: true, 4: true} {
		_, err := tracker.Check(start, fp)
		is.Equal(err != nil, isQuarantined)
	}
}

func ExampleNewFingerprint() {
	a := suspect.NewFingerprint("club", "ask", []byte(`{"q":1}`))
	b := suspect.NewFingerprint("club", "ask", []byte(`{"q":1}`))
	c := suspect.NewFingerprint("bureau", "ask", []byte(`{"q":1}`))
	fmt.Println(a == b, a == c)
	// Output: true false
}
