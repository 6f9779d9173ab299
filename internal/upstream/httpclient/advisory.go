package httpclient

import (
	"net/http"

	"hickorypath/internal/policy/advisory"
)

// Statement returns what an upstream states about itself in a response with a status and header.
func Statement(status int, h http.Header) advisory.Statement {
	s := advisory.Statement{
		Limit: advisory.ParseLimit(h.Values(HeaderLimit)...), Version: h.Get(HeaderVersion), Leaving: advisory.ParseLeaving(h.Values(HeaderLeaving)...),
	}
	s.Brittle = advisory.ParseBrittle(h.Values(HeaderBrittle)...)
	if status == http.StatusServiceUnavailable {
		s.Rejected = h.Get(HeaderRan) == RanNo
		s.Pause = advisory.ParsePause(h.Values("Retry-After")...)
	}
	return s
}
