// Command standin runs simulations of the platform's services, of engines and of an HTTP service in one process, for
// tests and trials without the real ones. Faults are injected over HTTP.
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
	"hickorypath/internal/standin/testbed"
)

// Properties of the simulated engines.
const (
	slots   = 8
	gap     = 15 * time.Millisecond
	prefill = 50 * time.Microsecond
)

const help = `Simulations of the platform, of engines and of an HTTP service.

The command prints the upstreams with the path of each. Faults are switched by POST to /store/fault, /roster/fault,
/provision/fault, /usage/fault and /upstream/ID/fault; docs/operate/standin.md names them.`

// exitUsage is the exit code of wrong usage.
const exitUsage = 2

// flags holds the values of the command-line flags.
type flags struct {
	listen  string
	service string
	pools   []string
	engines int
	zones   int
	checks  bool
}

func main() {
	var f flags
	app := kingpin.New("standin", help)
	app.Flag("listen", "Address of the platform's services.").Default("127.0.0.1:9000").StringVar(&f.listen)
	app.Flag("service", "Address of the HTTP service, pool ledger.").Default("127.0.0.1:9100").StringVar(&f.service)
	app.Flag("pool", "Pool of engines; repeat for more.").Default("asesor", "libro").StringsVar(&f.pools)
	app.Flag("engines", "Number of engines in each pool.").Default("3").IntVar(&f.engines)
	app.Flag("zones", "Number of availability zones: norte-a, norte-b and so on.").Default("3").IntVar(&f.zones)
	app.Flag("checks", "Refuse orders with an old fencing token; --no-checks accepts them.").Default("true").BoolVar(&f.checks)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		app.Errorf("%s, try --help", err)
		os.Exit(exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app.FatalIfError(run(ctx, f), "")
}

func run(ctx context.Context, f flags) error {
	s := testbed.New(testbed.Options{ChecksFences: f.checks, Engine: func(pool string) standinengine.Options {
		return standinengine.Options{Model: pool, Slots: slots, TokenInterval: gap, PrefillPerToken: prefill}
	}})
	defer s.Close()
	for _, pool := range f.pools {
		for n := range f.engines {
			if err := s.AddEngine(pool, "norte-"+string(rune('a'+n%max(1, f.zones))), false); err != nil {
				return err
			}
		}
	}
	if _, err := s.AddService("ledger", "norte-a", f.service); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", f.listen)
	if err != nil {
		return err
	}
	lines := json.NewEncoder(os.Stdout)
	for _, u := range s.Upstreams() {
		_ = lines.Encode(u)
	}
	fmt.Printf("platform at http://%s: /store /roster /provision /usage\n", ln.Addr())
	return s.Serve(ctx, ln)
}
