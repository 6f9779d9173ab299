package main

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/standin/script"
)

func TestGatewayReloadsWithoutCutting(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 11, 1, 1, script.Action{Bytes: gatewayAnswer})
	h := f.hosts[0]
	c, err := net.Dial("tcp4", h.ip+":8000")
	is.NoErr(err)
	defer c.Close()
	is.Equal(askOn(c, "once", "a", "k1"), http.StatusOK)
	is.NoErr(os.WriteFile(h.settings, []byte("{broken"), 0o600))
	is.NoErr(h.cmd.Process.Signal(syscall.SIGHUP))
	f.waitUntil(func() bool { return strings.Contains(h.log.String(), "settings refused") })
	is.Equal(askOn(c, "once", "b", "k1"), http.StatusOK) // the reload has not closed the connection
}

func TestGatewayStopsWithoutCutting(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 12, 2, 1, script.Action{Bytes: gatewayAnswer})
	holder := func() string {
		name, _, _ := f.platform.Memory().Read("lease/duty")
		return string(name)
	}
	f.waitUntil(func() bool { return holder() != "" })
	h, other := f.hosts[0], f.hosts[1]
	if holder() == other.name {
		h, other = other, h
	}
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	f.waitUntil(func() bool { return !h.ready() })
	is.Equal(h.ask("once", "a", "k1"), http.StatusOK) // requests are accepted until the load balancer has noticed
	<-h.done
	is.True(strings.Contains(h.log.String(), `"cut":0`))
	is.Equal(holder(), other.name) // the other host became the leader before this one exited
	is.Equal(other.ask("once", "b", "k1"), http.StatusOK)
	is.Equal(len(f.platform.Violations()), 0)
}

// TestGatewayAnswersAllThatItReadsBeforeItStops guards against requests that arrive late in a shutdown and end with the process. Some streams
// keep the host until the end of its grace period, and its callers know of no other host.
func TestGatewayAnswersAllThatItReadsBeforeItStops(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 24, 1, 2, script.Action{Hang: true})
	h := f.hosts[0]
	var callers sync.WaitGroup
	unanswered := make(chan string, 1000)
	ask := func(route, id string) {
		callers.Go(func() {
			if h.ask(route, id, "k1") == 0 {
				unanswered <- id
			}
		})
	}
	ask("talk", "stream")
	f.waitUntil(func() bool { return len(f.servers[0].Calls())+len(f.servers[1].Calls()) > 0 })
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-tick.C:
			ask([]string{"once", "safe"}[n%2], fmt.Sprint("late", n))
			continue
		case <-h.done:
		}
		break
	}
	callers.Wait()
	close(unanswered)
	calls := append(f.servers[0].Calls(), f.servers[1].Calls()...)
	for id := range unanswered { // of connections that were refused, too
		for _, c := range calls {
			if strings.Contains(c.Head, "Request-Id: "+id+"\n") {
				t.Errorf("request %s was sent to an upstream and not answered", id)
			}
		}
	}
	is.True(len(calls) > 1)
}

// TestGatewayFollowsItsPeers restarts a host with a store that does not answer, and then removes a key from the
// configuration. The host must get both the first and the changed configuration from the other hosts.
func TestGatewayFollowsItsPeers(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 13, 3, 1, script.Action{Bytes: gatewayAnswer})
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Count(h.log.String(), "host joined") == 2 })
	}
	// The settings of the third host point to a store that does not answer.
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = dead.Close() }()
	h := f.hosts[2]
	data, err := os.ReadFile(h.settings)
	is.NoErr(err)
	address := strings.TrimPrefix(f.server.URL, "http://")
	is.NoErr(os.WriteFile(h.settings, []byte(strings.ReplaceAll(string(data), address, dead.Addr().String())), 0o600))
	is.NoErr(h.cmd.Process.Kill())
	<-h.done
	h.start()
	f.waitUntil(h.ready) // the configuration comes from another host
	is.Equal(h.ask("safe", "a", "k9"), http.StatusUnauthorized)
	f.configure("k2")
	for _, x := range f.hosts {
		f.waitUntil(func() bool { return x.ask("safe", fmt.Sprint("b", x.name), "k1") == http.StatusUnauthorized })
	}
}

