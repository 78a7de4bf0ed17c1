package serverview

import "time"

// toleranceLifetime is how long a server counts as brittle after the latest answer that named its tolerance, unless one that
// names none ends it. A node that keeps away from a crowded server gets no answers.
const toleranceLifetime = 30 * time.Second

// tolerance is the rate of requests that a brittle server can reject without falling over, as it names it in its answers.
type tolerance struct {
	perSecond float64
	// namedAt is when the latest answer that named the tolerance arrived; zero if the server isn't brittle.
	namedAt time.Time
}

func (t tolerance) isNamed(now time.Time) bool {
	return !t.namedAt.IsZero() && now.Sub(t.namedAt) < toleranceLifetime
}

// ToleranceNotice says that one incarnation of a server is brittle.
type ToleranceNotice struct {
	ServerID  string
	Born      int64
	PerSecond float64
	// NamedAt is when the answer that named the tolerance arrived at a node.
	NamedAt time.Time
}

// NoteTolerance applies a notice, unless a newer one is known. It returns true if the server wasn't known to be brittle.
func (v *View) NoteTolerance(now time.Time, notice ToleranceNotice) (learned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(notice.ServerID, notice.Born)
	if srv == nil {
		return false
	}
	return v.noteTolerance(now, srv, tolerance{notice.PerSecond, notice.NamedAt})
}

// noteTolerance is NoteTolerance for a server. The caller holds v.mu.
func (v *View) noteTolerance(now time.Time, srv *server, named tolerance) (learned bool) {
	if !named.isNamed(now) || named.namedAt.Before(srv.soundAt) {
		return false
	}
	learned = !srv.tolerance.isNamed(now)
	if named.namedAt.After(srv.tolerance.namedAt) {
		srv.tolerance = named
	}
	if service := srv.entry.Service; named.namedAt.After(v.tolerances[service].namedAt) {
		v.tolerances[service] = named
	}
	return learned
}

// toleranceOf returns the tolerance of a server. One that has just started has answered nobody; it counts as brittle if its
// service's servers are. The caller holds v.mu.
func (v *View) toleranceOf(srv *server) tolerance {
	if srv.tolerance.namedAt.IsZero() && srv.soundAt.IsZero() {
		return v.tolerances[srv.entry.Service]
	}
	return srv.tolerance
}

// NoteRejection records that a brittle server rejected a request of any node for want of room. It returns false if the server
// isn't known to be brittle.
func (v *View) NoteRejection(now time.Time, id string, born int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(id, born)
	if srv == nil || !v.toleranceOf(srv).isNamed(now) {
		return false
	}
	srv.room.Rejected(now, srv.entry.Slots)
	return true
}

// BrittleRoom returns the number of requests that a brittle server probably processes at once, and when it may get
// requests. brittle is false for other servers.
func (v *View) BrittleRoom(now time.Time, id string) (requests int, closedUntil time.Time, brittle bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil {
		return 0, time.Time{}, false
	}
	named := v.toleranceOf(srv)
	if !named.isNamed(now) {
		return 0, time.Time{}, false
	}
	return srv.room.Requests(now, srv.entry.Slots), srv.room.ClosedUntil(now, named.perSecond), true
}

// NoteSound records that an answer to a request sent at sentAt named no tolerance. It returns true if the server was known
// to be brittle.
func (v *View) NoteSound(now time.Time, id string, born int64, sentAt time.Time) (ended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(id, born)
	if srv == nil || !sentAt.After(srv.tolerance.namedAt) {
		return false
	}
	ended = srv.tolerance.isNamed(now)
	srv.tolerance, srv.soundAt = tolerance{}, sentAt
	if service := srv.entry.Service; sentAt.After(v.tolerances[service].namedAt) {
		delete(v.tolerances, service)
	}
	return ended
}

// Tolerances returns the brittle servers of a service.
func (v *View) Tolerances(now time.Time, service string) (notices []ToleranceNotice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		if srv.entry.Service == service && srv.tolerance.isNamed(now) && !srv.isGone(now) {
			notices = append(notices, ToleranceNotice{id, srv.entry.Born, srv.tolerance.perSecond, srv.tolerance.namedAt})
		}
	}
	return notices
}

// Tolerance returns the tolerance of a server, and whether it's brittle.
func (v *View) Tolerance(now time.Time, id string) (notice ToleranceNotice, brittle bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil {
		return notice, false
	}
	named := v.toleranceOf(srv)
	return ToleranceNotice{id, srv.entry.Born, named.perSecond, named.namedAt}, named.isNamed(now)
}
