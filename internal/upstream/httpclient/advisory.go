package httpclient

import (
	"net/http"

	"hickorypath/internal/policy/advisory"
)

// Statement returns what an upstream states about itself in the header of a response.
func Statement(h http.Header) advisory.Statement {
	return advisory.Statement{
		Limit: advisory.ParseLimit(h.Values(HeaderLimit)...), Version: h.Get(HeaderVersion), Leaving: advisory.ParseLeaving(h.Values(HeaderLeaving)...),
	}
}
