package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/client"
	standinengine "hickorypath/internal/standin/engine"
)

// testTimeout is the longest wait in these tests. It is not a latency target.
const testTimeout = 60 * time.Second

// testCluster is a running demo with one key for each customer.
type testCluster struct {
	*demo
	keys map[string]string
	http *http.Client
}

func newTestCluster(t *testing.T) *testCluster {
	return newTestClusterOfSize(t, demoEngines)
}

// testEngine configures engines like those of the demo, but faster.
var testEngine = standinengine.Options{Slots: demoSlots, TokenInterval: 2 * time.Millisecond, PrefillPerToken: demoPrefill}

// Lease and usage window short enough for a change of lease holder and for usage reports within seconds.
const (
	testLease  = 2 * time.Second
	testWindow = 1 * time.Second
)

// newTestClusterOfSize starts three hosts and count engines in each pool.
func newTestClusterOfSize(t *testing.T, count int) *testCluster {
	return newTestClusterWithEngine(t, testEngine, count)
}

func newTestClusterWithEngine(t *testing.T, engine standinengine.Options, count int) *testCluster {
	t.Helper()
	return newTestClusterWithDocument(t, engine, count, demoDocument)
}

// newTestClusterWithDocument is like newTestClusterWithEngine, but applies the document source.
func newTestClusterWithDocument(t *testing.T, engine standinengine.Options, count int, source []byte) *testCluster {
	t.Helper()
	return newTestClusterWithFlags(t, demoFlags{engine: engine, enginesPerPool: count, document: source})
}

