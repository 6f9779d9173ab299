package document

// The kinds of pool.
const (
	Engine  = "engine"  // model servers with continuous batching
	Service = "service" // HTTP services that serve no models
)

// Pool is a set of interchangeable upstreams.
type Pool struct {
	name     string
	kind     string
	model    string
	version  string
	slots    int
	min      int
	max      int
	headroom float64
}

// Name returns the name of the pool.
func (p *Pool) Name() string { return p.name }

// Kind returns Engine or Service.
func (p *Pool) Kind() string { return p.kind }

// Model returns the model that the pool's engines load. It is empty for a pool of services.
func (p *Pool) Model() string { return p.model }

// Version returns the version of the model. It is empty if the platform chooses the version.
func (p *Pool) Version() string { return p.version }

// Slots returns the number of requests that one upstream runs concurrently.
func (p *Pool) Slots() int { return p.slots }

// Min returns the minimum number of upstreams to keep.
func (p *Pool) Min() int { return p.min }

// Max returns the maximum number of upstreams to provision, or zero if none are provisioned for the pool.
func (p *Pool) Max() int { return p.max }

// Headroom returns the spare capacity to keep above the forecast demand, as a fraction.
func (p *Pool) Headroom() float64 { return p.headroom }

func newPool() Pool { return Pool{slots: defaultSlots} }

var poolFields = []field[Pool]{
	{name: "name", required: true, read: name(func(p *Pool) *string { return &p.name })},
	{name: "kind", required: true, read: oneOf(func(p *Pool) *string { return &p.kind }, Engine, Service)},
	{name: "model", read: text(func(p *Pool) *string { return &p.model })},
	{name: "version", read: text(func(p *Pool) *string { return &p.version })},
	{name: "slots", read: integer(func(p *Pool) *int { return &p.slots }, 1, maxSlots)},
	{name: "min", read: integer(func(p *Pool) *int { return &p.min }, 0, maxUpstreams)},
	{name: "max", read: integer(func(p *Pool) *int { return &p.max }, 0, maxUpstreams)},
	{name: "headroom", read: number(func(p *Pool) *float64 { return &p.headroom }, 0, 1)},
}
