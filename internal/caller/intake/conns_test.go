package intake_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"hickorypath/internal/caller/intake"
	"hickorypath/internal/policy/memory"
)

const testTimeout = 10 * time.Second

// newHandler returns a handler with an account of 1 MiB that refuses with 503.
func newHandler(next http.Handler) http.Handler {
	return intake.Handler(next, intake.Options{
		Account: memory.New(1 << 20), MaxBuffered: func(*http.Request) int64 { return 1 << 20 },
		Refuse: func(w http.ResponseWriter, _ error) { w.WriteHeader(http.StatusServiceUnavailable) },
	})
}

// TestUnfinishedBodyMakesRoomForANewConnection guards against connections with bodies that stall and keep new callers out.
func TestUnfinishedBodyMakesRoomForANewConnection(t *testing.T) {
	is := is.New(t)
	conns := intake.NewConns(1, metrics.NewSet().NewCounter("evicted"))
	read := make(chan struct{}, 1)
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var b [1]byte
		_, _ = r.Body.Read(b[:])
		read <- struct{}{}
		_, _ = io.ReadAll(r.Body)
	})
	s := httptest.NewUnstartedServer(newHandler(handler))
	s.Config.ConnState, s.Config.ConnContext = conns.Track, conns.Context
	s.Start()
	defer s.Close()
	stalled, err := net.Dial("tcp", s.Listener.Addr().String())
	is.NoErr(err)
	defer stalled.Close()
	_, err = fmt.Fprint(stalled, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	is.NoErr(err)
	<-read
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(s.URL)
	is.NoErr(err)
	is.NoErr(res.Body.Close())
}

// TestConnectionWithARequestUnderWayStaysOpen guards against HTTP/2 connections that are closed for new ones because one of their streams stalls
// while another has a request under way.
func TestConnectionWithARequestUnderWayStaysOpen(t *testing.T) {
	is := is.New(t)
	conns := intake.NewConns(1, metrics.NewSet().NewCounter("evicted"))
	started, finish := make(chan struct{}), make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/stalled" {
			started <- struct{}{}
			_, _ = io.ReadAll(r.Body)
			return
		}
		_, _ = io.ReadAll(r.Body)
		started <- struct{}{}
		<-finish
	})
	s := httptest.NewUnstartedServer(newHandler(handler))
	s.Config.ConnState, s.Config.ConnContext = conns.Track, conns.Context
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	for _, body := range []string{"", "whole"} {
		client := s.Client()
		answered := make(chan error, 1)
		go func() {
			res, err := client.Post(s.URL+"/under-way", "", strings.NewReader(body))
			if err == nil {
				err = res.Body.Close()
			}
			answered <- err
		}()
		<-started
		unfinished, end := io.Pipe()
		go func() {
			if res, err := client.Post(s.URL+"/stalled", "", unfinished); err == nil { // it ends with its body
				_ = res.Body.Close()
			}
		}()
		<-started
		conn, err := net.Dial("tcp", s.Listener.Addr().String())
		is.NoErr(err)
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = conn.Read(make([]byte, 1)) // the server closes one of the two connections
		is.NoErr(conn.Close())
		finish <- struct{}{}
		is.NoErr(<-answered)
		is.NoErr(end.Close())
	}
}

// tlsConn is a connection whose Close would send an alert, like that of a tls.Conn.
type tlsConn struct {
	net.Conn
	alerted bool
}

func (c *tlsConn) NetConn() net.Conn { return c.Conn }

func (c *tlsConn) Close() error {
	c.alerted = true
	return c.Conn.Close()
}

// TestNewConnectionWaitsForNoOther guards against a TLS client that reads nothing: the alert that closes its connection blocks for up to five seconds,
// and no other connection was accepted meanwhile.
func TestNewConnectionWaitsForNoOther(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	first := &tlsConn{Conn: near}
	conns := intake.NewConns(1, metrics.NewSet().NewCounter("evicted"))
	conns.Track(first, http.StateNew)
	next, _ := net.Pipe()
	conns.Track(next, http.StateNew)
	_, err := far.Read(make([]byte, 1))
	is.Equal(err, io.EOF) // it was closed
	is.True(!first.alerted)
}

// TestStreamsOfAConnectionDrawOnTheAccount guards against HTTP/2 connections whose many requests, which have no bodies, take more memory than the host has.
func TestStreamsOfAConnectionDrawOnTheAccount(t *testing.T) {
	is := is.New(t)
	const streams = 60 // of 64 KiB
	arrived, finish := make(chan struct{}, streams), make(chan struct{})
	s := httptest.NewUnstartedServer(newHandler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-finish
	})))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	client := s.Client()
	statuses := make(chan int, streams)
	for range streams {
		go func() {
			res, err := client.Get(s.URL)
			if err != nil {
				statuses <- 0
				return
			}
			_ = res.Body.Close()
			statuses <- res.StatusCode
		}()
	}
	refused, served := 0, 0
	for refused+len(arrived) < streams { // each is refused, or under way
		select {
		case status := <-statuses:
			is.Equal(status, http.StatusServiceUnavailable)
			refused++
		case <-time.After(time.Millisecond):
		}
	}
	is.True(refused > 0)
	close(finish)
	for range streams - refused {
		is.Equal(<-statuses, http.StatusOK)
		served++
	}
	is.True(served > 0)
}
