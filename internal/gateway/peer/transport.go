package peer

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
)

// Options configures a Transport.
type Options struct {
	Address      string // IP and port of this host for datagrams
	Table        *Table
	Origins      *Origins
	LocalMessage func() Message                 // returns the current message of this host
	OnMessage    func(now time.Time, m Message) // called for each message of another host
	Entries      func() Entries                 // returns the upstream entries that this host knows
	PackedConfig func() []byte                  // returns the configuration in compressed form, nil if there is none
	IsMixed      func() bool                    // reports whether a service runs several versions, as far as this host knows
	Log          *zap.Logger
	Now          func() time.Time
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	ListenPacket func(address string) (net.PacketConn, error)
}

// Transport sends the messages of this host and receives those of other hosts.
type Transport struct {
	opts         Options
	sequence     uint64 // of the last message that was sent
	keeper       string // the leader that has been told the origins of recent streams, "" while none keeps them
	conn         net.PacketConn
	client       *http.Client
	transfers    chan struct{} // a value for each transfer of the configuration to another host
	sendRequests chan bool     // a value for each pending call of SendSoon: whether to send to the whole zone
}

const (
	// sendInterval is the interval at which a host of a small fleet sends its message to every other host.
	sendInterval = 200 * time.Millisecond
	// minSendGap is the minimum pause after a message that was sent ahead of its interval.
	minSendGap = 10 * time.Millisecond
	// wholeZoneIntervals is the number of send intervals after which a host of a large fleet sends its message to the
	// leader and, if the host watches the store, to all hosts of its zone.
	wholeZoneIntervals = 3
	// maxDatagramBytes bounds the size of a received datagram; the rest of a longer datagram is dropped.
	maxDatagramBytes = 16 << 10
	// maxKnownAddresses bounds the number of other hosts' addresses in a message.
	maxKnownAddresses = 6
)

// New opens the UDP socket of a Transport. Run starts sending and receiving.
func New(o Options) (*Transport, error) {
	conn, err := o.ListenPacket(o.Address)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot listen for datagrams")
	}
	client := &http.Client{Transport: &http.Transport{
		DialContext:       func(ctx context.Context, _, address string) (net.Conn, error) { return o.Dial(ctx, address) },
		DisableKeepAlives: true,
	}}
	return &Transport{opts: o, conn: conn, transfers: newTransfers(o.Table.link), sendRequests: make(chan bool, 4), client: client}, nil
}

// Run sends and receives messages until ctx ends.
func (t *Transport) Run(ctx context.Context) {
	go t.receive()
	tick := time.NewTicker(sendInterval)
	defer tick.Stop()
	for n := 0; ctx.Err() == nil; {
		select {
		case <-ctx.Done():
		case <-tick.C:
			t.send(n%wholeZoneIntervals == 0)
			t.tellKeeper()
			n++
		case wholeZone := <-t.sendRequests:
			t.send(wholeZone)
			clock.Pause(ctx, minSendGap)
		}
	}
	_ = t.conn.Close() // ends receive
}

// SendSoon sends this host's message ahead of its interval, to all hosts of the zone if wholeZone is set. SendSoon does
// not block.
func (t *Transport) SendSoon(wholeZone bool) {
	select {
	case t.sendRequests <- wholeZone:
	default: // enough messages are waiting to be sent
	}
}

// send sends this host's message to other hosts. With wholeZone, the message also goes to the leader and, if this host
// watches the store, to all hosts of the zone.
func (t *Transport) send(wholeZone bool) {
	m := t.opts.LocalMessage()
	to := t.opts.Table.Targets(t.opts.Now(), wholeZone && m.WatchesStore)
	m.Address, m.Leader = t.opts.Address, t.opts.Table.Leader()
	m.KnownAddresses = knownAddresses(to)
	if wholeZone && len(to.All) == 0 {
		m.Heard = t.opts.Table.TakeHeard()
	}
	t.write(m, to.All)
	t.write(m.forSameZone(), to.SameZone)
	t.write(m.forOtherHosts(), to.Others)
	if wholeZone && to.Leader != "" {
		t.write(m.forLeader(), []string{to.Leader})
	}
}

// knownAddresses returns a few of the target addresses, which are sent along so that new hosts learn of others.
func knownAddresses(to Targets) []string {
	all := slices.Concat(to.All, to.SameZone, to.Others)
	return all[:min(len(all), maxKnownAddresses)]
}

// write encodes a message and sends it to the target addresses.
func (t *Transport) write(m Message, targets []string) {
	if len(targets) == 0 {
		return
	}
	t.sequence++ // each variant of a message has its own number, since one host may receive several variants
	m.Sequence = t.sequence
	data, err := encode(m)
	if err != nil {
		t.opts.Log.Error("message for other hosts cannot be encoded", zap.Error(err))
		return
	}
	t.writeData(data, targets)
}

// writeData sends a datagram to the target addresses.
func (t *Transport) writeData(data []byte, targets []string) {
	for _, target := range targets {
		addr, err := net.ResolveUDPAddr("udp4", target)
		if err != nil || target == t.opts.Address {
			continue
		}
		if _, err := t.conn.WriteTo(data, addr); err != nil && !errors.Is(err, net.ErrClosed) {
			t.opts.Log.Debug("datagram not sent", zap.String("to", target), zap.Error(err))
		}
	}
}

// receive reads datagrams and records their messages until the socket is closed.
func (t *Transport) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := t.conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error for a datagram that was sent to an unreachable host is reported on this socket
		}
		if isOriginMessage(buf[:n]) {
			t.handleOrigins(buf[:n])
			continue
		}
		m, err := decode(buf[:n])
		if err != nil {
			t.opts.Log.Warn("invalid datagram ignored", zap.Error(err))
			continue
		}
		now := t.opts.Now()
		if t.opts.Table.Record(now, m) {
			t.opts.Log.Info("host joined", zap.String("peer", m.Host), zap.String("address", m.Address))
		}
		t.opts.OnMessage(now, m)
	}
}
