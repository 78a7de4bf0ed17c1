package prefillgate

import (
	"slices"
	"time"
)

const (
	// reportStaleness bounds how long before its request the state in a server's report was observed, and how long a granted
	// request may be on its way.
	reportStaleness = 500 * time.Millisecond
	// holdWeight is the weight of one request in the average time for which a request is present.
	holdWeight = 0.1
	// maximumOngoing bounds how long a request counts whose end wasn't told.
	maximumOngoing = 30 * time.Second
)

// Room bounds the requests at a brittle server, which falls over when it rejects too many.
type Room struct {
	// Requests is the number of requests that the server processes at once.
	Requests int
	// ClosedUntil is when the server may get requests again.
	ClosedUntil time.Time
}

// ongoing is a granted request whose end will be told.
type ongoing struct{ since, until time.Time }

// presence tracks the requests that are present at a server.
type presence struct {
	room *Room
	// known holds the granted requests whose ends will be told.
	known map[key]ongoing
	// unknown is the number of other requests that the server has reported: those of a holder before, or of older builds.
	unknown int
	// most is the largest number of known requests since mostSince, and mostBefore that in the time before.
	most, mostBefore int
	mostSince        time.Time
	// hold is the average time from the grant of a request to its end; 0 before the first one.
	hold time.Duration
}

// SetRoom bounds the requests that are present at the server; nil removes the bound.
func (c *Core) SetRoom(room *Room) { c.presence.room = room }

// Present returns the number of requests that are probably present at the server.
func (c *Core) Present() int { return len(c.presence.known) + c.presence.unknown }

// Reported applies the number of running and waiting requests in a server's report.
func (c *Core) Reported(requestedAt time.Time, present int) {
	p := &c.presence
	p.unknown = max(present-max(p.most, p.mostBefore), 0)
	if requestedAt.Sub(p.mostSince) >= reportStaleness {
		p.mostBefore, p.most, p.mostSince = p.most, len(p.known), requestedAt
	}
	p.forgetEnded(requestedAt.Add(-reportStaleness), present)
}

// forgetEnded removes the oldest requests if more are known since before a time than the server has reported: the messages
// about their ends were lost.
func (p *presence) forgetEnded(before time.Time, present int) {
	var old []key
	for k, request := range p.known {
		if request.since.Before(before) {
			old = append(old, k)
		}
	}
	if len(old) <= present {
		return
	}
	slices.SortFunc(old, func(a, b key) int { return p.known[a].since.Compare(p.known[b].since) })
	for _, k := range old[:len(old)-present] {
		delete(p.known, k)
	}
}

// Ended records that a granted request has ended.
func (c *Core) Ended(now time.Time, node string, id uint64) {
	p, k := &c.presence, key{node, id}
	request, found := p.known[k]
	if !found {
		return
	}
	delete(p.known, k)
	if p.hold == 0 {
		p.hold = now.Sub(request.since)
	}
	p.hold += time.Duration(holdWeight * float64(now.Sub(request.since)-p.hold))
}

// roomWait estimates how long a new request would wait until the server has room for it.
func (c *Core) roomWait() time.Duration {
	p := &c.presence
	if p.room == nil || c.Present() < p.room.Requests {
		return 0
	}
	return time.Duration(len(c.queue)+1) * p.hold / time.Duration(max(p.room.Requests, 1))
}

// begin counts a request that is granted now.
func (p *presence) begin(now time.Time, request Request) {
	if request.Lifetime > 0 {
		p.known[key{request.Node, request.ID}] = ongoing{now, now.Add(min(request.Lifetime, maximumOngoing))}
		p.most = max(p.most, len(p.known))
	}
}

// blockedUntil returns whether the server mustn't get another request now, and the time from which it may probably get one;
// zero if only the end of a request shows that.
func (c *Core) blockedUntil(now time.Time) (until time.Time, blocked bool) {
	p := &c.presence
	for k, request := range p.known {
		if !now.Before(request.until) {
			delete(p.known, k)
		}
	}
	switch {
	case p.room == nil:
		return time.Time{}, false
	case now.Before(p.room.ClosedUntil):
		return p.room.ClosedUntil, true
	case c.Present() < p.room.Requests:
		return time.Time{}, false
	}
	for _, request := range p.known {
		if until.IsZero() || request.until.Before(until) {
			until = request.until
		}
	}
	return until, true
}
