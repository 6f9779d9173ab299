package burn

import (
	"cmp"
	"slices"
	"time"
)

// The alerts of a row.
const (
	AlertNone = ""     // the allowance lasts
	AlertSlow = "slow" // the allowance of the period will be used up early
	AlertFast = "fast" // the allowance of three days is used up within hours
)

// Thresholds of the alerts. Two windows must agree, so that an alert ends soon after its cause.
const (
	fastBurn = 14.4 // over 5 minutes and 1 hour
	slowBurn = 6    // over 1 hour and 6 hours
	longBurn = 1    // over 6 hours and 3 days
)

// The indexes of the windows.
const (
	window5m = iota
	window1h
	window6h
	window3d
)

// Figures are the counts of one row over one window. Field names are those of the JSON answer.
type Figures struct {
	Window   string  `json:"window" doc:"Length of the window"`
	Calls    int     `json:"calls" doc:"Calls that ended"`
	Met      int     `json:"met" doc:"Calls that met all targets of their class"`
	Attained float64 `json:"attained" doc:"Share of calls that met their targets; 1 without calls"`
	Burn     float64 `json:"burn" doc:"Share of misses divided by the share that the objective allows"`
	Output   int     `json:"output,omitempty" doc:"Tokens delivered; left out for customers"`
	Good     int     `json:"good,omitempty" doc:"Tokens of calls that met their targets (goodput); left out for customers"`
	Wasted   int     `json:"wasted,omitempty" doc:"Tokens computed and not delivered; left out for customers"`
}

// Row is one class, or one customer and class.
type Row struct {
	Customer string    `json:"customer,omitempty" doc:"Customer, empty in the rows of whole classes"`
	Class    string    `json:"class" doc:"Class"`
	Alert    string    `json:"alert" doc:"fast, slow, or empty"`
	Windows  []Figures `json:"windows" doc:"Figures by window, the shortest first"`
}

// Spend is what the upstreams of one pool cost over one window, against the service that they gave.
type Spend struct {
	Window  string  `json:"window" doc:"Length of the window"`
	Durable float64 `json:"durable" doc:"Hours of durable upstreams"`
	Cheap   float64 `json:"cheap" doc:"Hours of reclaimable upstreams"`
	Good    int     `json:"good" doc:"Tokens of calls that met their targets"`
	Met     int     `json:"met" doc:"Calls that met their targets"`
	Cost    float64 `json:"cost" doc:"Upstream hours for each million good tokens, or for each thousand met calls of a pool without tokens; 0 without any"`
}

// Pool is the spend of one pool.
type Pool struct {
	Pool    string  `json:"pool" doc:"Pool"`
	Windows []Spend `json:"windows" doc:"Spend by window, the shortest first"`
}

// Report is the burn at one time.
type Report struct {
	At        time.Time `json:"at" doc:"Time of the report"`
	Objective float64   `json:"objective" doc:"Share of calls that must meet their targets"`
	Classes   []Row     `json:"classes" doc:"Classes by name"`
	Customers []Row     `json:"customers" doc:"Customers by class, the highest burn of an hour first"`
	Worst     *Row      `json:"worst,omitempty" doc:"The worst-served customer of the last hour with calls enough to tell"`
	Pools     []Pool    `json:"pools" doc:"Spend against service by pool"`
}

// enough is the number of calls below which a row raises no alert and is not named as the worst served.
const enough = 20

// Report returns the report at now with at most limit customers.
func (b *Aggregator) Report(now time.Time, limit int) Report {
	r := Report{At: now.UTC(), Objective: Objective, Classes: []Row{}, Customers: []Row{}, Pools: []Pool{}}
	for k, s := range b.rows {
		if s.isEmpty(now) {
			continue
		}
		switch k.scope {
		case scopeClass:
			r.Classes = append(r.Classes, newRow(now, "", k.name, s))
		case scopePair:
			r.Customers = append(r.Customers, newRow(now, k.name, k.class, s))
		case scopePool:
			r.Pools = append(r.Pools, newPool(now, k.name, s))
		}
	}
	slices.SortFunc(r.Classes, func(x, y Row) int { return cmp.Compare(x.Class, y.Class) })
	slices.SortFunc(r.Pools, func(x, y Pool) int { return cmp.Compare(x.Pool, y.Pool) })
	slices.SortFunc(r.Customers, compareBurn)
	r.Worst = worst(r.Customers)
	r.Customers = r.Customers[:min(len(r.Customers), limit)]
	return r
}

// compareBurn sorts the highest burn of the hour first, then that of three days.
func compareBurn(x, y Row) int {
	return cmp.Or(
		cmp.Compare(y.Windows[window1h].Burn, x.Windows[window1h].Burn),
		cmp.Compare(y.Windows[window3d].Burn, x.Windows[window3d].Burn),
		cmp.Compare(x.Customer, y.Customer),
		cmp.Compare(x.Class, y.Class),
	)
}

// worst returns the first row with calls enough, nil when there is none.
func worst(rows []Row) *Row {
	i := slices.IndexFunc(rows, func(r Row) bool { return r.Customer != OtherCustomers && r.Windows[window1h].Calls >= enough })
	if i < 0 {
		return nil
	}
	w := rows[i]
	return &w
}

func newRow(now time.Time, customer, class string, s *series) Row {
	row := Row{Customer: customer, Class: class, Windows: make([]Figures, len(layout))}
	for i, r := range layout {
		row.Windows[i] = newFigures(r.window, s.sum(now, i))
	}
	row.Alert = alert(row.Windows)
	return row
}

func newFigures(window time.Duration, c cell) Figures {
	f := Figures{
		Window: windowName(window), Calls: int(c.Calls), Met: int(c.Met), Attained: 1,
		Output: int(c.Output), Good: int(c.Good), Wasted: int(c.Wasted),
	}
	if c.Calls > 0 {
		f.Attained = float64(c.Met) / float64(c.Calls)
	}
	f.Burn = (1 - f.Attained) / (1 - Objective)
	return f
}

func alert(w []Figures) string {
	above := func(threshold float64, a, b int) bool {
		return w[a].Burn >= threshold && w[b].Burn >= threshold && w[b].Calls >= enough
	}
	switch {
	case above(fastBurn, window5m, window1h):
		return AlertFast
	case above(slowBurn, window1h, window6h), above(longBurn, window6h, window3d):
		return AlertSlow
	}
	return AlertNone
}

func newPool(now time.Time, name string, s *series) Pool {
	p := Pool{Pool: name, Windows: make([]Spend, len(layout))}
	for i, r := range layout {
		p.Windows[i] = newSpend(r.window, s.sum(now, i))
	}
	return p
}

const (
	secondsPerHour = 3600
	million        = 1e6
	thousand       = 1e3
)

func newSpend(window time.Duration, c cell) Spend {
	s := Spend{
		Window: windowName(window), Durable: c.Durable / secondsPerHour, Cheap: c.Cheap / secondsPerHour,
		Good: int(c.Good), Met: int(c.Met),
	}
	switch hours := s.Durable + s.Cheap; {
	case s.Good > 0:
		s.Cost = hours / float64(s.Good) * million
	case s.Met > 0 && c.Output == 0:
		s.Cost = hours / float64(s.Met) * thousand
	}
	return s
}

// windowName returns the name of a window, such as 5m or 3d.
func windowName(d time.Duration) string {
	switch d {
	case layout[window3d].window:
		return "3d"
	case layout[window6h].window:
		return "6h"
	case layout[window1h].window:
		return "1h"
	}
	return "5m"
}
