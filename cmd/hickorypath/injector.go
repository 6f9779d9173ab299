package main

import (
	"crypto/tls"
	"hash/fnv"
	"net/http"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/quota"
	"hickorypath/internal/caller/relay"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/core/tcpconn"
	"hickorypath/internal/host/node"
	"hickorypath/internal/host/peer"
	"hickorypath/internal/operator/configsync"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/operator/meter"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/policy/place"
	"hickorypath/internal/policy/retry"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/policy/suspect"
	"hickorypath/internal/state/claim"
	"hickorypath/internal/state/roster"
	"hickorypath/internal/state/store"
	"hickorypath/internal/state/usage"
	"hickorypath/internal/upstream/autoscale"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/fleet"
	"hickorypath/internal/upstream/httpclient"
	"hickorypath/internal/upstream/service"
)

// newInjector registers the providers of one host's components. The host opens its connections to upstreams with dial.
func newInjector(s *settings.Settings, log *zap.Logger, dial httpclient.DialFunc) *do.RootScope {
	i := do.New()
	do.ProvideValue(i, httpclient.NewReach(s.Zone(), dial, log))
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.ProvideValue(i, clock.NewSystem())
	do.ProvideValue(i, document.NewActive())
	do.ProvideValue(i, key.NewTable())
	do.ProvideValue(i, metrics.NewSet())
	do.ProvideValue(i, identity{host: s.Host(), incarnation: exchange.NewID()})
	do.ProvideValue(i, configsync.NewReadiness())
	do.Provide(i, provideDiscovery)
	do.Provide(i, providePlatformClient)
	do.Provide(i, provideStore)
	do.Provide(i, provideRepository)
	do.Provide(i, provideNode)
	do.Provide(i, provideFleet)
	do.Provide(i, provideMeter)
	do.Provide(i, provideQuota)
	do.Provide(i, provideSyncer)
	do.Provide(i, provideAutoscaler)
	do.Provide(i, provideRecorder)
	do.Provide(i, provideClaims)
	do.Provide(i, provideReporter)
	do.Provide(i, provideEngines)
	do.Provide(i, provideServices)
	do.Provide(i, provideSuspects)
	do.Provide(i, provideParts)
	do.Provide(i, provideRetries)
	do.Provide(i, provideRunner)
	do.Provide(i, provideRelays)
	return i
}

func get[T any](i do.Injector) T { return do.MustInvoke[T](i) }

// providePlatformClient returns the HTTP client for the platform's services. A call that is given up does not arrive later.
func providePlatformClient(do.Injector) (*http.Client, error) {
	return &http.Client{Transport: tcpconn.NewDefaultTransport()}, nil
}

func provideStore(i do.Injector) (*store.Client, error) {
	s := get[*settings.Settings](i)
	backend := store.NewHTTP(s.Platform().Store, get[*http.Client](i))
	return store.New(backend, store.Options{
		Clock:          get[clock.Clock](i),
		Log:            get[*zap.Logger](i),
		AttemptTimeout: s.StoreTimeout(),
		Metrics:        get[*metrics.Set](i),
	}), nil
}

func provideRepository(i do.Injector) (*repository.Repository, error) {
	c := get[clock.Clock](i)
	return repository.New(repository.Options{KV: repository.NewKV(get[*store.Client](i)), Now: c.Now}), nil
}

func provideNode(i do.Injector) (*node.Node, error) {
	s := get[*settings.Settings](i)
	conf, err := peerTLS(s.Peer())
	if err != nil {
		return nil, err
	}
	live := get[*document.Active](i)
	ready := get[*configsync.Readiness](i)
	return node.New(node.Options{
		ID:          s.Host(),
		Zone:        s.Zone(),
		Addr:        s.Peer().Listen,
		TLS:         conf,
		FetchRoster: newRoster(s, get[*http.Client](i)).List,
		Clock:       get[clock.Clock](i),
		Log:         get[*zap.Logger](i),
		Merge:       mergeLoads,
		OnSynced:    ready.Set,
		Revision: func() uint64 {
			if !ready.IsReady() {
				return 0
			}
			_, revision := live.Load()
			return revision
		},
	})
}

