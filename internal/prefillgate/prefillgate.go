// Package prefillgate limits the rate at which one model server gets prompts. An engine prefills prompts between the
// decoding steps of running streams, so that several prompts at once make all its streams pause. The holder of the
// server admits the requests of all gateways at a rate that keeps these pauses below the routes' bound.
//
// The core is a deterministic state machine: its inputs are admission requests, the ends of prefills and the
// time; its outputs are grants.
package prefillgate

import (
	"math"
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decay"
)

// Options holds the bound on the pauses of a server's streams.
type Options struct {
	// MaxPause is the longest permitted pause between two events of a stream.
	MaxPause time.Duration
}

const (
	// burstShare is the share of MaxPause, less the decoding steps of one event, that the prompts of one burst may use.
	burstShare = 0.7
	// initialEventTime is assumed until events have been observed.
	initialEventTime = 40 * time.Millisecond
	// rankDelay is how much later a request is due than one that arrived at the same time and is one rank more urgent.
	rankDelay = 100 * time.Millisecond
	// A granted prompt counts as read without a message of its gateway after readTimeoutFactor times the expected time
	// and readTimeoutMargin, or after longestReadTimeout. The time doubles with each timeout until a prompt is read.
	readTimeoutFactor  = 2
	readTimeoutMargin  = 150 * time.Millisecond
	longestReadTimeout = 1500 * time.Millisecond
	// queueTimeout is the time after which a queued request is dropped; gateways stop waiting earlier.
	queueTimeout = 3 * time.Second
	// arrivalHalfLife is the half-life of the weight of a request in the rate of arrivals: with 7 requests a second, the
	// rate is off by a sixth.
	arrivalHalfLife = 5 * time.Second
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
	// Lifetime is the time until the deadline of a request whose end will be told; 0 for others.
	Lifetime time.Duration
}

type key struct {
	node string
	id   uint64
}

type grant struct {
	tokens int
	// expiresAt is when the prompt counts as read without a message.
	expiresAt time.Time
}

// Core is the state of one server's gate. It isn't safe for concurrent use.
type Core struct {
	options Options
	speed   speedEstimate
	busy    busyPeriod
	// queue holds the waiting requests in the order in which they are due.
	queue   []Request
	granted map[key]grant
	// unreadTokens is the number of tokens that are granted and not yet read.
	unreadTokens int
	// burstTokens is the number of tokens granted since the engine last decoded for eventTime without reading.
	burstTokens int
	// idleSince is when the last granted prompt was read; it is meaningless while prompts are unread.
	idleSince time.Time
	// eventTime is the time of the decoding steps of one event, without prompts.
	eventTime time.Duration
	// timeouts counts the prompts that timed out since one was read.
	timeouts int
	// asked counts all requests, and arrivals the recent ones.
	asked    int
	arrivals decay.Count
	presence presence
}

// New returns a gate for an engine of unknown speed.
func New(options Options) *Core {
	return &Core{
		options: options, speed: newSpeedEstimate(), granted: make(map[key]grant), eventTime: initialEventTime,
		presence: presence{known: make(map[key]ongoing)},
	}
}

// TokensPerMs returns the estimated speed at which the engine reads prompts, in tokens per millisecond.
func (c *Core) TokensPerMs() float64 { return c.speed.tokensPerMs() }

// SetEventTime sets the time of the decoding steps of one event, as observed between the events of running streams.
func (c *Core) SetEventTime(eventTime time.Duration) { c.eventTime = eventTime }

// limit bounds the tokens of one burst, which are the prompts granted until the engine decodes the tokens of one event
// without reading. A prompt above the limit is granted alone.
func (c *Core) limit() int {
	pause := float64(c.options.MaxPause-c.eventTime) / float64(time.Millisecond)
	return int(burstShare * c.speed.tokensPerMs() * max(pause, 0))
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
	c.asked++
	c.arrivals = c.arrivals.Add(request.At, arrivalHalfLife, 1)
	c.queue = append(c.queue, request)
	sort.SliceStable(c.queue, func(i, j int) bool { return due(c.queue[i]).Before(due(c.queue[j])) })
}

