package fleet

import (
	"errors"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// retryAfter is the time after which an intent record or a raise that had no visible effect is asked for again.
const retryAfter = 2 * time.Second

// evictable reports whether an eviction of the load may begin.
func (s *Server) evictable(now time.Time, l *load) bool {
	if l.state != Resident || !s.LeaseValid(now) {
		return false
	}
	return !l.inherited || s.owner.PredecessorsStopped
}

// Close begins the eviction of a load. A closing load is never opened again.
func (s *Server) Close(now time.Time, number engine.LoadNumber) error {
	l := s.loads[number]
	if l == nil || !s.evictable(now, l) {
		return ErrNotEvictable
	}
	l.state = Closing
	l.closedAt = s.version.Advance()
	return nil
}

// Tick returns what is to be done now.
func (s *Server) Tick(now time.Time) []Action {
	if s.superseded {
		return nil
	}
	actions := s.raise(now)
	for _, l := range s.ordered() {
		if l.state != Closing || l.calling || l.uncertain {
			continue
		}
		if action, ok := s.evict(now, l); ok {
			actions = append(actions, action)
		}
	}
	return append(actions, s.closeIntent(now)...)
}

func (s *Server) raise(now time.Time) []Action {
	if !s.spec.ChecksFence || s.raised || s.raising || now.Sub(s.raiseAt) < retryAfter {
		return nil
	}
	s.raising = true
	s.raiseAt = now
	return []Action{{Kind: OrderRaise, Fence: s.owner.Fence}}
}

// FenceRaised takes the result of OrderRaise.
func (s *Server) FenceRaised(err error) {
	s.raising = false
	if err == nil && !s.raised {
		s.raised = true
		s.version.Advance()
	}
	if errors.Is(err, engine.ErrFenced) {
		s.Supersede()
	}
}

// evict returns the next step of one eviction, if it can be taken now.
func (s *Server) evict(now time.Time, l *load) (Action, bool) {
	if !s.LeaseValid(now) || !s.unused(now, l) {
		return Action{}, false
	}
	if s.spec.ChecksFence {
		return s.orderUnload(now, l, s.raised)
	}
	if s.owner.Intent == l.name {
		return s.orderUnload(now, l, true)
	}
	if s.owner.Intent != "" || now.Sub(s.intentAt) < retryAfter {
		return Action{}, false
	}
	s.intentAt = now
	return Action{Kind: WriteIntent, Number: l.number, Name: l.name, Fence: s.owner.Fence}, true
}

func (s *Server) orderUnload(now time.Time, l *load, allowed bool) (Action, bool) {
	if !allowed {
		return Action{}, false
	}
	if s.knownUsers(now, l) > 0 {
		s.violations++
		return Action{}, false
	}
	l.calling = true
	return Action{Kind: OrderUnload, Number: l.number, Name: l.name, Fence: s.owner.Fence}, true
}

// unused reports whether it's proven that no request is on the load and none can come.
func (s *Server) unused(now time.Time, l *load) bool {
	for _, u := range l.users {
		if !s.finished(now, l, u) {
			return false
		}
	}
	if !l.inherited {
		return true
	}
	if !s.owner.PredecessorsStopped {
		return false
	}
	return s.idleAfter(now, l, latest(l.found, latest(s.gainedAt, s.provenAt)).Add(s.validity))
}

// finished reports whether one gateway is proven to have ended its use: it said so, or its permit has expired and
// a report that is true for a later time shows the load idle.
func (s *Server) finished(now time.Time, l *load, u *user) bool {
	if u.closed {
		return true
	}
	end := u.expiry
	if u.inFlight > 0 {
		end = latest(end, u.seen.Add(s.validity))
	}
	return s.idleAfter(now, l, end)
}

func (s *Server) idleAfter(now time.Time, l *load, t time.Time) bool {
	return now.After(t) && s.engine.conclusive(t) && s.engine.idle(l.name)
}

// knownUsers counts requests on the load that nothing proves to have ended. It's checked apart from unused, so that
// an error in the protocol shows up as a counted violation and not as an eviction.
func (s *Server) knownUsers(now time.Time, l *load) uint32 {
	var count uint32
	for _, u := range l.users {
		if u.inFlight > 0 && !s.idleAfter(now, l, u.seen) {
			count += u.inFlight
		}
	}
	return count
}

// UnloadEnded takes the answer to an unload order.
func (s *Server) UnloadEnded(now time.Time, number engine.LoadNumber, err error) {
	l := s.loads[number]
	if l == nil || l.state != Closing || !l.calling {
		return
	}
	l.calling = false
	l.settled = now
	switch {
	case err == nil, errors.Is(err, engine.ErrNotLoaded):
		s.remove(now, l)
	case errors.Is(err, engine.ErrFenced):
		s.Supersede()
	default:
		l.uncertain = true
	}
}

// closeIntent ends the own intent once its load is gone. An intent for a load that isn't closing was left by an
// earlier failure and is withdrawn; the order for it was never sent, because orders need a closing load.
func (s *Server) closeIntent(now time.Time) []Action {
	name := s.owner.Intent
	if name == "" || (name == s.ending && now.Sub(s.endAt) < retryAfter) {
		return nil
	}
	kind := EndIntentDone
	for _, l := range s.loads {
		if l.name != name {
			continue
		}
		if l.state == Closing {
			return nil
		}
		kind = EndIntentWithdrawn
	}
	s.ending, s.endAt = name, now
	return []Action{{Kind: kind, Name: name, Fence: s.owner.Fence}}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
