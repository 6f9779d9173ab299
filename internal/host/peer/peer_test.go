package peer_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/peer"
)

const wait = 10 * time.Second

type received struct {
	identity string
	data     []byte
}

// openEndpoint starts an Endpoint that sends the received messages to the returned channel.
func openEndpoint(t *testing.T, config *tls.Config, wrap func(net.PacketConn) net.PacketConn) (*peer.Endpoint, chan received) {
	t.Helper()
	messages := make(chan received, 64)
	p, err := peer.New(peer.Options{
		Addr: "127.0.0.1:0", TLS: config, Log: zap.NewNop(), Wrap: wrap,
		Receive: func(identity string, data []byte) string {
			messages <- received{identity, data}
			return "other"
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	go p.Run(context.Background())
	t.Cleanup(p.Close)
	return p, messages
}

func newSecretTLS(t *testing.T, s string) *tls.Config {
	t.Helper()
	config, err := peer.NewTLSFromSecret(s)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// sendUntilReceived sends a message repeatedly until it is received, because datagrams may be lost.
func sendUntilReceived(t *testing.T, from *peer.Endpoint, addr string, data []byte, messages chan received) received {
	t.Helper()
	end := time.After(wait)
	for {
		from.Send("other", addr, data, false)
		select {
		case m := <-messages:
			return m
		case <-end:
			t.Fatal("no message was received")
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func TestMessagesOfAllSizes(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	from, _ := openEndpoint(t, config, nil)
	to, messages := openEndpoint(t, config, nil)
	sizes := []int{1, 1000, peer.MaxDatagram, peer.MaxDatagram + 1, 300_000}
	sent := make([][]byte, 0, len(sizes))
	for _, size := range sizes {
		data := bytes.Repeat([]byte{byte(size)}, size)
		got := sendUntilReceived(t, from, to.Addr(), data, messages).data
		for slices.ContainsFunc(sent, func(d []byte) bool { return bytes.Equal(d, got) }) { // a copy that was sent again and came late
			got = sendUntilReceived(t, from, to.Addr(), data, messages).data
		}
		is.True(bytes.Equal(got, data))
		sent = append(sent, data)
	}
}

// TestUnauthenticatedSendersAreIgnored checks that messages from hosts without an accepted certificate are not
// received, and that packets that are not QUIC do no harm.
func TestUnauthenticatedSendersAreIgnored(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	to, messages := openEndpoint(t, config, nil)
	for _, untrusted := range []*tls.Config{
		newSecretTLS(t, "another secret of 16 bytes"),
		{InsecureSkipVerify: true, NextProtos: []string{"hickorypath/1"}, MinVersion: tls.VersionTLS13},
		newAuthority(t).hostTLS(t, "h1"),
	} {
		from, _ := openEndpoint(t, withServerCertificate(t, untrusted), nil)
		from.Send("other", to.Addr(), []byte("forged"), false)
		from.Send("other", to.Addr(), bytes.Repeat([]byte("forged"), 1000), true)
	}
	raw, err := net.Dial("udp", to.Addr())
	is.NoErr(err)
	_, err = raw.Write(bytes.Repeat([]byte{0x40}, 1200))
	is.NoErr(err)
	is.NoErr(raw.Close())

	trusted, _ := openEndpoint(t, config, nil)
	is.Equal(string(sendUntilReceived(t, trusted, to.Addr(), []byte("good"), messages).data), "good")
	is.Equal(len(messages), 0)
}

// withServerCertificate adds a certificate for the listener to a configuration that has none.
func withServerCertificate(t *testing.T, config *tls.Config) *tls.Config {
	t.Helper()
	if len(config.Certificates) > 0 {
		return config
	}
	own := newSecretTLS(t, "a stranger's own certificate")
	config = config.Clone()
	config.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return &own.Certificates[0], nil }
	return config
}

func TestCertificateNamesTheHost(t *testing.T) {
	is := is.New(t)
	ca := newAuthority(t)
	from, _ := openEndpoint(t, ca.hostTLS(t, "h1"), nil)
	to, messages := openEndpoint(t, ca.hostTLS(t, "h2"), nil)
	is.Equal(sendUntilReceived(t, from, to.Addr(), []byte("hello"), messages).identity, "h1")
}

// TestResetReplacesSilentPath guards against a host staying unreachable after a middlebox has lost the state of
// a connection: all packets of the sender's first socket are dropped, and Reset must lead to a new socket.
func TestResetReplacesSilentPath(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	var drop atomic.Bool
	dropped := make(chan struct{}, 1)
	first := true
	from, _ := openEndpoint(t, config, func(c net.PacketConn) net.PacketConn {
		if !first {
			return c
		}
		first = false
		return droppingConn{c, &drop, dropped}
	})
	to, messages := openEndpoint(t, config, nil)
	sendUntilReceived(t, from, to.Addr(), []byte("before"), messages)
	drop.Store(true)
	from.Send("other", to.Addr(), []byte("swallowed"), false)
	<-dropped
	from.Reset("other")
	is.Equal(string(sendUntilReceived(t, from, to.Addr(), []byte("after"), messages).data), "after")
}

// TestResetDuringADial guards against a reset that is forgotten when the connection that was being opened is established.
func TestResetDuringADial(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	var sockets atomic.Int32
	held, release := make(chan struct{}), make(chan struct{})
	from, _ := openEndpoint(t, config, func(c net.PacketConn) net.PacketConn {
		if sockets.Add(1) == 1 {
			return &holdingConn{PacketConn: c, held: held, release: release}
		}
		return c
	})
	to, messages := openEndpoint(t, config, nil)
	from.Send("other", to.Addr(), []byte("during the dial"), true)
	<-held
	from.Reset("other")
	close(release)
	sendUntilReceived(t, from, to.Addr(), []byte("after"), messages)
	is.Equal(int(sockets.Load()), 2)
}

// holdingConn holds the first packet back until release is closed.
type holdingConn struct {
	net.PacketConn
	once          sync.Once
	held, release chan struct{}
}

func (h *holdingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	h.once.Do(func() {
		close(h.held)
		<-h.release
	})
	return h.PacketConn.WriteTo(b, to)
}

// TestAddressChangesDuringDials fails under the race detector if the address is read while it changes.
func TestAddressChangesDuringDials(t *testing.T) {
	from, _ := openEndpoint(t, newSecretTLS(t, "a secret of more than 16 bytes"), nil)
	for i := range 1000 {
		from.Send("other", "127.0.0.1:"+strconv.Itoa(100000+i), []byte("x"), false) // not a port, so that each dial fails at once
	}
}

type droppingConn struct {
	net.PacketConn
	drop    *atomic.Bool
	dropped chan struct{}
}

func (m droppingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if m.drop.Load() {
		select {
		case m.dropped <- struct{}{}:
		default:
		}
		return len(b), nil
	}
	return m.PacketConn.WriteTo(b, to)
}

func TestInvalidSettingsAreRejected(t *testing.T) {
	is := is.New(t)
	_, err := peer.NewTLSFromSecret("short")
	is.Equal(kind.Of(err), kind.Settings)
	_, err = peer.NewTLS([]byte("no"), []byte("pem"), nil)
	is.Equal(kind.Of(err), kind.Settings)
	_, err = peer.New(peer.Options{Addr: "nowhere"})
	is.Equal(kind.Of(err), kind.Settings)
}

// authority is a certificate authority that issues one certificate per host.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return authority{cert: tmpl, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (c authority) hostTLS(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(2), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, c.cert, key.Public(), c.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config, err := peer.NewTLS(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), c.pem)
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// TestLinksOfHostsThatAreGoneStay guards against a host that keeps a queue, a goroutine and a connection for each other host that ever was.
func TestLinksOfHostsThatAreGoneStay(t *testing.T) {
	is := is.New(t)
	config := newSecretTLS(t, "a secret of more than 16 bytes")
	from, _ := openEndpoint(t, config, nil)
	to, messages := openEndpoint(t, config, nil)
	sendUntilReceived(t, from, to.Addr(), []byte("a"), messages)
	from.Send("gone", to.Addr(), []byte("a"), false)
	is.Equal(from.Links(), 2)
	from.Retain(func(id string) bool { return id != "gone" })
	is.Equal(from.Links(), 1)
	from.Retain(func(string) bool { return false })
	is.Equal(from.Links(), 0)
	for string(sendUntilReceived(t, from, to.Addr(), []byte("b"), messages).data) != "b" { // earlier messages may be on their way
	}
}
