package requestlimit

import (
	"slices"
	"time"
)

// Shares of a server's limit. One coordinator grants requests for all nodes, and nodes that can't reach it send within a
// share of their own. While the coordinator changes, the previous one may still grant. All shares together stay below
// 1.5, the excess that the platform allows.
const (
	coordinatorShare = 0.9
	// lapsedShare applies to a coordinator whose lease has lapsed, as another node may have become the coordinator.
	lapsedShare = 0.4
	// unreachableShare is divided among all nodes.
	unreachableShare = 0.15
)

const (
	// minimumRate is the rate at which a server with a lower limit still gets requests, in requests a second. Without any,
	// nobody would notice the end of the limit. It stays within the 5 requests that the platform allows beyond each limit.
	minimumRate = 0.25
	// burstTime is how much of the rate may be saved up, at least one request.
	burstTime = 250 * time.Millisecond
	// initialPause is the time for which a new allocator grants nothing. It covers the requests that were sent before the
	// limit was known, or that a previous coordinator granted.
	initialPause = time.Second
	// maximumDebt bounds the calls that were made without a grant and not yet made up for, as a time.
	maximumDebt = 2 * time.Second
	// callShare is the share of the limit for the reports and orders of the server's holder, and maximumCallInterval bounds
	// the time between two of them.
	callShare           = 0.25
	maximumCallInterval = 2 * time.Second
	// grantMemory is how long grants are remembered, for repeated requests and for returns.
	grantMemory = 3 * time.Second
)

// CallInterval returns the least time between two calls of the holder, reports or orders, to a server with a limit.
func CallInterval(perSecond float64) time.Duration {
	return min(interval(callShare*max(perSecond, minimumRate)), maximumCallInterval)
}

// GrantInterval returns the mean time between two grants at a server with a limit.
func GrantInterval(perSecond float64) time.Duration {
	return interval(coordinatorShare * max(perSecond, minimumRate))
}

func interval(rate float64) time.Duration { return time.Duration(float64(time.Second) / rate) }

// Request is a node's request to send something to the server. Node and ID together identify it.
type Request struct {
	Node string
	ID   uint64
	// Priority is the rank, 0 the most urgent.
	Priority int
	// Patience is how long the request waits at most.
	Patience time.Duration
}

type key struct {
	node string
	id   uint64
}

func (r Request) key() key { return key{r.Node, r.ID} }

// Answer is the answer to a request.
type Answer struct {
	Granted bool
	// Queued is true when the request waits for its grant.
	Queued bool
	// RoomIn is the time after which the server probably has room, for a request that is neither granted nor queued.
	RoomIn time.Duration
}

type queued struct {
	Request
	until time.Time
}

// Allocator grants the requests of all nodes to one server at the rate of its limit. Requests that are more urgent are
// granted first.
type Allocator struct {
	bucket bucket
	// callCost is the number of grants that a call of the holder costs. At low limits it's below 1, as calls, which don't
	// become rarer than maximumCallInterval, would otherwise leave nothing to requests.
	callCost float64
	queue    []queued
	granted  map[key]time.Time
}

// NewAllocator returns an allocator for a server with a limit.
func NewAllocator(now time.Time, perSecond float64, leaseHeld bool) *Allocator {
	a := &Allocator{granted: make(map[key]time.Time), bucket: bucket{at: now}}
	a.SetLimit(now, perSecond, leaseHeld)
	a.bucket.tokens = -initialPause.Seconds() * a.bucket.rate
	return a
}

// SetLimit sets the server's limit, and whether this node still holds the lease that makes it the coordinator.
func (a *Allocator) SetLimit(now time.Time, perSecond float64, leaseHeld bool) {
	share := coordinatorShare
	if !leaseHeld {
		share = lapsedShare
	}
	a.bucket.advance(now)
	a.bucket.rate = share * max(perSecond, minimumRate)
	a.callCost = min(callShare*max(perSecond, minimumRate)*maximumCallInterval.Seconds(), 1)
}

