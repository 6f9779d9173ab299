package review

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"
)

var limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}

var tenants = []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "priority": 1}}

func env(name string) string { return os.Getenv(name) }

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

// longest bounds the time of a case.
const longest = 100 * time.Second

var current *world

func cannotRun(t *testing.T, why any) {
	t.Helper()
	t.Logf("the case could not run: %v", why)
	fmt.Println("the case could not run:", why)
	if current != nil {
		current.close()
	}
	os.Exit(exitCannotRun)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		cannotRun(t, err)
	}
}

// setUp returns a deployment of some hosts that have not been started. All processes end with the test.
func setUp(t *testing.T, hosts int) *world {
	must(t, openRecord())
	w, err := newWorld(hosts)
	must(t, err)
	current = w
	t.Cleanup(w.close)
	time.AfterFunc(longest, func() { cannotRun(t, "it takes too long") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(exitCannotRun)
	}()
	return w
}

// listenBehind makes the engine listen at another port of its address, behind a proxy, and returns that address.
func (e *engine) listenBehind(t *testing.T) string {
	t.Helper()
	address := strings.TrimSuffix(e.address, "8080") + "8081"
	l, err := net.Listen("tcp4", address)
	must(t, err)
	e.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serveConn(c)
		}
	}()
	return address
}
