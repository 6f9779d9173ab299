package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"math"
	"text/template"

	"hickorypath/internal/core/kind"
)

//go:embed page.md.tmpl
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"n0": func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"n1": func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"n2": func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"g":  func(v float64) string { return fmt.Sprintf("%.6g", v) },
	"headroom": func(used, bound float64) string {
		return fmt.Sprintf("%.0f%%", (1-used/bound)*percent)
	},
	"verdict": func(used, bound float64) string {
		if used <= bound {
			return "within"
		}
		return "**over**"
	},
}).Parse(pageText))

// TotalCalls returns the total calls to the store at a size.
func (m *Model) TotalCalls(s Size) StoreCalls {
	var t StoreCalls
	for _, c := range m.StoreCallRows(s) {
		t.Writes += c.Writes
		t.Reads += c.Reads
	}
	return t
}

// Slope returns the value of a slope by name. The page template uses it.
func (m *Model) Slope(name string) float64 { return m.slope(name) }

// KeyChangeBytes returns the bytes on the wire that one changed key costs a relay.
func (m *Model) KeyChangeBytes() float64 {
	return m.slope(keyPayload) + m.slope(keyPackets)*m.slope(packetOverhead)
}

// ClaimVolume returns the bytes per second that claims write to the store, and the size in GB of one day's claims in the
// store.
func (m *Model) ClaimVolume() (written, kept float64) {
	claims := m.Size.Requests * m.Size.NonRepeatable
	return claims * m.slope(claimWrites) * m.slope(claimBytes), claims * secondsPerDay * m.slope(claimKept) / giga
}

// ClaimBytesPerHost returns the bytes per second that the claims of one host write to the store.
func (m *Model) ClaimBytesPerHost() float64 {
	written, _ := m.ClaimVolume()
	return written / m.Size.Hosts
}

// ClaimStoredGB returns the size in GB of one day's claims in the store.
func (m *Model) ClaimStoredGB() float64 {
	_, kept := m.ClaimVolume()
	return kept
}

// UsageBytesPerHost returns the bytes per second that the usage commits of one host write to the store.
func (m *Model) UsageBytesPerHost() float64 { return m.slope(usageBytes) / usageWindowSeconds }

// CommitInterval returns the seconds between two usage commits of one host.
func (s Size) CommitInterval() float64 { return max(minCommitSeconds, s.Hosts/fleetCommitsPerSecond) }

// Reporting is the cost of one usage window for the usage reporter.
type Reporting struct {
	Rows     float64 // one per host and customer
	ReadMB   float64 // read from the store, MB
	CPU      float64 // percent of a core over the window
	Parts    float64 // of all hosts
	Listings float64
	Chunks   float64 // of the frozen window
}

// Reporting returns the cost of the usage reporter.
func (m *Model) Reporting() Reporting { return m.reportingAt(m.Size) }

// reportingAt returns the cost of the usage reporter at a size. It assumes that the requests of a customer are spread over
// the hosts at random, which determines the number of customers that a host serves in a window.
func (m *Model) reportingAt(s Size) Reporting {
	requests := s.Requests / s.Hosts * usageWindowSeconds
	rows := s.Hosts * s.Customers * -math.Expm1(-requests/s.Customers)
	listings := 1.0
	for n := s.Hosts; n > partsPerListing; n /= partsPerListing {
		listings *= partsPerListing
	}
	return Reporting{
		Rows: rows, ReadMB: rows * m.slope(usageRow) / mega,
		CPU:   rows * m.slope(usageReport) * micro / usageWindowSeconds * percent,
		Parts: s.Hosts * math.Ceil(rows/s.Hosts/rowsPerPart), Listings: listings, Chunks: math.Ceil(s.Customers / rowsPerChunk),
	}
}

// Page renders the capacity page.
func (m *Model) Page() ([]byte, error) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, m); err != nil {
		return nil, kind.Wrap(err, kind.Internal, "cannot render the capacity page")
	}
	return b.Bytes(), nil
}
