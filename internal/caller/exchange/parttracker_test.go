package exchange_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/policy/poison"
)

// partHosts are the PartTrackers of several hosts, each of which gets what the others publish.
type partHosts struct {
	trackers []*exchange.PartTracker
	now      time.Time
	lastRun  uint64
}

func newPartHosts(hosts int) *partHosts {
	p := &partHosts{now: time.Unix(1_800_000_000, 0)}
	for n := range hosts {
		publish := func(told []poison.Evidence) {
			for other, t := range p.trackers {
				if other != n {
					t.Merge(p.now, p.now, told)
				}
			}
		}
		owns := func(uint64) bool { return n == 0 }
		p.trackers = append(p.trackers, exchange.NewPartTracker(exchange.PartOptions{Log: zap.NewNop(), Owns: owns, Publish: publish}))
	}
	return p
}

// start starts a run on a host and an upstream.
func (p *partHosts) start(host int, upstream string, stop func(), parts ...uint64) (run uint64) {
	p.lastRun++
	p.trackers[host].Start(p.lastRun, upstream, traits(parts), stop)
	return p.lastRun
}

func traits(parts []uint64) (list []poison.Trait) {
	for depth, id := range parts {
		list = append(list, poison.Trait{ID: id, Depth: depth})
	}
	return list
}

// refusals returns how many hosts refuse requests with a part.
func (p *partHosts) refusals(part uint64) (n int) {
	for _, t := range p.trackers {
		if _, err := t.Check(p.now, traits([]uint64{part})); kind.Of(err) == kind.Quarantined {
			n++
		}
	}
	return n
}

// TestCrashesOfOtherHostsDoNotCount guards against hosts each of which waits for crashes of its own before it refuses a part.
func TestCrashesOfOtherHostsDoNotCount(t *testing.T) {
	const hosts, crashes, common, bad = 3, 3, 1, 2 // the common part is with each crash
	cases := []struct {
		name  string
		begun func(crash int) bool // a sound request with the common part begins between the crashes
		parts []uint64
		want  map[uint64]int // hosts that refuse a part
	}{
		{"sound requests between", func(int) bool { return true }, []uint64{common, bad}, map[uint64]int{common: 0, bad: hosts}},
		{"only crashes", func(int) bool { return false }, []uint64{common, bad}, map[uint64]int{common: 0, bad: hosts}},
		{"one part", func(int) bool { return false }, []uint64{bad}, map[uint64]int{bad: hosts}},
		{"cleared before the last crash", func(crash int) bool { return crash == crashes-1 }, []uint64{common}, map[uint64]int{common: 0}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newPartHosts(hosts)
			for crash := range crashes {
				host := crash % hosts
				if c.begun(crash) {
					p.trackers[host].Finish(p.now, p.start(host, "sound", nil, common), true)
				}
				p.now = p.now.Add(time.Second)
				upstream := fmt.Sprint("e", crash)
				run := p.start(host, upstream, nil, c.parts...)
				p.trackers[host].Crash(p.now, upstream)
				p.trackers[host].Finish(p.now, run, false)
			}
			for part, n := range c.want {
				is.Equal(p.refusals(part), n)
			}
		})
	}
}

// TestRunsWithARefusedPartGoOn guards against runs that are under way on all hosts when a part is refused, and crash their upstreams too.
func TestRunsWithARefusedPartGoOn(t *testing.T) {
	is := is.New(t)
	const hosts, bad, sound = 3, 2, 5
	p := newPartHosts(hosts)
	stopped := 0
	for host := range hosts {
		p.start(host, "e8", func() { stopped++ }, bad)
		p.start(host, "e8", func() { is.Fail() }, sound)
		run := p.start(host, "e9", func() { is.Fail() }, bad, sound)
		p.trackers[host].RecordBegun(p.now, run) // this response is under way
	}
	for crash := range 3 {
		p.now = p.now.Add(time.Second)
		upstream := fmt.Sprint("e", crash)
		p.start(0, upstream, nil, bad)
		p.trackers[0].Crash(p.now, upstream)
	}
	is.Equal(stopped, hosts)
}

// TestRefusedPartIsNeverTriedAgain guards against a part that stays refused after its cause was repaired: one host tries it again.
func TestRefusedPartIsNeverTriedAgain(t *testing.T) {
	is := is.New(t)
	const hosts, bad = 3, 2
	p := newPartHosts(hosts)
	for crash := range 3 {
		p.now = p.now.Add(time.Second)
		upstream := fmt.Sprint("e", crash)
		p.start(1, upstream, nil, bad)
		p.trackers[1].Crash(p.now, upstream)
	}
	p.now = p.now.Add(3 * time.Minute)
	is.Equal(p.refusals(bad), hosts-1) // the host that owns the part lets one request through
	is.Equal(p.refusals(bad), hosts)
	p.trackers[0].Finish(p.now, p.start(0, "e5", nil, bad), true)
	is.Equal(p.refusals(bad), 0)
}
