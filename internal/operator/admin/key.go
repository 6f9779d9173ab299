package admin

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/key"
)

func (srv *Server) registerKeys(h huma.API) {
	register(h, huma.Operation{
		OperationID: "list-keys", Method: http.MethodGet, Path: "/v1/keys",
		Summary: "List the keys, or those of one customer",
	}, srv.listKeys)
	register(h, huma.Operation{
		OperationID: "issue-key", Method: http.MethodPost, Path: "/v1/keys", DefaultStatus: http.StatusCreated,
		Summary: "Issue a key; it is shown only in this answer",
	}, srv.issueKey)
	register(h, huma.Operation{
		OperationID: "get-key", Method: http.MethodGet, Path: "/v1/keys/{id}",
		Summary: "Get one key by its id",
	}, srv.getKey)
	register(h, huma.Operation{
		OperationID: "withdraw-key", Method: http.MethodDelete, Path: "/v1/keys/{id}", DefaultStatus: http.StatusOK,
		Summary: "Withdraw a key and end its running calls",
	}, srv.withdrawKey)
}

type keyOutput struct{ Body api.Key }

type keysInput struct {
	Customer string `query:"customer" doc:"List only the keys of this customer"`
}

type keysOutput struct{ Body []api.Key }

func (srv *Server) listKeys(ctx context.Context, in *keysInput) (*keysOutput, error) {
	list, err := srv.backend.Keys(ctx)
	if err != nil {
		return nil, err
	}
	out := &keysOutput{Body: []api.Key{}}
	for _, rec := range list {
		if in.Customer == "" || rec.Customer() == in.Customer {
			out.Body = append(out.Body, newKey(rec))
		}
	}
	slices.SortFunc(out.Body, func(x, y api.Key) int {
		return cmp.Or(cmp.Compare(x.Customer, y.Customer), x.Issued.Compare(y.Issued), cmp.Compare(x.ID, y.ID))
	})
	return out, nil
}

type issueInput struct {
	Body struct {
		Customer string `json:"customer" minLength:"1" doc:"Customer of the document in force"`
	}
}

func (srv *Server) issueKey(ctx context.Context, in *issueInput) (*keyOutput, error) {
	if err := srv.checkCustomer(in.Body.Customer); err != nil {
		return nil, err
	}
	ctx, cancel := changeContext(ctx)
	defer cancel()
	clear, rec, err := srv.backend.Issue(ctx, in.Body.Customer)
	if err != nil {
		return nil, newChangeResponseError(err, rec.ID())
	}
	srv.keyChanged(ctx, "key issued", rec)
	out := &keyOutput{Body: newKey(rec)}
	out.Body.Clear = clear
	return out, nil
}

// checkCustomer returns an error of kind Missing unless the active document defines the customer.
func (srv *Server) checkCustomer(name string) error {
	doc, _ := srv.backend.ActiveDocument()
	if doc == nil {
		return kind.New(kind.Missing, "no document is in force; apply one that defines customer %q", name)
	}
	if _, ok := doc.Customer(name); !ok {
		return kind.New(kind.Missing, "the document in force defines no customer %q; add it and apply", name)
	}
	return nil
}

type keyInput struct {
	ID string `path:"id" doc:"Public name of the key"`
}

func (srv *Server) getKey(ctx context.Context, in *keyInput) (*keyOutput, error) {
	rec, err := srv.backend.Key(ctx, in.ID)
	if err != nil {
		return nil, err
	}
	return &keyOutput{Body: newKey(rec)}, nil
}

func (srv *Server) withdrawKey(ctx context.Context, in *keyInput) (*keyOutput, error) {
	ctx, cancel := changeContext(ctx)
	defer cancel()
	rec, err := srv.backend.Withdraw(ctx, in.ID)
	if err != nil {
		return nil, newChangeResponseError(err, in.ID)
	}
	srv.keyChanged(ctx, "key withdrawn", rec)
	return &keyOutput{Body: newKey(rec)}, nil
}

func (srv *Server) keyChanged(ctx context.Context, what string, rec key.Record) {
	srv.log.Info(what, zap.String("operator", operatorOf(ctx)), zap.String("key", rec.ID()), zap.String("customer", rec.Customer()))
	if srv.backend.OnKeyChange != nil {
		srv.backend.OnKeyChange(ctx, rec)
	}
}

func newKey(rec key.Record) api.Key {
	k := api.Key{ID: rec.ID(), Customer: rec.Customer(), Issued: rec.Issued()}
	if t := rec.Withdrawn(); !t.IsZero() {
		k.Withdrawn = &t
	}
	return k
}
