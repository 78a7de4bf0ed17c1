package serverview

import "time"

// toleranceLifetime is how long a server counts as brittle after the latest answer that named its tolerance.
const toleranceLifetime = 5 * time.Second

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
	srv := v.servers[notice.ServerID]
	if srv == nil || srv.entry.Born != notice.Born || now.Sub(notice.NamedAt) >= toleranceLifetime ||
		notice.NamedAt.Before(srv.soundAt) {
		return false
	}
	learned = !srv.tolerance.isNamed(now)
	if notice.NamedAt.After(srv.tolerance.namedAt) {
		srv.tolerance = tolerance{notice.PerSecond, notice.NamedAt}
	}
	return learned
}

// NoteSound records that an answer to a request sent at sentAt named no tolerance. It returns true if the server was known
// to be brittle.
func (v *View) NoteSound(now time.Time, id string, born int64, sentAt time.Time) (ended bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil || srv.entry.Born != born || !sentAt.After(srv.tolerance.namedAt) {
		return false
	}
	ended = srv.tolerance.isNamed(now)
	srv.tolerance, srv.soundAt = tolerance{}, sentAt
	return ended
}

// Tolerances returns the brittle servers of a service.
func (v *View) Tolerances(now time.Time, service string) (notices []ToleranceNotice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		if srv.entry.Service == service && srv.tolerance.isNamed(now) && !v.removed(srv, now) {
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
	if srv == nil || !srv.tolerance.isNamed(now) {
		return notice, false
	}
	return ToleranceNotice{id, srv.entry.Born, srv.tolerance.perSecond, srv.tolerance.namedAt}, true
}
