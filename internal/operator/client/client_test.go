package client_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/admin"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/client"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/operator/key"
	"hickorypath/internal/operator/repository"
	"hickorypath/internal/policy/burn"
	"hickorypath/internal/state/store"
)

var ctx = context.Background()

// environment is an API server over the in-memory store.
type environment struct {
	memory *store.Memory
	live   *document.Active
	table  *key.Table
	server *httptest.Server
	wrap   func(http.Handler) http.Handler // injects faults between client and API; may be nil
}

// storeTimeout bounds a store call with its retries. It is long, so that a slow machine does not fail a test. Only a
// test that provokes the timeout uses a shorter one.
const storeTimeout = time.Minute

func newEnvironment(t *testing.T) *environment {
	t.Helper()
	return newEnvironmentWithin(t, storeTimeout)
}

// newEnvironmentWithin returns an environment whose store calls time out after whole, retries included.
func newEnvironmentWithin(t *testing.T, whole time.Duration) *environment {
	t.Helper()
	e := &environment{memory: store.NewMemory(clock.NewSystem()), live: document.NewActive(), table: key.NewTable()}
	backend := store.New(e.memory.Backend(), store.Options{
		Clock: clock.NewSystem(), Rand: rand.New(rand.NewPCG(1, 2)),
		AttemptTimeout: 20 * time.Millisecond, TotalTimeout: whole, Rate: 10_000,
		Budgets: map[store.Use]float64{store.UseDocument: 10_000, store.UseKey: 10_000},
	})
	v := repository.New(repository.Options{KV: repository.NewKV(backend), Now: time.Now})
	a := admin.New(admin.Options{
		Version: "test",
		Tokens:  []admin.Token{admin.NewToken("maria", "m-secret"), admin.NewToken("jon", "j-secret"), admin.NewToken("unset", "")},
		Backend: admin.Backend{
			ActiveDocument: e.live.Load, Load: v.Load, Put: v.Put, History: v.History, FindByDigest: v.FindByDigest, Source: v.Source, Outcome: v.Outcome,
			OnDocumentAccepted: func(doc *document.Document, rev repository.Revision) { e.live.Apply(doc, rev.Number()) },
			Issue:              v.Issue, Withdraw: v.Withdraw, Key: v.Key, Keys: v.Keys,
			OnKeyChange: func(_ context.Context, rec key.Record) { e.table.Put(rec) },
			Status: func(context.Context) (api.Status, error) {
				return api.Status{Host: "h1", Hosts: []api.Host{{ID: "h1", State: "live"}}}, nil
			},
			Burn: func(context.Context, int) (burn.Report, error) { return burnReport(), nil },
		},
	})
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := a.Handler()
		if e.wrap != nil {
			h = e.wrap(h)
		}
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func burnReport() burn.Report {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	b := burn.New(burn.Config{})
	for i := range 40 {
		b.Add(now, burn.Call{Customer: "<laredo>", Class: "query", Pool: "asesor", OutputTokens: 10, Missed: i%2 == 0})
	}
	return b.Report(now, 10)
}

func (e *environment) client(token string) *client.Client {
	return client.New(client.Options{URL: e.server.URL, Token: token, HTTP: e.server.Client(), Pause: func(context.Context, time.Duration) {}})
}

func text(customer string) []byte {
	return []byte(`{ // for ` + customer + `
"customers":[{"name":"` + customer + `"}],"classes":[],"pools":[],"routes":[]}`)
}

func TestTokens(t *testing.T) {
	e := newEnvironment(t)
	cases := []struct {
		name, token string
		want        kind.Kind
	}{
		{"known", "m-secret", kind.Missing}, // no document accepted yet
		{"wrong", "m-secreT", kind.Unauthorized},
		{"none", "", kind.Unauthorized}, // must not match the operator whose secret is unset
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := e.client(c.token).Document(ctx)
			is.Equal(kind.Of(err), c.want)
		})
	}
}

