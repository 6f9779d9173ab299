package node

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/peer"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/state/roster"
)

const (
	simDelay      = 2 * time.Millisecond
	simRetransmit = 200 * time.Millisecond // delay of the first retransmission of a lost stream packet; it doubles each time
)

// sim simulates a network of cores in virtual time. Packet loss drops datagrams and delays stream packets.
type sim struct {
	now      time.Time
	rand     *rand.Rand
	events   events
	seq      int
	hosts    map[string]*simHost
	lossRate float64
	isCut    func(from, to *simHost) bool
	delay    func(from, to string) time.Duration // added to simDelay
	merge    func(topic, name string, values [][]byte) []byte
	roster   []roster.Host
	tick     time.Duration
	linkRate float64 // bytes per second of each host's link in each direction; 0 for no limit
	version  uint64  // version of the last published record
}

type simHost struct {
	core          *core
	id, zone      string
	addr          string
	alive         bool
	restarts      int
	revision      uint64
	synced        bool // whether the core has called onSynced
	keysAtSync    int  // number of key records at that time
	packetsOut    int
	bytesOut      int
	packetsIn     int
	bytesIn       int
	resets        map[string]int // number of connection resets by peer ID
	recordTraffic traffic        // messages about records other than soft ones
	in, out       time.Time      // when the bytes that are queued have passed the host's link
}

// passLink queues size bytes at a host's link, which is free at *freeAt, and returns how long they take from at on.
func (s *sim) passLink(freeAt *time.Time, at time.Time, size int) time.Duration {
	if s.linkRate == 0 {
		return 0
	}
	if freeAt.Before(at) {
		*freeAt = at
	}
	*freeAt = freeAt.Add(time.Duration(float64(size) / s.linkRate * float64(time.Second)))
	return freeAt.Sub(at)
}

// traffic counts sent and received messages and their bytes.
type traffic struct{ packets, bytes int }

func (t *traffic) add(p Packet, size int) {
	if m := p.Replication; m != nil && len(m.Soft) == 0 {
		t.packets++
		t.bytes += size
	}
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(seed uint64) *sim {
	return &sim{
		now: time.UnixMilli(1_800_000_000_000), rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*simHost{},
		isCut: func(_, _ *simHost) bool { return false }, tick: tickInterval,
		delay: func(_, _ string) time.Duration { return 0 },
	}
}

// newFleet returns a sim with n started hosts, all on the roster and distributed evenly over the zones.
func newFleet(seed uint64, n, zones int) *sim {
	s := newSim(seed)
	for i := range n {
		s.addToRoster(fmt.Sprintf("h%03d", i), fmt.Sprintf("zone%02d", i%zones))
	}
	for _, h := range s.roster {
		s.start(h.ID(), h.Zone())
	}
	return s
}

func (s *sim) addToRoster(id, zone string) {
	s.roster = append(s.roster, roster.NewHost(id, zone, "addr-"+id, roster.Live))
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{s.now.Add(d), s.seq, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// runUntil advances the virtual time until ok returns true, for at most limit. It returns the time that this took and
// the last result of ok.
func (s *sim) runUntil(limit time.Duration, ok func() bool) (time.Duration, bool) {
	const step = 20 * time.Millisecond
	for d := time.Duration(0); d < limit; d += step {
		if ok() {
			return d, true
		}
		s.run(step)
	}
	return limit, ok()
}

// start starts a host. A host that ran before restarts without its records.
func (s *sim) start(id, zone string) *simHost {
	h := &simHost{id: id, zone: zone, addr: "addr-" + id, alive: true, resets: map[string]int{}}
	if old := s.hosts[id]; old != nil {
		old.alive = false
		h.restarts = old.restarts + 1
	}
	s.hosts[id] = h
	h.core = newCore(
		coreOptions{
			id: id, now: func() time.Time { return s.now }, resetConnection: func(id string) { h.resets[id]++ },
			send: func(to, _ string, p Packet) { s.send(h, to, p) },
			revision: func() uint64 {
				if h.restarts > 0 && !h.synced {
					return 0
				}
				return h.revision
			},
			onSynced: func() {
				if !h.synced {
					h.synced = true
					h.core.replicator.Range(replication.TopicKey, func(replication.Record) { h.keysAtSync++ })
				}
			},
		},
		membership.Config{ID: id, Zone: zone, Addr: h.addr, Incarnation: uint64(s.now.UnixMilli())},
		replication.Config{Self: id, Zone: zone, Merge: s.merge},
	)
	h.core.replicator.Watch(replication.TopicDocument, func(r replication.Record) { h.revision = max(h.revision, r.Version()) })
	h.core.setRoster(s.roster)
	s.schedule(time.Duration(s.rand.Int64N(int64(s.tick))), func() { s.step(h) })
	return h
}

func (s *sim) stop(id string) { s.hosts[id].alive = false }

func (s *sim) step(h *simHost) {
	if h.alive {
		h.core.tick()
		s.schedule(s.tick, func() { s.step(h) })
	}
}

func (s *sim) send(from *simHost, to string, p Packet) {
	if !from.alive {
		return
	}
	data := encode(p)
	from.packetsOut++
	from.bytesOut += len(data)
	from.recordTraffic.add(p, len(data))
	delay := simDelay + time.Duration(s.rand.Int64N(int64(simDelay))) + s.delay(from.id, to)
	if p.isReliable() || len(data) > peer.MaxDatagram {
		for wait := simRetransmit; s.rand.Float64() < s.lossRate; wait *= 2 {
			delay += wait
		}
	} else if s.rand.Float64() < s.lossRate {
		return
	}
	delay += s.passLink(&from.out, s.now, len(data))
	if h := s.hosts[to]; h != nil {
		delay += s.passLink(&h.in, s.now.Add(delay), len(data))
	}
	s.schedule(delay, func() {
		h := s.hosts[to]
		if h == nil || !h.alive || s.isCut(from, h) {
			return
		}
		p, err := decode(data)
		if err != nil {
			panic(err)
		}
		h.packetsIn++
		h.bytesIn += len(data)
		h.recordTraffic.add(p, len(data))
		h.core.receive(p)
	})
}

func (s *sim) liveHosts() []*simHost {
	var all []*simHost
	for _, id := range slices.Sorted(maps.Keys(s.hosts)) {
		if s.hosts[id].alive {
			all = append(all, s.hosts[id])
		}
	}
	return all
}

// haveVersion returns a function that reports whether every live host accepted by want holds the record at this version
// or a higher one.
func (s *sim) haveVersion(topic, key string, version uint64, want func(*simHost) bool) func() bool {
	return func() bool {
		for _, h := range s.liveHosts() {
			if want(h) && h.core.replicator.Version(topic, key) < version {
				return false
			}
		}
		return true
	}
}

func everyHost(*simHost) bool { return true }