// Asked returns the number of requests so far.
func (c *Core) Asked() int { return c.asked }

// Arrivals returns the rate of requests per second.
func (c *Core) Arrivals(now time.Time) float64 {
	return c.arrivals.Value(now, arrivalHalfLife) * math.Ln2 / arrivalHalfLife.Seconds()
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
func (c *Core) Done(now time.Time, node string, id uint64, read bool) {
	k := key{node, id}
	if !read {
		c.Ended(now, node, id)
	}
	if g, found := c.granted[k]; found {
		delete(c.granted, k)
		if read {
			c.timeouts = 0
		} else {
			c.busy.abandoned = true
		}
		c.settle(now, g)
		return
	}
	for i, queued := range c.queue {
		if queued.Node == node && queued.ID == id {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
}

// settle ends a grant. When it was the last one, the engine has nothing left to read and the busy period ends.
func (c *Core) settle(now time.Time, g grant) {
	c.unreadTokens -= g.tokens
	if len(c.granted) > 0 {
		return
	}
	c.idleSince = now
	if tokens, milliseconds, usable := c.busy.sample(now); usable {
		c.speed.add(tokens, milliseconds)
	}
}

// Next grants the requests that may be sent now and returns them, and when to call it again; a zero time means at the
// next event.
func (c *Core) Next(now time.Time) (granted []Request, next time.Time) {
	c.expire(now)
	c.endBurst(now)
	limit := c.limit()
	for len(c.queue) > 0 {
		request := c.queue[0]
		if until, blocked := c.blockedUntil(now); blocked {
			return granted, until
		}
		if c.burstTokens > 0 && c.burstTokens+request.Tokens > limit {
			return granted, c.nextBurst(now)
		}
		c.queue = c.queue[1:]
		if len(c.granted) == 0 {
			c.busy = busyPeriod{since: now}
		}
		c.busy.tokens += request.Tokens
		c.burstTokens += request.Tokens
		c.unreadTokens += request.Tokens
		c.granted[key{request.Node, request.ID}] = grant{tokens: request.Tokens, expiresAt: now.Add(c.readTimeout())}
		c.presence.begin(now, request)
		granted = append(granted, request)
	}
	return granted, time.Time{}
}

// endBurst ends the burst when the engine has decoded without reading for the time of one event, so that no event spans
// the prompts of two bursts.
func (c *Core) endBurst(now time.Time) {
	if len(c.granted) == 0 && now.Sub(c.idleSince) >= c.eventTime {
		c.burstTokens = 0
	}
}

// nextBurst returns when the next burst can begin if no message arrives before.
func (c *Core) nextBurst(now time.Time) time.Time {
	if len(c.granted) == 0 {
		return c.idleSince.Add(c.eventTime)
	}
	next := now.Add(longestReadTimeout)
	for _, g := range c.granted {
		if g.expiresAt.Before(next) {
			next = g.expiresAt
		}
	}
	return next
}

// readTimeout returns how long the engine may take for all unread prompts before the latest one counts as read without a
// message of its gateway.
func (c *Core) readTimeout() time.Duration {
	expected := time.Duration(float64(c.unreadTokens) / c.speed.tokensPerMs() * float64(time.Millisecond))
	timeout := readTimeoutFactor*expected + readTimeoutMargin
	for range c.timeouts {
		if timeout *= 2; timeout >= longestReadTimeout {
			return longestReadTimeout
		}
	}
	return min(timeout, longestReadTimeout)
}

// expire ends the grants and drops the queued requests that timed out.
func (c *Core) expire(now time.Time) {
	for k, g := range c.granted {
		if !now.Before(g.expiresAt) {
			delete(c.granted, k)
			c.timeouts++
			c.settle(now, g)
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
	return c.roomWait() + time.Duration(float64(waiting)/c.speed.tokensPerMs()*float64(time.Millisecond))
}