// TestGatewayKeepsItsConfigurationThroughARestore withdraws a key and restores the store from a copy in which it is valid. No host
// may accept the key again, one that starts during or after the restore included.
func TestGatewayKeepsItsConfigurationThroughARestore(t *testing.T) {
	cases := []struct {
		name     string
		restores int
		isCut    bool // the last host is cut off from the store until after the restore
		starts   int  // number of hosts that start during the restore
	}{
		{"one restore", 1, false, 0},
		{"restore during a restore", 2, false, 0},
		{"a host is cut off", 1, true, 0},
		{"most hosts start", 1, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newGatewayFleet(t, 17, 3, 1, script.Action{Bytes: gatewayAnswer})
			link := f.hosts[2].restartBehindProxy()
			for _, h := range f.hosts {
				f.waitUntil(func() bool { return strings.Count(h.log.String(), "host joined") >= 2 })
			}
			copied := f.platform.Memory().Snapshot()
			f.configure("k2")
			for _, h := range f.hosts {
				f.waitUntil(func() bool { return h.ask("safe", "a", "k2") == http.StatusOK })
			}
			running, starting := f.hosts[:3-c.starts], f.hosts[3-c.starts:]
			for _, h := range starting {
				h.kill()
			}
			if c.isCut {
				link.SetMode(proxy.Blackhole)
			}
			for range c.restores {
				f.platform.Memory().Restore(copied)
			}
			for _, h := range starting {
				h.start()
			}
			for _, h := range f.hosts {
				f.waitUntil(h.ready)
				is.Equal(h.ask("safe", "b", "k1"), http.StatusUnauthorized)
			}
			link.SetMode(proxy.Pass)
			for _, h := range running {
				f.waitUntil(func() bool {
					is.Equal(h.ask("safe", "c", "k1"), http.StatusUnauthorized)
					return strings.Contains(h.log.String(), "store restored")
				})
				is.Equal(h.ask("safe", "d", "k2"), http.StatusOK)
			}
			h := f.hosts[0]
			h.kill()
			h.start()
			f.waitUntil(h.ready)
			is.Equal(h.ask("safe", "e", "k1"), http.StatusUnauthorized)
			is.Equal(h.ask("safe", "f", "k2"), http.StatusOK)
			is.Equal(len(f.platform.Violations()), 0)
		})
	}
}

// TestUsageIsReportedAgainAfterALossOfPower guards against a window that was reported and is reported again, without its requests, by hosts
// that have all started after it, when the store is restored from a copy that does not contain the report.
func TestUsageIsReportedAgainAfterALossOfPower(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 53, 0, 1, script.Action{Bytes: gatewayAnswer})
	for n := range 3 {
		h := f.newHost(n + 1)
		text, err := os.ReadFile(h.settings)
		is.NoErr(err)
		is.NoErr(os.WriteFile(h.settings, bytes.Replace(text, []byte(`"usageWindowS":1`), []byte(`"usageWindowS":3`), 1), 0o600))
		f.hosts = append(f.hosts, h)
		h.start()
	}
	for _, h := range f.hosts {
		f.waitUntil(h.ready)
	}
	copied := f.platform.Memory().Snapshot()
	reported := func(counts string) func() bool {
		return func() bool {
			for n, h := range f.hosts {
				is.Equal(h.ask("safe", fmt.Sprint("usage", n), "k1"), http.StatusOK)
			}
			return slices.ContainsFunc(slices.Collect(maps.Values(f.platform.Usage())), func(c string) bool { return strings.Contains(c, counts) })
		}
	}
	f.waitUntil(reported("club"))
	for _, h := range f.hosts {
		h.kill()
	}
	f.platform.Memory().Restore(copied)
	last := slices.Max(slices.Collect(maps.Keys(f.platform.Usage())))
	for _, h := range f.hosts {
		h.start()
	}
	for _, h := range f.hosts {
		f.waitUntil(h.ready)
	}
	f.waitUntil(func() bool { // a window that ended after the start; those before are reported at the same time, or not at all
		reported("club")()
		return slices.Max(slices.Collect(maps.Keys(f.platform.Usage()))) > last+1
	})
	is.Equal(f.platform.Violations(), nil)
}
