package peer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/standin/memnet"
)

// newTransport returns the Transport of a host of n that has the configuration text.
func newTransport(t *testing.T, n *memnet.Net, ip, text string) *peer.Transport {
	t.Helper()
	h := n.AddHost(ip, 0, 0)
	tr, err := peer.New(peer.Options{
		Address: ip + ":7000", Table: peer.NewTable(ip, "zone-a", ip+":7000", 0, 1), PackedConfig: func() []byte { return config.Pack([]byte(text)) },
		Log: zap.NewNop(), Now: time.Now, Dial: h.Dial,
		ListenPacket: func(address string) (net.PacketConn, error) { return h.ListenPacket(address), nil },
	})
	is.New(t).NoErr(err)
	return tr
}

// TestConfigTravelsBetweenVersionsOfTheProgram guards against hosts of a version that does not know compressed configurations
// getting none, or giving none, while the program is replaced on one host after the other.
func TestConfigTravelsBetweenVersionsOfTheProgram(t *testing.T) {
	text := strings.Repeat(`{"name":"r-1"}`, 100)
	earlier := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, text) })
	for _, c := range []struct {
		name    string
		handler func(*peer.Transport) http.Handler
	}{
		{"from this version", (*peer.Transport).Handler},
		{"from an earlier version", func(*peer.Transport) http.Handler { return earlier }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := memnet.New()
				source, receiver := newTransport(t, n, "10.0.0.1", text), newTransport(t, n, "10.0.0.2", "")
				stop := n.Serve("10.0.0.1:7001", c.handler(source))
				packed, err := receiver.FetchConfig(t.Context(), "10.0.0.1:7001")
				is.NoErr(err)
				data, err := config.Unpack(packed)
				is.NoErr(err)
				is.Equal(string(data), text)

				client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
					return n.AddHost("10.0.0.3", 0, 0).Dial(ctx, address)
				}}}
				resp, err := client.Get("http://10.0.0.1:7001/document") // as an earlier version does
				is.NoErr(err)
				data, err = io.ReadAll(resp.Body)
				is.NoErr(err)
				is.NoErr(resp.Body.Close())
				is.Equal(string(data), text)
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}
