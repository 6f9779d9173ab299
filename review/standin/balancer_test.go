package review

import (
	"net/http"
	"sync"
	"time"
)

// balancer is the platform's address for the consumers of a zone. Once a second it asks each daemon whether it is ready; after two
// misses the daemon gets no new channels until it answers 200 again. If fewer than half of a zone's daemons are in rotation, it uses
// all of them, and if none is, those of the other zones.
type balancer struct {
	hosts []*host

	mu     sync.Mutex
	misses map[*host]int
}

func newBalancer(hosts []*host) *balancer {
	b := &balancer{hosts: hosts, misses: map[*host]int{}}
	for _, h := range hosts {
		go b.ask(h)
	}
	return b
}

func (b *balancer) ask(h *host) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ; ; time.Sleep(time.Second) {
		resp, err := client.Get("http://" + addr(h.ip, readyPort) + "/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		b.mu.Lock()
		was := b.misses[h]
		if err == nil && resp.StatusCode == http.StatusOK {
			b.misses[h] = 0
		} else {
			b.misses[h]++
		}
		if now := b.misses[h]; (was >= maxMisses) != (now >= maxMisses) {
			record("rotation host=%s in=%v", h.name, now < maxMisses)
		}
		b.mu.Unlock()
	}
}

const maxMisses = 2

// pick returns the daemon for a new channel of a consumer in a zone.
func (b *balancer) pick(zone string, consumer uint64) *host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var all, in, others []*host
	for _, h := range b.hosts {
		isIn := b.misses[h] < maxMisses
		switch {
		case h.zone == zone:
			all = append(all, h)
			if isIn {
				in = append(in, h)
			}
		case isIn:
			others = append(others, h)
		}
	}
	switch {
	case len(in) == 0 && len(others) > 0:
		in = others
	case 2*len(in) < len(all):
		in = all
	}
	return in[consumer%uint64(len(in))]
}
