package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"hickorypath/internal/operator/api"
	"hickorypath/internal/policy/burn"
)

// Keys returns the keys of a customer, or the keys of all customers if the name is empty.
func (c *Client) Keys(ctx context.Context, customer string) ([]api.Key, error) {
	var out []api.Key
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/keys", query: optional("customer", customer)}, &out)
	return out, err
}

// Issue issues a key to a customer. Only this response holds the key in clear text.
func (c *Client) Issue(ctx context.Context, customer string) (api.Key, error) {
	body, _ := json.Marshal(map[string]string{"customer": customer})
	var out api.Key
	_, err := c.do(ctx, request{
		method: http.MethodPost, path: "/v1/keys", body: body,
		header: http.Header{"Content-Type": {"application/json"}},
	}, &out)
	return out, err
}

// Withdraw withdraws the key with the given id.
func (c *Client) Withdraw(ctx context.Context, id string) (api.Key, error) {
	var out api.Key
	_, err := c.do(ctx, request{method: http.MethodDelete, path: "/v1/keys/" + url.PathEscape(id)}, &out)
	return out, err
}

// Key returns the key with the given id.
func (c *Client) Key(ctx context.Context, id string) (api.Key, error) {
	var out api.Key
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/keys/" + url.PathEscape(id)}, &out)
	return out, err
}

// Status returns the state of the environment as the responding host knows it.
func (c *Client) Status(ctx context.Context) (api.Status, error) {
	var out api.Status
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/status"}, &out)
	return out, err
}

// ExplainPath is the path at which a gateway host explains, at its address for metrics, where a request would go.
const ExplainPath = "/explain"

// Explain returns the JSON document in which a gateway host explains where a request would go.
func (c *Client) Explain(ctx context.Context, query url.Values) (json.RawMessage, error) {
	var out json.RawMessage
	_, err := c.do(ctx, request{method: http.MethodGet, path: ExplainPath, query: query}, &out)
	return out, err
}

// Usage returns the usage windows that q selects.
func (c *Client) Usage(ctx context.Context, q api.UsageQuery) ([]api.Window, error) {
	query := url.Values{}
	if q.Customer != "" {
		query.Set("customer", q.Customer)
	}
	if !q.From.IsZero() {
		query.Set("from", q.From.Format(time.RFC3339))
	}
	if !q.To.IsZero() {
		query.Set("to", q.To.Format(time.RFC3339))
	}
	var out []api.Window
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/usage", query: query}, &out)
	return out, err
}

// Burn returns the burn report with at most limit customers.
func (c *Client) Burn(ctx context.Context, limit int) (burn.Report, error) {
	var out burn.Report
	_, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/burn", query: url.Values{"limit": {strconv.Itoa(limit)}}}, &out)
	return out, err
}

func optional(name, value string) url.Values {
	if value == "" {
		return nil
	}
	return url.Values{name: {value}}
}
