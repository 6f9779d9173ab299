package httpclient

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"hickorypath/internal/core/tcpconn"
)

const (
	// maxIdle is the number of idle connections that a Transport keeps to each upstream.
	maxIdle = 64
	// maxInterim bounds the interim responses before a final one.
	maxInterim = 32
)

// Transport sends requests to upstreams over HTTP/1.1, on connections of type *CountingConn. It refuses the malformed heads of responses that
// net/http accepts. A request that is given up resets its connection.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that opens connections with dial and closes them after they have been idle for idleTimeout. With
// disableKeepAlives it opens a connection for each request.
func NewTransport(dial DialFunc, idleTimeout time.Duration, disableKeepAlives bool) *Transport {
	return &Transport{&http.Transport{
		DialContext:         CountingDial(dial),
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}}
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. The error is ErrMalformed if the head of the response, or that of an interim response, is malformed;
// the connection is closed then.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn net.Conn
	interim := 0
	ctx := httptrace.WithClientTrace(tcpconn.WithTrace(req.Context()), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if interim++; interim > maxInterim { // net/http sets no bound if there is such a function
				return errors.Wrap(ErrMalformed, "too many interim responses")
			}
			return checkFields(http.Header(h))
		},
	})
	res, err := t.transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(res); err != nil {
		if own, ok := asCountingConn(conn); ok {
			own.abandon(err)
		}
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// ErrMalformed is the error of a response whose head breaks the syntax of HTTP/1.1.
var ErrMalformed = errors.New("the head of the response is malformed")

// minStatus is the lowest status code that HTTP defines.
const minStatus = 100

// CheckHead returns ErrMalformed if the head of a response that net/http has read breaks the syntax of HTTP/1.1: its version, its status
// code, or the name or the value of a field. Another parser may see fields, and so a body, other than those that net/http has found.
func CheckHead(res *http.Response) error {
	if res.ProtoMajor != 1 || res.StatusCode < minStatus {
		return errors.Wrapf(ErrMalformed, "%q %q", res.Proto, res.Status)
	}
	return checkFields(res.Header)
}

// checkFields checks the syntax of header fields.
func checkFields(h http.Header) error {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrMalformed, "field %q", name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(ErrMalformed, "value of the field %q", name)
			}
		}
	}
	return nil
}
