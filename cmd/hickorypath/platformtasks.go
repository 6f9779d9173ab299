package main

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/node"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/meter"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/provision"
	"hickorypath/internal/state/store"
	"hickorypath/internal/state/usage"
	"hickorypath/internal/upstream/autoscale"
	"hickorypath/internal/upstream/discovery"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/fleet"
	"hickorypath/internal/upstream/httpclient"
)

// usageLease is the name of the lease whose holder reports usage to the platform.
const usageLease = "usage"

// Upper bounds of the usage reporter's times. Below these bounds, the times equal the length of a usage window.
const (
	maxReportGrace    = 10 * time.Second // time after the end of a window for all hosts to seal their parts of the window
	maxReportInterval = 5 * time.Second  // pause between two searches for windows that are due
)

// documentSweepInterval is how often the holder of the usage lease deletes the source texts of old documents.
const documentSweepInterval = 10 * time.Minute

// identity identifies one run of a host's process: the host's name and an ID that is new at each start.
type identity struct {
	host        string
	incarnation string
}

func provideAutoscaler(i do.Injector) (*autoscale.Manager, error) {
	s := get[*settings.Settings](i)
	n := get[*node.Node](i)
	id := get[identity](i)
	list := get[*discovery.Watcher](i)
	k := get[clock.Clock](i)
	return autoscale.New(autoscale.Options{
		Holder:        id.host + "/" + id.incarnation,
		Clock:         k,
		Log:           get[*zap.Logger](i),
		Store:         get[*store.Client](i),
		Backend:       provision.NewHTTP(s.Platform().Provision, get[*http.Client](i)),
		OrderTimeout:  s.OrderTimeout(),
		LeaseTTL:      s.Lease(),
		Fleet:         get[*fleet.Fleet](i),
		Upstreams:     list.Upstreams,
		Zones:         func() []string { return knownZones(n, list) },
		ZoneReachable: func(zone string) bool { return isZoneReachable(n.Members(), zone) },
		IsCandidate: func(name string) bool {
			return lease.IsCandidate(n.LeaseCandidates(), s.Host(), name, k.Now(), s.Lease())
		},
		AddPaidTime: get[*meter.Meter](i).AddUpstreamTime,
	}), nil
}

