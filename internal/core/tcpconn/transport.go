package tcpconn

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport is an http.RoundTripper that resets the connection of a request that is given up. It speaks HTTP/1.1 only, since a connection of
// HTTP/2 carries other requests as well.
type Transport struct{ transport *http.Transport }

// NewTransport returns a Transport that uses t, which must have a DialContext, and changes it.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewClient(c), nil
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return &Transport{t}
}

// NewDefaultTransport returns a Transport with the time limits and the proxy of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	dialer := net.Dialer{Timeout: 30 * time.Second, KeepAlive: 30 * time.Second}
	return NewTransport(&http.Transport{
		Proxy: http.ProxyFromEnvironment, DialContext: dialer.DialContext, MaxIdleConns: 100, IdleConnTimeout: 90 * time.Second,
		TLSHandshakeTimeout: 10 * time.Second, ExpectContinueTimeout: time.Second,
	})
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.transport.RoundTrip(req.WithContext(WithTrace(req.Context())))
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// WithTrace returns a context for one request, under which net/http reports the begin and the end of the request to its ClientConn.
func WithTrace(ctx context.Context) context.Context {
	var end atomic.Pointer[func()]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			endRequest := begin(info.Conn)
			end.Store(&endRequest)
		},
		PutIdleConn: func(err error) {
			if endRequest := end.Load(); err == nil && endRequest != nil {
				(*endRequest)()
			}
		},
	})
}

// begin calls Begin of the ClientConn that c uses, if there is one.
func begin(c net.Conn) (end func()) {
	for {
		if client, ok := c.(interface{ Begin() (end func()) }); ok {
			return client.Begin()
		}
		inner, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return func() {}
		}
		c = inner.NetConn()
	}
}
