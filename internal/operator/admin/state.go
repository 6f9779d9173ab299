package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/policy/burn"
)

func (srv *Server) registerState(h huma.API) {
	register(h, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/v1/status",
		Summary: "Hosts, upstreams, leases and revisions",
	}, srv.getStatus)
	register(h, huma.Operation{
		OperationID: "list-usage", Method: http.MethodGet, Path: "/v1/usage",
		Summary: "Usage windows by customer",
	}, srv.listUsage)
	register(h, huma.Operation{
		OperationID: "get-burn", Method: http.MethodGet, Path: "/v1/burn",
		Summary: "Service-level burn, goodput, wasted work and spend",
	}, srv.getBurn)
}

type statusOutput struct{ Body api.Status }

func (srv *Server) getStatus(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	if srv.backend.Status == nil {
		return nil, notServed("status")
	}
	s, err := srv.backend.Status(ctx)
	return &statusOutput{Body: s}, err
}

type usageOutput struct{ Body []api.Window }

// defaultUsageSpan is the time range of a usage query without a start: the query covers this time before its end.
const defaultUsageSpan = time.Hour

func (srv *Server) listUsage(ctx context.Context, in *api.UsageQuery) (*usageOutput, error) {
	if srv.backend.Usage == nil {
		return nil, notServed("usage")
	}
	q := *in
	if q.To.IsZero() {
		q.To = time.Now()
	}
	if q.From.IsZero() {
		q.From = q.To.Add(-defaultUsageSpan)
	}
	if !q.From.Before(q.To) {
		return nil, kind.New(kind.Invalid, "the time asked for ends before it starts; set from to an earlier time than to")
	}
	list, err := srv.backend.Usage(ctx, q)
	return &usageOutput{Body: list}, err
}

type burnInput struct {
	Limit int `query:"limit" default:"50" minimum:"1" maximum:"40000" doc:"Greatest number of customers, the worst served first"`
}

type burnOutput struct{ Body burn.Report }

func (srv *Server) getBurn(ctx context.Context, in *burnInput) (*burnOutput, error) {
	if srv.backend.Burn == nil {
		return nil, notServed("burn")
	}
	r, err := srv.backend.Burn(ctx, in.Limit)
	return &burnOutput{Body: r}, err
}

func notServed(what string) error {
	return kind.New(kind.Missing, "this host does not serve %s", what)
}
