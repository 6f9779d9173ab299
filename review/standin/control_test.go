package review

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// duty is one call that a holder made.
type duty struct {
	at      time.Time
	path    string
	machine string
	holder  string
	fence   uint64
	window  int64
	counts  map[string]int
	subject string
}

// control is the platform's control API, which takes usage reports and orders.
type control struct {
	mu    sync.Mutex
	calls []duty
}

// ServeHTTP implements http.Handler.
func (c *control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Window  int64          `json:"window"`
		Counts  map[string]int `json:"counts"`
		Service string         `json:"service"`
		Zone    string         `json:"zone"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	c.calls = append(c.calls, duty{time.Now(), r.URL.Path, r.RemoteAddr, r.Header.Get("Lease-Holder"), fence, in.Window, in.Counts, in.Service + in.Zone})
	c.mu.Unlock()
	record("duty %s holder=%s fence=%d window=%d counts=%v", r.URL.Path, r.Header.Get("Lease-Holder"), fence, in.Window, in.Counts)
}
