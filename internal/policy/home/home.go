// Package home decides which availability zones may serve a request whose route or customer is restricted to home regions.
package home

import (
	"maps"
	"slices"
)

// Zones are the availability zones that a request may be sent to. A nil *Zones is all of them, also those that are not known. Zones are
// not changed after they were made.
type Zones struct {
	allowed map[string]bool
}

// New returns the zones in the regions that both a route and its customer allow; a list without regions allows all. regionOf maps each zone
// to its region. A zone that it does not contain, or without a name of a region, is in no region and is left out if there is a restriction.
func New(route, customer []string, regionOf map[string]string) *Zones {
	if len(route) == 0 && len(customer) == 0 {
		return nil
	}
	z := &Zones{allowed: map[string]bool{}}
	for zone, region := range regionOf {
		if region != "" && lists(route, region) && lists(customer, region) {
			z.allowed[zone] = true
		}
	}
	return z
}

// lists reports whether a list of regions allows a region.
func lists(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// Allows reports whether a request may be sent to a zone.
func (z *Zones) Allows(zone string) bool { return z == nil || z.allowed[zone] }

// IsEmpty reports whether there is no zone that a request may be sent to.
func (z *Zones) IsEmpty() bool { return z != nil && len(z.allowed) == 0 }

// Contains reports whether z allows all zones that o allows.
func (z *Zones) Contains(o *Zones) bool {
	if z == nil || o == nil {
		return z == nil
	}
	for zone := range o.allowed {
		if !z.allowed[zone] {
			return false
		}
	}
	return true
}

// WithRegionOf returns the zones of z, the zone own, and those in the region of own: a host in own has the request already.
func (z *Zones) WithRegionOf(own string, regionOf map[string]string) *Zones {
	if z == nil {
		return nil
	}
	out := &Zones{allowed: maps.Clone(z.allowed)}
	out.allowed[own] = true
	for zone, region := range regionOf {
		if region != "" && region == regionOf[own] {
			out.allowed[zone] = true
		}
	}
	return out
}
