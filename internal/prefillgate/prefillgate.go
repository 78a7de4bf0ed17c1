// Package prefillgate limits the rate at which one model server gets prompts. An engine prefills prompts between the
// decoding steps of running streams, so that several prompts at once make all its streams pause. The holder of the
// server admits the requests of all gateways at a rate that keeps these pauses below the routes' bound.
//
// The core is a deterministic state machine: its inputs are admission requests, the ends of prefills and the
// time; its outputs are grants.
package prefillgate

import (
	"sort"
	"time"
)

// Options describes a server's engine and the bound on the pauses of its streams.
type Options struct {
	// TokensPerMs is the engine's prefill speed in tokens per millisecond.
	TokensPerMs float64
	// MaxPause is the longest permitted pause between two events of a stream.
	MaxPause time.Duration
}

const (
	// pauseShare is the share of MaxPause that prefills may use; the rest is for the decoding steps of one event, of 5
	// to 8 ms each.
	pauseShare = 0.65
	// rankDelay is how much later a request is due than one that arrived at the same time and is one rank more urgent.
	rankDelay = 100 * time.Millisecond
	// readTimeout is the time after which the prompt of a granted request counts as read without a message of its
	// gateway.
	readTimeout = 1500 * time.Millisecond
	// queueTimeout is the time after which a queued request is dropped; gateways stop waiting earlier.
	queueTimeout = 3 * time.Second
)

// Request is a gateway's request for admission of a prompt.
type Request struct {
	// Node is the name of the gateway. Node and ID together identify the request.
	Node string
	ID   uint64
	// Tokens is the size of the prompt.
	Tokens int
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// At is when the request arrived.
	At time.Time
}

type key struct {
	node string
	id   uint64
}

type grant struct {
	tokens int
	at     time.Time
}

// Core is the state of one server's gate. It isn't safe for concurrent use.
type Core struct {
	window time.Duration
	// limit bounds the tokens that are granted within the window, and those that are granted and not yet read, so that
	// a slow server gets fewer. A prompt above the limit is granted alone.
	limit int
	// queue holds the waiting requests in the order in which they are due.
	queue   []Request
	granted map[key]grant
	// unreadTokens is the number of tokens that are granted and not yet read.
	unreadTokens int
	// recent holds the grants within the window, oldest first, and recentTokens is the sum of their tokens.
	recent       []grant
	recentTokens int
}

// New returns a gate that admits within MaxPause as many tokens as the engine reads in pauseShare of it.
func New(options Options) *Core {
	pause := float64(options.MaxPause) / float64(time.Millisecond)
	return &Core{
		window: options.MaxPause, limit: int(pauseShare * options.TokensPerMs * pause), granted: make(map[key]grant),
	}
}

// Enqueue adds a request, unless it is queued or granted already.
func (c *Core) Enqueue(request Request) {
	if _, found := c.granted[key{request.Node, request.ID}]; found {
		return
	}
	for _, queued := range c.queue {
		if queued.Node == request.Node && queued.ID == request.ID {
			return
		}
	}
	c.queue = append(c.queue, request)
	sort.SliceStable(c.queue, func(i, j int) bool { return due(c.queue[i]).Before(due(c.queue[j])) })
}

// due returns the time by which the queue is ordered.
func due(request Request) time.Time {
	return request.At.Add(time.Duration(request.Priority) * rankDelay)
}

// Granted reports whether a request is granted and its prompt isn't read yet.
func (c *Core) Granted(node string, id uint64) bool {
	_, granted := c.granted[key{node, id}]
	return granted
}

// Done records that the prompt of a request was read, or that its gateway abandoned the request.
func (c *Core) Done(node string, id uint64) {
	k := key{node, id}
	if g, found := c.granted[k]; found {
		c.unreadTokens -= g.tokens
		delete(c.granted, k)
		return
	}
	for i, queued := range c.queue {
		if queued.Node == node && queued.ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// Next grants the requests that may be sent now and returns them, and when to call it again; a zero time means at the
// next event.
func (c *Core) Next(now time.Time) (granted []Request, next time.Time) {
	c.expire(now)
	for len(c.queue) > 0 {
		request := c.queue[0]
		if c.unreadTokens > 0 && c.unreadTokens+request.Tokens > c.limit {
			return granted, now.Add(readTimeout)
		}
		if c.recentTokens > 0 && c.recentTokens+request.Tokens > c.limit {
			return granted, c.recent[0].at.Add(c.window)
		}
		c.queue = c.queue[1:]
		c.unreadTokens += request.Tokens
		c.recentTokens += request.Tokens
		c.recent = append(c.recent, grant{tokens: request.Tokens, at: now})
		c.granted[key{request.Node, request.ID}] = grant{tokens: request.Tokens, at: now}
		granted = append(granted, request)
	}
	return granted, time.Time{}
}

// expire drops the grants that left the window or timed out, and the requests that timed out.
func (c *Core) expire(now time.Time) {
	for len(c.recent) > 0 && now.Sub(c.recent[0].at) >= c.window {
		c.recentTokens -= c.recent[0].tokens
		c.recent = c.recent[1:]
	}
	for k, g := range c.granted {
		if now.Sub(g.at) > readTimeout {
			c.unreadTokens -= g.tokens
			delete(c.granted, k)
		}
	}
	valid := c.queue[:0]
	for _, request := range c.queue {
		if now.Sub(request.At) <= queueTimeout {
			valid = append(valid, request)
		}
	}
	c.queue = valid
}

// Backlog estimates how long a new request would wait.
func (c *Core) Backlog() time.Duration {
	waiting := 0
	for _, request := range c.queue {
		waiting += request.Tokens
	}
	return time.Duration(float64(c.window) * float64(waiting) / float64(c.limit))
}
