package exchange

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/budget"
	"hickorypath/internal/policy/place"
)

// explainedExchanger returns an Exchanger with a route to a service of 30 upstreams.
func explainedExchanger(now *time.Time) *Exchanger {
	live := config.NewLive()
	live.StoreIfNewer(config.New(7, []*config.Route{
		{Name: "r", Host: "api", Prefix: "/v1/", Backends: []config.Backend{{Service: "s", Weight: 3}, {Service: "other", Weight: 1}}, LatencyObjective: time.Second},
	}, []*config.Customer{{Name: "acme", APIKeys: []string{"k"}, HasPriority: true}}, []*config.Service{
		{Name: "s", Engine: &config.Engine{KVCapacityTokens: 60000, KVTokenBytes: 35136, LinkMbps: 180000}, ColdRate: 4},
	}, config.Limits{}))
	table := upstream.NewTable("a", upstream.NewDialer(), zap.NewNop())
	for n := range 30 {
		e := upstream.Entry{ID: fmt.Sprint("i", n), Service: "s", Address: "10.0.0.1:80", Zone: string(rune('a' + n%4)), Slots: 4 + n%5, Draining: n == 3}
		if n%6 == 0 {
			e.Cold = 20 * time.Second
		}
		table.Put(*now, e)
	}
	fleet, clock := advisory.NewMembers("h").Fleet(), func() time.Time { return *now }
	return New(Options{
		Zone: "a", Table: table, Live: live, Budget: budget.Config{Window: time.Second}, Log: zap.NewNop(), Now: clock, FleetTime: clock,
		HostCount: func() int { return 1 }, RetryHosts: func() int { return 1 }, Elapsed: func() time.Duration { return 0 }, Fleet: func() *advisory.Fleet { return fleet }, PeerLoads: func(time.Time) map[string]place.Load { return nil },
		NotifyPeers: func() {}, DrainingFor: func() time.Duration { return 0 }, ColdOvershoot: 1.5, ColdSlack: 5,
		Helpers: relay.NewHelpers(relay.Options{Hosts: func(time.Time) []relay.Host { return nil }}),
	})
}

// disturb changes what is known of an upstream at random.
func disturb(r *rand.Rand, x *Exchanger, now time.Time) {
	i := x.opts.Table.Get(fmt.Sprint("i", r.IntN(30)))
	switch r.IntN(8) {
	case 0:
		i.RecordFailure(now)
	case 1:
		i.RecordAdvisory(now, now, advisory.Statement{Limit: advisory.NewLimit(float64(r.IntN(6)))})
	case 2:
		i.RecordAdvisory(now, now, advisory.Statement{Pause: advisory.NewPause(time.Second)})
	case 3:
		i.RecordAdvisory(now, now, advisory.Statement{Brittle: advisory.ParseBrittle("3")})
	case 4:
		i.RecordAdvisory(now, now, advisory.Statement{Leaving: advisory.ParseLeaving("1")})
	case 5:
		i.RecordCold(now, time.Duration(r.IntN(5))*time.Second)
	default:
		i.SetLoad(upstream.Load{Running: r.IntN(6), At: now})
	}
}

// TestExplainTellsWhatPlaceChooses compares random sessions of two hosts, only one of which explains each request before it is placed. It
// guards against explanations that differ from the choice and against those that change it, such as by using up a limit.
func TestExplainTellsWhatPlaceChooses(t *testing.T) {
	is := is.New(t)
	rules := map[Rule]bool{}
	for seed := range uint64(20) {
		now := time.Unix(1_800_000_000, 0)
		r, explaining, plain := rand.New(rand.NewPCG(seed, 1)), explainedExchanger(&now), explainedExchanger(&now)
		held := [][2]*reservation{}
		for range 300 {
			now = now.Add(time.Duration(r.IntN(300)) * time.Millisecond)
			changes := r.Uint64()
			for _, x := range []*Exchanger{explaining, plain} {
				disturb(rand.New(rand.NewPCG(changes, 2)), x, now)
			}
			_, err := explaining.Explain(Query{Host: "api", Path: "/v1/x", PromptTokens: 100}) // sees changed limits before placing does
			is.NoErr(err)
			now = now.Add(time.Duration(r.IntN(1500)) * time.Millisecond)
			shared, own := 200+r.IntN(9000), 100+r.IntN(6000)
			q := Query{Host: "api", Path: "/v1/x", PromptTokens: shared + own, MaxOutputTokens: 200, Parts: []place.PromptPart{{ID: uint64(r.IntN(9)), Tokens: shared}, {ID: r.Uint64(), Tokens: own}}}
			services := len(explaining.services)
			got, err := explaining.Explain(q)
			is.NoErr(err)
			is.Equal(len(explaining.services), services)
			for _, u := range got.Upstreams {
				rules[u.Rule] = true
				is.Equal(u.Verdict == VerdictChosen, u.ID == got.Chosen)
			}
			var pair [2]*reservation
			for n, x := range []*Exchanger{explaining, plain} {
				e, err := x.newExplained(q)
				is.NoErr(err)
				e.explained = false
				s, id := x.service("s"), ""
				if c, _ := x.place(s, e); c.instance != nil {
					id, pair[n] = c.instance.ID(), x.reserve(s, e, c)
				}
				is.Equal(id, got.Chosen) // the one that place chooses, also on the host that explains nothing
				is.Equal(got.Outcome == OutcomeSent, id != "")
			}
			if pair[0] != nil {
				held = append(held, pair)
			}
			for len(held) > 100 || len(held) > 0 && r.IntN(3) == 0 {
				held[0][0].release()
				held[0][1].release()
				held = held[1:]
			}
		}
	}
	for _, rule := range []Rule{RuleDraining, RuleDown, RuleDeparting, RulePaused, RuleLimit, RuleCold, RuleBrittle, Rule(place.NoMemory), Rule(place.PrefillWait)} {
		if !rules[rule] {
			t.Errorf("no session reaches the rule %s", rule)
		}
	}
}

func TestExplainNamesWhatIsUnknown(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	x := explainedExchanger(&now)
	cases := []struct {
		q    Query
		want string // message; empty for no error
	}{
		{Query{Host: "API:80", Path: "/v1/x", Customer: "acme"}, ""},
		{Query{Host: "web", Path: "/v1/x"}, `no route has the virtual host "web"`},
		{Query{Host: "api", Path: "/v2/x"}, `no route of the virtual host "api" has the path "/v2/x"`},
		{Query{Host: "api", Path: "/v1/x", Customer: "k"}, `no customer with a key has the name "k"`},
		{Query{Host: "api", Path: "/v1/x", Service: "t"}, `the route r does not lead to the service "t"`},
	}
	for _, c := range cases {
		t.Run(c.want, func(t *testing.T) {
			is := is.New(t)
			_, err := x.Explain(c.q)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(kind.Of(err), kind.Missing)
			is.Equal(kind.From(err).Message(), c.want)
		})
	}
}
