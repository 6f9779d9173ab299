package usage

import (
	_ "embed" // for the state machine definition
	"fmt"
	"time"

	"hickorypath/internal/core/statechart"
)

//go:embed usage.json
var chartFile []byte

var states = statechart.Must(chartFile)

const (
	stateOpen   = "open"
	stateSealed = "sealed"
	stateFrozen = "frozen"
)

// window is the stored form of a frozen window. Its totals are written once; only the state changes later.
type window struct {
	Index        int64                `cbor:"w"`
	State        string               `cbor:"s"`
	Length       time.Duration        `cbor:"l"`
	FencingToken uint64               `cbor:"f"` // of the reporter that froze the window
	Rows         []Row                `cbor:"r,omitempty"`
	Chunks       []string             `cbor:"k,omitempty"` // keys of the rows if there are more than chunkRows
	Watermarks   map[string]watermark `cbor:"m,omitempty"`
}

func windowKey(index int64) string { return fmt.Sprintf("%s%012d", windowPrefix, index) }

// ReportID returns the id of the report of a window.
func ReportID(index int64) string { return fmt.Sprintf("window-%d", index) }

// Window is a window as it is shown to operators.
type Window struct {
	index  int64
	length time.Duration
	state  string
	fence  uint64
	rows   []Row
}

// Index returns the number of the window, counted from the Unix epoch.
func (w Window) Index() int64 { return w.index }

// Start returns the start of the window.
func (w Window) Start() time.Time { return time.Unix(0, w.index*int64(w.length)).UTC() }

// End returns the end of the window.
func (w Window) End() time.Time { return w.Start().Add(w.length) }

// State returns the state: open, sealed, frozen or reported.
func (w Window) State() string { return w.state }

// FencingToken returns the fencing token of the reporter that froze the window.
func (w Window) FencingToken() uint64 { return w.fence }

// ID returns the id of the report of the window.
func (w Window) ID() string { return ReportID(w.index) }

// Rows returns the totals. Those of an open window contain what has been committed so far.
func (w Window) Rows() []Row { return w.rows }

// windowIndex returns the index of the window that contains t.
func windowIndex(t time.Time, length time.Duration) int64 { return t.UnixNano() / int64(length) }
