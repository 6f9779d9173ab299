// Package roster reads the platform's list of hosts. The list is updated with a delay: it may still contain hosts that
// have stopped and may not yet contain hosts that already run.
package roster

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	"hickorypath/internal/core/kind"
)

// State is the platform's view of a host.
type State string

// The values of State.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// maxResponseBytes bounds the bytes read of one response of the platform.
const maxResponseBytes = 4 << 20

// Host is an entry of the platform's list of hosts.
type Host struct {
	id, zone, addr string
	state          State
}

// NewHost returns a Host; addr is the IP and port of its listener for other hosts.
func NewHost(id, zone, addr string, state State) Host {
	return Host{id: id, zone: zone, addr: addr, state: state}
}

// ID returns the identifier of the host.
func (h Host) ID() string { return h.id }

// Zone returns the availability zone of the host.
func (h Host) Zone() string { return h.zone }

// Addr returns the IP and port at which the host listens for other hosts.
func (h Host) Addr() string { return h.addr }

// State returns the platform's view of the host.
func (h Host) State() State { return h.state }

// hostJSON is the JSON form of a Host.
type hostJSON struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	State State  `json:"state"`
}

// MarshalJSON implements json.Marshaler.
func (h Host) MarshalJSON() ([]byte, error) {
	return json.Marshal(hostJSON{ID: h.id, Zone: h.zone, Addr: h.addr, State: h.state})
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *Host) UnmarshalJSON(data []byte) error {
	var w hostJSON
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*h = NewHost(w.ID, w.Zone, w.Addr, w.State)
	return nil
}

// HostsResponse is the body of the platform's response to GET /v1/hosts.
type HostsResponse struct {
	Hosts []Host `json:"hosts"`
}

// Roster reads the list of hosts from one source, the platform or a fixed list.
type Roster struct {
	list func(ctx context.Context) ([]Host, error)
}

// NewFunc returns a Roster that calls list for each reading.
func NewFunc(list func(ctx context.Context) ([]Host, error)) *Roster { return &Roster{list: list} }

// NewStatic returns a Roster that always returns hosts.
func NewStatic(hosts ...Host) *Roster {
	return NewFunc(func(context.Context) ([]Host, error) { return hosts, nil })
}

// NewHTTP returns a Roster that requests the list of hosts from the platform with GET url/v1/hosts.
func NewHTTP(url string, client *http.Client) *Roster {
	url = strings.TrimSuffix(url, "/") + "/v1/hosts"
	return NewFunc(func(ctx context.Context) ([]Host, error) { return get(ctx, client, url) })
}

// WithFallback returns a Roster that reads the list from r and, as long as no reading has succeeded, returns hosts in
// place of an error. A host that starts while the platform cannot be reached thus finds other hosts.
func (r *Roster) WithFallback(hosts ...Host) *Roster {
	var wasRead atomic.Bool
	return NewFunc(func(ctx context.Context) ([]Host, error) {
		list, err := r.list(ctx)
		if err == nil {
			wasRead.Store(true)
			return list, nil
		}
		if wasRead.Load() || len(hosts) == 0 {
			return nil, err
		}
		return hosts, nil
	})
}

// List reads the list of hosts.
func (r *Roster) List(ctx context.Context) ([]Host, error) { return r.list(ctx) }

func get(ctx context.Context, client *http.Client, url string) ([]Host, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "address %q of the list of hosts is not a valid URL", url)
	}
	res, err := client.Do(req)
	if err != nil {
		return nil, kind.Wrap(err, kind.Store, "request for the list of hosts")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, kind.New(kind.Store, "request for the list of hosts: unexpected status %d", res.StatusCode)
	}
	var l HostsResponse
	if err := json.NewDecoder(io.LimitReader(res.Body, maxResponseBytes)).Decode(&l); err != nil {
		return nil, kind.Wrap(err, kind.Store, "cannot decode the list of hosts")
	}
	if l.Hosts == nil {
		return nil, kind.New(kind.Store, "response has no list of hosts")
	}
	return l.Hosts, nil
}
