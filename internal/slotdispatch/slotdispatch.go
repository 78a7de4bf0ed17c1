// Package slotdispatch assigns the slots of the servers of a plain service to the requests of all nodes. The types are
// deterministic state machines without I/O or clock; they aren't safe for concurrent use.
package slotdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// initialPeriod is how long a new dispatcher assumes that at least half of the slots are in use. Nodes report their
	// own within that time.
	initialPeriod = 100 * time.Millisecond
	// endedMemory is how long ended requests are remembered, so that a delayed or repeated message doesn't take a slot
	// again.
	endedMemory = 2 * time.Second
	// maximumLifetime bounds the time for which a slot is in use, also for requests without a deadline.
	maximumLifetime = 30 * time.Second
	// maximumExcess bounds the assigned requests of a server as a multiple of its slots. Requests that are on their way to
	// the server, or whose end isn't known yet, hold an assignment but no slot there.
	maximumExcess = 1.5
	// observationWeight is the weight of one request in the averages of a server.
	observationWeight = 0.1
	// observationLifetime is how long the averages of a server count without a new observation.
	observationLifetime = 2 * time.Second
	// defaultHold is the assumed duration of a request before one was observed.
	defaultHold = 50 * time.Millisecond
	// slowFactor is how much longer a server's requests last than those of the fastest one when nodes of its zone no
	// longer prefer it.
	slowFactor = 1.5
	// minimumExcessRecovery is how long after a rejection a server that gets fewer excess requests gets one more again. How
	// many requests a server queues isn't known. The time doubles with each rejection, up to maximumExcessRecovery, so that
	// finding out costs next to no rejections.
	minimumExcessRecovery = 3 * time.Second
	maximumExcessRecovery = time.Minute
	// minimumFullPeriod and maximumFullPeriod bound the time for which a server that rejected a request gets no other one.
	minimumFullPeriod = 5 * time.Millisecond
	maximumFullPeriod = 100 * time.Millisecond
	// maximumWaiting bounds the queue; 390 nodes at the largest planned rate don't reach it within a request's wait.
	maximumWaiting = 1024
	// maximumTurnAhead bounds how far the turns named to rejected requests are spread.
	maximumTurnAhead = 2 * time.Second
)

// Server is a server of the service.
type Server struct {
	ID    string
	Zone  string
	Slots int
	// Room bounds the requests at a brittle server, which falls over when it rejects too many; 0 for other servers.
	Room int
	// ClosedUntil is when a brittle server may get requests again.
	ClosedUntil time.Time
}

// Request asks for a slot. Node and ID together identify it.
type Request struct {
	Node string
	ID   uint64
	// Zone is the availability zone of the node.
	Zone string
	// Priority is the rank, 0 the most urgent.
	Priority int
	Customer string
	// Patience is how long the request waits for a slot at most.
	Patience time.Duration
	// Lifetime is the time until the request's deadline; 0 means none.
	Lifetime time.Duration
	// Excluded holds the servers that the node can't use for the request.
	Excluded []string
}

type key struct {
	node string
	id   uint64
}

func (r Request) key() key { return key{r.Node, r.ID} }

// Answer is the answer to a request.
type Answer struct {
	// Server is the ID of the assigned server; empty without one.
	Server string
	// Queued is true when the request waits for a slot.
	Queued bool
	// Unusable is true when the dispatcher knows no server that the request can use; the node then chooses by itself.
	Unusable bool
	// TurnIn is the time after which a retry probably gets a slot, for a request that gets none.
	TurnIn time.Duration
	// Ahead is the number of requests that are served first, and PerSecond the rate at which slots return.
	Ahead     int
	PerSecond float64
}

// Decision is a later answer to a queued request.
type Decision struct {
	Request Request
	Answer  Answer
	// Waited is how long the request was queued.
	Waited time.Duration
}

// Use is a slot that a node uses, whoever chose the server.
type Use struct {
	Node   string
	ID     uint64
	Server string
	// Lifetime is the time until the request's deadline; 0 means none.
	Lifetime time.Duration
}

// End describes how a request ended.
type End struct {
	// Work is the time from the send to the end of the answer; 0 for a request that wasn't processed.
	Work time.Duration
	// Full is true when the server rejected the request because its slots were in use.
	Full bool
}

type slot struct {
	server *server
	since  time.Time
	until  time.Time
	// assigned is false when a node has reported the slot, so that its beginning isn't known.
	assigned bool
}

