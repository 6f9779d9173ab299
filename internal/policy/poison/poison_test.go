package poison_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/policy/poison"
)

// event is something that a host notices. Times are in seconds.
type event struct {
	at     float64
	crash  uint64 // of an upstream while a request with the traits was there; 0 for a response that was under way
	traits []poison.Trait
}

var (
	general  = poison.Trait{ID: 1, Depth: 0}
	specific = poison.Trait{ID: 2, Depth: 1}
	other    = poison.Trait{ID: 3, Depth: 1}
	third    = poison.Trait{ID: 4, Depth: 1}
	whole    = poison.Whole(9)
)

func at(s float64) time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(s * float64(time.Second)))
}

func nobody(uint64) bool { return false }

func refuses(t *poison.Tracker, s float64, trait poison.Trait) bool {
	refused, _ := t.Refuses(at(s), []poison.Trait{trait}, nobody)
	return refused
}

func TestRefuses(t *testing.T) {
	gs, gother, gthird := []poison.Trait{general, specific}, []poison.Trait{general, other}, []poison.Trait{general, third}
	cases := []struct {
		name    string
		events  []event
		refused []poison.Trait
	}{
		{"two crashes", []event{{1, 101, gs}, {2, 102, gs}}, nil},
		{"three crashes: the specific part", []event{{1, 101, gs}, {2, 102, gs}, {3, 103, gs}}, []poison.Trait{specific}},
		{"three crashes with different specific parts", []event{{1, 101, gs}, {2, 102, gother}, {3, 103, gthird}}, []poison.Trait{general}},
		{"the general part after all", []event{{1, 101, gs}, {2, 102, gs}, {3, 103, gs}, {4, 104, gother}, {5, 105, gthird}}, []poison.Trait{general}},
		{"the general part, though each specific one has three crashes", []event{
			{1, 101, gs}, {2, 102, gs}, {3, 103, gs}, {4, 104, gother}, {5, 105, gother}, {6, 106, gother}, {7, 107, gthird}, {8, 108, gthird}, {9, 109, gthird},
		}, []poison.Trait{general}},
		{"one more crash with another part", []event{{1, 101, gs}, {2, 102, gs}, {3, 103, gs}, {4, 104, gother}}, []poison.Trait{specific}},
		{"the same upstream three times", []event{{1, 101, gs}, {2, 101, gs}, {3, 101, gs}}, nil},
		{"three upstreams at one moment", []event{{1, 101, gs}, {1.1, 102, gs}, {1.2, 103, gs}}, nil},
		{"many crashes in a row", []event{{1, 101, gs}, {1.2, 102, gs}, {1.4, 103, gs}, {1.6, 104, gs}, {1.8, 105, gs}, {2, 106, gs}}, []poison.Trait{specific}},
		{"a response in between", []event{{1, 101, gs}, {2, 102, gs}, {2.5, 0, gs}, {3, 103, gs}}, nil},
		{"responses with the general part", []event{{1, 101, gs}, {1.5, 0, gother}, {2, 102, gs}, {3, 103, gs}}, []poison.Trait{specific}},
		{"a response before", []event{{0.5, 0, gs}, {1, 101, gs}, {2, 102, gs}, {3, 103, gs}}, []poison.Trait{specific}},
		{"a neighbour at each crash", []event{
			{1, 101, gs}, {1, 101, []poison.Trait{other}}, {2, 102, gs}, {2, 102, []poison.Trait{other}}, {3, 103, gs}, {4, 104, gs}, {4, 104, []poison.Trait{other}},
		}, []poison.Trait{specific}},
		{"two culprits", []event{
			{1, 101, gs}, {1.5, 201, []poison.Trait{other}}, {2, 102, gs}, {2.5, 202, []poison.Trait{other}}, {3, 103, gs}, {3.5, 203, []poison.Trait{other}},
		}, []poison.Trait{specific, other}},
		{"a request that is sent again at once", []event{{1, 101, []poison.Trait{whole}}, {1.01, 102, []poison.Trait{whole}}, {1.02, 103, []poison.Trait{whole}}}, []poison.Trait{whole}},
		{"a request that is sent again, and its part", []event{
			{1, 101, []poison.Trait{specific, whole}}, {2, 102, []poison.Trait{specific, whole}}, {3, 103, []poison.Trait{specific, whole}},
		}, []poison.Trait{whole}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := poison.New()
			for _, e := range c.events {
				if e.crash == 0 {
					p.RecordBegun(at(e.at), e.traits)
				} else {
					p.RecordCrash(at(e.at), e.crash, e.traits)
				}
			}
			var refused []poison.Trait
			for _, trait := range []poison.Trait{general, specific, other, third, whole} {
				if refuses(p, 10, trait) {
					refused = append(refused, trait)
				}
			}
			is.Equal(refused, c.refused)
		})
	}
}

