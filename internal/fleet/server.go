package fleet

import (
	"errors"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// load is one adapter version in one slot.
type load struct {
	number         engine.LoadNumber
	name           engine.LoadName
	adapterVersion AdapterVersion
	state          LoadState
	// inherited is true for a load that was first seen in a report: a former owner may have granted permits for it.
	inherited bool
	// foundAt is when an inherited load was first seen. Permits for it that aren't recorded in users are older.
	foundAt time.Time
	// orderPending is true while a load or unload order has no answer yet.
	orderPending bool
	// outcomeUnknown is true after an order ended without a conclusive answer.
	outcomeUnknown bool
	// orderEndedAt is the local time at which the last order was answered or failed. Only a report of a later engine
	// time shows the order's outcome. For an inherited load it's when the report that showed it was requested.
	orderEndedAt  time.Time
	residentSince time.Time
	// closingVersion is the first permits version that shows the load as closing.
	closingVersion uint64
	users          map[GatewayID]*gatewayUse
}

// gatewayUse is one gateway's use of a load: the permit that it holds and its requests.
type gatewayUse struct {
	permitExpiry time.Time
	inFlight     uint32
	seenAt       time.Time
	released     bool
}

// Server is the aggregate of one owned backend server. It isn't safe for concurrent use.
type Server struct {
	validity              time.Duration
	version               *Version
	spec                  Spec
	ownership             Ownership
	acquiredAt            time.Time
	predecessorsStoppedAt time.Time
	superseded            bool
	vmLeaving             bool
	loads                 map[engine.LoadNumber]*load
	// sorted is a copy of loads in the order of their numbers, nil after a change.
	sorted    []*load
	sessions  map[GatewayID]*session
	shareSums sums
	// requests is the number of requests on all loads, summed over the gateways' last syncs.
	requests       uint32
	engine         engineView
	fenceRaised    bool
	raisePending   bool
	raiseOrderedAt time.Time
	// intentRequestedAt is when an intent was requested that hasn't been read back yet.
	intentRequestedAt time.Time
	// endingIntent is the intent whose end was last requested, at endRequestedAt.
	endingIntent   engine.LoadName
	endRequestedAt time.Time
	violations     uint64
}

// New returns the aggregate of a server whose ownership was acquired at now. Permits are valid for validity. All
// servers of the scheduler share the version.
func New(now time.Time, validity time.Duration, version *Version, spec Spec, ownership Ownership) *Server {
	s := &Server{
		validity: validity, version: version, spec: spec, acquiredAt: now,
		loads: map[engine.LoadNumber]*load{}, sessions: map[GatewayID]*session{}, engine: newEngineView(),
	}
	s.SetOwnership(now, ownership)
	version.Advance()
	return s
}

// SetSpec replaces the declaration.
func (s *Server) SetSpec(spec Spec) {
	if spec == s.spec {
		return
	}
	s.spec = spec
	s.version.Advance()
}

// Spec returns the declaration.
func (s *Server) Spec() Spec { return s.spec }

// Fence returns the fencing number under which the server is owned.
func (s *Server) Fence() engine.FencingNumber { return s.ownership.Fence }

// SetOwnership replaces the ownership state.
func (s *Server) SetOwnership(now time.Time, ownership Ownership) {
	if !slices.Equal(ownership.BlockedLoads, s.ownership.BlockedLoads) || ownership.Fence != s.ownership.Fence {
		s.version.Advance()
	}
	if !ownership.PredecessorsStopped {
		s.predecessorsStoppedAt = time.Time{}
	} else if s.predecessorsStoppedAt.IsZero() {
		s.predecessorsStoppedAt = now
	}
	if ownership.Intent != "" {
		s.intentRequestedAt = time.Time{}
	}
	s.ownership = ownership
}

// SetVMLeaving records whether the platform's VM list shows the server's VM as leaving.
func (s *Server) SetVMLeaving(leaving bool) {
	if leaving != s.vmLeaving {
		s.vmLeaving = leaving
		s.version.Advance()
	}
}

// Supersede stops granting permits and ordering loads and evictions, because a newer owner exists.
func (s *Server) Supersede() {
	if !s.superseded {
		s.superseded = true
		s.version.Advance()
	}
}

// Leaving reports whether the declaration, the VM list or the engine's report shows the server as leaving.
func (s *Server) Leaving() bool { return s.spec.Drain || s.vmLeaving || s.engine.report.Draining }

// LeaseValid reports whether the lease is valid and no newer owner is known.
func (s *Server) LeaseValid(now time.Time) bool {
	return !s.superseded && now.Before(s.ownership.LeaseUntil)
}

// Violations returns how often an unload order was suppressed because requests were known to be on the load. It must
// stay 0.
func (s *Server) Violations() uint64 { return s.violations }

// Ready reports whether a report describes the engine's state after the ownership was acquired.
func (s *Server) Ready() bool { return s.engine.reportedAfter(s.acquiredAt) }

// FreeSlots returns how many slots are free, or 0 while that isn't known.
func (s *Server) FreeSlots() int {
	if !s.Ready() {
		return 0
	}
	slots := s.spec.Slots
	if reported := s.engine.report.Slots; reported > 0 {
		slots = min(slots, reported)
	}
	return max(0, slots-len(s.loads)-s.engine.foreignSlots)
}

// Busy reports whether a load is closing or loading or the server isn't ready, so that reports are needed soon.
func (s *Server) Busy() bool {
	if !s.Ready() {
		return true
	}
	for _, l := range s.loads {
		if l.state != Resident {
			return true
		}
	}
	return false
}

// StartLoad reserves a slot for a load that is about to be ordered, and returns its name and the order's fencing
// number.
func (s *Server) StartLoad(
	adapter AdapterVersion, number engine.LoadNumber,
) (engine.LoadName, engine.FencingNumber, error) {
	switch {
	case s.superseded || s.Leaving():
		return "", 0, ErrLeaving
	case s.FreeSlots() == 0:
		return "", 0, ErrNoFreeSlot
	case s.loads[number] != nil || s.Has(adapter):
		return "", 0, ErrPresent
	}
	name := engine.NewLoadName(adapter.Adapter, adapter.Version, number)
	s.loads[number] = &load{
		number: number, name: name, adapterVersion: adapter, state: Loading, orderPending: true,
		users: map[GatewayID]*gatewayUse{},
	}
	s.sorted = nil
	s.version.Advance()
	return name, s.ownership.Fence, nil
}

// Has reports whether the adapter version is loading or resident on the server.
func (s *Server) Has(adapter AdapterVersion) bool {
	for _, l := range s.loads {
		if l.adapterVersion == adapter && l.state != Closing {
			return true
		}
	}
	return false
}

// LoadEnded applies the result of a load order. After an error that leaves the outcome unknown, the slot stays in use
// until a report shows the outcome.
func (s *Server) LoadEnded(now time.Time, number engine.LoadNumber, err error) {
	l := s.loads[number]
	if l == nil || !l.orderPending || l.state != Loading {
		return
	}
	l.orderPending = false
	l.orderEndedAt = now
	switch {
	case err == nil:
		s.becomeResident(now, l)
	case errors.Is(err, engine.ErrFenced):
		s.remove(now, l)
		s.Supersede()
	case errors.Is(err, engine.ErrNoSlot), errors.Is(err, engine.ErrLoadFailed):
		s.remove(now, l)
	default:
		l.outcomeUnknown = true
	}
}

func (s *Server) becomeResident(now time.Time, l *load) {
	l.state = Resident
	l.outcomeUnknown = false
	l.residentSince = now
	s.version.Advance()
}

// remove frees the load's slot. Older reports may still show the name; they don't add the load again.
func (s *Server) remove(now time.Time, l *load) {
	s.requests -= l.inFlight()
	delete(s.loads, l.number)
	s.sorted = nil
	s.engine.removedAt[l.name] = now
	s.version.Advance()
}

// Loads returns the loads in the order of their numbers.
func (s *Server) Loads(now time.Time) []LoadView {
	views := make([]LoadView, 0, len(s.loads))
	for _, l := range s.ordered() {
		views = append(views, LoadView{
			Number: l.number, Name: l.name, AdapterVersion: l.adapterVersion, State: l.state, Since: l.residentSince,
			InFlight: l.inFlight(), Evictable: s.evictable(now, l), Granted: s.grantable(l),
		})
	}
	return views
}

// ordered returns the loads by number. The caller must not change the slice.
func (s *Server) ordered() []*load {
	if s.sorted != nil {
		return s.sorted
	}
	list := make([]*load, 0, len(s.loads))
	for _, l := range s.loads {
		list = append(list, l)
	}
	slices.SortFunc(list, func(a, b *load) int {
		if a.number < b.number {
			return -1
		}
		return 1
	})
	s.sorted = list
	return list
}

func (l *load) inFlight() uint32 {
	var sum uint32
	for _, u := range l.users {
		sum += u.inFlight
	}
	return sum
}
