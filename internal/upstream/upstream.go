// Package upstream manages the HTTP connections to backend servers. It records whether a request may have been written
// to a server and removes hop-by-hop headers.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
)

// MaximumHeaderBytes bounds the head of an answer. Many short fields take a multiple of it in memory.
const MaximumHeaderBytes = 16 << 10

const (
	maximumIdlePerServer  = 256
	idleConnectionTimeout = 60 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unreachable peer within 5 s, also while an answer is
	// awaited and no data arrives.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// ErrNotAllowed is returned for a request that its allowed function stopped before the first byte was written.
var ErrNotAllowed = errors.New("the permit ended before the request was written")

// gatedConn checks whether a request may still be sent, just before its first write, and paces large answers.
type gatedConn struct {
	net.Conn
	// pacer may be nil.
	pacer   *bytelimit.Pacer
	closed  chan struct{}
	closing sync.Once

	mu      sync.Mutex
	allowed func() bool
	// allowance is that of the answer to the current request.
	allowance allowance
	exchange  exchange
}

func newGatedConn(conn net.Conn, pacer *bytelimit.Pacer) *gatedConn {
	return &gatedConn{Conn: conn, pacer: pacer, closed: make(chan struct{}), allowance: allowance{startedAt: time.Now()}}
}

// arm prepares the connection for a request.
func (c *gatedConn) arm(allowed func() bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.allowed = allowed
	c.allowance = allowance{startedAt: time.Now()}
	c.exchange.begin()
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
	c.beginWrite()
	n, err := c.Conn.Write(data)
	c.endWrite(err)
	return n, err
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewDial returns a Dial whose connections are given up when their peer can't be reached.
func NewDial(connectTimeout time.Duration) Dial {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
	}
	return dialer.DialContext
}

// NewTransport returns a transport. If fresh is set, it opens a connection for each request. As net/http retries a
// request only after a reused connection broke, it then never sends a request twice.
func NewTransport(connectTimeout time.Duration, fresh bool) *Transport {
	return NewPacedTransport(connectTimeout, fresh, nil)
}

// NewPacedTransport is NewTransport with a pacer of large answers.
func NewPacedTransport(connectTimeout time.Duration, fresh bool, pacer *bytelimit.Pacer) *Transport {
	return newTransport(NewDial(connectTimeout), fresh, func() *bytelimit.Pacer { return pacer })
}

func newTransport(dial Dial, fresh bool, pacer func() *bytelimit.Pacer) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGatedConn(checkHeads(conn), pacer()), nil
		},
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maximumIdlePerServer,
		IdleConnTimeout:     idleConnectionTimeout,
		// The default of 10 MB per answer is too much for a small VM.
		MaxResponseHeaderBytes: MaximumHeaderBytes,
	}}
}

// RequestTrace records the writes of one request to a server. net/http may try a request on several connections: once a
// write was allowed on one of them, the request may have run, even if a write on a later connection is refused.
type RequestTrace struct {
	// Avoided holds connections on which the request isn't sent; may be nil.
	Avoided *Connections

	written atomic.Bool
	refused atomic.Bool
	avoided atomic.Bool
	// conn is the connection that the request got last.
	conn atomic.Pointer[gatedConn]
}

// Connections is a set of connections to servers. It isn't safe for concurrent use.
type Connections struct{ conns []*gatedConn }

// Add adds the connection of a request.
func (c *Connections) Add(trace *RequestTrace) {
	if conn := trace.conn.Load(); conn != nil {
		c.conns = append(c.conns, conn)
	}
}

func (c *Connections) has(conn *gatedConn) bool { return c != nil && slices.Contains(c.conns, conn) }

// Discard closes the connection of the request, so that no other one gets it.
func (t *RequestTrace) Discard() {
	if conn := t.conn.Load(); conn != nil {
		// A connection that is closed already has no use for another error.
		_ = conn.Close()
	}
}

// WasAvoided reports whether the request wasn't written because it got a connection in Avoided, which is closed then.
func (t *RequestTrace) WasAvoided() bool { return t.avoided.Load() && !t.Written() }

// Written reports whether a byte of the request may have been written to a server.
func (t *RequestTrace) Written() bool { return t.written.Load() }

// WithTrace returns a context for the request. It makes the connection call allowed just before the first write, and
// records the result in t.
func (t *RequestTrace) WithTrace(ctx context.Context, allowed func() bool) context.Context {
	check := func() bool {
		t.avoided.Store(t.Avoided.has(t.conn.Load()))
		ok := !t.avoided.Load() && allowed() && ctx.Err() == nil
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
			t.conn.Store(conn)
			conn.arm(check)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn := t.conn.Load(); conn != nil && info.Err == nil {
				conn.requestWritten()
			}
		},
	})
}

// hopHeaders are the hop-by-hop headers, which are never forwarded.
var hopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// WithoutHopHeaders returns a copy of header without the hop-by-hop headers.
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

// Refused reports whether the allowed function refused the last write.
func (t *RequestTrace) Refused() bool { return t.refused.Load() }
