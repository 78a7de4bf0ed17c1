// Package connreuse decides whether requests to backend servers may use idle connections. A server may drop an idle
// connection silently and reset it when the next request arrives; a request that must not be repeated then fails. As a
// new connection for each request costs time and a handshake, idle connections are avoided only after such resets.
package connreuse

import "time"

const (
	// IdleLimit is how long a connection may be idle while servers are suspected. Servers that drop idle connections
	// do so after some 300 ms.
	IdleLimit = 100 * time.Millisecond
	// promptReset is the maximum time from the sending of a request to the reset of a dropped connection: a round trip
	// and some delay. A server that fails while it processes a request breaks off later, as processing takes at least
	// 15 ms.
	promptReset = 12 * time.Millisecond
	// minimumResets is the number of resets of idle connections within resetWindow from which servers are suspected.
	// Resets that are closer together than resetSpacing count once, as one crash or network failure causes many.
	minimumResets = 3
	resetWindow   = 5 * time.Second
	resetSpacing  = 100 * time.Millisecond
	// idleToFreshRatio is the minimum ratio of resets of idle connections to those of fresh ones. Servers that fail
	// some of their requests reset both.
	idleToFreshRatio = 3
	// suspicionTime is how long servers are suspected after the latest such reset. Holders send a request for a report
	// every 500 ms; it may be repeated, so it still uses idle connections and shows whether resets continue.
	suspicionTime = 10 * time.Second
	// peerSuspicionTime is how long servers are suspected after another node has announced that it suspects them.
	peerSuspicionTime = 3 * time.Second
)

// Guard holds a node's observations of connection resets. It isn't safe for concurrent use.
type Guard struct {
	// idleResets and freshResets are the times within resetWindow at which idle and fresh connections were reset
	// within promptReset.
	idleResets  []time.Time
	freshResets []time.Time
	// suspectUntil and peerSuspectUntil are the ends of the suspicion from this node's own observations and of the one
	// that another node announced.
	suspectUntil     time.Time
	peerSuspectUntil time.Time
}

// Broke records that a request got no response because its connection broke. idle is how long the connection had been
// idle before the request, and elapsed the time from the request to the break. It returns true when servers are now
// suspected.
func (g *Guard) Broke(now time.Time, idle, elapsed time.Duration) (suspect bool) {
	if elapsed > promptReset {
		return false
	}
	if idle >= IdleLimit {
		g.idleResets = add(g.idleResets, now)
	} else {
		g.freshResets = add(g.freshResets, now)
	}
	g.idleResets, g.freshResets = recent(g.idleResets, now), recent(g.freshResets, now)
	if len(g.idleResets) < minimumResets || len(g.idleResets) < idleToFreshRatio*len(g.freshResets) {
		return false
	}
	g.suspectUntil = now.Add(suspicionTime)
	return true
}

// add appends now unless it is within resetSpacing of the last time.
func add(times []time.Time, now time.Time) []time.Time {
	if len(times) > 0 && now.Sub(times[len(times)-1]) < resetSpacing {
		return times
	}
	return append(times, now)
}

// recent returns the times within resetWindow.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) > resetWindow {
		times = times[1:]
	}
	return times
}

// PeerSuspects records that another node suspects servers.
func (g *Guard) PeerSuspects(now time.Time) { g.peerSuspectUntil = now.Add(peerSuspicionTime) }

// SuspectsOnItsOwn reports whether this node suspects servers from its own observations. It announces that to the other
// nodes.
func (g *Guard) SuspectsOnItsOwn(now time.Time) bool { return now.Before(g.suspectUntil) }

// Suspects reports whether requests must not use connections that have been idle for IdleLimit.
func (g *Guard) Suspects(now time.Time) bool {
	return g.SuspectsOnItsOwn(now) || now.Before(g.peerSuspectUntil)
}
