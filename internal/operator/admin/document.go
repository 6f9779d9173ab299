package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/repository"
)

const (
	maxDocumentBytes = 32 << 20 // bytes
	readTimeout      = 30 * time.Second
	historyLimit     = 500
)

// contentType is the media type of JSON with comments.
const contentType = "application/jsonc"

type documentOutput struct {
	ETag        string `header:"ETag"`
	Digest      string `header:"Hickorypath-Digest"`
	ContentType string `header:"Content-Type"`
	Body        []byte
}

type revisionOutput struct {
	ETag string `header:"ETag"`
	Body api.Revision
}

type putInput struct {
	IfMatch     string `header:"If-Match" doc:"Entity tag of the revision that the change was made from"`
	IfNoneMatch string `header:"If-None-Match" doc:"* for the first document"`
	Change      string `header:"Hickorypath-Change" doc:"Id of an earlier try of this change whose outcome was unknown"`
	Digest      string `header:"Hickorypath-Digest" doc:"SHA-256 that the text must have, as a promotion gives it"`
	File        string `query:"file" doc:"Name to give in the places of faults"`
	RawBody     []byte `contentType:"application/jsonc"`
}

func (srv *Server) registerDocument(h huma.API) {
	register(h, huma.Operation{
		OperationID: "get-document", Method: http.MethodGet, Path: "/v1/document",
		Summary: "Get the newest document with its comments",
	}, srv.getDocument)
	register(h, huma.Operation{
		OperationID: "get-document-in-force", Method: http.MethodGet, Path: "/v1/document/live",
		Summary: "Get the document in force on the answering host; needs no store",
	}, srv.getInForce)
	register(h, huma.Operation{
		OperationID: "get-document-by-digest", Method: http.MethodGet, Path: "/v1/document/digest/{digest}",
		Summary: "Get an accepted document by its digest",
	}, srv.getByDigest)
	register(h, huma.Operation{
		OperationID: "check-document", Method: http.MethodPost, Path: "/v1/document/check",
		Summary: "Check a document; nothing is changed", MaxBodyBytes: maxDocumentBytes, BodyReadTimeout: readTimeout,
	}, srv.checkDocument)
	register(h, huma.Operation{
		OperationID: "put-document", Method: http.MethodPut, Path: "/v1/document",
		Summary: "Put a document in force", MaxBodyBytes: maxDocumentBytes, BodyReadTimeout: readTimeout,
	}, srv.putDocument)
	register(h, huma.Operation{
		OperationID: "restore-document", Method: http.MethodPost, Path: "/v1/document/digest/{digest}/restore",
		Summary: "Put an earlier accepted document in force again",
	}, srv.restoreDocument)
	register(h, huma.Operation{
		OperationID: "list-revisions", Method: http.MethodGet, Path: "/v1/document/history",
		Summary: "List the revisions, the newest first",
	}, srv.listRevisions)
	register(h, huma.Operation{
		OperationID: "get-change", Method: http.MethodGet, Path: "/v1/document/change/{change}",
		Summary: "Tell what became of a change whose outcome was unknown",
	}, srv.getChange)
}

func (srv *Server) getDocument(ctx context.Context, _ *struct{}) (*documentOutput, error) {
	source, rev, err := srv.backend.Load(ctx)
	if err != nil {
		return nil, err
	}
	return newDocumentOutput(source, rev), nil
}

func (srv *Server) getInForce(context.Context, *struct{}) (*documentOutput, error) {
	doc, revision := srv.backend.ActiveDocument()
	if doc == nil {
		return nil, kind.New(kind.Missing, "no document is in force on this host")
	}
	return &documentOutput{ETag: api.ETag(revision), Digest: doc.Digest(), ContentType: contentType, Body: doc.Source()}, nil
}

type digestInput struct {
	Digest string `path:"digest" doc:"SHA-256 of the text"`
}

func (srv *Server) getByDigest(ctx context.Context, in *digestInput) (*documentOutput, error) {
	rev, err := srv.backend.FindByDigest(ctx, in.Digest)
	if err != nil {
		return nil, err
	}
	source, err := srv.backend.Source(ctx, rev)
	if err != nil {
		return nil, err
	}
	return newDocumentOutput(source, rev), nil
}

func newDocumentOutput(source []byte, rev repository.Revision) *documentOutput {
	return &documentOutput{ETag: api.ETag(rev.Number()), Digest: rev.Digest(), ContentType: contentType, Body: source}
}

type checkInput struct {
	File    string `query:"file" doc:"Name to give in the places of faults"`
	RawBody []byte `contentType:"application/jsonc"`
}

type checkOutput struct{ Body api.Check }