func TestDocumentSession(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	c := e.client("m-secret")
	check, err := c.Check(ctx, text("laredo"), "trial.jsonc")
	is.NoErr(err)
	is.Equal(check.Customers, 1)
	first, err := c.Put(ctx, client.DocumentChange{Source: text("laredo"), Digest: check.Digest})
	is.NoErr(err)
	is.Equal(first.Operator, "maria")
	got, err := c.Document(ctx)
	is.NoErr(err)
	is.Equal(string(got.Source()), string(text("laredo"))) // comments of the document are kept
	_, err = c.Put(ctx, client.DocumentChange{BaseRevision: 1, Source: text("noja"), Digest: check.Digest})
	is.Equal(kind.Of(err), kind.Invalid) // the source does not have the given digest
	second, err := c.Put(ctx, client.DocumentChange{BaseRevision: 1, Source: text("noja")})
	is.NoErr(err)
	is.Equal(second.Number, uint64(2))
	third, err := c.Restore(ctx, first.Digest, 2)
	is.NoErr(err)
	is.Equal(third.Digest, first.Digest)
	list, err := c.History(ctx, 0, 10)
	is.NoErr(err)
	is.Equal(len(list), 3)
	out, err := c.Outcome(ctx, second.Change)
	is.NoErr(err)
	is.Equal(out.State, "applied")
	_, rev := e.live.Load()
	is.Equal(rev, uint64(3))
}

func TestBadDocumentKeepsActiveDocument(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	c := e.client("m-secret")
	_, err := c.Put(ctx, client.DocumentChange{Source: text("laredo")})
	is.NoErr(err)
	_, err = c.Put(ctx, client.DocumentChange{BaseRevision: 1, Source: []byte(`{"customer":[]}`), File: "bad.jsonc"})
	is.Equal(kind.Of(err), kind.Document)
	var f *client.APIError
	is.True(errors.As(err, &f))
	is.Equal(len(f.Faults()), 5)
	is.True(strings.HasPrefix(f.Error(), "bad.jsonc:1:1: "))
	got, err := c.Document(ctx)
	is.NoErr(err)
	is.Equal(got.Revision(), uint64(1))
}

func TestConcurrentChangesConflict(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	_, err := e.client("m-secret").Put(ctx, client.DocumentChange{Source: text("laredo")})
	is.NoErr(err)
	_, err = e.client("j-secret").Put(ctx, client.DocumentChange{BaseRevision: 1, Source: text("noja")})
	is.NoErr(err)
	_, err = e.client("m-secret").Put(ctx, client.DocumentChange{BaseRevision: 1, Source: text("santona")})
	is.Equal(kind.Of(err), kind.Conflict)
	is.True(strings.Contains(err.Error(), "by jon") && strings.Contains(err.Error(), "by maria"))
}

// TestLostAnswers covers responses of the store or of the API that are lost: the client must find out the outcome of
// the change or report that the outcome is unknown.
func TestLostAnswers(t *testing.T) {
	cutResponse := func(after bool) func(e *environment) {
		return func(e *environment) {
			e.wrap = func(h http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method != http.MethodPut {
						h.ServeHTTP(w, r)
						return
					}
					if after {
						h.ServeHTTP(httptest.NewRecorder(), r)
					}
					panic(http.ErrAbortHandler)
				})
			}
		}
	}
	cases := []struct {
		name  string
		whole time.Duration // bounds a store call with its retries
		fault func(e *environment)
		want  kind.Kind
		state string
	}{
		{"store responses lost after the write took effect", storeTimeout, func(e *environment) { e.memory.SetFaults(store.Faults{LoseReplies: 5}) }, "", "applied"},
		{"store does not respond", time.Second, func(e *environment) { e.memory.SetFaults(store.Faults{Silent: true}) }, kind.Store, ""},
		{"API response cut after the change took effect", storeTimeout, cutResponse(true), "", "applied"},
		{"API request cut before the change took effect", storeTimeout, cutResponse(false), kind.OutcomeUnknown, "open"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEnvironmentWithin(t, c.whole)
			operator := e.client("m-secret")
			_, err := operator.Put(ctx, client.DocumentChange{Source: text("laredo")})
			is.NoErr(err)
			c.fault(e)
			rev, err := operator.Put(ctx, client.DocumentChange{BaseRevision: 1, Source: text("noja")})
			is.Equal(kind.Of(err), c.want)
			_, err2 := operator.ActiveDocument(ctx)
			is.NoErr(err2) // a host serves its active document whatever the state of the store
			e.memory.SetFaults(store.Faults{})
			if c.state == "" {
				return
			}
			change := rev.Change
			var f *client.APIError
			if errors.As(err, &f) {
				change = f.Change()
			}
			out, err := operator.Outcome(ctx, change)
			is.NoErr(err)
			is.Equal(out.State, c.state)
		})
	}
}

