package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"
	"github.com/tidwall/gjson"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	standinengine "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/upstream"
)

// streamedAnswer is a streamed answer as the caller received it.
type streamedAnswer struct {
	status int
	text   string
	whole  bool // the answer ended with the event [DONE]
	body   string
}

// stream requests a streamed answer and calls onEvent after each event with the number of events so far.
func (w *testCluster) stream(ctx context.Context, t *testing.T, host int, text string, onEvent func(n int)) streamedAnswer {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.callerURL(host)+"/v1/chat/completions", strings.NewReader(chatBody("asesor", true, text)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+w.keys[demoCustomer])
	res, err := w.http.Do(req)
	is.NoErr(err)
	defer res.Body.Close()
	s := streamedAnswer{status: res.StatusCode}
	lines := bufio.NewScanner(res.Body)
	for n := 0; lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			s.body += lines.Text()
			continue
		}
		if data == "[DONE]" {
			s.whole = true
			continue
		}
		s.text += gjson.Get(data, "choices.0.delta.content").String()
		n++
		onEvent(n)
	}
	return s
}

// running returns the engines that run a request whose body contains mark and have not finished it.
func (w *testCluster) running(mark string) []*standinengine.Engine {
	var list []*standinengine.Engine
	for _, e := range w.site.Engines() {
		for _, r := range e.Calls() {
			if r.Ran() && !r.Done() && strings.Contains(string(r.Body()), mark) {
				list = append(list, e)
			}
		}
	}
	return list
}

func TestStreamSurvivesItsEngine(t *testing.T) {
	cases := []struct {
		name  string
		fault func(e *standinengine.Engine)
	}{
		{"crash", (*standinengine.Engine).Crash},
		{"silent connection", (*standinengine.Engine).Silence},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestCluster(t)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			want := w.stream(ctx, t, 0, "a long reconciliation", func(int) {})
			is.True(want.whole)
			got := w.stream(ctx, t, 0, "a long reconciliation", func(n int) {
				if n == 5 {
					for _, e := range w.running("a long reconciliation") {
						c.fault(e)
					}
				}
			})
			is.Equal(got.status, http.StatusOK)
			is.True(got.whole)
			is.Equal(got.text, want.text) // the text contains every token once, in order
		})
	}
}

func TestNonRepeatableCallRunsAtMostOnce(t *testing.T) {
	cases := []struct {
		name  string
		fault func(w *testCluster)
		kind  kind.Kind
		ran   kind.Ran
		times int
	}{
		{"answer cut", func(w *testCluster) { w.ledger.InjectFault("cut", 1) }, kind.Lost, kind.RanMaybe, 1},
		{"rejected", func(w *testCluster) { w.ledger.InjectFault("reject", -1) }, kind.Rejected, kind.RanNo, 0},
		{"failed with a status that promises the opposite", func(w *testCluster) { w.ledger.InjectFault("fail", -1) }, kind.Failed, kind.RanMaybe, 1},
		{"crashed before", func(w *testCluster) { w.ledger.Crash() }, kind.Lost, kind.RanMaybe, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestCluster(t)
			c.fault(w)
			a := w.send(t.Context(), 0, call{http.MethodPost, "/dues", `{"member":"Ana"}`, w.keys[demoCustomer], nil})
			is.NoErr(a.err)
			is.Equal(a.refusal().Error.Kind, c.kind)
			is.Equal(a.refusal().Error.Ran, c.ran)
			is.Equal(kind.PromisesNotRun(a.status), c.ran == kind.RanNo)
			is.Equal(w.ledger.Executed("/dues", `{"member":"Ana"}`), c.times)
		})
	}
}

