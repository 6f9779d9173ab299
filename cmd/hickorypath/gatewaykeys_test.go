package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/standin/proxy"
	"hickorypath/internal/standin/script"
)

// TestStrangersAreRefusedWhenKeysChange guards against requests of strangers that run after keys are withdrawn, up to the last one: on new and on kept
// connections, at hosts that are cut off from the store, and at hosts that start later.
func TestStrangersAreRefusedWhenKeysChange(t *testing.T) {
	for n, hosts := range []int{1, 4} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			is := is.New(t)
			f := newGatewayFleet(t, 98+n, hosts, 1, script.Action{Bytes: gatewayAnswer})
			var kept []net.Conn
			for _, h := range f.hosts {
				f.waitUntil(func() bool { return h.ask("safe", "first", "k1") == http.StatusOK })
			}
			cut := f.hosts[hosts-1]
			if hosts > 1 {
				is.NoErr(cut.restartBehindProxy().Cut(proxy.CutHangs))
				f.waitUntil(func() bool { return cut.ask("safe", "first", "k1") == http.StatusOK })
			}
			for _, h := range f.hosts {
				c, err := net.Dial("tcp4", h.ip+":8000")
				is.NoErr(err)
				defer c.Close()
				is.Equal(askOn(c, "safe", "kept", "k1"), http.StatusOK)
				kept = append(kept, c)
			}
			asked := 0
			check := func(valid ...string) {
				t.Helper()
				inForce := fmt.Sprintf(`"text":"configuration in force","host":%%q,"version":%d,`, f.version)
				for n, h := range f.hosts {
					f.waitUntil(func() bool { return strings.Contains(h.log.String(), fmt.Sprintf(inForce, h.name)) })
					for _, key := range []string{"k1", "k2", "k3", "stranger", ""} {
						want := http.StatusUnauthorized
						for _, v := range valid {
							if v == key {
								want = http.StatusOK
							}
						}
						asked++
						is.Equal(h.ask("safe", fmt.Sprint("new", asked), key), want)
						is.Equal(askOn(kept[n], "safe", fmt.Sprint("kept", asked), key), want)
					}
				}
			}
			f.configure("k1", "k2")
			check("k1", "k2")
			f.configure("k2", "k3")
			check("k2", "k3")
			f.configure()
			check()
			f.hosts[0].kill()
			f.hosts[0].start()
			f.waitUntil(f.hosts[0].ready)
			c, err := net.Dial("tcp4", f.hosts[0].ip+":8000")
			is.NoErr(err)
			defer c.Close()
			kept[0] = c
			check()
			f.configure("k4")
			check()
		})
	}
}
