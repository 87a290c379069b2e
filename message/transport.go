package message

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// NewHTTPClient returns an HTTP client for one back end of the platform, with at
// most conns connections. It follows no redirects, because an answer from
// elsewhere would prove nothing.
func NewHTTPClient(conns int, dialWithin time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            (&net.Dialer{Timeout: dialWithin}).DialContext,
			MaxConnsPerHost:        conns,
			MaxIdleConnsPerHost:    conns,
			IdleConnTimeout:        time.Minute,
			DisableCompression:     true,
			MaxResponseHeaderBytes: 64 << 10,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Traced returns a context for a request, and a function that reports whether a
// connection was assigned to it. Until then no byte of the request has been
// sent, which is proof that the server did nothing.
func Traced(ctx context.Context) (traced context.Context, assigned func() bool) {
	var got atomic.Bool
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got.Store(true) },
	}), got.Load
}
