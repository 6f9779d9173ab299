// Package httpclient holds what all HTTP clients of upstreams share: the headers of the upstream protocols, among them
// the attempt id that each response must echo, the allow-list of forwarded headers, and connections that count the
// written bytes.
package httpclient

import (
	"net/http"
	"net/url"
	"strings"
)

// Header names of the upstream protocols.
const (
	HeaderRequestID = "X-Request-Id"  // attempt id; sent with the request and echoed in the response
	HeaderPriority  = "X-Priority"    // priority, 0 being the highest
	HeaderOffset    = "Last-Event-ID" // offset in tokens after which a stream is to resume
	HeaderPriorID   = "X-Prior-Id"    // id of the attempt that a resumed stream continues
	HeaderCacheSalt = "X-Cache-Salt"  // keeps the cached prefixes of customers apart
	HeaderRan       = "X-Ran"         // in a response: RanNo if the upstream did not run the request
	HeaderVersion   = "X-Version"     // in a response: version of the upstream's software
	HeaderLeaving   = "X-Leaving"     // in a response: 1 if the upstream leaves
	HeaderBrittle   = "X-Brittle"     // in a response: rejections in a second that the upstream bears; absent if it bears any number
	HeaderLimit     = "X-Limit"       // in a response: requests per second that the upstream takes from all hosts together
)

// RanNo is the value of HeaderRan with which an upstream states that it did not run the request.
const RanNo = "no"

// forwardedHeaders is the allow-list of caller headers; no others are forwarded to upstreams.
var forwardedHeaders = [...]string{
	"Accept",
	"Accept-Language",
	"Content-Encoding",
	"Content-Language",
	"Content-Type",
	"Idempotency-Key",
	"If-Match",
	"If-Modified-Since",
	"If-None-Match",
	"Range",
	"Traceparent",
	"Tracestate",
}

// credentialParams lists the query parameters that customarily carry a credential; they are never forwarded.
var credentialParams = [...]string{"access_token", "api-key", "api_key", "apikey", "authorization", "x-api-key"}

// ForwardHeaders returns the headers of h that may be forwarded to an upstream. It leaves out each value that contains
// secret, the key that the caller presented; an empty secret matches nothing.
func ForwardHeaders(h http.Header, secret string) http.Header {
	out := make(http.Header, len(forwardedHeaders))
	for _, name := range forwardedHeaders {
		for _, value := range h.Values(name) {
			if !containsSecret(value, secret) {
				out[name] = append(out[name], value)
			}
		}
	}
	return out
}

// ForwardQuery returns the raw query without the parameters that customarily carry a credential or that contain secret.
// A query without such parameters is returned unchanged.
func ForwardQuery(raw, secret string) string {
	if raw == "" {
		return ""
	}
	parts := strings.Split(raw, "&")
	kept := parts[:0]
	for _, part := range parts {
		if !isCredentialParam(part) && !containsSecret(part, secret) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

func isCredentialParam(part string) bool {
	name, _, _ := strings.Cut(part, "=")
	if plain, err := url.QueryUnescape(name); err == nil {
		name = plain
	}
	for _, c := range credentialParams {
		if strings.EqualFold(name, c) {
			return true
		}
	}
	return false
}

// containsSecret reports whether text contains secret, plain or URL-escaped. An empty secret is never contained.
func containsSecret(text, secret string) bool {
	if secret == "" {
		return false
	}
	if strings.Contains(text, secret) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && strings.Contains(plain, secret)
}
