// Package relay sends requests through another host: those of a host that is cut off from the upstreams of a service, and of one that may
// have no more requests at its brittle upstreams.
//
// A request is relayed as the caller sent it, with the fields of an Order; the response is that of the upstream, or a refusal of the
// other host with the fields of a Refusal. Both hosts speak HTTP/1.1 to each other.
package relay

import (
	"strconv"
	"strings"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/gateway/upstream"
)

// fieldPrefix begins the names of all header fields that are meant for the other host. They are never passed on.
const fieldPrefix = "Relay-"

// Header fields.
const (
	fieldHost     = fieldPrefix + "Host"
	fieldService  = fieldPrefix + "Service"
	fieldRuns     = fieldPrefix + "Runs"
	fieldConfig   = fieldPrefix + "Config"
	fieldOrigin   = fieldPrefix + "Origin" // service and software version, separated by a space
	fieldUpstream = fieldPrefix + "Upstream"
	fieldKind     = fieldPrefix + "Kind"
	fieldRan      = fieldPrefix + "Ran"
	fieldArrivals = fieldPrefix + "Arrivals" // of an order: before it; of a response: for it
	fieldCounts   = fieldPrefix + "Counts"
)

// IsField reports whether a header field is meant for the other host.
func IsField(f h1.Field) bool {
	n := f.Name()
	return len(n) > len(fieldPrefix) && strings.EqualFold(string(n[:len(fieldPrefix)]), fieldPrefix)
}

// Order is what a host asks of the host through which it sends a request.
type Order struct {
	Host    string          // that asks
	Service string          // that was drawn for the request
	Runs    int             // attempts that may have run the request
	Config  int64           // version of the configuration of the host that asks
	Origin  upstream.Origin // of the stream that goes on; zero if the response has not begun
	// Arrivals is how often the request has arrived at upstreams. If it is not 0, the host that asks has set one more aside in its retry
	// budget. Hosts of an earlier version do not state it.
	Arrivals int
	Counts   bool // the host that is asked counts the request for its retry budget
}

// Fields returns the header fields of the order.
func (o Order) Fields() [][2]string {
	fields := [][2]string{{fieldHost, o.Host}, {fieldService, o.Service}, {fieldRuns, strconv.Itoa(o.Runs)}, {fieldConfig, strconv.FormatInt(o.Config, 10)}}
	fields = append(fields, ArrivalsField(o.Arrivals), [2]string{fieldCounts, strconv.FormatBool(o.Counts)})
	if o.Origin.Service != "" {
		fields = append(fields, [2]string{fieldOrigin, o.Origin.Service + " " + o.Origin.Version})
	}
	return fields
}

// ArrivalsField returns the header field that states how often a request has arrived at upstreams.
func ArrivalsField(n int) [2]string { return [2]string{fieldArrivals, strconv.Itoa(n)} }

// maxArrivals bounds what another host states, so that a wrong value does not use up a budget.
const maxArrivals = 100

// ParseArrivals returns how often a request has arrived at upstreams, as another host states; -1 if it states nothing that can be read.
func ParseArrivals(h *h1.Head) int {
	n, err := strconv.Atoi(string(h.Get(fieldArrivals)))
	if err != nil || n < 0 {
		return -1
	}
	return min(n, maxArrivals)
}

// ParseOrder returns the order of a relayed request; ok is false if it has none, or one that cannot be read.
func ParseOrder(h *h1.Head) (o Order, ok bool) {
	o = Order{Host: string(h.Get(fieldHost)), Service: string(h.Get(fieldService))}
	var runsErr, configErr error
	o.Runs, runsErr = strconv.Atoi(string(h.Get(fieldRuns)))
	o.Config, configErr = strconv.ParseInt(string(h.Get(fieldConfig)), 10, 64)
	o.Origin = parseOrigin(h)
	o.Arrivals, o.Counts = max(ParseArrivals(h), 0), string(h.Get(fieldCounts)) == "true"
	return o, o.Host != "" && o.Service != "" && runsErr == nil && o.Runs >= 0 && configErr == nil
}

func parseOrigin(h *h1.Head) upstream.Origin {
	service, version, _ := strings.Cut(string(h.Get(fieldOrigin)), " ")
	return upstream.Origin{Service: service, Version: version}
}

// Source is where a relayed response comes from.
type Source struct {
	Upstream string
	Origin   upstream.Origin // of the stream, zero for other responses
	Arrivals int             // at upstreams, for the order
}

// Fields returns the header fields of the source.
func (s Source) Fields() [][2]string {
	fields := [][2]string{{fieldUpstream, s.Upstream}, ArrivalsField(s.Arrivals)}
	if s.Origin.Service != "" {
		fields = append(fields, [2]string{fieldOrigin, s.Origin.Service + " " + s.Origin.Version})
	}
	return fields
}

// ParseSource returns the source of a relayed response.
func ParseSource(h *h1.Head) Source {
	return Source{Upstream: string(h.Get(fieldUpstream)), Origin: parseOrigin(h), Arrivals: max(ParseArrivals(h), 0)}
}

// RefusalFields returns the header fields with which a host refuses a relayed request. The response has a Retry-After field as
// well if a later try may succeed.
func RefusalFields(k kind.Kind, ran kind.Ran) [][2]string {
	return [][2]string{{fieldKind, string(k)}, {fieldRan, string(ran)}}
}

// ParseRefusal returns the error with which the other host has refused a request or given it up, nil if the response is that of an
// upstream.
func ParseRefusal(h *h1.Head, host string) *kind.Error {
	k := kind.Kind(h.Get(fieldKind))
	if k == "" {
		return nil
	}
	ran := kind.Ran(h.Get(fieldRan))
	if ran != kind.RanNo && ran != kind.RanYes {
		ran = kind.RanMaybe
	}
	if !kind.IsKnown(k) {
		k = kind.Lost
	}
	err := kind.New(k, "%s did not serve the request", host).WithRan(ran)
	if seconds, parseErr := strconv.ParseFloat(string(h.Get("Retry-After")), 64); parseErr == nil && seconds > 0 {
		err = err.WithRetry(time.Duration(seconds * float64(time.Second)))
	}
	return err
}

// IsFaultOfHost reports whether another host may serve a request that a host has refused with an error: the request did not run, and
// the reason lies with that host.
func IsFaultOfHost(err *kind.Error) bool {
	if err.Ran() != kind.RanNo {
		return false
	}
	switch err.Kind() {
	case kind.Unavailable, kind.Draining, kind.NoKey, kind.BadKey, kind.NoRoute, kind.Invalid, kind.Peer:
		return true
	default:
		return false
	}
}
