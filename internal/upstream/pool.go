package upstream

import (
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/connreuse"
)

// Pool is the connections to backend servers. While servers are suspected of forgetting connections that rest, it uses
// only those that rested for a moment. It implements http.RoundTripper.
type Pool struct {
	lasting *http.Transport
	brief   *http.Transport
	// repeatable is for requests without a body, which net/http sends again when a connection breaks. Connections of
	// their own let them rest between two, so that nothing is lost when servers forget them.
	repeatable *http.Transport
	mu         sync.Mutex
	guard      connreuse.Guard
	// suspects is what the guard said for the latest request.
	suspects bool
	// suspected is called when a reset makes the servers suspect that weren't.
	suspected func()
}

// NewPool returns a pool without connections.
func NewPool(connectTimeout time.Duration) *Pool {
	p := &Pool{
		lasting: NewTransport(connectTimeout, false), brief: NewTransport(connectTimeout, false),
		repeatable: NewTransport(connectTimeout, false), suspected: func() {},
	}
	p.brief.IdleConnTimeout = connreuse.RestLimit
	return p
}

// OnSuspicion sets what is called when servers become suspect. It must be set before the first request.
func (p *Pool) OnSuspicion(suspected func()) { p.suspected = suspected }

// HeardSuspicion notes that another node has seen a server forget a connection.
func (p *Pool) HeardSuspicion(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guard.Heard(now)
}

// SeenForgotten reports whether this node has lately seen a server forget a connection.
func (p *Pool) SeenForgotten(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.guard.Seen(now)
}

// RoundTrip implements http.RoundTripper.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	transport := p.choose(request)
	try := &try{pool: p}
	traced := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: try.gotConn})
	answer, err := transport.RoundTrip(request.WithContext(traced))
	if err != nil && request.Context().Err() == nil {
		try.broke(time.Now())
	}
	return answer, err
}

func (p *Pool) choose(request *http.Request) *http.Transport {
	if request.Body == nil || request.Body == http.NoBody {
		return p.repeatable
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	suspects := p.guard.Suspects(time.Now())
	if suspects && !p.suspects {
		// Servers bound their connections, and these aren't used meanwhile.
		p.lasting.CloseIdleConnections()
	}
	p.suspects = suspects
	if suspects {
		return p.brief
	}
	return p.lasting
}

func (p *Pool) broke(now time.Time, rested, taken time.Duration) {
	p.mu.Lock()
	before := p.guard.Seen(now)
	suspect := p.guard.Broke(now, rested, taken)
	p.mu.Unlock()
	if suspect && !before {
		p.suspected()
	}
}

// try is the latest connection that was tried for one request. net/http takes another one by itself for a request
// without a body, if the first broke before the answer.
type try struct {
	pool *Pool
	mu   sync.Mutex
	at   time.Time
	// rested is zero for a fresh connection.
	rested time.Duration
}

func (t *try) gotConn(info httptrace.GotConnInfo) {
	now := time.Now()
	t.broke(now)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at, t.rested = now, info.IdleTime
}

// broke notes that the latest connection, if there was one, gave no answer.
func (t *try) broke(now time.Time) {
	t.mu.Lock()
	at, rested := t.at, t.rested
	t.mu.Unlock()
	if !at.IsZero() {
		t.pool.broke(now, rested, now.Sub(at))
	}
}
