package memnet_test

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/memnet"
)

const megabit = 1e6 / 8

// TestConnectionsShareTheLinkOfAHost sends a megabyte to each of several hosts at once.
func TestConnectionsShareTheLinkOfAHost(t *testing.T) {
	cases := []struct {
		name      string
		rate      float64 // of the sender
		receivers int
		least     time.Duration
	}{
		{"slow sender", 10 * megabit, 1, 800 * time.Millisecond},
		{"slow sender, three receivers", 10 * megabit, 3, 2400 * time.Millisecond},
		{"slow receivers", 100 * megabit, 3, 800 * time.Millisecond},
		{"no limit of the sender", 0, 1, 800 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := memnet.New()
				from := n.AddHost("10.0.0.1", c.rate, time.Millisecond)
				l := n.Listen("10.0.0.1:80")
				done := make(chan int, c.receivers)
				go func() {
					for {
						conn, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							_, _ = conn.Write(make([]byte, 1e6))
							_ = conn.Close()
						}()
					}
				}()
				start := time.Now()
				for i := range c.receivers {
					h := n.AddHost("10.0.1."+string(rune('1'+i)), 10*megabit, time.Millisecond)
					go func() {
						conn, err := h.Dial(t.Context(), "10.0.0.1:80")
						is.NoErr(err)
						data, err := io.ReadAll(conn)
						is.NoErr(err)
						_ = conn.Close()
						done <- len(data)
					}()
				}
				for range c.receivers {
					is.Equal(<-done, 1_000_000)
				}
				took := time.Since(start)
				is.True(took >= c.least)
				is.True(took < c.least+50*time.Millisecond)
				is.Equal(from.BytesSent(), c.receivers*1_000_000)
				is.NoErr(l.Close())
			})
		})
	}
}

// TestDatagramsAreLostWhileALinkIsBusy sends datagrams over a link that a connection has filled.
func TestDatagramsAreLostWhileALinkIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := memnet.New()
		slow, fast := n.AddHost("10.0.0.1", megabit/8, 0), n.AddHost("10.0.0.2", 0, 0)
		from, to := slow.ListenPacket("10.0.0.1:70"), fast.ListenPacket("10.0.0.2:70")
		addr, err := net.ResolveUDPAddr("udp4", "10.0.0.2:70")
		is.NoErr(err)
		for range 10 {
			_, err := from.WriteTo(make([]byte, 1000), addr)
			is.NoErr(err)
		}
		received := 0
		go func() {
			for {
				if _, _, err := to.ReadFrom(make([]byte, 2000)); err != nil {
					return
				}
				received++
			}
		}()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(received, 4) // those that wait for at most 250 ms: 0, 64, 128 and 192 ms
		is.NoErr(to.Close())
		is.NoErr(from.Close())
	})
}
