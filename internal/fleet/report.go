package fleet

import (
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// maximumReadings bounds the engine clock readings that are stored. Discarding old ones only delays proofs.
const maximumReadings = 64

// clockReading is one reading of the engine's clock, taken after the local time sentAt.
type clockReading struct {
	sentAt     time.Time
	engineTime time.Duration
}

// engineView is the engine's state according to its reports.
type engineView struct {
	report    engine.Report
	hasReport bool
	readings  []clockReading
	// removedAt is when loads were removed that reports may still show.
	removedAt map[engine.LoadName]time.Time
	// foreignSlots counts slots whose names don't belong to this system's loads.
	foreignSlots int
}

func newEngineView() engineView {
	return engineView{removedAt: map[engine.LoadName]time.Time{}}
}

// reportedAfter reports whether the latest report describes the engine's state after the local time t. That requires a
// reading of the engine's clock taken after t, and a report as of a later engine time.
func (e *engineView) reportedAfter(t time.Time) bool {
	if !e.hasReport {
		return false
	}
	i := sort.Search(len(e.readings), func(i int) bool { return !e.readings[i].sentAt.Before(t) })
	return i < len(e.readings) && e.report.AsOf > e.readings[i].engineTime
}

// idle reports whether the latest report shows no request on the load.
func (e *engineView) idle(name engine.LoadName) bool {
	for _, adapter := range e.report.Adapters {
		if adapter.Name == name {
			return adapter.Running == 0 && adapter.Waiting == 0
		}
	}
	return true
}

// lastSent returns the latest local time at which the current incarnation is known to have been running.
func (e *engineView) lastSent() time.Time {
	if len(e.readings) == 0 {
		return time.Time{}
	}
	return e.readings[len(e.readings)-1].sentAt
}

// accept stores a report unless it's outdated. It returns whether the engine has restarted and whether the report was
// stored.
func (e *engineView) accept(sent time.Time, r engine.Report) (restarted, accepted bool) {
	if e.hasReport && r.Incarnation != e.report.Incarnation {
		if !sent.After(e.lastSent()) {
			return false, false // Either a late answer of an older incarnation, or the next poll shows the newer one.
		}
		e.readings = nil
		restarted = true
	} else if e.hasReport && r.AsOf < e.report.AsOf {
		return false, false
	}
	e.report = r
	e.hasReport = true
	e.addReading(clockReading{sentAt: sent, engineTime: r.Now})
	return restarted, true
}

func (e *engineView) addReading(next clockReading) {
	n := len(e.readings)
	if n > 0 && (!next.sentAt.After(e.readings[n-1].sentAt) || next.engineTime < e.readings[n-1].engineTime) {
		return
	}
	e.readings = append(e.readings, next)
	if len(e.readings) > maximumReadings {
		e.readings = append(e.readings[:0], e.readings[1:]...)
	}
}

// Report applies a report that was requested at sent and received at now. A new engine incarnation removes the loads.
func (s *Server) Report(now, sent time.Time, r engine.Report) {
	leaving := s.Leaving()
	ranUntil := s.engine.lastSent()
	restarted, accepted := s.engine.accept(sent, r)
	if !accepted {
		return
	}
	if restarted {
		s.clearAfterRestart(ranUntil)
	}
	s.engine.foreignSlots = 0
	shown := make(map[engine.LoadName]engine.LoadedAdapter, len(r.Adapters))
	for _, adapter := range r.Adapters {
		shown[adapter.Name] = adapter
		s.adoptLoad(now, sent, adapter)
	}
	for _, l := range s.ordered() {
		adapter, present := shown[l.name]
		s.reconcile(now, l, adapter, present)
		s.dropFinishedUsers(now, l)
	}
	for name, at := range s.engine.removedAt {
		if _, present := shown[name]; !present && s.engine.reportedAfter(at) {
			delete(s.engine.removedAt, name)
		}
	}
	if s.Leaving() != leaving {
		s.version.Advance()
	}
}

// clearAfterRestart removes the loads that the engine had before its restart. The old incarnation is known to have run
// at ranUntil, so an order that is pending or was answered later may have reached the new one. Its slot stays in use
// until a later report shows the outcome; freeing it at once led to one load more than there are slots.
func (s *Server) clearAfterRestart(ranUntil time.Time) {
	s.fenceRaised = false
	s.sorted = nil
	for number, l := range s.loads {
		if !l.orderPending && !l.orderEndedAt.After(ranUntil) {
			s.requests -= l.inFlight()
			delete(s.loads, number)
		}
	}
	s.version.Advance()
}

// dropFinishedUsers removes gateways that are proven to have ended their use of a load. Otherwise the last count of a
// gateway that crashed would prevent the eviction of the load for ever.
func (s *Server) dropFinishedUsers(now time.Time, l *load) {
	for id, u := range l.users {
		if s.provenFinished(now, l, u) {
			s.requests -= u.inFlight
			delete(l.users, id)
		}
	}
}

// adoptLoad adds a load that a report shows and that isn't known yet.
func (s *Server) adoptLoad(now, sent time.Time, adapter engine.LoadedAdapter) {
	version, number, ok := parseName(adapter.Name)
	existing := s.loads[number]
	if !ok || (existing != nil && existing.name != adapter.Name) {
		s.engine.foreignSlots++
		return
	}
	if existing != nil {
		return
	}
	if at, removed := s.engine.removedAt[adapter.Name]; removed && !s.engine.reportedAfter(at) {
		return
	}
	delete(s.engine.removedAt, adapter.Name)
	l := &load{
		number: number, name: adapter.Name, adapterVersion: version, state: Loading, inherited: true, outcomeUnknown: true,
		orderEndedAt: sent, foundAt: now, users: map[GatewayID]*gatewayUse{},
	}
	s.loads[number] = l
	s.sorted = nil
	if !adapter.Loading {
		s.becomeResident(now, l)
	}
	s.version.Advance()
}

// reconcile updates one load from the latest report.
func (s *Server) reconcile(now time.Time, l *load, adapter engine.LoadedAdapter, present bool) {
	switch {
	case l.orderPending:
	case !present && s.engine.reportedAfter(l.orderEndedAt):
		s.remove(now, l)
	case present && l.state == Loading && !adapter.Loading:
		s.becomeResident(now, l)
	case present && l.state == Closing && l.outcomeUnknown && s.engine.reportedAfter(l.orderEndedAt):
		l.outcomeUnknown = false // The unload had no effect; Tick orders it again.
	}
}
