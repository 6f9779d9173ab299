package main

import (
	"context"
	_ "embed" // embeds demo.jsonc
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/host/node"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/client"
	standinengine "hickorypath/internal/standin/engine"
	standinservice "hickorypath/internal/standin/service"
	"hickorypath/internal/standin/testbed"
	"hickorypath/internal/state/roster"
	"hickorypath/internal/upstream/httpclient"
)

//go:embed demo.jsonc
var demoDocument []byte

// Settings of the demo's hosts and of its simulated engines and services.
const (
	demoEngines       = 3
	demoGap           = 15 * time.Millisecond
	demoPrefill       = 50 * time.Microsecond
	demoSlots         = 8
	demoToken         = "demo-operator"
	demoSecret        = "demo-secret-of-the-hosts"
	demoStartTimeout  = 20 * time.Second
	demoLease         = 3 * time.Second
	demoWindow        = 10 * time.Second
	demoOrderDivisor  = 3 // an order's timeout is the lease duration divided by this
	demoPollInterval  = 50 * time.Millisecond
	anyPort           = "127.0.0.1:0"
	demoCustomer      = "laredo"
	demoOtherCustomer = "santona"
	demoDocName       = "demo.jsonc"
	demoZonePrefix    = "norte-"
)

// demoFlags holds the command-line flags of the demo and the parameters that only tests set.
type demoFlags struct {
	listen         string
	admin          string
	hosts          int
	zones          int
	log            string
	engine         standinengine.Options
	enginesPerPool int // number of engines in each pool
	lease          time.Duration
	window         time.Duration
	document       []byte                             // source text of the document to apply
	dial           func(host int) httpclient.DialFunc // returns the function with which a host opens connections to upstreams; nil for the usual one
}

// demoEngine holds the properties of the demo's simulated engines.
var demoEngine = standinengine.Options{Slots: demoSlots, TokenInterval: demoGap, PrefillPerToken: demoPrefill}

// addDemo adds the command that runs several hosts and simulated external services in one process.
func addDemo(app *kingpin.Application) {
	f := &demoFlags{engine: demoEngine, enginesPerPool: demoEngines, lease: demoLease, window: demoWindow, document: demoDocument}
	cmd := app.Command("demo", "Run hosts on loopback with simulated external services, and print commands to try.")
	cmd.Flag("listen", "Callers' address of the first host; the other hosts use the following ports.").Default("127.0.0.1:8080").StringVar(&f.listen)
	cmd.Flag("admin", "Operators' address of the first host; the other hosts use the following ports.").Default("127.0.0.1:8090").StringVar(&f.admin)
	cmd.Flag("hosts", "Number of hosts.").Default("3").IntVar(&f.hosts)
	cmd.Flag("zones", "Number of availability zones.").Default("3").IntVar(&f.zones)
	cmd.Flag("log", "Log level: debug, info, warn or error.").Default("error").StringVar(&f.log)
	cmd.Action(newAction(new(bool), func(ctx context.Context) error { return runDemo(ctx, f) }))
}

func runDemo(ctx context.Context, f *demoFlags) error {
	log, err := newLog(f.log)
	if err != nil {
		return err
	}
	d, err := newDemo(f, log, os.Stdout)
	if err != nil {
		return err
	}
	defer d.close()
	d.start()
	fmt.Printf("starting %d hosts in %d zones ...\n", f.hosts, f.zones)
	keys, err := d.prepare(ctx)
	if err != nil {
		return err
	}
	d.print(keys)
	<-ctx.Done()
	fmt.Println("\nshutting down: the hosts finish their running requests")
	return nil
}

// demo runs several hosts and simulated external services in one process.
type demo struct {
	out       io.Writer
	flags     *demoFlags
	log       *zap.Logger
	site      *testbed.Testbed
	hosts     []*host
	stopHosts []context.CancelFunc // one for each entry of hosts
	hostRuns  sync.WaitGroup
	stopSite  context.CancelFunc

	ledger *standinservice.Service
}

