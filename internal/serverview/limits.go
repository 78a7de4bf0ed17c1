package serverview

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
)

// NoteLimit applies what an answer of a server says about its limit, and returns the effect and the limit before. born is
// the start time of the server that answered, which ignores answers from before a restart.
func (v *View) NoteLimit(
	now time.Time, id string, born int64, notice requestlimit.Notice,
) (change requestlimit.Change, before float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.incarnation(id, born)
	if srv == nil {
		return requestlimit.Unchanged, 0
	}
	before, _ = srv.limit.Limit()
	change = srv.limit.Observe(now, notice)
	if change != requestlimit.Unchanged {
		v.notify()
	}
	return change, before
}

// Limit returns the limit of a server in requests a second, and whether it has one.
func (v *View) Limit(id string) (perSecond float64, limited bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv := v.servers[id]; srv != nil {
		return srv.limit.Limit()
	}
	return 0, false
}

// NoRoom records that a server's limit leaves no room for a request of this node until a time.
func (v *View) NoRoom(id string, until time.Time) {
	v.update(id, func(srv *server) { srv.noRoomUntil = until })
}

// LimitNotice is the latest notice about the limit of one incarnation of a server.
type LimitNotice struct {
	ServerID string
	Born     int64
	requestlimit.Notice
}

// LimitNotice returns the latest notice about a server's limit, and false if there is none.
func (v *View) LimitNotice(id string) (notice LimitNotice, known bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil {
		return notice, false
	}
	latest, known := srv.limit.Latest()
	return LimitNotice{ServerID: id, Born: srv.entry.Born, Notice: latest}, known
}

// LimitNotices returns the latest notices of all servers with a limit, and of those whose limit ended after since.
func (v *View) LimitNotices(since time.Time) []LimitNotice {
	v.mu.Lock()
	defer v.mu.Unlock()
	var notices []LimitNotice
	for id, srv := range v.servers {
		notice, known := srv.limit.Latest()
		ended := srv.limit.EndedAt().After(since)
		if known && srv.removedAt.IsZero() && (notice.Limited || ended) {
			notices = append(notices, LimitNotice{ServerID: id, Born: srv.entry.Born, Notice: notice})
		}
	}
	return notices
}

// ExpireLimit ends the limit of a server if no notice has confirmed it for longer than lifetime.
func (v *View) ExpireLimit(now time.Time, id string, lifetime time.Duration) (expired bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil || now.Sub(srv.limit.HeardAt()) <= lifetime || !srv.limit.Expire() {
		return false
	}
	v.notify()
	return true
}
