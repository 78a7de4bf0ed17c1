// Package prefillgate spreads the prompts that one model server reads over time. An engine reads prompts between the
// tokens of running streams, so that several prompts at once make all its streams pause. The holder of the server
// admits requests of all gateways at a rate that keeps these pauses below the routes' bound.
//
// The core is deterministic: asks, starts and the time go in, grants come out.
package prefillgate

import (
	"sort"
	"time"
)

// Options describe a server's engine and what its callers expect.
type Options struct {
	// TokensPerMs is the speed at which the engine reads prompts.
	TokensPerMs float64
	// MaxPause is the longest pause between two events of a stream that counts as on time.
	MaxPause time.Duration
}

const (
	// pauseShare is the share of the longest pause that prompts may take; the rest is for the decoding steps of one
	// event, of 5 to 8 ms each.
	pauseShare = 0.65
	// rankDelay is how much longer a request waits than one that is a rank more urgent.
	rankDelay = 100 * time.Millisecond
	// startTimeout is after how long a granted request counts as read though its gateway has said nothing.
	startTimeout = 1500 * time.Millisecond
	// askTimeout is after how long an ask is dropped; gateways don't wait so long.
	askTimeout = 3 * time.Second
)

// Ask is a gateway's wish to send a request.
type Ask struct {
	// ID identifies the ask together with Node.
	Node string
	ID   uint64
	// Tokens is the size of the prompt.
	Tokens int
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// At is when the ask arrived.
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
	// limit bounds the tokens that are granted within the window, and those that were granted and not yet read, so
	// that a slow server is admitted less. A larger prompt goes alone.
	limit   int
	queue   []Ask
	granted map[key]grant
	unread  int
	// recent are the grants within the window, oldest first, and recentSum their tokens.
	recent    []grant
	recentSum int
}

// New returns a gate that admits at once what fits into one pause.
func New(options Options) *Core {
	pause := float64(options.MaxPause) / float64(time.Millisecond)
	return &Core{
		window: options.MaxPause, limit: int(pauseShare * options.TokensPerMs * pause), granted: make(map[key]grant),
	}
}

// Enqueue adds an ask; one that is known already changes nothing.
func (c *Core) Enqueue(ask Ask) {
	if _, known := c.granted[key{ask.Node, ask.ID}]; known {
		return
	}
	for _, queued := range c.queue {
		if queued.Node == ask.Node && queued.ID == ask.ID {
			return
		}
	}
	c.queue = append(c.queue, ask)
	sort.SliceStable(c.queue, func(i, j int) bool { return due(c.queue[i]).Before(due(c.queue[j])) })
}

func due(ask Ask) time.Time { return ask.At.Add(time.Duration(ask.Priority) * rankDelay) }

// Granted reports whether an ask was granted and isn't over.
func (c *Core) Granted(node string, id uint64) bool {
	_, granted := c.granted[key{node, id}]
	return granted
}

// Done notes that the prompt of a request was read, or that its gateway gave it up.
func (c *Core) Done(node string, id uint64) {
	k := key{node, id}
	if known, found := c.granted[k]; found {
		c.unread -= known.tokens
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

// Next returns the asks that may go now, and when to ask again; a zero time means at the next event.
func (c *Core) Next(now time.Time) (granted []Ask, again time.Time) {
	c.expire(now)
	for len(c.queue) > 0 {
		ask := c.queue[0]
		if c.unread > 0 && c.unread+ask.Tokens > c.limit {
			return granted, now.Add(startTimeout)
		}
		if c.recentSum > 0 && c.recentSum+ask.Tokens > c.limit {
			return granted, c.recent[0].at.Add(c.window)
		}
		c.queue = c.queue[1:]
		c.unread += ask.Tokens
		c.recentSum += ask.Tokens
		c.recent = append(c.recent, grant{tokens: ask.Tokens, at: now})
		c.granted[key{ask.Node, ask.ID}] = grant{tokens: ask.Tokens, at: now}
		granted = append(granted, ask)
	}
	return granted, time.Time{}
}

func (c *Core) expire(now time.Time) {
	for len(c.recent) > 0 && now.Sub(c.recent[0].at) >= c.window {
		c.recentSum -= c.recent[0].tokens
		c.recent = c.recent[1:]
	}
	for k, known := range c.granted {
		if now.Sub(known.at) > startTimeout {
			c.unread -= known.tokens
			delete(c.granted, k)
		}
	}
	kept := c.queue[:0]
	for _, ask := range c.queue {
		if now.Sub(ask.At) <= askTimeout {
			kept = append(kept, ask)
		}
	}
	c.queue = kept
}

// Backlog returns about how long a new ask would wait.
func (c *Core) Backlog() time.Duration {
	waiting := 0
	for _, ask := range c.queue {
		waiting += ask.Tokens
	}
	return time.Duration(float64(c.window) * float64(waiting) / float64(c.limit))
}
