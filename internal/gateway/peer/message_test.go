package peer

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/policy/advisory"
)

func TestAdvisoriesSurviveEncoding(t *testing.T) {
	is := is.New(t)
	m := Message{Host: "a", Address: "a:1", Advisories: map[string]upstream.Advisory{
		"u1": {Born: 5, Record: advisory.Record{Rate: 2.5, Age: 1500 * time.Millisecond}},
	}}
	data, err := encode(m.forOtherHosts()) // hosts of all zones are told
	is.NoErr(err)
	got, err := decode(data)
	is.NoErr(err)
	is.Equal(got.Advisories, m.Advisories)
}
