package upstream

import (
	"context"
	"time"

	"hickorypath/internal/policy/reach"
)

// probedUpstreams is the number of upstreams of which one has to answer to show that the host reaches a service.
const probedUpstreams = 3

// ReachesOthers reports whether the host reaches upstreams of the instance's service other than the instance, or there are none. It
// tells an instance that has failed from a host that is cut off, and takes up to reach.StallTime.
func (i *Instance) ReachesOthers() bool {
	r := i.reach
	if r == nil {
		return true
	}
	if r.isCut() {
		return false
	}
	// A cut breaks many connections at once.
	reaches, _, _ := r.probes.Do("", func() (any, error) { return r.reachesAnyBut(i), nil })
	return reaches == true
}

// reachesAnyBut opens connections to some upstreams of the service but one, and reports whether any was opened in time, or there are
// no others.
func (r *serviceReach) reachesAnyBut(i *Instance) bool {
	list, ids := r.upstreams()
	opened, tries := make(chan bool, probedUpstreams), 0
	for _, id := range ids {
		if id == i.id || tries == probedUpstreams {
			continue
		}
		tries++
		go func() { opened <- list[id].answers() }()
	}
	timeout := time.After(reach.StallTime)
	for range tries {
		select {
		case ok := <-opened:
			if ok {
				return true
			}
		case <-timeout:
			return false
		}
	}
	return tries == 0
}

// answers opens a connection to the instance and closes it. Kept for a request, it would look like one that the instance may have
// closed already.
func (i *Instance) answers() bool {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := i.dial(ctx)
	if err == nil {
		_ = c.Close() // it was opened, which is all that was asked
	}
	return err == nil
}
