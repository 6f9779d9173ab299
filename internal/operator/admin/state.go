package admin

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/policy/burn"
)

func (a *Admin) registerState(h huma.API) {
	register(h, huma.Operation{
		OperationID: "get-status", Method: http.MethodGet, Path: "/v1/status",
		Summary: "Hosts, upstreams, leases and revisions",
	}, a.getStatus)
	register(h, huma.Operation{
		OperationID: "list-usage", Method: http.MethodGet, Path: "/v1/usage",
		Summary: "Usage windows by customer",
	}, a.listUsage)
	register(h, huma.Operation{
		OperationID: "get-burn", Method: http.MethodGet, Path: "/v1/burn",
		Summary: "Service-level burn, goodput, wasted work and spend",
	}, a.getBurn)
}

type statusOutput struct{ Body api.Status }

func (a *Admin) getStatus(ctx context.Context, _ *struct{}) (*statusOutput, error) {
	if a.fn.Status == nil {
		return nil, notServed("status")
	}
	s, err := a.fn.Status(ctx)
	return &statusOutput{Body: s}, err
}

type usageInput struct {
	Customer string `query:"customer" doc:"Only rows of this customer"`
}

type usageOutput struct{ Body []api.Window }

func (a *Admin) listUsage(ctx context.Context, in *usageInput) (*usageOutput, error) {
	if a.fn.Usage == nil {
		return nil, notServed("usage")
	}
	list, err := a.fn.Usage(ctx)
	if err != nil {
		return nil, err
	}
	out := &usageOutput{Body: make([]api.Window, len(list))}
	for i, w := range list {
		out.Body[i] = w
		out.Body[i].Rows = []api.Usage{}
		for _, row := range w.Rows {
			if in.Customer == "" || row.Customer == in.Customer {
				out.Body[i].Rows = append(out.Body[i].Rows, row)
			}
		}
	}
	return out, nil
}

type burnInput struct {
	Limit int `query:"limit" default:"50" minimum:"1" maximum:"40000" doc:"Greatest number of customers, the worst served first"`
}

type burnOutput struct{ Body burn.Report }

func (a *Admin) getBurn(ctx context.Context, in *burnInput) (*burnOutput, error) {
	if a.fn.Burn == nil {
		return nil, notServed("burn")
	}
	r, err := a.fn.Burn(ctx, in.Limit)
	return &burnOutput{Body: r}, err
}

func notServed(what string) error {
	return kind.New(kind.Missing, "this host does not serve %s", what)
}