// newTestClusterWithFlags starts three hosts.
func newTestClusterWithFlags(t *testing.T, f demoFlags) *testCluster {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	f.listen, f.admin, f.hosts, f.zones, f.lease, f.window = anyPort, anyPort, 3, 3, testLease, testWindow
	d, err := newDemo(&f, zap.NewNop(), io.Discard)
	is.NoErr(err)
	d.start()
	t.Cleanup(d.close)
	w := &testCluster{demo: d, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(w.http.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	w.keys, err = d.prepare(ctx)
	is.NoErr(err)
	return w
}

func (w *testCluster) admin(n int) *client.Client {
	return client.New(client.Options{URL: w.adminURL(n), Token: demoToken})
}

// call is one request that a test sends.
type call struct {
	method, path, body string
	key                string
	header             http.Header
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

type refusal struct {
	Error struct {
		Kind kind.Kind `json:"kind"`
		Ran  kind.Ran  `json:"ran"`
		Type string    `json:"type"`
	} `json:"error"`
}

func (a answer) refusal() refusal {
	var r refusal
	_ = json.Unmarshal(a.body, &r)
	return r
}

func (w *testCluster) send(ctx context.Context, host int, c call) answer {
	return w.sendTo(ctx, w.callerURL(host), c)
}

func (w *testCluster) sendTo(ctx context.Context, base string, c call) answer {
	req, err := http.NewRequestWithContext(ctx, c.method, base+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	for name, values := range c.header {
		req.Header[name] = values
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	res, err := w.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, body: body, err: err}
}

func chatBody(model string, stream bool, texts ...string) string {
	messages := make([]map[string]string, 0, len(texts))
	for _, text := range texts {
		messages = append(messages, map[string]string{"role": "user", "content": text})
	}
	data, _ := json.Marshal(map[string]any{"model": model, "stream": stream, "messages": messages})
	return string(data)
}

func (w *testCluster) upstreamCalls() int {
	n := len(w.ledger.Calls())
	for _, e := range w.site.Engines() {
		n += len(e.Calls())
	}
	return n
}

func TestRefusalsReachNoUpstream(t *testing.T) {
	w := newTestCluster(t)
	good := chatBody("asesor", false, "hello")
	chat := "/v1/chat/completions"
	cases := []struct {
		name   string
		call   call
		status int
		kind   kind.Kind
	}{
		{"no key", call{http.MethodPost, chat, good, "", nil}, 401, kind.NoKey},
		{"no key and an unknown model", call{http.MethodPost, chat, chatBody("none", false, "x"), "", nil}, 401, kind.NoKey},
		{"no key and a body that is not JSON", call{http.MethodPost, chat, "{", "", nil}, 401, kind.NoKey},
		{"no key and no messages", call{http.MethodPost, chat, `{"model":"asesor","messages":[]}`, "", nil}, 401, kind.NoKey},
		{"no key and no model", call{http.MethodPost, chat, `{"messages":[]}`, "", nil}, 401, kind.NoKey},
		{"unknown key", call{http.MethodPost, chat, good, "hp-none", nil}, 401, kind.BadKey},
		{"unknown key and a body that is not JSON", call{http.MethodPost, chat, "{", "hp-none", nil}, 401, kind.BadKey},
		{"unknown key on an open route", call{http.MethodGet, "/help", "", "hp-none", nil}, 401, kind.BadKey},
		{"another customer's route", call{http.MethodPost, chat, chatBody("libro", false, "x"), w.keys[demoOtherCustomer], nil}, 403, kind.Forbidden},
		{"another customer's route and no messages", call{http.MethodPost, chat, `{"model":"libro"}`, w.keys[demoOtherCustomer], nil}, 403, kind.Forbidden},
		{"another customer's path", call{http.MethodPost, "/dues", "{}", w.keys[demoOtherCustomer], nil}, 403, kind.Forbidden},
		{"unknown model", call{http.MethodPost, chat, chatBody("none", false, "x"), w.keys[demoCustomer], nil}, 404, kind.NoModel},
		{"unknown path", call{http.MethodGet, "/none", "", w.keys[demoCustomer], nil}, 404, kind.NoRoute},
		{"wrong method", call{http.MethodGet, chat, "", w.keys[demoCustomer], nil}, 405, kind.MethodNotAllowed},
		{"wrong method of a service", call{http.MethodDelete, "/dues", "", w.keys[demoCustomer], nil}, 405, kind.MethodNotAllowed},
		{"not JSON", call{http.MethodPost, chat, "{", w.keys[demoCustomer], nil}, 400, kind.Invalid},
		{"no messages", call{http.MethodPost, chat, `{"model":"asesor","messages":[]}`, w.keys[demoCustomer], nil}, 400, kind.Invalid},
		{"no model", call{http.MethodPost, chat, `{"messages":[]}`, w.keys[demoCustomer], nil}, 400, kind.Invalid},
		{"body over the limit", call{http.MethodPost, "/help", strings.Repeat("x", 65537), "", nil}, 413, kind.TooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for host := range w.hosts {
				before := w.upstreamCalls()
				a := w.send(t.Context(), host, c.call)
				is.NoErr(a.err)
				is.Equal(a.status, c.status)
				is.Equal(a.refusal().Error.Kind, c.kind)
				is.Equal(a.refusal().Error.Ran, kind.RanNo)
				is.True(a.header.Get("X-Request-Id") != "") // every answer has a request ID
				is.Equal(w.upstreamCalls(), before)         // no upstream received a request
			}
		})
	}
}

func TestOpenRouteAnswersWithoutKey(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t)
	a := w.send(t.Context(), 1, call{method: http.MethodGet, path: "/help"})
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
}

func TestClientLibrary(t *testing.T) {
	w := newTestCluster(t)
	newClient := func(key string) openai.Client {
		return openai.NewClient(option.WithBaseURL(w.callerURL(0)+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	}
	params := openai.ChatCompletionNewParams{
		Model:    "asesor",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Why do dues differ in May?")},
	}
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		c := newClient(w.keys[demoCustomer])
		res, err := c.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		is.True(res.Choices[0].Message.Content != "")
		is.True(res.Usage.CompletionTokens > 0)
	})
	for _, usage := range []bool{false, true} {
		t.Run("streamed", func(t *testing.T) {
			is := is.New(t)
			c := newClient(w.keys[demoCustomer])
			params := params
			params.StreamOptions.IncludeUsage = openai.Bool(usage)
			s := c.Chat.Completions.NewStreaming(t.Context(), params)
			acc := openai.ChatCompletionAccumulator{}
			for s.Next() {
				acc.AddChunk(s.Current())
			}
			is.NoErr(s.Err())
			is.Equal(acc.Choices[0].FinishReason, "stop")
			is.Equal(acc.Usage.CompletionTokens > 0, usage) // the usage is sent only if the request asks for it
		})
	}
	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		c := newClient("hp-none")
		_, err := c.Chat.Completions.New(t.Context(), params)
		var apiErr *openai.Error
		is.True(errors.As(err, &apiErr))
		is.Equal(apiErr.StatusCode, http.StatusUnauthorized)
		is.Equal(apiErr.Type, "authentication_error")
	})
	t.Run("retried", func(t *testing.T) {
		is := is.New(t)
		for _, e := range w.site.Engines() {
			e.InjectFault("reject", -1)
		}
		var statuses []int
		restore := func(r *http.Request, next option.MiddlewareNext) (*http.Response, error) {
			res, err := next(r)
			if err == nil {
				statuses = append(statuses, res.StatusCode)
			}
			for _, e := range w.site.Engines() {
				e.Restore()
			}
			return res, err
		}
		c := openai.NewClient(option.WithBaseURL(w.callerURL(0)+"/v1"), option.WithAPIKey(w.keys[demoCustomer]), option.WithMiddleware(restore))
		res, err := c.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		is.True(res.Choices[0].Message.Content != "")
		is.Equal(statuses[0], http.StatusServiceUnavailable)
		is.Equal(statuses[len(statuses)-1], http.StatusOK)
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		c := newClient(w.keys[demoOtherCustomer])
		page, err := c.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(len(page.Data), 1) // the model libro belongs to another customer
	})
}

