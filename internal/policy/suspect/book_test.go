package suspect_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/policy/suspect"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is some hosts before some engines; a request whose body is "bad" crashes its engine.
type fleet struct {
	*is.I
	now     time.Time
	tables  []*route.Table
	books   []*suspect.Book
	last    uint64
	running map[uint64]*job
	crashes int
	rand    *rand.Rand
}

type job struct {
	host     int
	print    suspect.Print
	bad      bool
	upstream string
	work     route.Work
}

func newFleet(t *testing.T, hosts, engines int) *fleet {
	f := &fleet{I: is.New(t), now: start, running: map[uint64]*job{}, rand: rand.New(rand.NewPCG(1, 2))}
	list := make([]route.Upstream, engines)
	for i := range list {
		list[i] = route.NewUpstream(fmt.Sprintf("e%d", i), "z0", 16, false)
	}
	all := make([]route.Host, hosts)
	for i := range all {
		all[i] = route.Host{ID: fmt.Sprintf("h%d", i), Zone: "z0", Demand: 1}
	}
	for _, h := range all {
		table := route.New(route.Config{Host: h.ID, Zone: h.Zone, Seed: 1})
		table.Set(f.now, list)
		table.Share(f.now, all)
		f.tables = append(f.tables, table)
		f.books = append(f.books, suspect.New(suspect.Config{}))
	}
	return f
}

// start sends a job to an engine, waiting for a place for as long as it takes.
func (f *fleet) start(j *job) error {
	for {
		trial, err := f.books[j.host].Check(f.now, j.print)
		if kind.Of(err) == kind.Quarantined {
			return err
		}
		j.work = route.Work{Lone: trial, Suspect: trial}
		if id, ok := f.tables[j.host].Pick(f.now, j.work); ok && err == nil {
			f.last++
			j.upstream = id
			f.running[f.last] = j
			f.tables[j.host].Start(f.now, id, f.last, j.work)
			f.books[j.host].Start(f.now, j.print, id, f.last)
			return nil
		}
		f.now = f.now.Add(time.Second)
		if trial {
			f.settleTrials()
		}
	}
}

// settleTrials ends the innocent suspects that run, as time passes.
func (f *fleet) settleTrials() {
	for id, j := range f.running {
		if !j.bad && j.work.Lone {
			f.finish(id)
		}
	}
}

func (f *fleet) finish(id uint64) {
	j := f.running[id]
	delete(f.running, id)
	f.tables[j.host].Finish(f.now, j.upstream, id, route.Result{})
	f.books[j.host].Finish(f.now, id, true)
}

// crash drops all that runs on the engine of a bad job and returns what was lost.
func (f *fleet) crash(upstream string) (lost []*job) {
	f.crashes++
	for id, j := range f.running {
		if j.upstream != upstream {
			continue
		}
		delete(f.running, id)
		lost = append(lost, j)
		f.tables[j.host].Finish(f.now, upstream, id, route.Result{Crashed: true})
	}
	for h, b := range f.books {
		suspicions, quarantines := b.Crash(f.now, upstream)
		for o, other := range f.books {
			if o == h {
				continue
			}
			for _, s := range suspicions {
				other.MergeSuspicion(f.now, s)
			}
			for _, q := range quarantines {
				other.Merge(f.now, q)
			}
		}
	}
	return lost
}

// TestCrashingRequest resends one crashing request among innocent ones.
func TestCrashingRequest(t *testing.T) {
	cases := []struct{ hosts, engines, innocents int }{{1, 9, 60}, {7, 9, 60}, {7, 4, 30}, {3, 9, 0}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			f := newFleet(t, c.hosts, c.engines)
			innocent := map[suspect.Print]bool{}
			for i := range c.innocents {
				j := &job{host: i % c.hosts, print: suspect.Fingerprint("club", "ask", fmt.Append(nil, i))}
				innocent[j.print] = true
				f.NoErr(f.start(j))
			}
			refused := 0
			for resend := range 20 {
				refused += f.send(&job{host: resend % c.hosts, print: suspect.Fingerprint("club", "ask", []byte("bad")), bad: true})
				f.now = f.now.Add(time.Second)
			}
			for len(f.running) > 0 {
				for id := range f.running {
					f.finish(id)
				}
			}
			quarantined := 0
			for p := range innocent {
				for _, b := range f.books {
					if _, err := b.Check(f.now, p); kind.Of(err) == kind.Quarantined {
						quarantined++
					}
				}
			}
			t.Logf("%d hosts, %d engines: %d crashes, %d refusals of 20 sends, %d of %d innocents quarantined",
				c.hosts, c.engines, f.crashes, refused, quarantined, len(innocent))
			f.True(f.crashes <= 2)
			f.Equal(quarantined, 0)
			f.Equal(refused, 20)
		})
	}
}

