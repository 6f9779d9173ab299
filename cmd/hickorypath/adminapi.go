package main

import (
	"context"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/lo"

	"hickorypath/internal/core/settings"
	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/node"
	"hickorypath/internal/operator/admin"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/configsync"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/meter"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/fleet"
)

// adminHandler returns the HTTP handler of the operators' address.
func (h *host) adminHandler() http.Handler {
	v := get[*repository.Repository](h.injector)
	f := get[*configsync.Syncer](h.injector)
	live := get[*document.Active](h.injector)
	set := get[*metrics.Set](h.injector)
	return admin.New(admin.Options{
		Tokens: lo.Map(h.settings.Operators(), func(o settings.Operator, _ int) admin.Token {
			return admin.NewToken(o.Name, o.Token)
		}),
		Version: readBuildInfo().Version,
		Log:     h.log,
		Backend: admin.Backend{
			ActiveDocument:     live.Load,
			Load:               v.Load,
			Put:                v.Put,
			History:            v.History,
			FindByDigest:       v.FindByDigest,
			Source:             v.Source,
			Outcome:            v.Outcome,
			OnDocumentAccepted: func(doc *document.Document, rev repository.Revision) { f.PublishDocument(doc, rev.Number()) },
			Issue:              v.Issue,
			Withdraw:           v.Withdraw,
			Key:                v.Key,
			Keys:               v.Keys,
			OnKeyChange:        f.PublishKey,
			Status:             h.status,
			Usage:              h.usageWindows,
			Burn:               get[*meter.Meter](h.injector).Report,
			Ready:              h.checkReady,
			Metrics: func(w http.ResponseWriter, _ *http.Request) {
				set.WritePrometheus(w)
				metrics.WritePrometheus(w, true)
			},
		},
	}).Handler()
}

// status returns the state of the environment as this host knows it.
func (h *host) status(ctx context.Context) (api.Status, error) {
	s := get[*settings.Settings](h.injector)
	doc, revision := get[*document.Active](h.injector).Load()
	st := api.Status{Host: s.Host(), Zone: s.Zone(), Revision: revision}
	if doc != nil {
		st.Digest = doc.Digest()
	}
	for _, m := range get[*node.Node](h.injector).Members() {
		st.Hosts = append(st.Hosts, newHostStatus(m, s.Host(), revision))
	}
	for _, d := range get[*fleet.Fleet](h.injector).Pools() {
		for _, t := range d.Targets() {
			st.Upstreams = append(st.Upstreams, newUpstreamStatus(d, t))
		}
	}
	st.Leases = h.leases(ctx)
	return st, nil
}

func newHostStatus(m membership.Member, self string, revision uint64) api.Host {
	state := "silent"
	switch {
	case m.State() == membership.Leaving:
		state = "leaving"
	case m.Alive():
		state = "live"
	}
	applied := m.Revision()
	if m.ID() == self {
		applied = revision
	}
	return api.Host{ID: m.ID(), Zone: m.Zone(), State: state, Revision: applied}
}

func newUpstreamStatus(d *dispatch.Dispatcher, t dispatch.Target) api.Upstream {
	state := "ready"
	switch {
	case t.Draining():
		state = "leaving"
	case t.Down():
		state = "ejected"
	}
	return api.Upstream{ID: t.ID(), Pool: d.Name(), Zone: t.Zone(), State: state, Reclaimable: t.Reclaimable(), Running: d.Running(t.ID())}
}
