// Package exchange forwards one client request to an upstream and relays the response.
//
// Each request is either answered exactly once and completely, or rejected with a truthful status: a status that
// says that the request did not run is used only if no upstream can have run it.
package exchange

import (
	"time"

	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/policy/advisory"
	"hickorypath/internal/policy/place"
)

// RequestInfo is the metadata of a client request, decoded from its header fields.
type RequestInfo struct {
	ID                   string
	Host                 string
	Path                 string        // without the query
	MaxWait              time.Duration // how long the client will wait; 0 if not stated
	APIKey               string
	PromptTokens         int
	MaxOutputTokens      int
	ExpectedOutputTokens int // output length that the client expects; 0 if not stated
	PromptParts          []place.PromptPart
	LastEventID          string // id of the last event that the client received
	Resumes              string // id of the request that brought the first event of the stream that the client takes up; empty for none
}

// ForwardInfo is the metadata that the router adds to a request sent to an upstream.
type ForwardInfo struct {
	Instance    string        // the intended instance; any other instance rejects the request
	TimeLeft    time.Duration // until the response is of no more use
	Customer    string        // empty on an open route without an API key
	Priority    int           // 0 is the highest; negative for none
	LastEventID string        // id of the last event that was received; the stream continues after it
	CopySource  string        // address of an instance whose cache holds more of the prompt, to copy from; empty for none
}

// RelayInfo is the metadata of a request that is sent through another host.
type RelayInfo struct {
	TimeLeft    time.Duration // until the response is of no more use
	LastEventID string        // id of the last event that was received; the stream continues after it
	Fields      [][2]string   // for the other host
}

// ResponseInfo is the metadata of an upstream's response, decoded from its header fields.
type ResponseInfo struct {
	ID          string // id of the request that the response belongs to
	Signed      bool
	NotExecuted bool // the upstream did not run the request and will not run it
	Misdirected bool // another instance answered, which has the upstream's address now
	Running     int  // load of the instance; Running, Waiting and Slots are valid if HasLoad is set
	Waiting     int
	Slots       int
	Slowdown    float64 // how long work takes at the instance now, relative to the usual time; 0 if not stated
	HasLoad     bool
	Advisory    advisory.Statement
}

// concerns reports whether the response belongs to the request with an id. A refusal without an id is believed only on a connection that
// has not served before: an upstream may write an earlier refusal once more.
func (r ResponseInfo) concerns(id string, hasServed bool) bool {
	if r.ID == "" && r.NotExecuted {
		return !hasServed
	}
	return r.ID == id
}

// Codec translates between HTTP messages and their metadata.
type Codec struct {
	DecodeRequest  func(r *h1.Request) (RequestInfo, error)
	EncodeRequest  func(dst []byte, r *h1.Request, bodyLen int, s ForwardInfo) []byte
	DecodeResponse func(r *h1.Response) ResponseInfo
	// EncodeRelay encodes a request for another host, with further header fields.
	EncodeRelay func(dst []byte, r *h1.Request, bodyLen int, s RelayInfo) []byte
	KeepField   func(f h1.Field) bool // reports whether a response header field is relayed to the client
}