func TestKeySession(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	c := e.client("m-secret")
	_, err := c.Issue(ctx, "laredo")
	is.Equal(kind.Of(err), kind.Missing) // no document defines the customer
	_, err = c.Put(ctx, client.DocumentChange{Source: text("laredo")})
	is.NoErr(err)
	issued, err := c.Issue(ctx, "laredo")
	is.NoErr(err)
	customer, _, err := e.table.Lookup(issued.Clear)
	is.NoErr(err)
	is.Equal(customer, "laredo")
	gone, stop := e.table.Watch(issued.ID)
	defer stop()
	_, err = c.Withdraw(ctx, issued.ID)
	is.NoErr(err)
	<-gone
	list, err := c.Keys(ctx, "laredo")
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].Clear, "") // the clear key is returned only when it is issued
	is.True(list[0].Withdrawn != nil)
	_, err = c.Withdraw(ctx, "0000000000000000")
	is.Equal(kind.Of(err), kind.Missing)
}

func TestPages(t *testing.T) {
	e := newEnvironment(t)
	cases := []struct {
		name, path, token string
		status            int
		want              string
	}{
		{"health", "/healthz", "", http.StatusOK, "ok"},
		{"ready", "/readyz", "", http.StatusOK, "ready"},
		{"burn", "/burn", "m-secret", http.StatusOK, "&lt;laredo&gt;"},
		{"burn without token", "/burn", "", http.StatusUnauthorized, "unauthorized"},
		{"docs", "/docs", "m-secret", http.StatusOK, "/v1/document/check"},
		{"description", "/openapi.json", "m-secret", http.StatusOK, "put-document"},
		{"usage that the host does not serve", "/v1/usage", "m-secret", http.StatusNotFound, "does not serve usage"},
		{"bad query", "/v1/burn?limit=0", "m-secret", http.StatusUnprocessableEntity, `"kind":"invalid"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest(http.MethodGet, c.path, nil)
			if c.token != "" {
				r.SetBasicAuth("", c.token)
			}
			w := httptest.NewRecorder()
			e.server.Config.Handler.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.want))
			is.True(!strings.Contains(w.Body.String(), "unpkg")) // pages load nothing from external sites
		})
	}
}

func TestPutNeedsPrecondition(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	r := httptest.NewRequest(http.MethodPut, "/v1/document", strings.NewReader(string(text("laredo"))))
	r.Header.Set("Authorization", "Bearer m-secret")
	w := httptest.NewRecorder()
	e.server.Config.Handler.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusPreconditionRequired)
}

// TestPasswordOnlyReads guards against cross-site request forgery: a browser also sends the stored password with
// requests that other sites trigger, so a password must not authorize a change.
func TestPasswordOnlyReads(t *testing.T) {
	is := is.New(t)
	e := newEnvironment(t)
	_, err := e.client("m-secret").Put(ctx, client.DocumentChange{Source: text("laredo")})
	is.NoErr(err)
	r := httptest.NewRequest(http.MethodPost, "/v1/keys", strings.NewReader(`{"customer":"laredo"}`))
	r.SetBasicAuth("", "m-secret")
	w := httptest.NewRecorder()
	e.server.Config.Handler.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusUnauthorized)
	is.Equal(e.table.Len(), 0)
}
