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
	// breaksNeeded is how many rested connections to one server must break in a row. Servers that fail part of their
	// requests answer one in between, or break one on a fresh connection.
	breaksNeeded = 3
	// suspicion is how long servers are suspected after that. The reports of the servers' holders, which may be
	// repeated, show within two seconds whether it lasts.
	suspicion = 10 * time.Second
	// hearsay is how long servers are suspected after another node has said that it suspects them.
	hearsay = 3 * time.Second
)

// Guard is what a node has learned of the servers. It isn't safe for concurrent use.
type Guard struct {
	// breaks counts the rested connections to an address that broke at once, since the last other outcome.
	breaks     map[string]int
	seenUntil  time.Time
	heardUntil time.Time
}

// New returns a guard that suspects nothing.
func New() *Guard { return &Guard{breaks: make(map[string]int)} }

// Answered notes that a request was answered on a connection that had rested, or on a fresh one.
func (g *Guard) Answered(address string, rested time.Duration) {
	if rested >= RestLimit {
		delete(g.breaks, address)
	}
}

// Broke notes that a request got no answer on a connection that had rested, or on a fresh one, after the time taken. It
// returns true when that makes the servers suspect.
func (g *Guard) Broke(now time.Time, address string, rested, taken time.Duration) (suspect bool) {
	if rested < RestLimit || taken > promptReset {
		delete(g.breaks, address)
		return false
	}
	g.breaks[address]++
	if g.breaks[address] < breaksNeeded {
		return false
	}
	delete(g.breaks, address)
	g.seenUntil = now.Add(suspicion)
	return true
}

// Heard notes that another node has seen such a reset.
func (g *Guard) Heard(now time.Time) { g.heardUntil = now.Add(hearsay) }

// Seen reports whether this node has seen a reset itself, which it tells the others.
func (g *Guard) Seen(now time.Time) bool { return now.Before(g.seenUntil) }

// Suspects reports whether requests must not use connections that have rested for RestLimit.
func (g *Guard) Suspects(now time.Time) bool { return g.Seen(now) || now.Before(g.heardUntil) }