func newDemo(f *demoFlags, log *zap.Logger, out io.Writer) (*demo, error) {
	if f.hosts < 1 || f.zones < 1 {
		return nil, &exitError{exitUsage, "hickorypath: --hosts and --zones must be at least 1"}
	}
	d := &demo{out: out, flags: f, log: log}
	d.site = testbed.New(testbed.Options{Engine: d.engine, ChecksFences: true})
	ln, err := net.Listen("tcp", anyPort)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.stopSite = cancel
	go func() { _ = d.site.Serve(ctx, ln) }()
	if err := d.startUpstreams(); err != nil {
		return nil, err
	}
	for n := range f.hosts {
		if err := d.addHost(n, "http://"+ln.Addr().String()); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// engine returns the properties of the simulated engines of a pool.
func (d *demo) engine(pool string) standinengine.Options {
	o := d.flags.engine
	o.Model = pool
	return o
}

func (d *demo) startUpstreams() error {
	for n := range d.flags.enginesPerPool {
		for _, pool := range []string{"asesor", "libro"} {
			if err := d.site.AddEngine(pool, d.zone(n), false); err != nil {
				return err
			}
		}
	}
	var err error
	d.ledger, err = d.site.AddService("ledger", d.zone(0), "")
	return err
}

func (d *demo) zone(n int) string { return demoZonePrefix + string(rune('a'+n%d.flags.zones)) }

// addHost creates the n-th host, without starting it, and adds the host to the simulated roster.
func (d *demo) addHost(n int, platform string) error {
	caller, err := offsetPort(d.flags.listen, n)
	if err != nil {
		return err
	}
	admin, err := offsetPort(d.flags.admin, n)
	if err != nil {
		return err
	}
	s, err := d.settings(n, caller, admin, platform)
	if err != nil {
		return err
	}
	dial := httpclient.NewDialFunc()
	if d.flags.dial != nil {
		dial = d.flags.dial(n)
	}
	h, err := newHost(s, d.log, dial)
	if err != nil {
		return fmt.Errorf("%w; choose other addresses with --listen and --admin", err)
	}
	addr := get[*node.Node](h.injector).Addr()
	d.site.Roster().Put(roster.NewHost(s.Host(), s.Zone(), addr, roster.Live))
	d.hosts = append(d.hosts, h)
	return nil
}

// settings returns the settings of the n-th host. They pass the same validation as a settings file.
func (d *demo) settings(n int, caller, admin, platform string) (*settings.Settings, error) {
	services := lo.FilterMap(d.site.Upstreams(), func(u testbed.Upstream, _ int) (settings.Service, bool) {
		return settings.Service{Pool: u.Pool, Zone: u.Zone, Addr: u.Addr}, u.Pool == "ledger"
	})
	data, err := json.Marshal(map[string]any{
		"host":        "host-" + strconv.Itoa(n+1),
		"zone":        d.zone(n),
		"environment": "demo",
		"caller":      settings.Listener{Listen: caller},
		"admin":       settings.Listener{Listen: admin},
		"operators":   []settings.Operator{{Name: "demo", Token: demoToken}},
		"peer":        settings.Peer{Listen: anyPort, Secret: demoSecret},
		"platform": settings.Platform{
			Store: platform + "/store", Provision: platform + "/provision",
			Usage: platform + "/usage", Roster: platform + "/roster",
		},
		"services": services,
		"drain":    map[string]string{"notice": "200ms"},
		"window":   d.flags.window.String(),
		"timeout":  map[string]string{"lease": d.flags.lease.String(), "order": (d.flags.lease / demoOrderDivisor).String()},
		"log":      d.flags.log,
	})
	if err != nil {
		return nil, err
	}
	return settings.New(data, "demo settings", os.Getenv)
}

func (d *demo) start() {
	for _, h := range d.hosts {
		ctx, stop := context.WithCancel(context.Background())
		d.stopHosts = append(d.stopHosts, stop)
		d.hostRuns.Go(func() {
			if err := h.run(ctx); err != nil {
				d.log.Error("host stopped with an error", zap.Error(err))
			}
		})
	}
}

// prepare applies the document, issues one key for each customer, and waits until the document is in force on all
// hosts. It returns the keys by customer.
func (d *demo) prepare(ctx context.Context) (map[string]string, error) {
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	c := client.New(client.Options{URL: d.adminURL(0), Token: demoToken})
	if err := d.apply(ctx, c); err != nil {
		return nil, err
	}
	keys := map[string]string{}
	for _, customer := range []string{demoCustomer, demoOtherCustomer} {
		k, err := c.Issue(ctx, customer)
		if err != nil {
			return nil, err
		}
		keys[customer] = k.Clear
	}
	return keys, d.waitInForce(ctx, c)
}

// apply sends the demo's document to the operators' API and retries while the hosts are still starting.
func (d *demo) apply(ctx context.Context, c *client.Client) error {
	for {
		_, err := c.Put(ctx, client.DocumentChange{Source: d.flags.document, File: demoDocName})
		if err == nil || ctx.Err() != nil || !isRetryable(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(demoPollInterval):
		}
	}
}

// isRetryable reports whether err may occur because the hosts are still starting.
func isRetryable(err error) bool {
	switch kind.Of(err) {
	case kind.Lost, kind.Unavailable, kind.Store:
		return true
	}
	return false
}

// waitInForce waits until every host has applied the document, and prints the progress.
func (d *demo) waitInForce(ctx context.Context, c *client.Client) error {
	for shown := 0; ; {
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		applied := lo.CountBy(s.Hosts, func(h api.Host) bool { return h.Revision >= 1 })
		if applied > shown {
			shown = applied
			fmt.Fprintf(d.out, "document in force on %d of %d hosts\n", applied, len(d.hosts))
		}
		if applied >= len(d.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(demoPollInterval):
		}
	}
}

func (d *demo) adminURL(n int) string { return "http://" + d.hosts[n].adminLn.Addr().String() }

func (d *demo) callerURL(n int) string { return "http://" + d.hosts[n].callerLn.Addr().String() }

func (d *demo) close() {
	for _, stop := range d.stopHosts {
		stop()
	}
	d.hostRuns.Wait()
	d.site.Close()
	d.stopSite()
}

// offsetPort returns an address with n added to its port. Port 0 is kept, so that the system chooses the port.
func offsetPort(addr string, n int) (string, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return "", &exitError{exitUsage, fmt.Sprintf("hickorypath: %q is not an IP number with a port, such as 127.0.0.1:8080", addr)}
	}
	if a.Port() == 0 {
		return addr, nil
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+uint16(n)).String(), nil
}