// send runs a bad job with its retries; what it takes down runs again. It returns 1 when the job was
// refused in the end.
func (f *fleet) send(bad *job) int {
	for range 10 {
		if err := f.start(bad); err != nil {
			return 1
		}
		for _, lost := range f.crash(bad.upstream) {
			if !lost.bad {
				f.NoErr(f.start(lost))
			}
		}
	}
	return 0
}

func TestQuarantineExpires(t *testing.T) {
	is := is.New(t)
	b := suspect.New(suspect.Config{Quarantine: time.Minute})
	p := suspect.Fingerprint("club", "ask", []byte("bad"))
	now := start
	for round, want := range []time.Duration{time.Minute, 2 * time.Minute} {
		if round == 0 {
			b.Start(now, p, "e0", 1)
			suspicions, _ := b.Crash(now, "e0")
			is.Equal(len(suspicions), 1)
		}
		engine := fmt.Sprintf("e%d", round+1)
		b.Start(now, p, engine, 2)
		_, quarantines := b.Crash(now, engine)
		is.Equal(len(quarantines), 1)
		is.Equal(quarantines[0].Until.Sub(now), want)
		_, err := b.Check(now, p)
		is.Equal(kind.Of(err), kind.Quarantined)
		now = now.Add(want)
		trial, err := b.Check(now, p)
		is.NoErr(err)
		is.True(trial) // still a suspect after its quarantine
	}
}

func TestTrial(t *testing.T) {
	is := is.New(t)
	b := suspect.New(suspect.Config{})
	p := suspect.Fingerprint("club", "ask", []byte("innocent"))
	b.Start(start, p, "e0", 1)
	b.Crash(start, "e0")
	b.Start(start, p, "e1", 2)
	_, err := b.Check(start, p)
	is.Equal(kind.Of(err), kind.Unavailable) // one trial at a time
	b.Finish(start, 2, false) // its connection was lost, and the engine still answers
	trial, err := b.Check(start, p)
	is.NoErr(err)
	is.True(trial)
	b.Start(start, p, "e2", 3)
	b.Finish(start, 3, true)
	trial, err = b.Check(start, p)
	is.NoErr(err)
	is.True(!trial) // cleared by a whole answer
}

// TestUpstreamThatWasDownBlamesNobody sends requests to upstreams that crashed earlier.
func TestUpstreamThatWasDownBlamesNobody(t *testing.T) {
	is := is.New(t)
	own, other := suspect.New(suspect.Config{}), suspect.New(suspect.Config{})
	bad := suspect.Fingerprint("club", "ask", []byte("bad"))
	for i, engine := range []string{"e0", "e1"} { // the bad request takes two engines down through one host
		own.Start(start, bad, engine, uint64(i))
		suspicions, quarantines := own.Crash(start, engine)
		for _, s := range suspicions {
			other.MergeSuspicion(start, s)
		}
		for _, q := range quarantines {
			other.Merge(start, q)
		}
	}
	innocent := suspect.Fingerprint("club", "ask", []byte("innocent"))
	now := start.Add(time.Millisecond)
	for i, book := range []*suspect.Book{own, other, own, other} {
		engine := fmt.Sprintf("e%d", i/2)
		trial, err := book.Check(now, innocent)
		is.NoErr(err)
		is.True(!trial)
		book.Start(now, innocent, engine, uint64(10+i))
		suspicions, quarantines := book.Crash(now, engine)
		is.Equal(len(suspicions)+len(quarantines), 0)
	}
	now = now.Add(time.Minute) // a whole answer tells that the engine is up again
	own.Start(now, innocent, "e0", 20)
	own.Finish(now, 20, true)
	own.Start(now, innocent, "e0", 21)
	suspicions, _ := own.Crash(now, "e0")
	is.Equal(len(suspicions), 1)
}

func TestBookIsBounded(t *testing.T) {
	is := is.New(t)
	b := suspect.New(suspect.Config{Size: 10})
	for i := range 100 {
		b.Merge(start, suspect.Quarantine{Print: suspect.Print(i), Until: start.Add(time.Hour)})
	}
	is.Equal(b.Quarantined(start), 10)
}

func ExampleFingerprint() {
	a := suspect.Fingerprint("club", "ask", []byte(`{"q":1}`))
	b := suspect.Fingerprint("club", "ask", []byte(`{"q":1}`))
	c := suspect.Fingerprint("bureau", "ask", []byte(`{"q":1}`))
	fmt.Println(a == b, a == c)
	// Output: true false
}
