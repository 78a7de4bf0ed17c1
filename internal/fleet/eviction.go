package fleet

import (
	"errors"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// retryInterval is the time after which an intent record or a raise of the fencing number that had no visible effect is
// requested again.
const retryInterval = 2 * time.Second

// evictable reports whether Close may begin an eviction of the load.
func (s *Server) evictable(now time.Time, l *load) bool {
	if l.state != Resident || !s.LeaseValid(now) {
		return false
	}
	return !l.inherited || s.ownership.PredecessorsStopped
}

// Close begins the eviction of a load. A closing load never becomes resident again.
func (s *Server) Close(now time.Time, number engine.LoadNumber) error {
	l := s.loads[number]
	if l == nil || !s.evictable(now, l) {
		return ErrNotEvictable
	}
	l.state = Closing
	l.closingVersion = s.version.Advance()
	return nil
}

// Tick returns the actions that are due at now.
func (s *Server) Tick(now time.Time) []Action {
	if s.superseded {
		return nil
	}
	actions := s.raiseFence(now)
	for _, l := range s.ordered() {
		if l.state != Closing || l.orderPending || l.outcomeUnknown {
			continue
		}
		if action, ok := s.nextEvictionStep(now, l); ok {
			actions = append(actions, action)
		}
	}
	return append(actions, s.endIntent(now)...)
}

func (s *Server) raiseFence(now time.Time) []Action {
	if !s.spec.ChecksFence || s.fenceRaised || s.raisePending || now.Sub(s.raiseOrderedAt) < retryInterval {
		return nil
	}
	s.raisePending = true
	s.raiseOrderedAt = now
	return []Action{{Kind: OrderRaiseFence, Fence: s.ownership.Fence}}
}

// FenceRaised applies the result of OrderRaiseFence.
func (s *Server) FenceRaised(err error) {
	s.raisePending = false
	if err == nil && !s.fenceRaised {
		s.fenceRaised = true
		s.version.Advance()
	}
	if errors.Is(err, engine.ErrFenced) {
		s.Supersede()
	}
}

// nextEvictionStep returns the next action of one eviction, if its conditions are met.
func (s *Server) nextEvictionStep(now time.Time, l *load) (Action, bool) {
	if !s.LeaseValid(now) || !s.provenUnused(now, l) {
		return Action{}, false
	}
	if s.spec.ChecksFence {
		return s.orderUnload(now, l, s.fenceRaised)
	}
	if s.ownership.Intent == l.name {
		return s.orderUnload(now, l, true)
	}
	if s.ownership.Intent != "" || now.Sub(s.intentRequestedAt) < retryInterval {
		return Action{}, false
	}
	s.intentRequestedAt = now
	return Action{Kind: WriteIntent, Number: l.number, Name: l.name, Fence: s.ownership.Fence}, true
}

func (s *Server) orderUnload(now time.Time, l *load, allowed bool) (Action, bool) {
	if !allowed {
		return Action{}, false
	}
	if s.openRequests(now, l) > 0 {
		s.violations++
		return Action{}, false
	}
	l.orderPending = true
	return Action{Kind: OrderUnload, Number: l.number, Name: l.name, Fence: s.ownership.Fence}, true
}

// provenUnused reports whether it's proven that no request is on the load and that none can be dispatched to it.
func (s *Server) provenUnused(now time.Time, l *load) bool {
	for _, u := range l.users {
		if !s.provenFinished(now, l, u) {
			return false
		}
	}
	if !l.inherited {
		return true
	}
	if !s.ownership.PredecessorsStopped {
		return false
	}
	return s.idleAfter(now, l, latest(l.foundAt, latest(s.acquiredAt, s.predecessorsStoppedAt)).Add(s.validity))
}

// provenFinished reports whether one gateway is proven to have ended its use of the load: it has acknowledged the
// closing, or its permit has expired and a report as of a later time shows the load idle.
func (s *Server) provenFinished(now time.Time, l *load, u *gatewayUse) bool {
	if u.released {
		return true
	}
	end := u.permitExpiry
	if u.inFlight > 0 {
		end = latest(end, u.seenAt.Add(s.validity))
	}
	return s.idleAfter(now, l, end)
}

func (s *Server) idleAfter(now time.Time, l *load, t time.Time) bool {
	return now.After(t) && s.engine.reportedAfter(t) && s.engine.idle(l.name)
}

// openRequests counts requests on the load that aren't proven to have ended. It's checked separately from provenUnused,
// so that a protocol error is counted as a violation instead of causing an eviction in use.
func (s *Server) openRequests(now time.Time, l *load) uint32 {
	var count uint32
	for _, u := range l.users {
		if u.inFlight > 0 && !s.idleAfter(now, l, u.seenAt) {
			count += u.inFlight
		}
	}
	return count
}

// UnloadEnded applies the result of an unload order.
func (s *Server) UnloadEnded(now time.Time, number engine.LoadNumber, err error) {
	l := s.loads[number]
	if l == nil || l.state != Closing || !l.orderPending {
		return
	}
	l.orderPending = false
	l.orderEndedAt = now
	switch {
	case err == nil, errors.Is(err, engine.ErrNotLoaded):
		s.remove(now, l)
	case errors.Is(err, engine.ErrFenced):
		s.Supersede()
	default:
		l.outcomeUnknown = true
	}
}

// endIntent ends this owner's intent once its load has been removed. An intent for a load that isn't closing remains
// from an earlier failure and is withdrawn; no unload was ordered for it, because that requires a closing load.
func (s *Server) endIntent(now time.Time) []Action {
	name := s.ownership.Intent
	if name == "" || (name == s.endingIntent && now.Sub(s.endRequestedAt) < retryInterval) {
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
	s.endingIntent, s.endRequestedAt = name, now
	return []Action{{Kind: kind, Name: name, Fence: s.ownership.Fence}}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