// TestHostsCountTogether lets three hosts notice one crash each, and tell each other.
func TestHostsCountTogether(t *testing.T) {
	is := is.New(t)
	hosts := []*poison.Tracker{poison.New(), poison.New(), poison.New()}
	for i, h := range hosts {
		is.Equal(len(h.RecordCrash(at(float64(i)), uint64(101+i), []poison.Trait{general, specific})), 0)
	}
	is.Equal(len(hosts[1].Merge(at(3), hosts[0].Evidence(at(3)))), 0)
	is.Equal(hosts[2].Merge(at(3), hosts[1].Evidence(at(3))), []uint64{specific.ID}) // the second passes on what the first has told
	is.True(refuses(hosts[2], 4, specific) && !refuses(hosts[0], 4, specific))
	is.Equal(hosts[0].Merge(at(4), hosts[2].Evidence(at(4))), []uint64{specific.ID})
	fresh := poison.New() // a host that starts now
	fresh.Merge(at(30), hosts[0].Evidence(at(30)))
	is.True(refuses(fresh, 30, specific))
	is.True(!refuses(fresh, 30, general))
}

// TestHostThatWasCutOffIsCorrected lets a host that could reach no upstream blame a part with which the others had responses.
func TestHostThatWasCutOffIsCorrected(t *testing.T) {
	is := is.New(t)
	cut, other := poison.New(), poison.New()
	for i := range 4 {
		cut.RecordCrash(at(float64(i)), uint64(101+i), []poison.Trait{general})
		other.RecordBegun(at(float64(i)+0.5), []poison.Trait{general})
	}
	is.True(refuses(cut, 4, general))
	other.Merge(at(20), cut.Evidence(at(20)))
	is.True(!refuses(other, 20, general))
	cut.Merge(at(21), other.Evidence(at(21)))
	is.True(!refuses(cut, 21, general))
}

func TestTrial(t *testing.T) {
	is := is.New(t)
	everybody := func(uint64) bool { return true }
	traits := []poison.Trait{specific}
	p := poison.New()
	ask := func(s float64, isOwner func(uint64) bool) (refused, trial bool) {
		return p.Refuses(at(s), traits, isOwner)
	}
	for i := range 3 {
		p.RecordCrash(at(float64(i)), uint64(101+i), traits)
	}
	for _, s := range []float64{3, 60, 121} {
		refused, trial := ask(s, everybody)
		is.True(refused && !trial)
	}
	refused, _ := ask(123, nobody)
	is.True(refused)
	refused, trial := ask(123, everybody)
	is.True(!refused && trial)
	refused, _ = ask(124, everybody) // one at a time
	is.True(refused)
	p.RecordCrash(at(125), 201, traits)
	refused, _ = ask(300, everybody)
	is.True(refused)
	_, trial = ask(366, everybody) // 240 s later
	is.True(trial)
	p.RecordBegun(at(367), traits)
	refused, trial = ask(368, everybody)
	is.True(!refused && !trial)
}

// TestUnusedTraitsAreForgotten keeps a trait for as long as requests with it come.
func TestUnusedTraitsAreForgotten(t *testing.T) {
	is := is.New(t)
	p := poison.New()
	for i := range 3 {
		p.RecordCrash(at(float64(i)), uint64(101+i), []poison.Trait{specific})
	}
	for s := 100.0; s < 1500; s += 100 {
		p.Sweep(at(s))
		is.True(refuses(p, s, specific))
	}
	p.Sweep(at(2200))
	is.True(!refuses(p, 2200, specific))
	is.Equal(len(p.Evidence(at(2200))), 0)
}

// TestEvidenceFitsIntoADatagram records many crashes of many traits.
func TestEvidenceFitsIntoADatagram(t *testing.T) {
	is := is.New(t)
	p := poison.New()
	for crash := range 20 {
		traits := make([]poison.Trait, 0, 10_000)
		for n := range cap(traits) {
			traits = append(traits, poison.Trait{ID: uint64(n), Depth: n % 3})
		}
		p.RecordCrash(at(float64(crash)), uint64(crash), traits)
	}
	told := p.Evidence(at(21))
	is.True(len(told) > 0 && len(told) <= 16)
	for _, e := range told {
		is.True(len(e.Crashes) <= 8)
	}
}

func FuzzMerge(f *testing.F) {
	f.Add(uint64(1), 0, uint64(101), int64(5), int64(0))
	f.Add(uint64(1), -3, uint64(101), int64(math.MinInt64), int64(math.MaxInt64))
	f.Add(uint64(math.MaxUint64), math.MaxInt, uint64(0), int64(math.MaxInt64), int64(-1))
	f.Fuzz(func(t *testing.T, trait uint64, depth int, crash uint64, age, begun int64) {
		p := poison.New()
		told := []poison.Evidence{{Trait: trait, Depth: depth, Crashes: map[uint64]int64{crash: age, crash + 1: 0, crash + 2: age / 2}, Begun: begun}}
		p.Merge(at(0), told)
		p.Merge(at(1), p.Evidence(at(1)))
		p.RecordBegun(at(2), []poison.Trait{{ID: trait}})
		if refuses(p, 3, poison.Trait{ID: trait}) {
			t.Error("refused although a response was under way after all crashes")
		}
	})
}
