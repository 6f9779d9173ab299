// Command standin runs small stand-ins of the platform, of engines and of a plain service as a process
// of their own, with faults switched over HTTP.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	standinengine "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/site"
)

// Properties of the engines.
const (
	slots     = 8
	gap       = 15 * time.Millisecond
	prefill   = 50 * time.Microsecond
	anyPort   = "127.0.0.1:0"
	zoneNames = "abcdefghijklmno"
)

func main() {
	app := kingpin.New("standin", "Stand-ins of the platform, engines and a plain service. Faults are switched by POST to /SERVICE/fault.")
	listen := app.Flag("listen", "Address of the platform's services.").Default("127.0.0.1:9000").String()
	engines := app.Flag("engines", "Engines of each pool.").Default("3").Int()
	zones := app.Flag("zones", "Availability zones.").Default("3").Int()
	checks := app.Flag("checks", "Refuse orders with an old fencing number.").Default("true").Bool()
	pools := app.Flag("pool", "Pool of engines; repeat for more.").Default("asesor", "libro").Strings()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, *listen, *pools, *engines, min(*zones, len(zoneNames)), *checks); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, listen string, pools []string, engines, zones int, checks bool) error {
	s := site.New(site.Options{
		Engine: func(pool string) standinengine.Options {
			return standinengine.Options{Model: pool, Slots: slots, Gap: gap, Prefill: prefill}
		},
		Checks: checks,
	})
	defer s.Close()
	for _, pool := range pools {
		for n := range engines {
			if err := s.AddEngine(pool, zone(n, zones), false); err != nil {
				return err
			}
		}
	}
	if _, err := s.StartService("ledger", zone(0, zones), anyPort); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	for _, u := range s.Upstreams() {
		if err := enc.Encode(u); err != nil {
			return err
		}
	}
	fmt.Printf("platform at http://%s: /store /roster /provision /usage\n", ln.Addr())
	return s.Serve(ctx, ln)
}

func zone(n, zones int) string {
	return "norte-" + string(zoneNames[n%zones])
}
