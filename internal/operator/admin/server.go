// Package admin implements the HTTP API for operators: the configuration document, customers' API keys, host
// status, usage and the burn report.
//
// All dependencies are function fields, so that the API can be connected to a host or to a test. Operators
// authenticate with their own tokens, never with customers' API keys.
//
// The active document of a host is the one that the host applies to requests; the texts of the API call it
// the document in force.
package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"go.uber.org/zap"

	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/policy/burn"
)

// Backend holds the functions that the API calls. When Status, Usage or Burn is nil, the API answers that the host
// does not serve it.
type Backend struct {
	// ActiveDocument returns the active document of this host and its revision. The document is nil until the host
	// has applied one.
	ActiveDocument func() (doc *document.Document, revision uint64)

	Load         func(ctx context.Context) (source []byte, rev repository.Revision, err error)
	Put          func(ctx context.Context, c repository.Change) (repository.Revision, error)
	History      func(ctx context.Context, before uint64, limit int) ([]repository.Revision, error)
	FindByDigest func(ctx context.Context, digest string) (repository.Revision, error)
	Source       func(ctx context.Context, rev repository.Revision) ([]byte, error)
	Outcome      func(ctx context.Context, change string) (state string, rev repository.Revision, err error)
	// OnDocumentAccepted is called with each accepted document, to apply the document on this host and replicate it
	// to other hosts. It may be nil.
	OnDocumentAccepted func(doc *document.Document, rev repository.Revision)

	Issue    func(ctx context.Context, customer string) (clear string, rec key.Record, err error)
	Withdraw func(ctx context.Context, id string) (key.Record, error)
	Key      func(ctx context.Context, id string) (key.Record, error)
	Keys     func(ctx context.Context) ([]key.Record, error)
	// OnKeyChange is called with each issued or withdrawn key, to apply the key on this host and replicate it to other
	// hosts. It may be nil.
	OnKeyChange func(ctx context.Context, rec key.Record)

	Status func(ctx context.Context) (api.Status, error)
	Usage  func(ctx context.Context, q api.UsageQuery) ([]api.Window, error)
	Burn   func(ctx context.Context, limit int) (burn.Report, error)

	Ready   func() error // returns nil when the host accepts requests; a nil Ready counts as ready
	Metrics func(w http.ResponseWriter, r *http.Request)
}

// Options holds the dependencies of a Server.
type Options struct {
	Backend Backend
	Tokens  []Token
	Version string
	Log     *zap.Logger
}

// changeTimeout bounds the time of a change, which continues after its client has disconnected.
const changeTimeout = 20 * time.Second

// Server is the HTTP API for operators.
type Server struct {
	backend Backend
	tokens  tokens
	log     *zap.Logger
	mux     *http.ServeMux
}

// New returns a Server with all operations registered.
func New(o Options) *Server {
	srv := &Server{backend: o.Backend, tokens: newTokens(o.Tokens), log: o.Log, mux: http.NewServeMux()}
	if srv.log == nil {
		srv.log = zap.NewNop()
	}
	config := huma.DefaultConfig("hickorypath operators' API", o.Version)
	config.DocsPath = "" // the library's documentation page loads scripts from external sites
	config.CreateHooks = nil
	config.Components.SecuritySchemes = map[string]*huma.SecurityScheme{
		"token": {Type: "http", Scheme: "bearer", Description: "An operator's token"},
	}
	config.Security = []map[string][]string{{"token": {}}}
	h := humago.New(srv.mux, config)
	srv.registerDocument(h)
	srv.registerKeys(h)
	srv.registerState(h)
	srv.registerPages(h)
	return srv
}

// Handler returns the HTTP handler of the API, which authenticates operators.
func (srv *Server) Handler() http.Handler { return srv.authenticate(srv.mux) }

// changeContext returns a context for a change that the request of ctx makes. The context keeps the values of ctx, is
// not canceled with ctx and expires after changeTimeout.
func changeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), changeTimeout)
}

// register adds an operation to the API and converts the errors of fn to error responses.
func register[I, O any](h huma.API, op huma.Operation, fn func(context.Context, *I) (*O, error)) {
	huma.Register(h, op, func(ctx context.Context, in *I) (*O, error) {
		out, err := fn(ctx, in)
		if err != nil {
			return nil, newResponseError(err)
		}
		return out, nil
	})
}