// newRoster returns the client for the platform's list of hosts. Until that list has been read once, the hosts of the
// settings are used.
func newRoster(s *settings.Settings, client *http.Client) *roster.Roster {
	seeds := lo.Map(s.Peer().Hosts, func(h settings.Host, _ int) roster.Host {
		return roster.NewHost(h.Host, h.Zone, h.Addr, roster.Live)
	})
	return roster.NewHTTP(s.Platform().Roster, &http.Client{Transport: client.Transport, Timeout: s.StoreTimeout()}).WithFallback(seeds...)
}

// mergeLoads combines values that hosts of a zone replicate into one value for the other zones.
func mergeLoads(_, name string, values [][]byte) []byte {
	if data, ok := fleet.CombineDigests(name, values); ok {
		return data
	}
	return quota.MergeDigests(values)
}

func peerTLS(p settings.Peer) (*tls.Config, error) {
	if p.Cert == "" {
		return peer.NewTLSFromSecret(p.Secret)
	}
	var texts [3][]byte
	for n, path := range []string{p.Cert, p.Key, p.CA} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		texts[n] = data
	}
	return peer.NewTLS(texts[0], texts[1], texts[2])
}

func provideFleet(i do.Injector) (*fleet.Fleet, error) {
	s := get[*settings.Settings](i)
	n := get[*node.Node](i)
	engines := get[*engine.Client](i)
	return fleet.New(fleet.Options{
		Host:             s.Host(),
		Zone:             s.Zone(),
		Seed:             hostSeed(s.Host()),
		Clock:            get[clock.Clock](i),
		Log:              get[*zap.Logger](i),
		Replicator:       n.Replicator(),
		FetchLoad:        engines.Load,
		FetchCacheEvents: engines.CacheEvents,
		Dial:             get[*httpclient.Reach](i).DialControl,
		IsCutOff:         get[*httpclient.Reach](i).IsCut,
		LiveHosts:        func() []string { return liveHosts(n.Members()) },
		HostZones:        func() []route.Host { return liveHostZones(n.Members()) },
	}), nil
}

// hostSeed returns a random seed that depends on the host's ID, so that hosts choose differently among equally good
// candidates.
func hostSeed(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	return h.Sum64()
}

func provideSyncer(i do.Injector) (*configsync.Syncer, error) {
	s := get[*settings.Settings](i)
	n := get[*node.Node](i)
	f := get[*fleet.Fleet](i)
	m := get[*meter.Meter](i)
	scaler := get[*autoscale.Manager](i)
	return configsync.New(configsync.Options{
		Repository: get[*repository.Repository](i),
		Recovery:   repository.New(repository.Options{KV: repository.NewRecoveryKV(get[*store.Client](i)), Now: get[clock.Clock](i).Now}),
		Store:      get[*store.Client](i),
		Replicator: n.Replicator(),
		Document:   get[*document.Active](i),
		Keys:       get[*key.Table](i),
		Log:        get[*zap.Logger](i),
		Readiness:  get[*configsync.Readiness](i),
		IsWatcher:  func() bool { return isWatcher(n.Members(), s.Host(), s.Zone()) },
		OnDocumentChange: func(doc *document.Document, _ uint64) {
			f.Apply(doc)
			m.Apply(doc)
			scaler.Apply(doc)
		},
	}), nil
}

func provideMeter(i do.Injector) (*meter.Meter, error) {
	n := get[*node.Node](i)
	id := get[identity](i)
	return meter.New(meter.Options{
		Host:        id.host,
		Incarnation: id.incarnation,
		Clock:       get[clock.Clock](i),
		Log:         get[*zap.Logger](i),
		Replicator:  n.Replicator(),
		Store:       get[*store.Client](i),
		LiveHosts:   func() []string { return liveHosts(n.Members()) },
	}), nil
}

func provideQuota(i do.Injector) (*quota.Quota, error) {
	return quota.New(quota.Options{
		Host:       get[*settings.Settings](i).Host(),
		Clock:      get[clock.Clock](i),
		Log:        get[*zap.Logger](i),
		Replicator: get[*node.Node](i).Replicator(),
		Document:   get[*document.Active](i),
	}), nil
}