// callsWith returns how many requests with mark in their bodies the engines have read.
func (w *testCluster) callsWith(mark string) (n int) {
	for _, e := range w.site.Engines() {
		n += lo.CountBy(e.Calls(), func(c *upstream.Call) bool { return strings.Contains(string(c.Body()), mark) })
	}
	return n
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	is := is.New(t)
	const (
		engines = 9
		resends = 20
		mark    = "poison letter"
	)
	w := newTestClusterOfSize(t, engines)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, e := range w.site.Engines() {
		e.SetCrashMark(mark)
	}
	for n := range resends {
		a := w.send(ctx, n%len(w.hosts), call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", n%2 == 0, mark), w.keys[demoCustomer], nil})
		is.NoErr(a.err)
		is.True(a.status != http.StatusOK)
		innocent := w.send(ctx, n%len(w.hosts), call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", false, "an innocent letter"), w.keys[demoOtherCustomer], nil})
		is.NoErr(innocent.err)
		is.Equal(innocent.status, http.StatusOK)
	}
	crashes := w.callsWith(mark)
	is.Equal(min(crashes, 3), min(crashes, 2)) // at most two crashes, however often the request is sent again
}

// TestMessageCrashesOneEngineAfterTheOther guards against requests that share nothing but a message and crash the engines one after the
// other, and against sound requests that are refused with them.
func TestMessageCrashesOneEngineAfterTheOther(t *testing.T) {
	const (
		engines    = 9
		rounds     = 20
		maxCrashes = 5
		mark       = "a document that crashes engines"
	)
	cases := []struct {
		name string
		bad  func(n int) []string
	}{
		{"first message", func(n int) []string { return []string{mark, fmt.Sprint("question ", n)} }},
		{"message in the middle", func(n int) []string { return []string{"instructions", mark, fmt.Sprint("question ", n)} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newTestClusterOfSize(t, engines)
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			for _, e := range w.site.Engines() {
				e.SetCrashMark(mark)
			}
			served := 0
			for n := range rounds {
				host, streams := n%len(w.hosts), n%2 == 0
				a := w.send(ctx, host, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", streams, c.bad(n)...), w.keys[demoCustomer], nil})
				is.NoErr(a.err)
				is.True(a.status != http.StatusOK)
				sound := w.send(ctx, host, call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", streams, "instructions", "another document", fmt.Sprint("question ", n)), w.keys[demoCustomer], nil})
				is.NoErr(sound.err)
				if sound.status == http.StatusOK {
					served++
				}
			}
			crashes := w.callsWith(mark)
			t.Logf("%d engines crashed, %d of %d sound requests were served", crashes, served, rounds)
			if crashes > maxCrashes || served != rounds {
				t.Errorf("at most %d engines may crash, all sound requests are to be served", maxCrashes)
			}
		})
	}
}

// TestReclaimedZoneLosesNoRequest reclaims the reclaimable upstreams of a zone while they run streams that last longer
// than the notice before the reclaim. Every stream must still be answered completely.
func TestReclaimedZoneLosesNoRequest(t *testing.T) {
	is := is.New(t)
	const (
		streams = 12
		notice  = 300 * time.Millisecond
	)
	slow := testEngine
	slow.TokenInterval = 20 * time.Millisecond
	w := newTestClusterWithEngine(t, slow, 2)
	for range 2 {
		is.NoErr(w.site.AddEngine("asesor", "norte-c", true))
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	w.waitUntil(ctx, t, func() bool { // until the first host has read the list of upstreams
		return len(w.knownUpstreams(ctx, "asesor")) == 4
	})
	answers := make(chan answer, streams)
	for n := range streams {
		go func() {
			c := call{http.MethodPost, "/v1/chat/completions", chatBody("asesor", true, fmt.Sprint("draft ", n)), w.keys[demoCustomer], http.Header{"Hickorypath-Class": {"draft"}}}
			answers <- w.send(ctx, n%len(w.hosts), c)
		}()
	}
	w.waitUntil(ctx, t, func() bool { return w.reclaimableRunning() > 0 })
	w.site.Provision().Reclaim("norte-c", notice)
	for range streams {
		a := <-answers
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.HasSuffix(string(a.body), "data: [DONE]\n\n")) // the answer is complete
	}
}

// knownUpstreams returns the upstreams of a pool that the first host knows.
func (w *testCluster) knownUpstreams(ctx context.Context, pool string) []api.Upstream {
	s, err := w.admin(0).Status(ctx)
	if err != nil {
		return nil
	}
	return lo.Filter(s.Upstreams, func(u api.Upstream, _ int) bool { return u.Pool == pool })
}

// reclaimableRunning returns the number of requests that are running on reclaimable upstreams.
func (w *testCluster) reclaimableRunning() int {
	reclaimable := map[string]bool{}
	for _, u := range w.site.Provision().Upstreams() {
		reclaimable[u.ID] = u.Reclaimable
	}
	n := 0
	for _, u := range w.site.Upstreams() {
		if reclaimable[u.ID] {
			n += u.Engine.Load().Running
		}
	}
	return n
}
