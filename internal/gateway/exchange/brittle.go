package exchange

import (
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

// shareHolders are the hosts to which slots of a service's brittle instances belong.
type shareHolders struct {
	fleet *advisory.Fleet
	list  []*upstream.Instance
	hosts map[advisory.HostID]bool
}

// lacksShare reports whether no slot of any instance that accepts requests belongs to this host, since they are brittle and have fewer
// slots than there are hosts.
func (x *Exchanger) lacksShare(e *exchange) bool {
	if !x.opts.Table.MayBeBrittle(e.service.Name) {
		return false
	}
	now, fleet, usable := x.opts.Now(), x.opts.Fleet(), false
	for _, i := range x.opts.Table.Service(e.service.Name) {
		if i.Status(now, 0) != upstream.Usable {
			continue
		}
		if !i.IsBrittle() || i.HasBrittleShare(fleet) {
			return false
		}
		usable = true
	}
	return usable
}

// holdsShare reports whether slots of the service's brittle instances belong to another host. The caller holds x.mu.
func (x *Exchanger) holdsShare(s *serviceState, service string, h relay.Host) bool {
	fleet, list := x.opts.Fleet(), x.opts.Table.Service(service)
	if c := s.shareHolders; c.fleet != fleet || !isSameList(c.list, list) {
		s.shareHolders = shareHolders{fleet: fleet, list: list, hosts: map[advisory.HostID]bool{}}
		for _, i := range list {
			for _, id := range fleet.Sharing(i.ID(), max(i.Entry().Slots, 1)) {
				s.shareHolders.hosts[id] = true
			}
		}
	}
	return s.shareHolders.hosts[advisory.NewHostID(h.Peer)]
}

// mayRelayTo returns a function that reports whether a host may serve the request.
func (e *exchange) mayRelayTo() func(relay.Host) bool {
	if e.sawCut {
		return func(relay.Host) bool { return true }
	}
	return func(h relay.Host) bool {
		e.x.mu.Lock()
		defer e.x.mu.Unlock()
		return e.x.holdsShare(e.x.service(e.service.Name), e.service.Name, h)
	}
}

// canceledWorkTime is how long a request that was given up may still take room at its upstream, which learns of it from the closed
// connection.
const canceledWorkTime = 100 * time.Millisecond

// releaseAfter releases the reservation of an attempt that has ended, at once if the instance has no more work with it or is not brittle.
func (r *reservation) releaseAfter(err error, sent bool) {
	if i := r.x.opts.Table.Get(r.instanceID); err != nil && sent && kind.Of(err) != kind.Rejected && i != nil && i.IsBrittle() {
		time.AfterFunc(canceledWorkTime, r.release)
		return
	}
	r.release()
}

// isBeyond reports whether this host has more than share requests at the instance, the one of the reservation included.
func (r *reservation) isBeyond(share int) bool {
	r.x.mu.Lock()
	defer r.x.mu.Unlock()
	return r.load.Running > share
}

// hasFallenOver reports whether an instance that has broken a connection may have failed for want of room, and not by the request.
func (x *Exchanger) hasFallenOver(i *upstream.Instance) bool {
	return i.IsBrittle() && i.HasRejected(x.opts.Now())
}
