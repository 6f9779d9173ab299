package kind

import (
	"net/http"
	"time"
)

// The closed list of kinds.
const (
	// Errors of requests by callers.
	NoKey               Kind = "nokey"       // the request has no API key and its route requires one
	BadKey              Kind = "badkey"      // the API key is unknown
	Withdrawn           Kind = "withdrawn"   // the API key was withdrawn
	Forbidden           Kind = "forbidden"   // the route is reserved for other customers
	NoModel             Kind = "nomodel"     // no route serves the model
	NoRoute             Kind = "noroute"     // no route serves the path
	MethodNotAllowed    Kind = "method"      // the path does not support the HTTP method
	TooLarge            Kind = "large"       // the body exceeds the size limit of the route
	Invalid             Kind = "invalid"     // the body or a header is malformed
	RateLimit           Kind = "rate"        // the customer exceeded its limit of requests per time
	TokenLimit          Kind = "tokens"      // the customer exceeded its limit of tokens per time
	ConcurrencyLimit    Kind = "concurrency" // the customer exceeded its limit of concurrent requests
	Overload            Kind = "overload"    // the request was shed because demand exceeds capacity
	Deadline            Kind = "deadline"    // the request cannot start within the maximum wait of its class
	Quarantined         Kind = "quarantined" // the request crashed the upstreams that executed it
	AlreadyRunning      Kind = "running"     // a request with the same idempotency key is still running
	PriorOutcomeUnknown Kind = "uncertain"   // an earlier request with the same idempotency key may have been executed
	ClaimNotStored      Kind = "claimless"   // no claim could be stored for a request that must not be repeated
	Draining            Kind = "draining"    // the host is shutting down
	Canceled            Kind = "canceled"    // the caller closed the connection

	// Errors of upstreams.
	Unavailable      Kind = "unavailable" // no upstream can accept the request now
	Rejected         Kind = "rejected"    // the upstream responded that it did not execute the request
	Lost             Kind = "lost"        // the connection failed after the request was sent
	Failed           Kind = "failed"      // the upstream executed the request and responded with an error
	UpstreamStalled  Kind = "silent"      // the upstream stopped sending its response
	ResponseMismatch Kind = "crossed"     // the response belongs to another request
	Timeout          Kind = "timeout"     // the response did not end in time

	// Errors of requests by operators.
	Unauthorized   Kind = "unauthorized" // the operator's token is missing or wrong
	Document       Kind = "document"     // the document is invalid
	Conflict       Kind = "conflict"     // the value changed since it was read
	OutcomeUnknown Kind = "unknown"      // the outcome of a change is not known
	Missing        Kind = "missing"      // the named object does not exist

	// Errors of the platform, of other hosts and of this host.
	Store        Kind = "store"      // the key-value service did not respond in time
	Budget       Kind = "budget"     // the host reached its own rate limit for calls to the platform
	LeaseNotHeld Kind = "lapsed"     // the lease is not held, or does not last long enough
	Fenced       Kind = "fenced"     // the order has an outdated fencing token
	Refused      Kind = "refused"    // the platform refused the order
	Transition   Kind = "transition" // the state chart has no such transition
	Settings     Kind = "settings"   // the settings of the host are invalid
	Peer         Kind = "peer"       // another host sent a message that cannot be decoded
	Internal     Kind = "internal"   // an internal error of the router
)

// Response describes the HTTP response for a kind.
type Response struct {
	status     int
	ran        Ran
	retryAfter time.Duration
	errorType  string
}

// Status returns the HTTP status code.
func (r Response) Status() int { return r.status }

// Ran returns the default Ran value of errors of the kind.
func (r Response) Ran() Ran { return r.ran }

// RetryAfter returns the default delay before a retry, or zero when a retry does not help.
func (r Response) RetryAfter() time.Duration { return r.retryAfter }

// ErrorType returns the error type of the OpenAI-compatible error body.
func (r Response) ErrorType() string { return r.errorType }

// statusCanceled is the non-standard status (nginx: client closed request) for a caller that closed the connection.
const statusCanceled = 499

const (
	retrySoon  = 1 * time.Second
	retryLater = 5 * time.Second
)

const (
	typeAuthentication = "authentication_error"
	typePermission     = "permission_error"
	typeInvalidRequest = "invalid_request_error"
	typeRateLimit      = "rate_limit_error"
	typeServer         = "server_error"
)

