package poison_test

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hickorypath/internal/policy/poison"
)

var seeds = flag.Int("seeds", 2, "seeds of each simulated fleet")

// sim is a fleet of hosts and engines in virtual time. The hosts tell a few others what they know, and some messages are lost.
type sim struct {
	now      time.Duration
	rand     *rand.Rand
	events   eventHeap
	hosts    []*simHost
	zones    int
	engines  []*simEngine
	started  int // engines so far
	sent     int // requests so far
	seq      int // events so far
	bad      uint64
	crashes  []time.Duration // by requests with the bad part
	arrivals []time.Duration // of such requests at engines
	sound    map[bool]int    // sound requests that began, and that were refused, late in the day
	judged   time.Duration   // from when on
}

type simHost struct {
	tracker *poison.Tracker
	cut     bool
}

type simEngine struct {
	id      uint64
	down    bool
	running map[*simRequest]bool
}

type simRequest struct {
	number int
	host   *simHost
	traits []poison.Trait
	begun  bool
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

func (s *sim) run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) time() time.Time { return at(0).Add(s.now) }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)))
}

// every calls run rate times a second on average.
func (s *sim) every(rate float64, run func()) {
	s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		run()
		s.every(rate, run)
	})
}

// tell sends the evidence of a host to some hosts of its zone and to another one, as the gateway does.
func (s *sim) tell(n int) {
	h := s.hosts[n]
	told := h.tracker.Evidence(s.time())
	for k := range 7 {
		to := s.rand.IntN(len(s.hosts))
		if k < 6 {
			to = to/s.zones*s.zones + n%s.zones // in the same zone
		}
		if to >= len(s.hosts) || h.cut || s.hosts[to].cut || s.rand.Float64() < 0.1 {
			continue
		}
		s.after(s.between(time.Millisecond, 20*time.Millisecond), func() { s.hosts[to].tracker.Merge(s.time(), told) })
	}
}

func (s *sim) start(e *simEngine) {
	s.started++
	*e = simEngine{id: uint64(s.started), running: map[*simRequest]bool{}}
}

// crash takes an engine down for some seconds. Each host notices by its requests there.
func (s *sim) crash(e *simEngine) {
	if e.down {
		return
	}
	e.down = true
	for _, r := range slices.SortedFunc(maps.Keys(e.running), func(a, b *simRequest) int { return cmp.Compare(a.number, b.number) }) {
		traits := r.traits[len(r.traits)-1:]
		if !r.begun {
			traits = r.traits
		}
		id := e.id
		s.after(s.between(time.Millisecond, 30*time.Millisecond), func() {
			r.host.tracker.RecordCrash(s.time(), id, traits)
			s.tell(s.index(r.host))
		})
	}
	s.after(4*time.Second, func() { s.start(e) })
}

func (s *sim) index(h *simHost) int {
	for n, o := range s.hosts {
		if o == h {
			return n
		}
	}
	return 0 // the host was restarted
}

// send sends a request with these parts to an engine through any host.
func (s *sim) send(parts ...uint64) {
	h := s.hosts[s.rand.IntN(len(s.hosts))]
	e := s.engines[s.rand.IntN(len(s.engines))]
	s.sent++
	r := &simRequest{number: s.sent, host: h}
	isBad := false
	for depth, p := range parts {
		r.traits = append(r.traits, poison.Trait{ID: p, Depth: depth})
		isBad = isBad || p == s.bad
	}
	r.traits = append(r.traits, poison.Whole(s.rand.Uint64()))
	refused, _ := h.tracker.Refuses(s.time(), r.traits, nobody)
	if !isBad && s.judged > 0 && s.now > s.judged && !h.cut {
		s.sound[!refused]++
	}
	if refused || e.down {
		return
	}
	if isBad && !h.cut {
		s.arrivals = append(s.arrivals, s.now)
	}
	e.running[r] = true
	id := e.id
	s.after(s.between(200*time.Millisecond, 1500*time.Millisecond), func() {
		if e.id != id || e.down || isBad && h.tracker.HasRefused(r.traits) { // it was given up meanwhile
			delete(e.running, r)
			return
		}
		if isBad {
			s.crashes = append(s.crashes, s.now)
			s.crash(e)
			return
		}
		s.after(500*time.Millisecond, func() {
			if e.id == id && !e.down {
				r.begun = true
				h.tracker.RecordBegun(s.time(), r.traits[:len(r.traits)-1])
			}
		})
		s.after(s.between(time.Second, 8*time.Second), func() { delete(e.running, r) })
	})
}

