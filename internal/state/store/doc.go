// Package store is the client of the platform's key-value service.
//
// Each value is stored in an envelope with a nonce of its write, so that a client which got no response to a
// write can read the key back and tell whether the write took effect. All calls of a process share one rate
// limit, and each Use has a rate limit of its own, called its budget.
package store
