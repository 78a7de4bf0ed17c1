// Package upstream holds the HTTP connections to backend servers: which headers go over them, and whether a request
// may have been written to one.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maximumIdlePerServer  = 256
	idleConnectionTimeout = 60 * time.Second
	maximumHeaderBytes    = 64 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveCount find a connection whose other end is gone within 5 s,
	// also while a whole answer is awaited and no data is due.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// ErrNotAllowed says that a request was withheld by its Allowed function.
var ErrNotAllowed = errors.New("the permit ended before the request was written")

// gatedConn asks for leave just before the first write of each request.
type gatedConn struct {
	net.Conn
	mu      sync.Mutex
	allowed func() bool
}

func (c *gatedConn) arm(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
}

// Write implements net.Conn.
func (c *gatedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	allowed := c.allowed
	c.allowed = nil
	c.mu.Unlock()
	if allowed != nil && !allowed() {
		return 0, ErrNotAllowed
	}
	return c.Conn.Write(data)
}

// NewTransport returns a transport. A fresh one opens a connection for each request, so that net/http, which replays
// a request only on a reused connection, never sends it twice.
func NewTransport(connectTimeout time.Duration, fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maximumIdlePerServer,
		IdleConnTimeout:     idleConnectionTimeout,
		// The default of 10 MB for each answer is too much for a small VM.
		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// Trial is what is known of one request to a server. net/http may try it on several connections: once a write was
// allowed on one of them, a refusal on a later one doesn't make the request "not run".
type Trial struct {
	written atomic.Bool
	refused atomic.Bool
}

// Written reports whether a byte of the request may have been written to a server.
func (t *Trial) Written() bool { return t.written.Load() }

// Traced returns a context that records the trial and arms the gate of the connection.
func (t *Trial) Traced(ctx context.Context, allowed func() bool) context.Context {
	check := func() bool {
		ok := allowed() && ctx.Err() == nil
		if ok {
			t.written.Store(true)
		}
		t.refused.Store(!ok)
		return ok
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn, ok := info.Conn.(*gatedConn)
			if !ok {
				t.written.Store(true)
				return
			}
			conn.arm(check)
		},
	})
}

// hopHeaders concern one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// WithoutHopHeaders returns a copy without the headers that concern one connection only.
func WithoutHopHeaders(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		kept.Del(name)
	}
	return kept
}

// Refused reports whether the last write was withheld.
func (t *Trial) Refused() bool { return t.refused.Load() }
