package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/standin/script"
)

// TestOddEntriesAmongThoseOfUpstreams guards against an entry of another writer that ends the hosts that read it, keeps them from following
// later changes, or is taken for an upstream.
func TestOddEntriesAmongThoseOfUpstreams(t *testing.T) {
	const depth = 200_000
	entry := func(field string) string {
		return `{"service":"svc","address":"127.0.0.1:9","zone":"z","slots":8,"state":"ready","seq":1,` + field + `}`
	}
	address := func(a string) string {
		return fmt.Sprintf(`{"service":"svc","address":%q,"zone":"z","slots":8,"state":"ready","seq":1}`, a)
	}
	odd := map[string]string{
		"nested":       strings.Repeat("[", depth),
		"nested-whole": strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested-field": entry(`"other":` + strings.Repeat(`{"a":`, depth) + "1" + strings.Repeat("}", depth)),
		"huge-seq":     entry(`"seq":1e300`),
		"huge-born":    entry(`"born":9223372036854775807`),
		"huge-slots":   entry(`"slots":9223372036854775807`),
		"no-number":    entry(`"seq":1e999`),
		"huge-cold":    entry(`"coldRemainingMs":1e300`),
		"huge-leaves":  entry(`"leaves_ms":1e300`),
		"minus-slots":  entry(`"slots":-9223372036854775808`),
		"long":         entry(`"version":"` + strings.Repeat("v", 500_000) + `"`),
		"port-large":   address("127.0.0.1:70000"),
		"port-huge":    address("127.0.0.1:99999999999999999999"),
		"port-zero":    address("127.0.0.1:0"),
		"port-minus":   address("127.0.0.1:-1"),
		"port-missing": address("127.0.0.1"),
		"port-only":    address(":80"),
		"name":         address("upstream.example:80"),
		"control":      address("127.0.0.1:80\r\nX-Field: a"),
		"id\r\nX-A: b": address("127.0.0.1:9"),
	}
	is := is.New(t)
	f := newGatewayFleet(t, 26, 2, 2, script.Action{Bytes: gatewayAnswer})
	for id, value := range odd {
		is.NoErr(f.platform.Put(context.Background(), "servers/"+id, []byte(value)))
	}
	is.NoErr(f.platform.Remove(context.Background(), "servers/u0"))
	for _, h := range f.hosts {
		f.waitUntil(func() bool {
			return strings.Contains(h.log.String(), `"upstream entry removed","host":"`+h.name+`","upstream":"u0"`)
		})
		for n := range 20 {
			is.Equal(h.ask("once", fmt.Sprint(h.name, n), "k1"), http.StatusOK)
		}
		for line := range strings.Lines(h.log.String()) {
			if strings.Contains(line, "upstream joins") && !strings.Contains(line, `"upstream":"u`) {
				t.Errorf("an odd entry was taken for an upstream: %.200s", line)
			}
		}
	}
	h := f.hosts[0] // reads them when it starts, too
	h.kill()
	h.start()
	f.waitUntil(h.ready)
	is.Equal(h.ask("once", "again", "k1"), http.StatusOK)
}
