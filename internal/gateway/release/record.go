// Package release keeps track of the software versions that the services have run lately, in the store and on the hosts.
//
// A stream that breaks may be taken up at any host, and must go on at the version that began it. A host that has just
// started, or was out of touch, does not know which versions there were.
package release

import (
	"encoding/json"
	"slices"

	"hickorypath/internal/core/kind"
)

// Versions holds for each service its software versions in alphabetical order.
type Versions map[string][]string

// add adds a version of a service.
func (v Versions) add(service, version string) {
	if at, found := slices.BinarySearch(v[service], version); !found {
		v[service] = slices.Insert(v[service], at, version)
	}
}

// merge adds all versions of other.
func (v Versions) merge(other Versions) {
	for service, versions := range other {
		for _, version := range versions {
			v.add(service, version)
		}
	}
}

// RecordKey is the key in the store that holds the versions that the services have run lately. The leader writes it.
const RecordKey = "versions"

func decodeRecord(data []byte) (Versions, error) {
	var v Versions
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, kind.Wrap(err, kind.Invalid, "stored versions cannot be decoded; delete the key %s", RecordKey)
	}
	for _, versions := range v {
		slices.Sort(versions)
	}
	return v, nil
}