func provideEngines(i do.Injector) (*engine.Client, error) {
	reach := get[*httpclient.Reach](i)
	return engine.New(engine.Options{Dial: reach.Dial, ControlDial: reach.DialControl, Clock: get[clock.Clock](i), Log: get[*zap.Logger](i)}), nil
}

func provideServices(i do.Injector) (*service.Client, error) {
	return service.New(service.Options{Dial: get[*httpclient.Reach](i).Dial}), nil
}

func provideSuspects(i do.Injector) (*exchange.SuspectTracker, error) {
	n := get[*node.Node](i)
	config := suspect.Config{Host: get[*settings.Settings](i).Host()}
	return exchange.NewSuspectTracker(config, newTurnReplicator(n.Replicator(), get[clock.Clock](i))), nil
}

func provideParts(i do.Injector) (*exchange.PartTracker, error) {
	n := get[*node.Node](i)
	self := get[*settings.Settings](i).Host()
	return exchange.NewPartTracker(exchange.PartOptions{
		Log: get[*zap.Logger](i),
		Owns: func(part uint64) bool {
			rank := func(host string) uint64 { return place.RendezvousRank(part, host) }
			own := rank(self)
			return !lo.ContainsBy(liveHosts(n.Members()), func(host string) bool { return rank(host) > own })
		},
		Publish: newPartReplicator(n.Replicator(), get[clock.Clock](i), self),
	}), nil
}

func provideRetries(do.Injector) (*exchange.RetryBudgets, error) {
	return exchange.NewRetryBudgets(retry.Config{}), nil
}

func provideRelays(i do.Injector) (*relay.Client, error) {
	n := get[*node.Node](i)
	self := get[*settings.Settings](i)
	return relay.New(relay.Options{
		Zone:  self.Zone(),
		Hosts: func() []relay.Host { return otherHosts(n.Members(), self.Host()) },
		Open:  n.OpenStream,
		Log:   get[*zap.Logger](i),
	}), nil
}

func provideRunner(i do.Injector) (*exchange.Runner, error) {
	replicator := get[*node.Node](i).Replicator()
	c := get[clock.Clock](i)
	m := get[*meter.Meter](i)
	f := get[*fleet.Fleet](i)
	requests := newRequestMetrics(get[*metrics.Set](i))
	usages := get[*usage.Recorder](i)
	return exchange.New(exchange.Deps{
		Clock:         c,
		Log:           get[*zap.Logger](i),
		Document:      get[*document.Active](i),
		Keys:          get[*key.Table](i),
		Suspects:      get[*exchange.SuspectTracker](i),
		Parts:         get[*exchange.PartTracker](i),
		RetryBudgets:  get[*exchange.RetryBudgets](i),
		Engines:       get[*engine.Client](i),
		Services:      get[*service.Client](i),
		IsReady:       get[*configsync.Readiness](i).IsReady,
		Pool:          f.Pool,
		Admit:         get[*quota.Quota](i).Admit,
		Claim:         newClaimFunc(get[*claim.Registry](i)),
		IsAlive:       f.Alive,
		IsDown:        f.IsDown,
		IsCutOff:      get[*httpclient.Reach](i).IsCut,
		ReachesOthers: get[*httpclient.Reach](i).ReachesOthers,
		HasFallenOver: f.HasFallenOver,
		RecordGivenUp: f.RecordGivenUp,
		IsBrittle:     f.IsBrittle,
		ReportCrash:   newCrashReplicator(replicator, c, f),

		RecordAdvisory: f.RecordAdvisory,
		Version:        f.Version,
		Bill: func(b exchange.Bill) {
			usages.Add(usage.Record{
				RequestID: b.RequestID,
				Customer:  b.Customer,
				Class:     b.Class,
				Route:     b.Route,
				Model:     b.Model,
				Prompt:    b.PromptTokens,
				Output:    b.OutputTokens,
				Wasted:    b.WastedTokens,
			})
		},
		Observe: func(e exchange.RequestSummary) {
			requests.observe(e)
			if c, counts := newBurnCall(e); counts {
				m.Add(c)
			}
		},
	}), nil
}
