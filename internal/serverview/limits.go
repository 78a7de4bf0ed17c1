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
	srv := v.servers[id]
	if srv == nil || srv.entry.Born != born {
		return requestlimit.Unchanged, 0
	}
	before, _ = srv.limit.Limit()
	change = srv.limit.Observe(now, notice)
	if change != requestlimit.Unchanged {
		v.notify()
	}
	return change, before
}
