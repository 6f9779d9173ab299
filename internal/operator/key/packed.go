package key

import "time"

// pack converts a record to the form in which Table stores it.
func pack(r Record) packedRecord {
	h := packedRecord{hash: r.hash, customer: r.customer, issued: r.issued.Unix(), version: r.version}
	if !r.withdrawn.IsZero() {
		h.withdrawn = r.withdrawn.Unix()
	}
	return h
}

// record converts the packed record with the id n back to a Record.
func (h packedRecord) record(n numericID) Record {
	r := Record{id: n.String(), hash: h.hash, customer: h.customer, issued: time.Unix(h.issued, 0).UTC(), version: h.version}
	if h.withdrawn != 0 {
		r.withdrawn = time.Unix(h.withdrawn, 0).UTC()
	}
	return r
}
