package capacity

import (
	"bytes"
	_ "embed"
	"fmt"
	"text/template"

	"hickorypath/internal/core/kind"
)

//go:embed page.md.tmpl
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
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

// Sum is the total of the calls to the store at a size.
func (m *Model) Sum(s Size) Call {
	var t Call
	for _, c := range m.Calls(s) {
		t.Writes += c.Writes
		t.Reads += c.Reads
	}
	return t
}

// Slope returns the slope with a name, for the page.
func (m *Model) Slope(name string) float64 { return m.slope(name) }

// KeyCost returns the bytes of one changed key on a relay.
func (m *Model) KeyCost() float64 {
	return m.slope(keyPayload) + m.slope(keyPackets)*m.slope(packetOverhead)
}

// ClaimHours returns the longest expiry of claims, in hours, that fits into their buckets.
func (m *Model) ClaimHours() float64 {
	const secondsPerHour = 3600
	claims := claimBuckets * bucketBytes / m.slope(claimKept)
	return claims / (m.Size.Requests * m.Size.Once) / secondsPerHour
}

// Page returns the text of the capacity page.
func (m *Model) Page() ([]byte, error) {
	var b bytes.Buffer
	if err := page.Execute(&b, m); err != nil {
		return nil, kind.Wrap(err, kind.Internal, "capacity page")
	}
	return b.Bytes(), nil
}