// Ask handles a request of a node, also a repeated one.
func (a *Allocator) Ask(now time.Time, request Request) Answer {
	a.bucket.advance(now)
	if _, found := a.granted[request.key()]; found {
		return Answer{Granted: true}
	}
	if a.position(request.key()) >= 0 {
		return Answer{Queued: true}
	}
	wait := a.wait(request.Priority)
	if wait > request.Patience {
		return Answer{RoomIn: wait}
	}
	if wait > 0 {
		a.queue = append(a.queue, queued{request, now.Add(request.Patience)})
		slices.SortStableFunc(a.queue, func(a, b queued) int { return a.Priority - b.Priority })
		return Answer{Queued: true}
	}
	a.grant(now, request)
	return Answer{Granted: true}
}

// wait estimates how long a request of the given rank waits for its grant.
func (a *Allocator) wait(priority int) time.Duration {
	ahead := 0
	for _, q := range a.queue {
		if q.Priority <= priority {
			ahead++
		}
	}
	return a.bucket.until(float64(ahead + 1))
}

func (a *Allocator) position(k key) int {
	return slices.IndexFunc(a.queue, func(q queued) bool { return q.key() == k })
}

func (a *Allocator) grant(now time.Time, request Request) {
	a.bucket.tokens--
	a.granted[request.key()] = now
}

// Return ends a request that was not sent, granted or not.
func (a *Allocator) Return(now time.Time, node string, id uint64) {
	a.bucket.advance(now)
	k := key{node, id}
	if _, found := a.granted[k]; found {
		delete(a.granted, k)
		a.bucket.tokens++
		return
	}
	if i := a.position(k); i >= 0 {
		a.queue = slices.Delete(a.queue, i, i+1)
	}
}

// Charge accounts for a call to the server that needed no grant.
func (a *Allocator) Charge(now time.Time) {
	a.bucket.advance(now)
	a.bucket.tokens = max(a.bucket.tokens-a.callCost, -maximumDebt.Seconds()*a.bucket.rate)
}

// Next grants the queued requests for which there is room and returns them, and when to call it again; a zero time means
// at the next request.
func (a *Allocator) Next(now time.Time) (granted []Request, next time.Time) {
	a.bucket.advance(now)
	for k, at := range a.granted {
		if now.Sub(at) > grantMemory {
			delete(a.granted, k)
		}
	}
	a.queue = slices.DeleteFunc(a.queue, func(q queued) bool { return now.After(q.until) })
	for len(a.queue) > 0 {
		if wait := a.bucket.until(1); wait > 0 {
			return granted, now.Add(wait)
		}
		request := a.queue[0].Request
		a.queue = a.queue[1:]
		a.grant(now, request)
		granted = append(granted, request)
	}
	return granted, time.Time{}
}

// Waiting returns the number of queued requests.
func (a *Allocator) Waiting() int { return len(a.queue) }

// Share is what one node sends to a server without the coordinator.
type Share struct{ bucket bucket }

// NewShare returns a share. fill is a random number from 0 to 1: nodes that lose the coordinator together then don't send
// together.
func NewShare(now time.Time, fill float64) *Share { return &Share{bucket{tokens: fill, at: now}} }

// Take takes one request out of the share of one of several nodes. It returns false and the time until there is one if
// there is none now.
func (s *Share) Take(now time.Time, perSecond float64, nodes int) (ok bool, roomIn time.Duration) {
	s.bucket.advance(now)
	s.bucket.rate = unreachableShare * max(perSecond, minimumRate) / float64(max(nodes, 1))
	if wait := s.bucket.until(1); wait > 0 {
		return false, wait
	}
	s.bucket.tokens--
	return true, 0
}

// bucket is a token bucket. Its tokens may become negative.
type bucket struct {
	// rate is the number of tokens a second.
	rate   float64
	tokens float64
	at     time.Time
}

func (b *bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed*b.rate, b.capacity())
		b.at = now
	}
}

func (b *bucket) capacity() float64 { return max(burstTime.Seconds()*b.rate, 1) }

// maximumWait bounds estimated waits.
const maximumWait = time.Hour

// until returns the time until the bucket has the given number of tokens.
func (b *bucket) until(tokens float64) time.Duration {
	// The tolerance keeps rounding errors from causing a wait of a nanosecond.
	const tolerance = 1e-6
	missing := tokens - b.tokens
	if missing <= tolerance {
		return 0
	}
	return time.Duration(min(missing/b.rate, maximumWait.Seconds()) * float64(time.Second))
}