func TestNoUpstreamSeesAKey(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t)
	key := w.keys[demoCustomer]
	leak := http.Header{
		"Cookie": {"session=" + key}, "X-Api-Key": {key}, "Api-Key": {key},
		"X-Trace": {"a " + key}, "Proxy-Authorization": {"Bearer " + key},
	}
	calls := []call{
		{http.MethodPost, "/v1/chat/completions?key=" + key, chatBody("asesor", false, "a"), key, leak},
		{http.MethodPost, "/v1/chat/completions?key=" + key, chatBody("asesor", true, "b"), key, leak},
		{http.MethodGet, "/dues?api_key=" + key + "&a=1", "", key, leak},
		{http.MethodPost, "/dues?api_key=" + key, `{"member":"Ana"}`, key, leak},
		{http.MethodGet, "/help?k=" + key, "", key, leak},
	}
	for _, c := range calls {
		a := w.send(t.Context(), 0, c)
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
	for _, e := range w.site.Engines() {
		for _, r := range e.Calls() {
			is.True(!containsKey(key, r.Query(), r.Header(), r.Body()))
		}
	}
	is.Equal(len(w.ledger.Calls()), 3)
	for _, c := range w.ledger.Calls() {
		is.True(!containsKey(key, c.Path()+c.Query(), c.Header(), c.Body()))
	}
}

func containsKey(key, line string, header http.Header, body []byte) bool {
	var all bytes.Buffer
	all.WriteString(line)
	_ = header.Write(&all)
	all.Write(body)
	return strings.Contains(all.String(), key)
}

func TestWithdrawnKeyEndsRunningCalls(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, e := range w.site.Engines() {
		e.Stall() // every stream stays open until the test ends it
	}
	ended := make(chan answer, len(w.hosts))
	for host := range w.hosts {
		go func() {
			ended <- w.send(ctx, host, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", true, "x"), w.keys[demoCustomer], nil})
		}()
	}
	w.waitUntil(ctx, t, func() bool { return w.upstreamCalls() == len(w.hosts) })
	keys, err := w.admin(0).Keys(ctx, demoCustomer)
	is.NoErr(err)
	withdrawn := time.Now()
	_, err = w.admin(1).Withdraw(ctx, keys[0].ID)
	is.NoErr(err)
	for range w.hosts {
		a := <-ended
		is.True(a.err != nil || a.refusal().Error.Kind == kind.Withdrawn)
	}
	t.Logf("the streams of all hosts ended within %s of the withdrawal", time.Since(withdrawn))
	for host := range w.hosts {
		a := w.send(ctx, host, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", false, "x"), w.keys[demoCustomer], nil})
		is.Equal(a.status, http.StatusUnauthorized)
		is.Equal(a.refusal().Error.Kind, kind.Withdrawn)
	}
}

// waitUntil polls until done returns true. It fails the test when ctx ends first.
func (w *testCluster) waitUntil(ctx context.Context, t *testing.T, done func() bool) {
	t.Helper()
	tick := time.NewTicker(demoPollInterval)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatal("the condition was not met in time")
		case <-tick.C:
		}
	}
}

func TestShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	w := newTestCluster(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	const callers = 12
	results := make(chan answer, 10*callers)
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for n := range callers {
		wg.Go(func() {
			for open := true; open; {
				select {
				case <-stopped:
					open = false
				default:
				}
				host := n % len(w.hosts)
				if w.hosts[host].leaving.Load() {
					host = (host + 1) % len(w.hosts) // like a load balancer that has noticed the shutdown
				}
				results <- w.send(ctx, host, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", n%2 == 0, "x"), w.keys[demoCustomer], nil})
			}
		})
	}
	w.waitUntil(ctx, t, func() bool { return w.upstreamCalls() >= callers/2 })
	w.stopHosts[0]()
	w.waitUntil(ctx, t, func() bool { return w.hosts[0].leaving.Load() })
	close(stopped)
	wg.Wait()
	close(results)
	for a := range results {
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
	}
}
