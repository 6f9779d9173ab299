package node

import (
	"github.com/fxamacker/cbor/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/replication"
)

// Packet is one message between hosts. It carries a heartbeat, a message about replicated records, or both.
type Packet struct {
	From        string                `cbor:"1,keyasint"`
	Heartbeat   *membership.Heartbeat `cbor:"2,keyasint,omitempty"`
	Replication *replication.Message  `cbor:"3,keyasint,omitempty"`
}

func encode(p Packet) []byte {
	data, err := cbor.Marshal(p)
	if err != nil {
		panic("node: cannot encode packet: " + err.Error())
	}
	return data
}

func decode(data []byte) (Packet, error) {
	var p Packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		return Packet{}, kind.Wrap(err, kind.Peer, "packet cannot be decoded")
	}
	if p.From == "" || p.Heartbeat != nil && p.Heartbeat.ID != p.From {
		return Packet{}, kind.New(kind.Peer, "packet names no sender, or its heartbeat is of another host")
	}
	return p, nil
}

// isReliable reports whether p must be sent on a stream instead of as a datagram. This holds for the messages of a
// digest exchange: when one of them is lost, nothing repeats the exchange before the next heartbeat.
func (p Packet) isReliable() bool {
	m := p.Replication
	return m != nil && len(m.BucketDigests)+len(m.Buckets)+len(m.WantRecords)+len(m.WantChunks)+len(m.Chunks)+len(m.PackedChunks) > 0
}
