// Package connreuse decides whether requests to backend servers may go over connections that have rested. Servers may
// forget a connection that rests and reset it when something is sent on it; a request that may run only once is lost
// with it. The guard learns from such resets, since a new connection for each request costs time and a handshake.
package connreuse

import "time"

const (
	// RestLimit is how long a connection may rest while servers are suspected. Servers that forget connections keep
	// them for some 300 ms.
	RestLimit = 100 * time.Millisecond
	// promptReset is the longest time between the sending of a request and the reset of a forgotten connection: a
	// round trip and some delay. A server that fails while it works breaks off later; the shortest work takes 15 ms.
	promptReset = 12 * time.Millisecond
	// breaksNeeded is how many moments with a break of a rested connection it takes within breakWindow. Breaks that are
	// closer together than breakSpacing count once, as one crash or cut makes many.
	breaksNeeded = 3
	breakWindow  = 5 * time.Second
	breakSpacing = 100 * time.Millisecond
	// restedShare is how many times as many rested connections as fresh ones must break. Servers that fail part of
	// their requests break both.
	restedShare = 3
	// suspicion is how long servers are suspected after that. The reports that holders ask for each 500 ms, which may be
	// repeated, go on showing whether it lasts.
	suspicion = 10 * time.Second
	// hearsay is how long servers are suspected after another node has said that it suspects them.
	hearsay = 3 * time.Second
)

// Guard is what a node has learned of the servers. It isn't safe for concurrent use.
type Guard struct {
	// rested and fresh are the moments within breakWindow at which connections broke at once.
	rested     []time.Time
	fresh      []time.Time
	seenUntil  time.Time
	heardUntil time.Time
}

// Broke notes that a request got no answer on a connection that had rested, or on a fresh one, after the time taken. It
// returns true when that makes the servers suspect.
func (g *Guard) Broke(now time.Time, rested, taken time.Duration) (suspect bool) {
	if taken > promptReset {
		return false
	}
	if rested >= RestLimit {
		g.rested = add(g.rested, now)
	} else {
		g.fresh = add(g.fresh, now)
	}
	g.rested, g.fresh = recent(g.rested, now), recent(g.fresh, now)
	if len(g.rested) < breaksNeeded || len(g.rested) < restedShare*len(g.fresh) {
		return false
	}
	g.seenUntil = now.Add(suspicion)
	return true
}

// add adds a moment unless it's close to the last one.
func add(moments []time.Time, now time.Time) []time.Time {
	if len(moments) > 0 && now.Sub(moments[len(moments)-1]) < breakSpacing {
		return moments
	}
	return append(moments, now)
}

func recent(moments []time.Time, now time.Time) []time.Time {
	for len(moments) > 0 && now.Sub(moments[0]) > breakWindow {
		moments = moments[1:]
	}
	return moments
}

// Heard notes that another node has seen such a reset.
func (g *Guard) Heard(now time.Time) { g.heardUntil = now.Add(hearsay) }

// Seen reports whether this node has seen a reset itself, which it tells the others.
func (g *Guard) Seen(now time.Time) bool { return now.Before(g.seenUntil) }

// Suspects reports whether requests must not use connections that have rested for RestLimit.
func (g *Guard) Suspects(now time.Time) bool { return g.Seen(now) || now.Before(g.heardUntil) }
