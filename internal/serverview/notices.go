package serverview

import "time"

// LeavingNotice says that one incarnation of a server is about to end, according to the server itself.
type LeavingNotice struct {
	ServerID string
	Born     int64
	// Since is when an answer first said so at a node.
	Since time.Time
}

// NoteLeaving applies a notice. It returns true if the server wasn't known to leave by its own answers.
func (v *View) NoteLeaving(notice LeavingNotice) (learned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[notice.ServerID]
	if srv == nil || srv.entry.Born != notice.Born {
		return false
	}
	if learned = srv.saidLeavingAt.IsZero(); learned || notice.Since.Before(srv.saidLeavingAt) {
		srv.saidLeavingAt = notice.Since
	}
	return learned
}

// SaidLeaving reports whether a server has said in its answers that it leaves.
func (v *View) SaidLeaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	return srv != nil && !srv.saidLeavingAt.IsZero()
}

// NoteRest records that an incarnation of a server wants no requests from this node until a time. It returns true if it didn't
// before; a shorter rest doesn't end a longer one.
func (v *View) NoteRest(now time.Time, id string, born int64, until time.Time) (begun bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil || srv.entry.Born != born || !until.After(srv.restUntil) {
		return false
	}
	begun = !now.Before(srv.restUntil)
	srv.restUntil = until
	return begun
}

// RestsFor returns how long a server still wants no requests from this node.
func (v *View) RestsFor(now time.Time, id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv := v.servers[id]; srv != nil {
		return max(srv.restUntil.Sub(now), 0)
	}
	return 0
}