// TestFleetFindsTheBadPart sends requests with a part that crashes each engine through fleets in which engines crash for other reasons
// too, hosts restart and are cut off, and checks how many engines are lost and whether sound requests are served.
func TestFleetFindsTheBadPart(t *testing.T) {
	const (
		contact = 3 * time.Second
		general = 4   // first parts
		parts   = 250 // second parts
	)
	cases := []struct {
		name                  string
		hosts, zones, engines int
		sound, bad            float64 // requests per second
		following             uint64  // parts that follow the bad one; 0 if the bad part is a second one
		trouble               func(s *sim)
	}{
		{"7 hosts", 7, 4, 9, 20, 1.5, 0, nil},
		{"7 hosts, few sound requests", 7, 4, 9, 2, 1.5, 0, nil},
		{"7 hosts, many bad requests", 7, 4, 9, 20, 10, 0, nil},
		{"7 hosts, first part", 7, 4, 9, 20, 1.5, parts, nil},
		{"7 hosts, first part, few follow", 7, 4, 9, 20, 10, 7, nil},
		{"80 hosts", 80, 4, 64, 200, 5, 0, nil},
		{"350 hosts", 350, 15, 300, 500, 10, 0, nil},
		{"7 hosts, zones of engines are lost", 7, 4, 12, 20, 1.5, 0, func(s *sim) {
			s.every(0.2, func() {
				zone := s.rand.IntN(4)
				for i, e := range s.engines {
					if i%4 == zone {
						s.after(s.between(0, 100*time.Millisecond), func() { s.crash(e) })
					}
				}
			})
		}},
		{"7 hosts, engines go down and up", 7, 4, 12, 20, 1.5, 0, func(s *sim) {
			s.every(1, func() { s.crash(s.engines[s.rand.IntN(3)]) })
		}},
		{"7 hosts restart", 7, 4, 9, 20, 1.5, 0, func(s *sim) {
			s.every(0.5, func() { s.hosts[s.rand.IntN(len(s.hosts))] = &simHost{tracker: poison.New()} })
		}},
		{"80 hosts, some are cut off", 80, 4, 64, 200, 5, 0, func(s *sim) {
			s.every(0.5, func() {
				h := s.hosts[s.rand.IntN(len(s.hosts))]
				h.cut = true
				s.after(5*time.Second, func() { h.cut = false })
			})
		}},
	}
	for _, c := range cases {
		for seed := range uint64(*seeds) {
			t.Run(fmt.Sprintf("%s, seed %d", c.name, seed), func(t *testing.T) {
				t.Parallel()
				if testing.Short() && c.hosts > 100 {
					t.Skip("a fleet of 350 hosts takes too long under the race detector")
				}
				s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), zones: c.zones, bad: 1000, sound: map[bool]int{}}
				for n := range c.hosts {
					s.hosts = append(s.hosts, &simHost{tracker: poison.New()})
					var tick func()
					tick = func() {
						s.tell(n)
						s.after(200*time.Millisecond, tick)
					}
					s.after(s.between(0, 200*time.Millisecond), tick)
				}
				for range c.engines {
					e := &simEngine{}
					s.start(e)
					s.engines = append(s.engines, e)
				}
				own := uint64(1 << 32)
				part := func() uint64 { return uint64(100 + s.rand.IntN(parts)) }
				s.every(c.sound, func() { own++; s.send(uint64(s.rand.IntN(general)), part()) })
				s.run(5 * time.Second)
				s.every(c.bad, func() {
					if c.following > 0 {
						s.send(s.bad, 100+s.rand.Uint64N(c.following))
					} else {
						s.send(uint64(s.rand.IntN(general)), s.bad)
					}
				})
				if c.trouble != nil {
					c.trouble(s)
				}
				s.run(15 * time.Second)
				s.judged = s.now
				s.run(40 * time.Second)
				late := 0
				for _, at := range s.arrivals {
					if len(s.crashes) >= 5 && at > s.crashes[4]+contact {
						late++
					}
				}
				began, refused := s.sound[true], s.sound[false]
				t.Logf("%d engines lost by the bad part, %d arrivals too late; sound requests: %d let through, %d refused", len(s.crashes), late, began, refused)
				if late > 3 {
					t.Errorf("%d requests with the bad part reached engines later than %s after the fifth crash", late, contact)
				}
				if refused > began {
					t.Error("more than half of the sound requests were refused")
				}
			})
		}
	}
}
