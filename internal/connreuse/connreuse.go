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
	// round trip and some delay. A server that crashes while it works breaks off later.
	promptReset = 100 * time.Millisecond
	// suspicion is how long servers are suspected after a reset. It's long against the pauses between two requests
	// of one node to one server, some seconds on a large site.
	suspicion = 30 * time.Second
	// hearsay is how long servers are suspected after another node has said that it suspects them.
	hearsay = 3 * time.Second
)

// Guard is what a node has learned of the servers. It isn't safe for concurrent use.
type Guard struct {
	seenUntil  time.Time
	heardUntil time.Time
}

// Broke notes that a request got no answer on a connection that had rested, after the time taken. It returns true when
// that makes the servers suspect.
func (g *Guard) Broke(now time.Time, rested, taken time.Duration) (suspect bool) {
	if rested < RestLimit || taken > promptReset {
		return false
	}
	g.seenUntil = now.Add(suspicion)
	return true
}

// Heard notes that another node has seen such a reset.
func (g *Guard) Heard(now time.Time) { g.heardUntil = now.Add(hearsay) }

// Seen reports whether this node has seen a reset itself, which it tells the others.
func (g *Guard) Seen(now time.Time) bool { return now.Before(g.seenUntil) }

// Suspects reports whether requests must not use connections that have rested for RestLimit.
func (g *Guard) Suspects(now time.Time) bool { return g.Seen(now) || now.Before(g.heardUntil) }
