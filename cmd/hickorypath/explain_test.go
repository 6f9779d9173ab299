package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/zap"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/exchange"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/operator/client"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/budget"
	"hickorypath/internal/policy/place"
)

// TestExplainPrintsATable compares the output of the command with a golden file.
func TestExplainPrintsATable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	clock := func() time.Time { return now }
	live := config.NewLive()
	live.StoreIfNewer(config.New(7, []*config.Route{{Name: "chat", Host: "api", Prefix: "/v1/", Backends: []config.Backend{{Service: "s", Weight: 1}}}}, nil,
		[]*config.Service{{Name: "s", Engine: &config.Engine{Slots: 8, KVCapacityTokens: 60000}}}, config.Limits{}))
	table, fleet := upstream.NewTable("a", upstream.NewDialer(), zap.NewNop()), advisory.NewMembers("h").Fleet()
	for _, e := range []upstream.Entry{{ID: "u1", Zone: "b"}, {ID: "u2", Zone: "a"}, {ID: "u3", Zone: "a", Draining: true}, {ID: "u4", Zone: "a"}, {ID: "u5", Zone: "a", Cold: time.Second}} {
		e.Service, e.Address, e.Slots = "s", "10.0.0.1:80", 8
		table.Put(now, e)
	}
	table.Get("u2").SetLoad(upstream.Load{Running: 3, At: now.Add(-120 * time.Millisecond)})
	table.Get("u4").SetLoad(upstream.Load{Running: 8, At: now.Add(-40 * time.Millisecond)})
	g := &gateway{exchange: exchange.New(exchange.Options{
		Zone: "a", Table: table, Live: live, Budget: budget.Config{Window: time.Second}, Log: zap.NewNop(), Now: clock, FleetTime: clock,
		HostCount: func() int { return 1 }, RetryHosts: func() int { return 1 }, Elapsed: func() time.Duration { return 0 }, Fleet: func() *advisory.Fleet { return fleet }, PeerLoads: func(time.Time) map[string]place.Load { return nil },
		DrainingFor: func() time.Duration { return 0 }, Helpers: relay.NewHelpers(relay.Options{Hosts: func(time.Time) []relay.Host { return nil }}),
	})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+client.ExplainPath, g.serveExplanation)
	host := httptest.NewServer(mux)
	defer host.Close()
	run := func(args string) (string, error) {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), argsVariable+"=explain --host "+host.URL+" --virtual-host api --path "+args)
		out, err := cmd.CombinedOutput()
		return string(out), err
	}
	got, err := run("/v1/x --parts 7:4000,8:500 --output 100")
	is.NoErr(err)
	goldie.New(t).Assert(t, "explain", []byte(got))
	got, err = run("/v2/x")
	is.True(err != nil)
	is.Equal(got, "hickorypath: missing: no route of the virtual host \"api\" has the path \"/v2/x\"\n")
	resp, err := http.Get(host.URL + client.ExplainPath + "?virtual-host=web&path=/v1/x")
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusNotFound)
}
