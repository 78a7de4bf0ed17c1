package serverview

import "time"

// lingerTime is how long a server that says that it leaves may still get requests that no other one can serve. The platform
// wants it to get no request that is sent 2 s or more after the first such answer.
const lingerTime = time.Second

// sendSlack is how long after this node has learned from a server's entry that it leaves a request that was chosen for it before may
// still be written to it. The platform wants it to get none 2 s after the store has acknowledged the entry, of which this node may have
// learned 1.2 s later.
const sendSlack = 500 * time.Millisecond

// LeavingNotice says that one incarnation of a server is about to end, according to the server itself.
type LeavingNotice struct {
	ServerID string
	// Service is set in the view's notices only.
	Service string
	Born    int64
	// Address is where the incarnation listens.
	Address string
	// Since is when an answer first said so at a node.
	Since time.Time
}

// NoteLeaving applies a notice. It returns true if the server wasn't known to leave by its own answers.
func (v *View) NoteLeaving(notice LeavingNotice) (learned bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(notice.ServerID, notice.Born)
	if srv == nil || srv.entry.Address != notice.Address {
		return false
	}
	if learned = srv.saidLeavingAt.IsZero(); learned || notice.Since.Before(srv.saidLeavingAt) {
		srv.saidLeavingAt = notice.Since
	}
	if learned {
		v.notify()
	}
	return learned
}

// LeavingNotices returns the notices about the servers that leave by their own answers alone: their entries don't say so.
func (v *View) LeavingNotices() (notices []LeavingNotice) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for id, srv := range v.servers {
		if !srv.saidLeavingAt.IsZero() && !srv.leaving && srv.removedAt.IsZero() {
			notices = append(notices, LeavingNotice{id, srv.entry.Service, srv.entry.Born, srv.entry.Address, srv.saidLeavingAt})
		}
	}
	return notices
}

// NoticeCounts returns the number of servers that say that they leave, and of those that want no requests from this node.
func (v *View) NoticeCounts(now time.Time) (leaving, resting int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if !srv.saidLeavingAt.IsZero() && !srv.isGone(now) {
			leaving++
		}
		if srv.restsFor(now) > 0 {
			resting++
		}
	}
	return leaving, resting
}

// SaidLeaving reports whether a server has said in its answers that it leaves.
func (v *View) SaidLeaving(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	return srv != nil && !srv.saidLeavingAt.IsZero()
}

// isLeaving reports whether the server leaves, by its entry or its answers.
func (s *server) isLeaving() bool { return s.leaving || !s.saidLeavingAt.IsZero() }

// lingers reports whether the server, which leaves by its answers, has said so for less than lingerTime.
func (s *server) lingers(now time.Time) bool {
	return !s.leaving && !s.saidLeavingAt.IsZero() && now.Sub(s.saidLeavingAt) < lingerTime
}

// MaySend reports whether a request that arrived at a time may still be written to an incarnation of a server, which may have
// changed since it was chosen.
func (v *View) MaySend(now time.Time, id string, born int64, arrived time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(id, born)
	switch {
	case srv == nil:
		return true
	case srv.restsFor(now) > 0, srv.isGone(now), srv.leaving && !now.Before(srv.leavingAt.Add(sendSlack)):
		return false
	}
	return srv.saidLeavingAt.IsZero() || arrived.Before(srv.saidLeavingAt.Add(lingerTime))
}

// NoteRest records that an incarnation of a server wants no requests from this node until a time. It returns true if it didn't
// before; a shorter rest doesn't end a longer one.
func (v *View) NoteRest(now time.Time, id string, born int64, until time.Time) (begun bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(id, born)
	if srv == nil || !until.After(srv.restUntil) {
		return false
	}
	begun = srv.restsFor(now) == 0
	srv.restNotedAt, srv.restUntil = now, until
	return begun
}

// RestsFor returns how long a server still wants no requests from this node.
func (v *View) RestsFor(now time.Time, id string) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv := v.servers[id]; srv != nil {
		return srv.restsFor(now)
	}
	return 0
}

func (s *server) restsFor(now time.Time) time.Duration { return max(s.restUntil.Sub(now), 0) }

// NoteSuspension records that the VM was suspended for a time after since: the clock of this view stood still, and the servers'
// rests went on. A rest that was asked for after since may have begun after the suspension and isn't shortened.
func (v *View) NoteSuspension(since time.Time, duration time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, srv := range v.servers {
		if !srv.restNotedAt.After(since) {
			srv.restUntil = srv.restUntil.Add(-duration)
		}
	}
	v.notify()
}
