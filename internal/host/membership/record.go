package membership

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	minorBits           = 16
	minorLeaving        = 0xfffe
	minorDead           = 0xffff
	recordTTL           = 24 * time.Hour
	recordRenewInterval = 8 * time.Hour
)

// record is the value that is stored for a host under the host's ID in the topic member. The version of a
// record is the host's incarnation followed by a minor number. The record that declares a host dead has the
// highest minor number, so that only a record with a higher incarnation can replace it.
type record struct {
	Zone  string `cbor:"1,keyasint"`
	Addr  string `cbor:"2,keyasint"`
	State State  `cbor:"3,keyasint"`
}

func recordVersion(incarnation, minor uint64) uint64 { return incarnation<<minorBits | minor }

// renewRecord publishes the record of this host at startup and again before the record expires.
func (t *Table) renewRecord(now time.Time) {
	if t.leaving || !t.renewedAt.IsZero() && now.Sub(t.renewedAt) < recordRenewInterval {
		return
	}
	t.renewedAt = now
	t.publishOwn(now, recordVersion(t.incarnation, t.minor), Alive)
	t.minor++
}

// Leave publishes that this host is shutting down, and returns heartbeats that announce the shutdown.
func (t *Table) Leave(now time.Time) []Outgoing {
	t.leaving = true
	t.view.stale = true
	t.publishOwn(now, recordVersion(t.incarnation, minorLeaving), Leaving)
	t.updateLinkTimes(now)
	return t.heartbeats(now)
}

// publishOwn publishes the record of this host.
func (t *Table) publishOwn(now time.Time, v uint64, s State) {
	t.publishRecord(now, t.config.ID, v, record{Zone: t.config.Zone, Addr: t.config.Addr, State: s})
}

// declareDead marks h as dead and publishes a record that says so.
func (t *Table) declareDead(now time.Time, h *host) {
	h.fire(eventDied)
	h.endedAt = now
	h.version = recordVersion(h.incarnation, minorDead)
	t.view.stale = true
	t.publishRecord(now, h.id, h.version, record{Zone: h.zone, Addr: h.addr, State: Dead})
}

func (t *Table) publishRecord(now time.Time, id string, v uint64, r record) {
	data, err := cbor.Marshal(r)
	if err != nil {
		panic("membership: cannot encode a host record: " + err.Error())
	}
	t.config.Publish(id, v, data, now.Add(recordTTL))
}

// Merge applies the record of a host from the topic member. If the record declares this host dead or leaving,
// or is a newer record of this host that this process did not publish, Merge refutes the record by publishing
// a higher incarnation.
func (t *Table) Merge(now time.Time, id string, v uint64, value []byte) {
	var r record
	if err := cbor.Unmarshal(value, &r); err != nil {
		return
	}
	if id == t.config.ID {
		t.refute(now, v, r)
		return
	}
	h := t.hosts[id]
	if h == nil {
		if r.State == Dead {
			return
		}
		h = t.addHost(id, r.Zone, r.Addr)
	}
	if v <= h.version || v>>minorBits < h.incarnation {
		return
	}
	h.version, h.incarnation = v, v>>minorBits
	h.zone, h.addr = r.Zone, r.Addr
	t.applyState(now, h, r.State)
	t.view.stale = true
}

func (t *Table) applyState(now time.Time, h *host, s State) {
	switch s {
	case Dead:
		h.fire(eventDied)
		h.endedAt = now
	case Leaving:
		h.fire(eventLeave)
	default:
		h.fire(eventRecord)
		h.endedAt = time.Time{}
		h.linkedAt = time.Time{}
	}
}

// refute publishes a new incarnation of this host if the record r with version v says that this host is not
// alive, or if the version is higher than that of any record published in this incarnation. It does nothing
// once this host is leaving, or if the record belongs to an earlier incarnation.
func (t *Table) refute(now time.Time, v uint64, r record) {
	own := recordVersion(t.incarnation, t.minor)
	if t.leaving || r.State == Alive && v <= own {
		return
	}
	if v>>minorBits < t.incarnation {
		return
	}
	t.incarnation = max(v>>minorBits+1, uint64(now.UnixMilli()))
	t.minor = 0
	t.renewedAt = time.Time{}
	t.renewRecord(now)
}
