// Package statechart parses finite state machines from JSON and runs them.
package statechart

import (
	"encoding/json"
	"fmt"
	"sort"

	"hickorypath/internal/core/kind"
)

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name    string
	initial string
	states  map[string]state
}

type state struct {
	Final bool              `json:"final"`
	On    map[string]string `json:"on"`
}

type chartFile struct {
	Name    string           `json:"name"`
	Initial string           `json:"initial"`
	States  map[string]state `json:"states"`
}

// New parses and validates a chart. The target of each transition must exist, each state must be reachable from the
// initial state, and each state must be either final or the source of a transition.
func New(data []byte) (*Chart, error) {
	var f chartFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, kind.Wrap(err, kind.Internal, "state chart is not valid JSON")
	}
	c := &Chart{name: f.Name, initial: f.Initial, states: f.States}
	if err := c.check(); err != nil {
		return nil, err
	}
	return c, nil
}

// Must is like New but panics on error. It is meant for charts that are embedded in the program.
func Must(data []byte) *Chart {
	c, err := New(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// States returns the names of all states in alphabetical order.
func (c *Chart) States() []string {
	names := make([]string, 0, len(c.states))
	for n := range c.states {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Next returns the state that event leads to in the state from. Without such a transition, Next returns from and an
// error of kind Transition.
func (c *Chart) Next(from, event string) (string, error) {
	to, ok := c.states[from].On[event]
	if !ok {
		return from, kind.New(kind.Transition, "chart %s has no event %q in state %q", c.name, event, from)
	}
	return to, nil
}

// IsFinal reports whether a state is final.
func (c *Chart) IsFinal(name string) bool { return c.states[name].Final }

// Start returns a Machine in the initial state.
func (c *Chart) Start() *Machine { return &Machine{chart: c, state: c.initial} }

func (c *Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return c.errorf("initial state %q does not exist", c.initial)
	}
	for name, s := range c.states {
		if s.Final == (len(s.On) > 0) {
			return c.errorf("state %q must be either final or have transitions", name)
		}
		for event, to := range s.On {
			if _, ok := c.states[to]; !ok {
				return c.errorf("event %q of state %q leads to %q, which does not exist", event, name, to)
			}
		}
	}
	seen := c.reachable()
	for name := range c.states {
		if !seen[name] {
			return c.errorf("state %q is not reachable", name)
		}
	}
	return nil
}

func (c *Chart) reachable() map[string]bool {
	seen := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		for _, to := range c.states[name].On {
			if !seen[to] {
				seen[to] = true
				queue = append(queue, to)
			}
		}
	}
	return seen
}

func (c *Chart) errorf(format string, args ...any) error {
	return kind.New(kind.Internal, "chart %s: %s", c.name, fmt.Sprintf(format, args...))
}

// Machine is an instance of a chart with a current state. It is not safe for concurrent use.
type Machine struct {
	chart *Chart
	state string
}

// State returns the current state.
func (m *Machine) State() string { return m.state }

// IsFinal reports whether the current state is final.
func (m *Machine) IsFinal() bool { return m.chart.IsFinal(m.state) }

// Fire applies event to the current state. When the state has no transition for event, Fire leaves the state unchanged
// and returns an error of kind Transition.
func (m *Machine) Fire(event string) error {
	next, err := m.chart.Next(m.state, event)
	if err != nil {
		return err
	}
	m.state = next
	return nil
}
