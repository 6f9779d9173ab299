// Package document parses and validates the configuration document of an environment: its customers,
// request classes, pools and routes.
//
// A document is JSON with comments. Parse validates the whole document and reports every fault with its
// position and a remedy. A parsed document is complete, consistent and immutable. A document refers to nothing
// that is specific to one environment, so the bytes that a trial environment accepted can be promoted to
// another environment unchanged.
package document

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Document is a validated document. It is immutable and safe for concurrent use.
type Document struct {
	source        []byte
	digest        string
	customers     []*Customer
	classes       []*Class
	pools         []*Pool
	routes        []*Route
	index         index
	customerCache map[uint64]parsedCustomer // customers by the hash of their source text, for ParseIncremental
}

// index maps the names in a document to its objects, and the models and paths to their routes.
type index struct {
	customers map[string]*Customer
	classes   map[string]*Class
	pools     map[string]*Pool
	models    map[string][]*Route
	paths     map[string][]*Route
}

// Digest returns the SHA-256 of the source text, in hexadecimal.
func (d *Document) Digest() string { return d.digest }

// Source returns a copy of the source text, including its comments.
func (d *Document) Source() []byte { return slices.Clone(d.source) }

// Customers returns the customers in source order.
func (d *Document) Customers() []*Customer { return d.customers }

// Customer returns the customer with the given name and reports whether it is defined.
func (d *Document) Customer(name string) (*Customer, bool) {
	c, ok := d.index.customers[name]
	return c, ok
}

// Classes returns the classes in source order.
func (d *Document) Classes() []*Class { return d.classes }

// Class returns the class with the given name and reports whether it is defined.
func (d *Document) Class(name string) (*Class, bool) {
	c, ok := d.index.classes[name]
	return c, ok
}

// Pools returns the pools in source order.
func (d *Document) Pools() []*Pool { return d.pools }

// Pool returns the pool with the given name and reports whether it is defined.
func (d *Document) Pool(name string) (*Pool, bool) {
	p, ok := d.index.pools[name]
	return p, ok
}

// Routes returns the routes in source order.
func (d *Document) Routes() []*Route { return d.routes }

// DigestOf returns the digest of a document with the given source text.
func DigestOf(source []byte) string {
	sum := sha256.Sum256(source)
	return hex.EncodeToString(sum[:])
}

func (d *Document) buildIndex() {
	d.index = index{
		customers: make(map[string]*Customer, len(d.customers)),
		classes:   make(map[string]*Class, len(d.classes)),
		pools:     make(map[string]*Pool, len(d.pools)),
		models:    make(map[string][]*Route),
		paths:     make(map[string][]*Route),
	}
	for _, c := range d.customers {
		d.index.customers[c.name] = c
	}
	for _, c := range d.classes {
		d.index.classes[c.name] = c
	}
	for _, p := range d.pools {
		d.index.pools[p.name] = p
	}
	for _, r := range d.routes {
		if r.model != "" {
			d.index.models[r.model] = append(d.index.models[r.model], r)
			continue
		}
		path := trimPath(r.path)
		d.index.paths[path] = append(d.index.paths[path], r)
	}
}
