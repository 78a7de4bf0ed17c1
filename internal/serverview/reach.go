package serverview

import "time"

const (
	// unreachableProbePeriod is the least time between two connections that are tried to a server that this node can't reach,
	// unreachableProbePause that time for each such server. It bounds the connections that many nodes of a zone try while the
	// zone is cut off from the servers of the others. Once one server is reached again, the others are tried at once.
	unreachableProbePeriod = 300 * time.Millisecond
	unreachableProbePause  = 125 * time.Millisecond
	// unreachableProbesAtOnce spreads these connections over time while no server is reached again.
	unreachableProbesAtOnce = 4
	// doubtProbePeriod is the least time between two such connections when an attempt ended without an answer.
	doubtProbePeriod = 100 * time.Millisecond
	// silentAfter is the time without any data of a server, while requests are in progress there, from which a connection is
	// tried once each silentProbePeriod. Sound servers are silent for a second at times, but accept connections then.
	silentAfter       = 700 * time.Millisecond
	silentProbePeriod = time.Second
	// linkLosses is the number of servers lost within linkLossWindow from which connections to others are tried: it may be
	// this node's own link that is down. linkProbesPerLoss bounds these within the window, so that many nodes don't try all
	// servers because two have crashed; where all are lost their number grows quickly.
	linkLosses        = 2
	linkLossWindow    = time.Second
	linkProbesPerLoss = 2
)

// reach is whether this node can open connections to a server.
type reach struct {
	// lostAt is when a connection could not be opened; zero while the server is reachable.
	lostAt time.Time
	// aliveAt is when the server last answered or accepted a connection, waitsSince when requests began to be in progress.
	aliveAt, waitsSince time.Time
	// doubted is true when an attempt ended without an answer and no connection was tried since.
	doubted  bool
	probedAt time.Time
	// linkProbedAt is when a connection was last tried only because other servers were lost.
	linkProbedAt time.Time
}

// isLost reports whether this node can't open connections to the server.
func (r *reach) isLost() bool { return !r.lostAt.IsZero() }

// Probe is a server to which a connection is to be tried.
type Probe struct{ ID, Address string }

// Doubt records that an attempt that was written to a server got no answer.
func (v *View) Doubt(id string) {
	v.update(id, func(srv *server) { srv.reach.doubted = true })
}

// Reached records that a server answered or accepted a connection. It returns true if it was unreachable before.
func (v *View) Reached(now time.Time, id string) (returned bool) {
	v.update(id, func(srv *server) {
		returned = srv.reach.isLost()
		srv.reach.lostAt, srv.reach.aliveAt, srv.reach.doubted = time.Time{}, now, false
		if returned {
			v.reachedAt = now
			srv.failures, srv.ejectTime, srv.ejectedUntil = 0, 0, time.Time{}
			v.notify()
		}
	})
	return returned
}

// UnreachableServers returns the IDs of the servers in use that this node can't reach.
func (v *View) UnreachableServers(now time.Time) (ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.lostServers(now) {
		ids = append(ids, srv.entry.ID)
	}
	return ids
}

// lostServers returns the servers in use that this node can't reach. The caller holds v.mu.
func (v *View) lostServers(now time.Time) (lost []*server) {
	for _, srv := range v.servers {
		if srv.reach.isLost() && !srv.isGone(now) {
			lost = append(lost, srv)
		}
	}
	return lost
}

// ProbesDue returns the servers to which a connection is to be tried now, and notes that.
func (v *View) ProbesDue(now time.Time) (due []Probe) {
	v.mu.Lock()
	defer v.mu.Unlock()
	linkProbes, period, lostProbes := v.linkProbes(now), v.unreachableProbePeriod(now), 0
	for id, srv := range v.servers {
		if srv.isGone(now) {
			continue
		}
		if !srv.probeDue(now, period, v.reachedAt) {
			if linkProbes <= 0 || !srv.linkProbeDue(now) {
				continue
			}
			linkProbes--
			srv.reach.linkProbedAt = now
		}
		if srv.reach.isLost() && !v.reachedAt.After(srv.reach.probedAt) {
			if lostProbes++; lostProbes > unreachableProbesAtOnce {
				continue
			}
		}
		srv.reach.probedAt = now
		due = append(due, Probe{ID: id, Address: srv.entry.Address})
	}
	return due
}

// unreachableProbePeriod returns the time between two connections that are tried to one unreachable server.
func (v *View) unreachableProbePeriod(now time.Time) time.Duration {
	return max(unreachableProbePeriod, time.Duration(len(v.lostServers(now)))*unreachableProbePause)
}

// linkProbes returns how many connections may be tried now because this node's link may be down.
func (v *View) linkProbes(now time.Time) int {
	losses, tried := 0, 0
	for _, srv := range v.servers {
		if now.Sub(srv.reach.linkProbedAt) < linkLossWindow {
			tried++
		}
	}
	for _, srv := range v.lostServers(now) {
		if now.Sub(srv.reach.lostAt) < linkLossWindow {
			losses++
		}
	}
	if losses < linkLosses {
		return 0
	}
	return linkProbesPerLoss*losses - tried
}

// linkProbeDue reports whether a connection may be tried to a server that gave no reason for it.
func (s *server) linkProbeDue(now time.Time) bool {
	return !s.reach.isLost() && now.Sub(s.reach.probedAt) >= silentProbePeriod
}

// probeDue reports whether a connection to the server is to be tried because of what happened there. An unreachable one is
// tried once in a period, and after another one was reached again.
func (s *server) probeDue(now time.Time, period time.Duration, reachedAt time.Time) bool {
	r, sinceProbe := &s.reach, now.Sub(s.reach.probedAt)
	silence := min(now.Sub(r.aliveAt), now.Sub(r.waitsSince), now.Sub(s.lastByteAt))
	switch {
	case r.isLost():
		return sinceProbe >= period || reachedAt.After(r.probedAt) && sinceProbe >= unreachableProbePeriod
	case r.doubted:
		return sinceProbe >= doubtProbePeriod
	default:
		return s.inFlight > 0 && silence >= silentAfter && sinceProbe >= silentProbePeriod
	}
}
