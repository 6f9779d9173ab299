// Package api defines the JSON messages of the operators' API, which the admin server and its client share.
//
// Fields are exported because the structs are the wire format; their names follow those of the JSON messages.
package api

import (
	"fmt"
	"strconv"
	"time"

	"hickorypath/internal/core/kind"
)

// HTTP headers of the operators' API.
const (
	HeaderChange = "Hickorypath-Change" // id of a change
	HeaderDigest = "Hickorypath-Digest" // SHA-256 of a document
)

// Revision describes an accepted revision of the document.
type Revision struct {
	Number   uint64    `json:"number" doc:"Number; rises by one with each accepted change"`
	Digest   string    `json:"digest" doc:"SHA-256 of the text"`
	Size     int       `json:"size" doc:"Size of the text in bytes"`
	At       time.Time `json:"at" doc:"Time of acceptance"`
	Operator string    `json:"operator" doc:"Operator who made the change"`
	Change   string    `json:"change" doc:"Id of the change"`
}

// Check is the response to the check of a document that has no faults.
type Check struct {
	Digest    string `json:"digest" doc:"SHA-256 of the text"`
	Customers int    `json:"customers" doc:"Number of customers"`
	Classes   int    `json:"classes" doc:"Number of classes"`
	Pools     int    `json:"pools" doc:"Number of pools"`
	Routes    int    `json:"routes" doc:"Number of routes"`
}

// Outcome is the result of a change to the document.
type Outcome struct {
	State    string    `json:"state" enum:"applied,refused,open" doc:"applied: it made the revision; refused: the revision was made by another change; open: not seen so far, and it may still take effect"`
	Revision *Revision `json:"revision,omitempty" doc:"The revision of that number"`
}

// Key describes an issued API key. Clear, the key itself, is set only in the response that issues the key.
type Key struct {
	ID        string     `json:"id" doc:"Public name of the key"`
	Customer  string     `json:"customer" doc:"Customer for whom it stands"`
	Issued    time.Time  `json:"issued" doc:"Time of issue"`
	Withdrawn *time.Time `json:"withdrawn,omitempty" doc:"Time of withdrawal"`
	Clear     string     `json:"clear,omitempty" doc:"The key itself; shown once"`
}

// Status is the state of the environment as seen by one host.
type Status struct {
	Host      string     `json:"host" doc:"The host that answers"`
	Zone      string     `json:"zone" doc:"Its availability zone"`
	Revision  uint64     `json:"revision" doc:"Revision in force on it"`
	Digest    string     `json:"digest" doc:"Digest of the document in force on it"`
	Hosts     []Host     `json:"hosts" doc:"Hosts"`
	Upstreams []Upstream `json:"upstreams" doc:"Upstreams"`
	Leases    []Lease    `json:"leases" doc:"Leases"`
}

// Host is the state of a host.
type Host struct {
	ID       string `json:"id" doc:"Name"`
	Zone     string `json:"zone" doc:"Availability zone"`
	State    string `json:"state" doc:"live, leaving or silent"`
	Revision uint64 `json:"revision" doc:"Revision in force on it"`
}

// Upstream is the state of an upstream: a model engine or an HTTP service.
type Upstream struct {
	ID          string `json:"id" doc:"Name"`
	Pool        string `json:"pool" doc:"Pool"`
	Zone        string `json:"zone" doc:"Availability zone"`
	State       string `json:"state" doc:"starting, ready, leaving or ejected"`
	Reclaimable bool   `json:"reclaimable" doc:"Whether the platform may take it back"`
	Running     int    `json:"running" doc:"Requests in flight from the answering host"`
}

// Lease is the lease of a duty that at most one host performs at a time.
type Lease struct {
	Name   string `json:"name" doc:"Duty"`
	Holder string `json:"holder" doc:"Host, empty when none holds it"`
	Fence  uint64 `json:"fence" doc:"Fencing number"`
}

// Window is a time window of usage accounting.
type Window struct {
	Start time.Time `json:"start" doc:"Start"`
	End   time.Time `json:"end" doc:"End"`
	State string    `json:"state" doc:"open, sealed, frozen or reported"`
	Rows  []Usage   `json:"rows" doc:"Usage by customer"`
}

// UsageQuery holds the query parameters that select usage windows and their rows.
type UsageQuery struct {
	Customer string    `query:"customer" doc:"Only rows of this customer"`
	From     time.Time `query:"from" doc:"Only windows that end after this time; an hour before to if left out"`
	To       time.Time `query:"to" doc:"Only windows that start before this time; now if left out"`
}

// Usage is the usage of one customer, and of one class if Class is set, in one window.
type Usage struct {
	Customer string `json:"customer" doc:"Customer"`
	Class    string `json:"class,omitempty" doc:"Class"`
	Calls    int    `json:"calls" doc:"Answered requests"`
	Prompt   int    `json:"prompt" doc:"Prompt tokens"`
	Output   int    `json:"output" doc:"Output tokens"`
	Wasted   int    `json:"wasted" doc:"Tokens computed and not billed"`
}

// Fault is a validation error of a document.
type Fault struct {
	File   string `json:"file" doc:"File"`
	Line   int    `json:"line" doc:"Line, from 1"`
	Column int    `json:"column" doc:"Column, from 1"`
	Text   string `json:"text" doc:"What is wrong"`
	Remedy string `json:"remedy" doc:"What to do about it"`
}

// String formats the fault as a single line: file:line:column: text; remedy.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.File, f.Line, f.Column, f.Text, f.Remedy)
}

// Detail is the error object of an error response.
type Detail struct {
	Kind    kind.Kind `json:"kind" doc:"Kind of the error, from a closed list"`
	Message string    `json:"message" doc:"What happened"`
	Ran     kind.Ran  `json:"ran" doc:"Whether the change was made: no, maybe or yes"`
	Change  string    `json:"change,omitempty" doc:"Id by which to ask for the outcome"`
	Faults  []Fault   `json:"faults,omitempty" doc:"All faults of a refused document"`
}

// ETag returns the HTTP entity tag of a revision.
func ETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// ParseETag returns the revision that an HTTP entity tag stands for. The error is of kind Invalid.
func ParseETag(tag string) (uint64, error) {
	text, err := strconv.Unquote(tag)
	if err == nil {
		var n uint64
		if n, err = strconv.ParseUint(text, 10, 64); err == nil {
			return n, nil
		}
	}
	return 0, kind.New(kind.Invalid, "%s is not the entity tag of a revision, such as \"7\"", tag)
}
