package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
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

var errNotAllowed = errors.New("the permit ended before the request was written")

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
		return 0, errNotAllowed
	}
	return c.Conn.Write(data)
}

// newTransport returns a transport. A fresh one opens a connection for each request, so that net/http, which replays
// a request only on a reused connection, never sends it twice.
func newTransport(connectTimeout time.Duration, fresh bool) *http.Transport {
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

// trial is what is known of one request to a server. net/http may try it on several connections: once a write was
// allowed on one of them, a refusal on a later one doesn't make the request "not run".
type trial struct {
	written atomic.Bool
	refused atomic.Bool
}

// execution returns NotRun only when it's certain that no byte of the request was written.
func (t *trial) execution() Execution {
	if t.written.Load() {
		return Unknown
	}
	return NotRun
}

// traced returns a context that records the trial and arms the gate of the connection.
func (t *trial) traced(ctx context.Context, allowed func() bool) context.Context {
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

// newHTTPRequest builds a request to a server. GetBody stays nil for a non-idempotent one, so that net/http can't
// send its body twice.
func newHTTPRequest(ctx context.Context, r *Request) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+r.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Header = forwardable(r.Header)
	request.Header.Set("X-Request-Id", r.Attempt)
	if len(r.Body) == 0 {
		return request, nil
	}
	body := func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(r.Body)), nil }
	request.Body, _ = body()
	request.ContentLength = int64(len(r.Body))
	if r.Idempotent {
		request.GetBody = body
	}
	return request, nil
}

// hopHeaders concern one connection only and are never forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// keyHeaders make net/http take a request for one that it may replay, so that they aren't forwarded.
var keyHeaders = []string{"Idempotency-Key", "X-Idempotency-Key"}

const ownHeaderPrefix = "Waxwing-"

// forwardable returns the headers that go to a server.
func forwardable(header http.Header) http.Header {
	forwarded := withoutHops(header)
	for _, name := range keyHeaders {
		forwarded.Del(name)
	}
	forwarded.Del("Idempotency-Key-Time")
	for name := range forwarded {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			delete(forwarded, name)
		}
	}
	return forwarded
}

func withoutHops(header http.Header) http.Header {
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
