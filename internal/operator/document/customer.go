package document

// Limit holds the usage limits of one customer or class over all hosts. A zero value means no limit.
type Limit struct {
	rate            float64
	tokensPerMinute int
	maxInFlight     int
}

// Rate returns the maximum number of requests per second.
func (l Limit) Rate() float64 { return l.rate }

// TokensPerMinute returns the maximum number of tokens per minute, prompt and output tokens together.
func (l Limit) TokensPerMinute() int { return l.tokensPerMinute }

// MaxInFlight returns the maximum number of requests in flight.
func (l Limit) MaxInFlight() int { return l.maxInFlight }

// Customer is a tenant, to whom API keys are issued and usage is billed.
type Customer struct {
	name   string
	weight float64
	limit  Limit
}

// Name returns the name of the customer.
func (c *Customer) Name() string { return c.name }

// Weight returns the customer's weight in fair queueing among the customers of a class.
func (c *Customer) Weight() float64 { return c.weight }

// Limit returns the usage limits of the customer.
func (c *Customer) Limit() Limit { return c.limit }

func newCustomer() Customer { return Customer{weight: defaultWeight} }

var limitFields = []field[Limit]{
	{name: "rate", read: number(func(l *Limit) *float64 { return &l.rate }, 0, maxRate)},
	{name: "tokens", read: integer(func(l *Limit) *int { return &l.tokensPerMinute }, 0, maxTokensPerMinute)},
	{name: "open", read: integer(func(l *Limit) *int { return &l.maxInFlight }, 0, maxInFlightLimit)},
}

var customerFields = []field[Customer]{
	{name: "name", required: true, read: name(func(c *Customer) *string { return &c.name })},
	{name: "weight", read: number(func(c *Customer) *float64 { return &c.weight }, minWeight, maxWeight)},
	{name: "limit", read: object(func(c *Customer) *Limit { return &c.limit }, limitFields)},
}