func (srv *Server) checkDocument(_ context.Context, in *checkInput) (*checkOutput, error) {
	doc, err := document.Parse(in.RawBody, fileName(in.File))
	if err != nil {
		return nil, err
	}
	return &checkOutput{Body: api.Check{
		Digest: doc.Digest(), Customers: len(doc.Customers()), Classes: len(doc.Classes()),
		Pools: len(doc.Pools()), Routes: len(doc.Routes()),
	}}, nil
}

func fileName(name string) string {
	if name == "" {
		return "document"
	}
	return name
}

func (srv *Server) putDocument(ctx context.Context, in *putInput) (*revisionOutput, error) {
	base, err := baseRevision(in.IfMatch, in.IfNoneMatch)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(in.RawBody, fileName(in.File))
	if err != nil {
		return nil, err
	}
	if in.Digest != "" && in.Digest != doc.Digest() {
		return nil, kind.New(kind.Invalid, "the text has the digest %s, not %s", doc.Digest(), in.Digest)
	}
	return srv.put(ctx, doc, repository.Change{BaseRevision: base, Source: in.RawBody, Operator: operatorOf(ctx), ID: in.Change})
}

// baseRevision returns the number of the revision that a change is based on, from the If-Match and If-None-Match
// headers. The number is 0 for the first document.
func baseRevision(match, noneMatch string) (uint64, error) {
	if match != "" {
		return api.ParseETag(match)
	}
	if noneMatch == "*" {
		return 0, nil
	}
	return 0, &failure{
		Detail: api.Detail{Kind: kind.Invalid, Ran: kind.RanNo, Message: "give the entity tag that was read as If-Match, or If-None-Match: * for the first document"},
		status: http.StatusPreconditionRequired,
	}
}

func (srv *Server) put(ctx context.Context, doc *document.Document, c repository.Change) (*revisionOutput, error) {
	ctx, cancel := changeContext(ctx)
	defer cancel()
	rev, err := srv.backend.Put(ctx, c)
	if err != nil {
		f := newChangeResponseError(err, rev.Change())
		srv.log.Warn("document change rejected", zap.String("operator", c.Operator), zap.String("digest", doc.Digest()),
			zap.String("change", rev.Change()), zap.String("kind", string(f.Detail.Kind)))
		return nil, f
	}
	srv.log.Info("document accepted", zap.String("operator", c.Operator), zap.String("digest", doc.Digest()),
		zap.String("change", rev.Change()), zap.Uint64("revision", rev.Number()))
	if srv.backend.OnDocumentAccepted != nil {
		srv.backend.OnDocumentAccepted(doc, rev)
	}
	return &revisionOutput{ETag: api.ETag(rev.Number()), Body: newRevision(rev)}, nil
}

type restoreInput struct {
	Digest  string `path:"digest" doc:"SHA-256 of the text"`
	IfMatch string `header:"If-Match" required:"true" doc:"Entity tag of the newest revision"`
}

func (srv *Server) restoreDocument(ctx context.Context, in *restoreInput) (*revisionOutput, error) {
	base, err := api.ParseETag(in.IfMatch)
	if err != nil {
		return nil, err
	}
	old, err := srv.getByDigest(ctx, &digestInput{Digest: in.Digest})
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(old.Body, "digest "+in.Digest)
	if err != nil {
		return nil, err
	}
	return srv.put(ctx, doc, repository.Change{BaseRevision: base, Source: old.Body, Operator: operatorOf(ctx)})
}

type historyInput struct {
	Before uint64 `query:"before" doc:"List revisions older than this number"`
	Limit  int    `query:"limit" default:"50" minimum:"1" maximum:"500" doc:"Greatest number of revisions"`
}

type historyOutput struct{ Body []api.Revision }

func (srv *Server) listRevisions(ctx context.Context, in *historyInput) (*historyOutput, error) {
	list, err := srv.backend.History(ctx, in.Before, min(in.Limit, historyLimit))
	if err != nil {
		return nil, err
	}
	out := &historyOutput{Body: make([]api.Revision, len(list))}
	for i, r := range list {
		out.Body[i] = newRevision(r)
	}
	return out, nil
}

type changeInput struct {
	Change string `path:"change" doc:"Id of the change"`
}

type changeOutput struct{ Body api.Outcome }

func (srv *Server) getChange(ctx context.Context, in *changeInput) (*changeOutput, error) {
	state, rev, err := srv.backend.Outcome(ctx, in.Change)
	if err != nil {
		return nil, err
	}
	out := &changeOutput{Body: api.Outcome{State: state}}
	if rev.Number() > 0 {
		r := newRevision(rev)
		out.Body.Revision = &r
	}
	return out, nil
}

func newRevision(r repository.Revision) api.Revision {
	return api.Revision{
		Number: r.Number(), Digest: r.Digest(), Size: r.Size(),
		At: r.At(), Operator: r.Operator(), Change: r.Change(),
	}
}
