package fleet

import (
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// maximumReadings bounds the engine clock readings kept. Dropping old ones only makes proofs come later.
const maximumReadings = 64

// reading is one reading of the engine's clock, taken after the local time sent.
type reading struct {
	sent time.Time
	now  time.Duration
}

// engineView is what the reports of the engine say.
type engineView struct {
	report   engine.Report
	known    bool
	readings []reading
	// removed holds names whose removal older reports may not show yet.
	removed map[engine.LoadName]time.Time
	// foreign counts slots with names that this system didn't give.
	foreign int
}

func newEngineView() engineView {
	return engineView{removed: map[engine.LoadName]time.Time{}}
}

// conclusive reports whether the latest report describes the engine as it was after the local time t. That needs
// a reading of the engine's clock taken after t, and a report that is true for a later engine time.
func (e *engineView) conclusive(t time.Time) bool {
	if !e.known {
		return false
	}
	i := sort.Search(len(e.readings), func(i int) bool { return !e.readings[i].sent.Before(t) })
	return i < len(e.readings) && e.report.AsOf > e.readings[i].now
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

// lastSent returns the latest local time at which the present incarnation is known to have run.
func (e *engineView) lastSent() time.Time {
	if len(e.readings) == 0 {
		return time.Time{}
	}
	return e.readings[len(e.readings)-1].sent
}

// take stores a report and says whether the engine has restarted and whether the report is to be used.
func (e *engineView) take(sent time.Time, r engine.Report) (restarted, fresh bool) {
	if e.known && r.Incarnation != e.report.Incarnation {
		if !sent.After(e.lastSent()) {
			return false, false // A late answer of an older incarnation, or the next poll shows the newer one.
		}
		e.readings = nil
		restarted = true
	} else if e.known && r.AsOf < e.report.AsOf {
		return false, false
	}
	e.report = r
	e.known = true
	e.addReading(reading{sent: sent, now: r.Now})
	return restarted, true
}

func (e *engineView) addReading(next reading) {
	if n := len(e.readings); n > 0 && (!next.sent.After(e.readings[n-1].sent) || next.now < e.readings[n-1].now) {
		return
	}
	e.readings = append(e.readings, next)
	if len(e.readings) > maximumReadings {
		e.readings = append(e.readings[:0], e.readings[1:]...)
	}
}

// Report takes a report that was asked for at sent and answered by now. A new engine incarnation clears the loads.
func (s *Server) Report(now, sent time.Time, r engine.Report) {
	leaving := s.Leaving()
	ranUntil := s.engine.lastSent()
	restarted, fresh := s.engine.take(sent, r)
	if !fresh {
		return
	}
	if restarted {
		s.clear(ranUntil)
	}
	s.engine.foreign = 0
	shown := make(map[engine.LoadName]engine.LoadedAdapter, len(r.Adapters))
	for _, adapter := range r.Adapters {
		shown[adapter.Name] = adapter
		s.find(now, sent, adapter)
	}
	for _, l := range s.ordered() {
		adapter, present := shown[l.name]
		s.reconcile(now, l, adapter, present)
		s.dropFinished(now, l)
	}
	for name, at := range s.engine.removed {
		if _, present := shown[name]; !present && s.engine.conclusive(at) {
			delete(s.engine.removed, name)
		}
	}
	if s.Leaving() != leaving {
		s.version.Advance()
	}
}

// clear forgets what the engine held before its restart. The old incarnation is known to have run at ranUntil, so an
// order that is under way or was answered later may have reached the new one. Its slot stays taken until a later
// report shows what became of it; freeing it at once led to one load more than there are slots.
func (s *Server) clear(ranUntil time.Time) {
	s.raised = false
	s.order = nil
	for number, l := range s.loads {
		if !l.calling && !l.settled.After(ranUntil) {
			s.requests -= l.inFlight()
			delete(s.loads, number)
		}
	}
	s.version.Advance()
}

// dropFinished forgets gateways that are proven to have ended their use of a load. The last count of a gateway that
// died would otherwise keep the load from being evicted for ever.
func (s *Server) dropFinished(now time.Time, l *load) {
	for id, u := range l.users {
		if s.finished(now, l, u) {
			s.requests -= u.inFlight
			delete(l.users, id)
		}
	}
}

// find adopts a load that the report shows and that isn't known.
func (s *Server) find(now, sent time.Time, adapter engine.LoadedAdapter) {
	of, number, ok := parseName(adapter.Name)
	known := s.loads[number]
	if !ok || (known != nil && known.name != adapter.Name) {
		s.engine.foreign++
		return
	}
	if known != nil {
		return
	}
	if at, removed := s.engine.removed[adapter.Name]; removed && !s.engine.conclusive(at) {
		return
	}
	delete(s.engine.removed, adapter.Name)
	l := &load{
		number: number, name: adapter.Name, of: of, state: Loading, inherited: true, uncertain: true,
		settled: sent, found: now, users: map[GatewayID]*user{},
	}
	s.loads[number] = l
	s.order = nil
	if !adapter.Loading {
		s.becomeResident(now, l)
	}
	s.version.Advance()
}

// reconcile brings one load in line with the latest report.
func (s *Server) reconcile(now time.Time, l *load, adapter engine.LoadedAdapter, present bool) {
	switch {
	case l.calling:
	case !present && s.engine.conclusive(l.settled):
		s.remove(now, l)
	case present && l.state == Loading && !adapter.Loading:
		s.becomeResident(now, l)
	case present && l.state == Closing && l.uncertain && s.engine.conclusive(l.settled):
		l.uncertain = false // The unload had no effect; Tick orders it again.
	}
}