var responses = map[Kind]Response{
	NoKey:               {http.StatusUnauthorized, RanNo, 0, typeAuthentication},
	BadKey:              {http.StatusUnauthorized, RanNo, 0, typeAuthentication},
	Withdrawn:           {http.StatusUnauthorized, RanNo, 0, typeAuthentication},
	Forbidden:           {http.StatusForbidden, RanNo, 0, typePermission},
	NoModel:             {http.StatusNotFound, RanNo, 0, typeInvalidRequest},
	NoRoute:             {http.StatusNotFound, RanNo, 0, typeInvalidRequest},
	MethodNotAllowed:    {http.StatusMethodNotAllowed, RanNo, 0, typeInvalidRequest},
	TooLarge:            {http.StatusRequestEntityTooLarge, RanNo, 0, typeInvalidRequest},
	Invalid:             {http.StatusBadRequest, RanNo, 0, typeInvalidRequest},
	RateLimit:           {http.StatusTooManyRequests, RanNo, retrySoon, typeRateLimit},
	TokenLimit:          {http.StatusTooManyRequests, RanNo, retrySoon, typeRateLimit},
	ConcurrencyLimit:    {http.StatusTooManyRequests, RanNo, retrySoon, typeRateLimit},
	Overload:            {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Deadline:            {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Quarantined:         {http.StatusUnprocessableEntity, RanNo, 0, typeInvalidRequest},
	AlreadyRunning:      {http.StatusConflict, RanMaybe, retrySoon, typeInvalidRequest},
	PriorOutcomeUnknown: {http.StatusConflict, RanMaybe, 0, typeInvalidRequest},
	ClaimNotStored:      {http.StatusServiceUnavailable, RanNo, retryLater, typeServer},
	Draining:            {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Canceled:            {statusCanceled, RanMaybe, 0, typeInvalidRequest},

	Unavailable:      {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Rejected:         {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Lost:             {http.StatusBadGateway, RanMaybe, 0, typeServer},
	Failed:           {http.StatusBadGateway, RanYes, 0, typeServer},
	UpstreamStalled:  {http.StatusGatewayTimeout, RanMaybe, 0, typeServer},
	ResponseMismatch: {http.StatusBadGateway, RanMaybe, 0, typeServer},
	Timeout:          {http.StatusGatewayTimeout, RanMaybe, 0, typeServer},

	Unauthorized:   {http.StatusUnauthorized, RanNo, 0, typeAuthentication},
	Document:       {http.StatusUnprocessableEntity, RanNo, 0, typeInvalidRequest},
	Conflict:       {http.StatusPreconditionFailed, RanNo, 0, typeInvalidRequest},
	OutcomeUnknown: {http.StatusGatewayTimeout, RanMaybe, 0, typeServer},
	Missing:        {http.StatusNotFound, RanNo, 0, typeInvalidRequest},

	Store:        {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Budget:       {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	LeaseNotHeld: {http.StatusServiceUnavailable, RanNo, retrySoon, typeServer},
	Fenced:       {http.StatusConflict, RanNo, 0, typeServer},
	Refused:      {http.StatusServiceUnavailable, RanNo, retryLater, typeServer},
	Transition:   {http.StatusInternalServerError, RanMaybe, 0, typeServer},
	Settings:     {http.StatusInternalServerError, RanNo, 0, typeServer},
	Peer:         {http.StatusBadGateway, RanNo, 0, typeServer},
	Internal:     {http.StatusInternalServerError, RanMaybe, 0, typeServer},
}

// Response returns the HTTP response for k. A kind that is not in the list has the response of Internal.
func (k Kind) Response() Response {
	if r, ok := responses[k]; ok {
		return r
	}
	return responses[Internal]
}

// PromisesNotRun reports whether an HTTP status tells a caller that its request has not run and never will, so that the caller may send
// it once more whatever it does.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// All returns all kinds, in no particular order.
func All() []Kind {
	all := make([]Kind, 0, len(responses))
	for k := range responses {
		all = append(all, k)
	}
	return all
}

// IsKnown reports whether k is in the closed list.
func IsKnown(k Kind) bool {
	_, ok := responses[k]
	return ok
}
