// Package peer carries messages between hosts over QUIC with mutual TLS.
//
// Short messages are sent as datagrams, which may be lost. Each long message is sent on a stream of its own.
// The handshake with a host that presents no accepted certificate fails, so that messages from such a host
// are never received.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

const (
	// MaxDatagram is the size in bytes of the largest message that is sent as a datagram.
	MaxDatagram = 1100
	// MaxMessage is the size in bytes of the largest message that is accepted on a stream.
	MaxMessage = 8 << 20

	idleTimeout      = 30 * time.Second
	keepAlive        = 10 * time.Second
	handshakeTimeout = 1 * time.Second
	streamTimeout    = 5 * time.Second
	redialDelay      = 100 * time.Millisecond // pause after a failed dial
	queueLen         = 512                    // messages waiting for one host
	maxStreams       = 256                    // open incoming streams of one connection
	maxStreamWrites  = 128                    // concurrent stream writes to one host
)

// Options configures an Endpoint.
type Options struct {
	Addr string // IP and port of the listener
	TLS  *tls.Config
	Log  *zap.Logger
	// Receive handles a message and returns the host ID of the sender, or an empty string to refuse the
	// message. Identity is the DNS name in the sender's certificate, or empty if the certificate has none.
	Receive func(identity string, data []byte) (from string)
	// Wrap, if set, wraps each UDP socket, for example to count packets or to inject faults.
	Wrap func(net.PacketConn) net.PacketConn
}

// Endpoint is the local end of the connections to all other hosts.
type Endpoint struct {
	opts      Options
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	streams   chan net.Conn // that other hosts have opened
	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// New opens the listener. The caller must call Run to accept connections, and Close at the end.
func New(opts Options) (*Endpoint, error) {
	addr, err := net.ResolveUDPAddr("udp", opts.Addr)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "invalid listen address for other hosts %q", opts.Addr)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot listen for other hosts at %q", opts.Addr)
	}
	e := &Endpoint{opts: opts, socket: socket, links: map[string]*link{}, streams: make(chan net.Conn)}
	e.transport = &quic.Transport{Conn: e.wrap(socket)}
	e.listener, err = e.transport.Listen(opts.TLS, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, kind.Wrap(err, kind.Settings, "cannot start the QUIC listener for other hosts")
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e, nil
}

// Addr returns the address of the listener.
func (e *Endpoint) Addr() string { return e.socket.LocalAddr().String() }

// Run accepts connections until ctx is done or the listener is closed.
func (e *Endpoint) Run(ctx context.Context) {
	for {
		conn, err := e.listener.Accept(ctx)
		if err != nil {
			return
		}
		e.wg.Go(func() { e.serve(conn) })
	}
}

// Close closes all connections and waits for their goroutines.
func (e *Endpoint) Close() {
	e.cancel()
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.socket.Close()
	e.wg.Wait()
}

// Send queues a message for the host id at addr. The message is dropped if the queue for that host is full. A
// message that is reliable or longer than MaxDatagram is sent on a stream, any other message as a datagram.
func (e *Endpoint) Send(id, addr string, data []byte, reliable bool) {
	l := e.link(id, addr)
	if l == nil {
		return
	}
	select {
	case l.queue <- message{data: data, reliable: reliable || len(data) > MaxDatagram}:
		sentMessages.Inc()
		sentBytes.Add(len(data))
	default:
		droppedMessages.Inc()
	}
}

// Reset closes the connection to the host id, so that the next message opens a new connection from another
// local port. It is meant for a network path that loses all packets of an open connection.
func (e *Endpoint) Reset(id string) {
	e.mu.Lock()
	l := e.links[id]
	e.mu.Unlock()
	if l != nil {
		l.reset()
	}
}

// Retain closes the connections to the hosts for which keep is false, and drops the messages queued for them.
func (e *Endpoint) Retain(keep func(id string) bool) {
	e.mu.Lock()
	gone := lo.OmitBy(e.links, func(id string, _ *link) bool { return keep(id) })
	e.links = lo.OmitByKeys(e.links, lo.Keys(gone))
	e.mu.Unlock()
	for _, l := range gone {
		l.cancel()
		l.reset()
	}
}

// Links returns the number of hosts to which this host keeps a connection or opens one when needed.
func (e *Endpoint) Links() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links)
}

func (e *Endpoint) wrap(c *net.UDPConn) net.PacketConn {
	if e.opts.Wrap == nil {
		return c
	}
	return e.opts.Wrap(c)
}

// link returns the link to the host id and updates its address. It creates the link if there is none, and
// returns nil after Close.
func (e *Endpoint) link(id, addr string) *link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		return nil
	}
	l := e.links[id]
	if l == nil {
		l = newLink(e, addr)
		e.links[id] = l
		e.wg.Go(l.run)
	}
	l.setAddr(addr)
	return l
}

// serve receives messages on a connection until the connection is closed.
func (e *Endpoint) serve(conn *quic.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() { e.readDatagrams(conn) })
	wg.Go(func() { e.acceptStreams(conn) })
	e.readStreams(conn)
	wg.Wait()
}

func (e *Endpoint) readDatagrams(conn *quic.Conn) {
	name := peerIdentity(conn.ConnectionState().TLS)
	for {
		data, err := conn.ReceiveDatagram(e.ctx)
		if err != nil {
			return
		}
		e.receive(conn, name, data)
	}
}

func (e *Endpoint) readStreams(conn *quic.Conn) {
	name := peerIdentity(conn.ConnectionState().TLS)
	for {
		s, err := conn.AcceptUniStream(e.ctx)
		if err != nil {
			return
		}
		e.wg.Go(func() {
			data, err := readStream(s)
			if err != nil {
				e.opts.Log.Debug("failed to read a stream from another host", zap.Error(err))
				return
			}
			e.receive(conn, name, data)
		})
	}
}

// receive passes a message to Options.Receive. If the message is accepted, the link to its sender uses the
// connection on which the message arrived from then on.
func (e *Endpoint) receive(conn *quic.Conn, name string, data []byte) {
	receivedMessages.Inc()
	receivedBytes.Add(len(data))
	from := e.opts.Receive(name, data)
	if from == "" {
		refusedMessages.Inc()
		return
	}
	e.mu.Lock()
	l := e.links[from]
	e.mu.Unlock()
	if l != nil {
		l.setConn(conn)
	}
}

func quicConfig() *quic.Config {
	return &quic.Config{
		EnableDatagrams:       true,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		HandshakeIdleTimeout:  handshakeTimeout,
		MaxIncomingStreams:    maxIncomingStreams,
		MaxIncomingUniStreams: maxStreams,
	}
}