type waiting struct {
	Request
	since time.Time
	until time.Time
	// excluded holds Request.Excluded.
	excluded map[string]bool
}

// Dispatcher assigns the slots of one service.
type Dispatcher struct {
	startedAt time.Time
	servers   map[string]*server
	// present holds the servers that may get requests, ordered by ID.
	present []*server
	slots   map[key]*slot
	ended   map[key]time.Time
	// queue holds the waiting requests in the order of arrival.
	queue []*waiting
	// turns holds the number of the latest assignment to each customer while requests wait.
	turns map[string]uint64
	turn  uint64
	// lastTurn is the latest turn that was named to a rejected request.
	lastTurn  time.Time
	decisions []Decision
	expired   int
	prunedAt  time.Time
}

// New returns a dispatcher that knows of no slots in use.
func New(now time.Time, servers []Server) *Dispatcher {
	d := &Dispatcher{
		startedAt: now, servers: make(map[string]*server), slots: make(map[key]*slot), ended: make(map[key]time.Time),
		turns: make(map[string]uint64), prunedAt: now,
	}
	d.SetServers(now, servers)
	return d
}

// SetServers replaces the servers that may get requests.
func (d *Dispatcher) SetServers(now time.Time, servers []Server) {
	for _, s := range d.servers {
		s.present = false
	}
	d.present = d.present[:0]
	for _, entry := range servers {
		s := d.servers[entry.ID]
		if s == nil {
			s = &server{}
			d.servers[entry.ID] = s
		}
		s.Server, s.present = entry, true
		d.present = append(d.present, s)
	}
	slices.SortFunc(d.present, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for id, s := range d.servers {
		if !s.present && s.used == 0 {
			delete(d.servers, id)
		}
	}
	d.queue = slices.DeleteFunc(d.queue, func(w *waiting) bool {
		if d.usable(w.excluded) {
			return false
		}
		d.decide(now, w, Answer{Unusable: true})
		return true
	})
	d.dispatch(now)
}

// Ask handles a request, also a repeated one. A request that gets neither a server nor a place in the queue is rejected.
func (d *Dispatcher) Ask(now time.Time, request Request) Answer {
	d.expire(now)
	d.dispatch(now)
	if used := d.slots[request.key()]; used != nil {
		return Answer{Server: used.server.ID}
	}
	if _, found := d.ended[request.key()]; found {
		return Answer{Unusable: true}
	}
	if d.position(request.key()) >= 0 {
		return Answer{Queued: true}
	}
	w := &waiting{Request: request, since: now, until: now.Add(request.Patience), excluded: toSet(request.Excluded)}
	if !d.usable(w.excluded) {
		return Answer{Unusable: true}
	}
	// No queued request can use a slot that is free now, as dispatch would have assigned it.
	if chosen := d.pick(now, w); chosen != nil {
		d.assign(now, w, chosen)
		return Answer{Server: chosen.ID}
	}
	ahead, rate := d.ahead(request), d.rate(now)
	wait := seconds(float64(ahead+1) / rate)
	if wait > request.Patience || len(d.queue) >= maximumWaiting {
		return Answer{TurnIn: d.nextTurn(now, wait, rate), Ahead: ahead, PerSecond: rate}
	}
	d.queue = append(d.queue, w)
	return Answer{Queued: true, Ahead: ahead, PerSecond: rate}
}

// Report records a slot that a node uses. The node's choice replaces an assignment of the dispatcher.
func (d *Dispatcher) Report(now time.Time, use Use) {
	k := key{use.Node, use.ID}
	if _, found := d.ended[k]; found {
		return
	}
	if i := d.position(k); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	if last := d.slots[k]; last != nil {
		if last.server.ID == use.Server {
			return
		}
		d.free(k, last)
	}
	s := d.servers[use.Server]
	if s == nil {
		return
	}
	if now.Sub(d.startedAt) < initialPeriod {
		s.told++
	}
	d.occupy(now, k, s, use.Lifetime, false)
	d.dispatch(now)
}

// Return ends a request: one that uses a slot, one that is queued, or one whose answer was lost.
func (d *Dispatcher) Return(now time.Time, node string, id uint64, end End) {
	k := key{node, id}
	if _, found := d.ended[k]; found {
		return
	}
	d.ended[k] = now
	if i := d.position(k); i >= 0 {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	if used := d.slots[k]; used != nil {
		used.server.observe(now, used, end)
		d.free(k, used)
	}
	d.dispatch(now)
}

// Next returns the decisions about queued requests since the last call, and when to call it again; a zero time means
// after the next event.
func (d *Dispatcher) Next(now time.Time) (decisions []Decision, next time.Time) {
	d.expire(now)
	d.dispatch(now)
	decisions, d.decisions = d.decisions, nil
	if len(d.queue) == 0 {
		return decisions, time.Time{}
	}
	earliest := func(at time.Time) {
		if at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	earliest(d.startedAt.Add(initialPeriod))
	for _, w := range d.queue {
		earliest(w.until.Add(time.Nanosecond))
	}
	for _, used := range d.slots {
		earliest(used.until.Add(time.Nanosecond))
	}
	for _, s := range d.present {
		earliest(s.fullUntil)
		earliest(s.ClosedUntil)
	}
	return decisions, next
}

// Waiting returns the number of queued requests.
func (d *Dispatcher) Waiting() int { return len(d.queue) }

// InUse returns the number of slots in use, and those of all servers.
func (d *Dispatcher) InUse() (used, slots int) {
	for _, s := range d.present {
		slots += s.Slots
	}
	return len(d.slots), slots
}

// Expired returns the number of slots that were not given back since the last call.
func (d *Dispatcher) Expired() int {
	expired := d.expired
	d.expired = 0
	return expired
}

func (d *Dispatcher) position(k key) int {
	return slices.IndexFunc(d.queue, func(w *waiting) bool { return w.key() == k })
}

// usable reports whether any server may get the request.
func (d *Dispatcher) usable(excluded map[string]bool) bool {
	return slices.ContainsFunc(d.present, func(s *server) bool { return !excluded[s.ID] })
}

// expire ends the slots whose requests have reached their deadline, and the queued requests that waited long enough.
func (d *Dispatcher) expire(now time.Time) {
	for k, used := range d.slots {
		if now.After(used.until) {
			d.free(k, used)
			d.ended[k] = now
			d.expired++
		}
	}
	rate := 0.0
	d.queue = slices.DeleteFunc(d.queue, func(w *waiting) bool {
		if !now.After(w.until) {
			return false
		}
		if rate == 0 {
			rate = d.rate(now)
		}
		ahead := d.ahead(w.Request)
		turn := d.nextTurn(now, seconds(float64(ahead+1)/rate), rate)
		d.decide(now, w, Answer{TurnIn: turn, Ahead: ahead, PerSecond: rate})
		return true
	})
	if now.Sub(d.prunedAt) > endedMemory/10 {
		d.prunedAt = now
		for k, at := range d.ended {
			if now.Sub(at) > endedMemory {
				delete(d.ended, k)
			}
		}
	}
}

// dispatch assigns the free slots to queued requests: by priority, between equals by customer in turn, then by arrival.
func (d *Dispatcher) dispatch(now time.Time) {
	for len(d.queue) > 0 && slices.ContainsFunc(d.present, func(s *server) bool { return d.hasRoom(now, s) }) {
		best := -1
		for i, w := range d.queue {
			if (best < 0 || d.before(w, d.queue[best])) && d.pick(now, w) != nil {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w := d.queue[best]
		chosen := d.pick(now, w)
		d.queue = slices.Delete(d.queue, best, best+1)
		d.assign(now, w, chosen)
		d.decide(now, w, Answer{Server: chosen.ID})
	}
	if len(d.queue) == 0 {
		clear(d.turns)
	}
}

// before reports whether a is served before b, which has arrived earlier.
func (d *Dispatcher) before(a, b *waiting) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	return d.turns[a.Customer] < d.turns[b.Customer]
}

func (d *Dispatcher) decide(now time.Time, w *waiting, answer Answer) {
	d.decisions = append(d.decisions, Decision{Request: w.Request, Answer: answer, Waited: now.Sub(w.since)})
}

func (d *Dispatcher) assign(now time.Time, w *waiting, chosen *server) {
	lifetime := w.Lifetime
	if lifetime > 0 {
		lifetime = max(lifetime-now.Sub(w.since), time.Millisecond)
	}
	d.occupy(now, w.key(), chosen, lifetime, true)
	if len(d.queue) > 0 {
		d.turn++
		d.turns[w.Customer] = d.turn
	}
}

func (d *Dispatcher) occupy(now time.Time, k key, s *server, lifetime time.Duration, assigned bool) {
	if lifetime <= 0 || lifetime > maximumLifetime {
		lifetime = maximumLifetime
	}
	d.slots[k] = &slot{server: s, since: now, until: now.Add(lifetime), assigned: assigned}
	s.used++
	s.sinceSum += now.Sub(d.startedAt).Seconds()
}

func (d *Dispatcher) free(k key, used *slot) {
	delete(d.slots, k)
	used.server.used--
	used.server.sinceSum -= used.since.Sub(d.startedAt).Seconds()
	if used.server.told > 0 && !used.assigned {
		used.server.told--
	}
}

// hasRoom reports whether a server may get another request now.
func (d *Dispatcher) hasRoom(now time.Time, s *server) bool {
	return !now.Before(s.fullUntil) && !now.Before(s.ClosedUntil) && s.used+d.unknown(now, s) < s.capacity()
}

// unknown returns how many more slots a new dispatcher assumes to be in use than it was told: all of a brittle server.
func (d *Dispatcher) unknown(now time.Time, s *server) int {
	if now.Sub(d.startedAt) >= initialPeriod {
		return 0
	}
	if s.Room > 0 {
		return max(s.Room-s.told, 0)
	}
	return max((s.Slots+1)/2-s.told, 0)
}

// pick chooses the server for a request: one in its zone that has a free slot and isn't slow, else the one with the
// smallest share of its slots in use, weighted by the duration of its requests. It returns nil if none has room.
func (d *Dispatcher) pick(now time.Time, w *waiting) *server {
	least := d.leastHold(now)
	var best *server
	bestNear, bestShare := false, math.Inf(1)
	for _, s := range d.present {
		if w.excluded[s.ID] || !d.hasRoom(now, s) {
			continue
		}
		slowness := float64(d.holdOf(now, s)) / float64(least)
		near := s.Zone == w.Zone && slowness <= slowFactor && s.used < s.Slots
		share := float64(s.used+1) / float64(max(s.Slots, 1)) * max(slowness, 1)
		if best == nil || near && !bestNear || near == bestNear && share < bestShare {
			best, bestNear, bestShare = s, near, share
		}
	}
	return best
}

// leastHold returns the hold of the fastest server.
func (d *Dispatcher) leastHold(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, s := range d.present {
		if hold := s.currentHold(now); hold > 0 && (least == 0 || hold < least) {
			least = hold
		}
	}
	if least == 0 {
		return defaultHold
	}
	return least
}

// holdOf estimates how long a slot of a server is in use; one without observations counts as fast. Requests in progress
// count before they end, so that a server that becomes slow is noticed at once.
func (d *Dispatcher) holdOf(now time.Time, s *server) time.Duration {
	hold := s.currentHold(now)
	if hold == 0 {
		hold = d.leastHold(now)
	}
	if s.used > 0 {
		hold = max(hold, seconds(now.Sub(d.startedAt).Seconds()-s.sinceSum/float64(s.used)))
	}
	return hold
}

// roundingMargin keeps a negligible delay of messages from adding a whole slot to a server.
const roundingMargin = 0.1

// rate estimates how many slots return a second while all are in use.
func (d *Dispatcher) rate(now time.Time) float64 {
	rate := 0.0
	for _, s := range d.present {
		rate += float64(s.capacity()) / d.holdOf(now, s).Seconds()
	}
	return max(rate, 1/maximumLifetime.Seconds())
}

// ahead returns the number of queued requests that are served before a new one: the more urgent ones, and of each
// customer with equally urgent ones as many as the request's own customer gets turns until then.
func (d *Dispatcher) ahead(request Request) int {
	ahead := 0
	byCustomer := make(map[string]int)
	for _, w := range d.queue {
		switch {
		case w.key() == request.key():
		case w.Priority < request.Priority:
			ahead++
		case w.Priority == request.Priority:
			byCustomer[w.Customer]++
		}
	}
	own := byCustomer[request.Customer]
	for customer, count := range byCustomer {
		if customer == request.Customer {
			ahead += count
		} else {
			ahead += min(count, own+1)
		}
	}
	return ahead
}

// nextTurn returns the time after which a rejected request may be retried. Each gets a turn after that of the last one, so
// that the retries of a burst don't form another one.
func (d *Dispatcher) nextTurn(now time.Time, wait time.Duration, rate float64) time.Duration {
	turn := now.Add(wait)
	if next := d.lastTurn.Add(seconds(1 / rate)); next.After(turn) {
		turn = next
	}
	if latest := now.Add(wait + maximumTurnAhead); turn.After(latest) {
		turn = latest
	}
	d.lastTurn = turn
	return turn.Sub(now)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func toSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
