package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestRestartedHostIsRegisteredStill guards against two writes of each host when all hosts of a large fleet start again.
func TestRestartedHostIsRegisteredStill(t *testing.T) {
	is := is.New(t)
	f := newGatewayFleet(t, 71, 2, 0)
	key := func(h *gatewayHost) string { return "hosts/z/" + h.name }
	revision := func(h *gatewayHost) uint64 {
		_, revision, _ := f.platform.Memory().Read(key(h))
		return revision
	}
	before := make([]uint64, 0, len(f.hosts))
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return revision(h) > 0 })
		before = append(before, revision(h))
	}
	is.NoErr(f.platform.Put(t.Context(), key(f.hosts[1]), []byte("127.0.0.1:1"))) // as an earlier start at another address
	for _, h := range f.hosts {
		h.kill()
		h.start()
	}
	f.waitUntil(func() bool { return strings.Contains(f.hosts[0].log.String(), "address is registered in the store") })
	f.waitUntil(func() bool {
		value, _, _ := f.platform.Memory().Read(key(f.hosts[1]))
		return string(value) != "127.0.0.1:1"
	})
	for _, h := range f.hosts {
		f.waitUntil(func() bool { return strings.Contains(h.log.String(), "host joined") })
	}
	is.Equal(revision(f.hosts[0]), before[0])
	is.NoErr(f.platform.Remove(t.Context(), key(f.hosts[0]))) // its lease has run out
	f.waitUntil(func() bool { return revision(f.hosts[0]) > 0 })
}
