package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/instance"
	"hickorypath/internal/standin/knownfailure"
)

// TestRequestsThatWaitedForConnectionsAreSentDuringAPause guards against requests that pick an upstream, wait until it accepts their
// connections, and are sent although it has asked their host for a pause in the meantime.
func TestRequestsThatWaitedForConnectionsAreSentDuringAPause(t *testing.T) {
	const hosts, requests, pause = 2, 24, 4 * time.Second
	is := is.New(t)
	f := newGatewayFleet(t, 31, hosts, 0)
	instances := make([]*instance.Server, 2)
	for i := range instances {
		s, err := instance.New(instance.Options{})
		is.NoErr(err)
		t.Cleanup(s.Close)
		s.TurnAway(pause)
		is.NoErr(s.FillQueue())
		instances[i] = s
		value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":64,"state":"ready","seq":1}`, s.Addr())
		is.NoErr(f.platform.Put(t.Context(), fmt.Sprintf("servers/u%d", i), []byte(value)))
	}
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Count(h.log.String(), `"text":"upstream joins"`) == len(instances) })
	}
	var callers sync.WaitGroup
	for _, h := range f.hosts {
		for n := range requests {
			callers.Go(func() { h.ask("safe", fmt.Sprintf("%s-%d", h.name, n), "k1") })
		}
	}
	<-time.After(200 * time.Millisecond) // the requests wait for their connections, whose opening packets are sent again after a second
	for _, s := range instances {
		is.NoErr(s.EmptyQueue())
	}
	for _, h := range f.hosts {
		h.ask("safe", h.name+"-first", "k1")
	}
	callers.Wait()
	var violations []string
	for _, s := range instances {
		violations = append(violations, s.Violations()...)
		s.TurnAway(0)
	}
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return h.ask("safe", h.name+"-after", "k1") == http.StatusOK })
	}
	known, err := knownfailure.IsListed("TestRequestsThatWaitedForConnectionsAreSentDuringAPause")
	is.NoErr(err)
	if known && len(violations) > 0 {
		t.Skip("known fault, see KNOWN-RED.txt")
	}
	is.Equal(strings.Join(violations, "\n"), "")
}

// TestHostThatHasStartedAgainSendsDuringAPause guards against hosts that are killed and started again during a pause, and then send their
// requests to the upstream that had asked for it.
func TestHostThatHasStartedAgainSendsDuringAPause(t *testing.T) {
	const requests, pause = 6, 15 * time.Second
	is := is.New(t)
	f := newGatewayFleet(t, 35, 2, 0)
	s, err := instance.New(instance.Options{})
	is.NoErr(err)
	t.Cleanup(s.Close)
	value := fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":64,"state":"ready","seq":1}`, s.Addr())
	is.NoErr(f.platform.Put(t.Context(), "servers/u0", []byte(value)))
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Contains(h.log.String(), `"text":"upstream joins"`) })
		f.waitUntil(func() bool { return strings.Contains(h.log.String(), `"host joined"`) })
	}
	s.TurnAway(pause)
	h := f.hosts[0]
	is.Equal(h.ask("safe", "h1-first", "k1"), http.StatusServiceUnavailable)
	<-time.After(500 * time.Millisecond) // the other host hears of it
	h.kill()
	h.start()
	f.waitUntil(h.ready)
	var callers sync.WaitGroup
	for n := range requests {
		callers.Go(func() { h.ask("safe", fmt.Sprintf("h1-%d", n), "k1") })
	}
	callers.Wait()
	is.Equal(strings.Join(s.Violations(), "\n"), "")
}
