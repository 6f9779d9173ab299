package home_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickorypath/internal/policy/home"
)

// TestZonesOutsideTheAllowedRegions guards against requests that reach a zone which their route or their customer does not allow, and hosts that
// pass them on there.
func TestZonesOutsideTheAllowedRegions(t *testing.T) {
	regionOf := map[string]string{"n1": "north", "n2": "north", "s1": "south", "blank": ""}
	cases := []struct{ name, route, customer, own, zones, hosts string }{
		{"no restriction", "", "", "s1", "n1 n2 s1 blank unknown", "n1 n2 s1 blank unknown"},
		{"route", "north", "", "n1", "n1 n2", "n1 n2"},
		{"customer, another region accepts", "", "south", "n1", "s1", "n1 n2 s1"},
		{"both, one in common", "north,south", "south,west", "s1", "s1", "s1"},
		{"both, none in common", "north", "south", "n1", "", "n1 n2"},
		{"region without zones", "west", "", "s1", "", "s1"},
		{"no name", "", ",", "blank", "", "blank"},
		{"zone that is not known accepts", "south", "", "unknown", "s1", "s1 unknown"},
	}
	list := func(s string) []string { return strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) }
	allowed := func(z *home.Zones) (zones []string) {
		for _, zone := range []string{"n1", "n2", "s1", "blank", "unknown"} {
			if z.Allows(zone) {
				zones = append(zones, zone)
			}
		}
		return zones
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			customer := list(c.customer)
			if c.customer == "," {
				customer = []string{""}
			}
			z := home.New(list(c.route), customer, regionOf)
			is.Equal(strings.Join(allowed(z), " "), c.zones)
			is.Equal(strings.Join(allowed(z.WithRegionOf(c.own, regionOf)), " "), c.hosts)
			is.Equal(z.IsEmpty(), c.zones == "")
			is.True(z.Contains(z) && (*home.Zones)(nil).Contains(z))
			is.Equal(z.Contains(nil), z == nil)
		})
	}
}
