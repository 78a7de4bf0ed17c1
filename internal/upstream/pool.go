package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connreuse"
	"waxwingcleat.example/waxwingcleat/internal/failure"
)

// Pool is an http.RoundTripper that reuses connections to backend servers. Servers may drop idle connections silently
// and reset them when the next request is sent on one. While the pool suspects that, it reuses a connection only for
// connreuse.IdleLimit after the last request on it.
type Pool struct {
	longIdle  *Transport
	shortIdle *Transport
	dial      Dial
	// pacer paces large answers; it may be nil.
	pacer *bytelimit.Pacer
	// withoutBody is for requests without a body, which net/http retries when a reused connection breaks. They have
	// connections of their own, which become idle between requests: a drop is detected there without losing a request.
	withoutBody *Transport
	mu          sync.Mutex
	guard       connreuse.Guard
	// suspecting is the guard's verdict at the latest request.
	suspecting bool
	// onSuspicion is called when a reset makes this node start to suspect servers.
	onSuspicion func()
}

// NewPool returns an empty pool that opens connections with dial.
func NewPool(dial Dial) *Pool {
	p := &Pool{dial: dial, onSuspicion: func() {}}
	pacer := func() *bytelimit.Pacer { return p.pacer }
	p.longIdle, p.shortIdle = newTransport(dial, false, pacer), newTransport(dial, false, pacer)
	p.withoutBody = newTransport(dial, false, pacer)
	p.shortIdle.IdleConnTimeout = connreuse.IdleLimit
	return p
}

// Accepts tries a new connection to a server and closes it. It returns nil if the server accepted it.
func (p *Pool) Accepts(ctx context.Context, address string) error {
	connection, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return failure.Wrap(err, failure.Unavailable, "try connection", address)
	}
	defer connection.Close()
	return nil
}

// OnIdleDropsDetected sets a function that is called when this node starts to suspect that servers drop idle
// connections. It must be called before the first request.
func (p *Pool) OnIdleDropsDetected(onSuspicion func()) { p.onSuspicion = onSuspicion }

// Pace sets the pacer of large answers. It must be called before the first request.
func (p *Pool) Pace(pacer *bytelimit.Pacer) { p.pacer = pacer }

// NotePeerSuspicion records that another node suspects that servers drop idle connections.
func (p *Pool) NotePeerSuspicion(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.PeerSuspects(now)
}

// DetectedIdleDrops reports whether this node suspects that servers drop idle connections, because of resets that it
// has observed itself.
func (p *Pool) DetectedIdleDrops(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.SuspectsOnItsOwn(now)
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := p.chooseTransport(request)
	attempt := &connAttempt{pool: p}
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: attempt.gotConn})
	answer, err := transport.RoundTrip(request.WithContext(traced))
	var malformed *MalformedError
	if err != nil && request.Context().Err() == nil && !errors.As(err, &malformed) {
		attempt.noteBreak(time.Now())
	}
	return answer, err
}

// chooseTransport returns the transport for a request.
func (p *Pool) chooseTransport(request *http.Request) *Transport {
	if request.Body == nil || request.Body == http.NoBody {
		return p.withoutBody
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	suspecting := p.guard.Suspects(time.Now())
	if suspecting && !p.suspecting {
		// These connections won't be used for now, and servers limit the number of their connections.
		p.longIdle.CloseIdleConnections()
	}
	p.suspecting = suspecting
	if suspecting {
		return p.shortIdle
	}
	return p.longIdle
}

// noteBreak records a connection that broke without an answer, with its idle time before the request and the time since
// the request got it.
func (p *Pool) noteBreak(now time.Time, idle, elapsed time.Duration) {
	p.mu.Lock()
	alreadySuspected := p.guard.SuspectsOnItsOwn(now)
	suspect := p.guard.Broke(now, idle, elapsed)
	p.mu.Unlock()
	if suspect && !alreadySuspected {
		p.onSuspicion()
	}
}

// connAttempt tracks the latest connection used for one request. For a request without a body, net/http switches to
// another connection by itself if the first one breaks before the answer.
type connAttempt struct {
	pool *Pool
	mu   sync.Mutex
	// sentAt is when the request got the connection.
	sentAt time.Time
	// idle is how long the connection was idle before; zero for a new one.
	idle time.Duration
}

func (t *connAttempt) gotConn(info httptrace.GotConnInfo) {
	now := time.Now()
	t.noteBreak(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentAt, t.idle = now, info.IdleTime
}

// noteBreak records that the latest connection, if there was one, broke without an answer.
func (t *connAttempt) noteBreak(now time.Time) {
	t.mu.Lock()
	sentAt, idle := t.sentAt, t.idle
	t.mu.Unlock()
	if !sentAt.IsZero() {
		t.pool.noteBreak(now, idle, now.Sub(sentAt))
	}
}