// knownZones returns the sorted availability zones that contain at least one host or upstream.
func knownZones(n *node.Node, l *discovery.Watcher) []string {
	zones := lo.Map(n.Members(), func(m membership.Member, _ int) string { return m.Zone() })
	for _, u := range l.Upstreams() {
		zones = append(zones, u.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// isZoneReachable reports whether at least one host of a zone is alive.
func isZoneReachable(members []membership.Member, zone string) bool {
	return lo.SomeBy(members, func(m membership.Member) bool { return m.Zone() == zone && m.Alive() })
}

func provideRecorder(i do.Injector) (*usage.Recorder, error) {
	s := get[*settings.Settings](i)
	id := get[identity](i)
	n := get[*node.Node](i)
	return usage.New(get[*store.Client](i), get[clock.Clock](i), usage.Options{
		Host:        id.host,
		Incarnation: id.incarnation,
		Window:      s.Window(),
		HostCount:   func() int { return len(n.Members()) },
		Log:         get[*zap.Logger](i),
	}), nil
}

// usageReporting holds the usage reporter and the lease that allows the holder to report.
type usageReporting struct {
	lease    *lease.Lease
	reporter *usage.Reporter
}

func provideReporter(i do.Injector) (*usageReporting, error) {
	s := get[*settings.Settings](i)
	n := get[*node.Node](i)
	id := get[identity](i)
	c := get[*store.Client](i)
	k := get[clock.Clock](i)
	l := lease.New(c, k, lease.Options{
		Name:   usageLease,
		TTL:    s.Lease(),
		Holder: id.host + "/" + id.incarnation,
		IsCandidate: func() bool {
			return lease.IsCandidate(n.LeaseCandidates(), s.Host(), usageLease, k.Now(), s.Lease())
		},
		Log: get[*zap.Logger](i),
	})
	sink := usage.NewHTTPSink(s.Platform().Usage, s.OrderTimeout())
	r := usage.NewReporter(c, k, l, sink, usage.ReporterOptions{
		Window:    s.Window(),
		Grace:     min(s.Window(), maxReportGrace),
		Interval:  min(s.Window(), maxReportInterval),
		Timeout:   s.OrderTimeout(),
		HostCount: func() int { return len(n.Members()) },
		Log:       get[*zap.Logger](i),
	})
	return &usageReporting{lease: l, reporter: r}, nil
}

// startPlatformTasks starts the loops that need the platform: leases, usage, scaling and discovery of upstreams.
func (h *host) startPlatformTasks(ctx context.Context) {
	r := get[*usageReporting](h.injector)
	h.runLoop(func() { r.lease.Run(ctx) })
	h.runLoop(func() { r.reporter.Run(ctx) })
	h.runLoop(func() { get[*autoscale.Manager](h.injector).Run(ctx) })
	h.runLoop(func() { get[*usage.Recorder](h.injector).Run(ctx) })
	h.runLoop(func() { h.sweepDocuments(ctx, r.lease) })
	h.runLoop(func() { get[*discovery.Watcher](h.injector).Run(ctx) })
}

func provideDiscovery(i do.Injector) (*discovery.Watcher, error) {
	s := get[*settings.Settings](i)
	n := get[*node.Node](i)
	f, r := get[*fleet.Fleet](i), get[*httpclient.Reach](i)
	log := get[*zap.Logger](i)
	backend := provision.NewHTTP(s.Platform().Provision, get[*http.Client](i))
	return discovery.New(discovery.Options{
		Clock:      get[clock.Clock](i),
		Log:        log,
		List:       backend.List,
		Replicator: n.Replicator(),
		Publishes:  func() bool { return isWatcher(n.Members(), s.Host(), s.Zone()) },
		Follows:    func() bool { return len(n.Members()) > membership.MaxMeshHosts },
		OnChange:   func(list []provision.Upstream) { setTargets(f, r, targetsByPool(list, s.Services())) },
	}), nil
}

// targetsByPool returns the upstreams that can be sent requests, grouped by pool: the services of the settings and the
// listed upstreams that are not still starting.
func targetsByPool(ups []provision.Upstream, services []settings.Service) map[string][]dispatch.Target {
	byPool := staticTargets(services)
	for _, u := range ups {
		if u.State == provision.StateStarting {
			continue
		}
		t := dispatch.NewTarget(u.ID, u.Zone, u.Addr, u.Reclaimable, u.State == provision.StateLeaving)
		byPool[u.Pool] = append(byPool[u.Pool], t)
	}
	return byPool
}

// sweepDocuments periodically deletes the source texts of old documents while this host holds the lease.
func (h *host) sweepDocuments(ctx context.Context, l *lease.Lease) {
	clock.Every(ctx, documentSweepInterval, func() {
		if _, err := l.Token(0); err != nil {
			return
		}
		if _, err := get[*repository.Repository](h.injector).CollectGarbage(ctx, repository.DefaultRetainedRevisions); err != nil {
			h.log.Warn("cannot delete old documents", zap.Error(err))
		}
	})
}

// usageWindows returns usage windows in the form of the operators' API.
func (h *host) usageWindows(ctx context.Context, q api.UsageQuery) ([]api.Window, error) {
	list, err := get[*usageReporting](h.injector).reporter.Windows(ctx, usage.Query{From: q.From, To: q.To, Customer: q.Customer})
	if err != nil {
		return nil, err
	}
	return lo.Map(list, func(w usage.Window, _ int) api.Window {
		return api.Window{Start: w.Start(), End: w.End(), State: w.State(), Rows: lo.Map(w.Rows(), newUsageRow)}
	}), nil
}

func newUsageRow(r usage.Row, _ int) api.Usage {
	return api.Usage{
		Customer: r.Customer, Class: r.Class, Calls: r.Requests,
		Prompt: r.Prompt, Output: r.Output, Wasted: r.Wasted,
	}
}

// leases returns all leases in the store with their holders, or only the leases of this host while the store cannot be
// read.
func (h *host) leases(ctx context.Context) []api.Lease {
	entries, _, err := get[*store.Client](h.injector).For(store.UseLease).List(ctx, lease.KeyPrefix)
	if err != nil {
		return h.localLeases()
	}
	return lo.Map(entries, func(e store.Entry, _ int) api.Lease {
		holder, _, _ := strings.Cut(string(e.Value()), "/")
		return api.Lease{Name: strings.TrimPrefix(e.Key(), lease.KeyPrefix), Holder: holder, Fence: e.Revision()}
	})
}

func (h *host) localLeases() []api.Lease {
	all := append(get[*autoscale.Manager](h.injector).Leases(), get[*usageReporting](h.injector).lease)
	return lo.FilterMap(all, func(l *lease.Lease, _ int) (api.Lease, bool) {
		token, err := l.Token(0)
		return api.Lease{Name: l.Name(), Holder: h.settings.Host(), Fence: token.FencingToken()}, err == nil
	})
}
