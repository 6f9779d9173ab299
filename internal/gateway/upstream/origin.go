package upstream

// Origin is the service and the software version that began a stream. The events of different versions do not fit together, so
// that a stream may go on only where its origin is.
type Origin struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Version string
}

// Origin returns the origin of the streams that begin at the instance.
func (i *Instance) Origin() Origin {
	e := i.Entry()
	return Origin{Service: e.Service, Version: e.Version}
}

// MayContinue reports whether a stream of an origin may go on at instance i. An instance that states no version is of the same
// version as another one only if no instance of the service states any.
func (t *Table) MayContinue(o Origin, i *Instance) bool {
	if i.Origin() != o {
		return false
	}
	if o.Version != "" {
		return true
	}
	for _, other := range t.Service(o.Service) {
		if other.Entry().Version != "" {
			return false
		}
	}
	return true
}
