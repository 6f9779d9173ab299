package lease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/standin/knownfailure"
	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/state/lease"
)

// senderURL names the environment variable with the URL that the test binary sends a request to until it is killed.
const senderURL = "LEASE_TEST_SENDER_URL"

// TestAbandonedCallArrivesAfterAPartition guards against a call that a partition holds up and that arrives after its sender has given
// it up, when another host may hold the lease.
func TestAbandonedCallArrivesAfterAPartition(t *testing.T) {
	if url := os.Getenv(senderURL); url != "" {
		_ = send(t.Context(), url, time.Hour)
		return
	}
	cases := []struct {
		name   string
		giveUp func(t *testing.T, url string, link *proxy.Proxy) // sends a request, which is held up, and gives it up
	}{
		{"no response in time", func(t *testing.T, url string, _ *proxy.Proxy) {
			is.New(t).True(send(t.Context(), url, 300*time.Millisecond) != nil)
		}},
		{"canceled", func(t *testing.T, url string, link *proxy.Proxy) {
			ctx, cancel := context.WithCancel(t.Context())
			go func() { link.AwaitHeld(true); cancel() }()
			is.New(t).True(send(ctx, url, time.Hour) != nil)
		}},
		{"process killed", func(t *testing.T, url string, link *proxy.Proxy) { endSender(t, url, link, syscall.SIGKILL) }},
		{"process ended", func(t *testing.T, url string, link *proxy.Proxy) { endSender(t, url, link, syscall.SIGTERM) }},
		{"process stopped", func(t *testing.T, url string, link *proxy.Proxy) { // nothing in it can reset the connection
			sender := startSender(t, url, link)
			is := is.New(t)
			is.NoErr(sender.Process.Signal(syscall.SIGSTOP))
			link.SetMode(proxy.Pass)
			link.AwaitHeld(false)
			is.NoErr(sender.Process.Kill())
			is.True(sender.Wait() != nil)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
			defer srv.Close()
			link, err := proxy.New(strings.TrimPrefix(srv.URL, "http://"))
			is.NoErr(err)
			defer link.Close()
			url := "http://" + link.Addr()
			is.NoErr(send(t.Context(), url, time.Minute))
			link.SetMode(proxy.HoldRequests)
			c.giveUp(t, url, link)
			link.SetMode(proxy.Pass)
			link.Wait()
			if known, err := knownfailure.IsListed(t.Name()); known && arrived.Load() > 1 {
				t.Skipf("known failure: %d calls arrived (%v)", arrived.Load()-1, err)
			}
			is.Equal(arrived.Load(), int64(1)) // the one before the partition
		})
	}
}

// send sends a request under a lease that is valid.
func send(ctx context.Context, url string, timeout time.Duration) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("{}"))
	if err != nil {
		return err
	}
	resp, err := lease.Send(req, timeout, func() error { return nil })
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// startSender starts a process that sends a request, and waits until the request is held up.
func startSender(t *testing.T, url string, link *proxy.Proxy) *exec.Cmd {
	t.Helper()
	is := is.New(t)
	exe, err := os.Executable()
	is.NoErr(err)
	sender := exec.Command(exe, "-test.run", "^TestAbandonedCallArrivesAfterAPartition$")
	sender.Env = append(os.Environ(), senderURL+"="+url)
	is.NoErr(sender.Start())
	link.AwaitHeld(true)
	return sender
}

// endSender ends a process with a signal while its request is held up.
func endSender(t *testing.T, url string, link *proxy.Proxy, s syscall.Signal) {
	t.Helper()
	is := is.New(t)
	sender := startSender(t, url, link)
	is.NoErr(sender.Process.Signal(s))
	is.True(sender.Wait() != nil)
}
