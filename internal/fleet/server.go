package fleet

import (
	"errors"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// load is one adapter version in one slot.
type load struct {
	number engine.LoadNumber
	name   engine.LoadName
	of     AdapterVersion
	state  State
	// inherited is true for a load that was found on the server: others may have granted permits for it.
	inherited bool
	// found is when an inherited load was first seen. Permits for it that aren't known of are older.
	found time.Time
	// calling is true while the answer to a load or unload order is awaited.
	calling bool
	// uncertain is true after the answer to an order was lost.
	uncertain bool
	// settled is the local time of the last answer or loss of an answer. Only a report of a later engine time
	// says what became of the order.
	settled time.Time
	since   time.Time
	// closedAt is the permits version that first showed the load as closing.
	closedAt uint64
	users    map[GatewayID]*user
}

// user is one gateway that holds a permit for a load or has requests on it.
type user struct {
	expiry   time.Time
	inFlight uint32
	seen     time.Time
	closed   bool
}

// Server is the aggregate of one owned backend server. It isn't safe for concurrent use.
type Server struct {
	validity   time.Duration
	version    *Version
	spec       Spec
	owner      Ownership
	gainedAt   time.Time
	provenAt   time.Time
	superseded bool
	vmLeaving  bool
	loads      map[engine.LoadNumber]*load
	// order is a copy of loads by number, nil after a change.
	order    []*load
	sessions map[GatewayID]*session
	sums     sums
	// requests is the sum of the requests on all loads, by the gateways' last syncs.
	requests uint32
	engine   engineView
	raised   bool
	raising  bool
	raiseAt  time.Time
	// intentAt is when an intent was asked for that hasn't been read back.
	intentAt time.Time
	// ending is the intent whose end was last asked for, at endAt.
	ending     engine.LoadName
	endAt      time.Time
	violations uint64
}

// New returns the aggregate of a server that was gained at now. Permits are valid for validity. The version is
// shared by all servers of the scheduler.
func New(now time.Time, validity time.Duration, version *Version, spec Spec, owner Ownership) *Server {
	s := &Server{
		validity: validity, version: version, spec: spec, gainedAt: now,
		loads: map[engine.LoadNumber]*load{}, sessions: map[GatewayID]*session{}, engine: newEngineView(),
	}
	s.SetOwnership(now, owner)
	version.Advance()
	return s
}

// SetSpec takes a changed declaration.
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
func (s *Server) Fence() engine.FencingNumber { return s.owner.Fence }

// SetOwnership takes what the ownership core knows now.
func (s *Server) SetOwnership(now time.Time, owner Ownership) {
	if !slices.Equal(owner.Barred, s.owner.Barred) || owner.Fence != s.owner.Fence {
		s.version.Advance()
	}
	if !owner.PredecessorsStopped {
		s.provenAt = time.Time{}
	} else if s.provenAt.IsZero() {
		s.provenAt = now
	}
	if owner.Intent != "" {
		s.intentAt = time.Time{}
	}
	s.owner = owner
}

// SetVMLeaving takes whether the platform's list says that the server's VM is leaving.
func (s *Server) SetVMLeaving(leaving bool) {
	if leaving != s.vmLeaving {
		s.vmLeaving = leaving
		s.version.Advance()
	}
}

// Supersede ends all grants: a newer owner exists.
func (s *Server) Supersede() {
	if !s.superseded {
		s.superseded = true
		s.version.Advance()
	}
}

// Leaving reports whether any sign says that the server is leaving.
func (s *Server) Leaving() bool { return s.spec.Drain || s.vmLeaving || s.engine.report.Draining }

// LeaseValid reports whether the lease holds.
func (s *Server) LeaseValid(now time.Time) bool {
	return !s.superseded && now.Before(s.owner.LeaseUntil)
}

// Violations returns how often an eviction that was about to be ordered was stopped because of a known user. It
// must stay 0.
func (s *Server) Violations() uint64 { return s.violations }

// Ready reports whether a report describes the engine as it was after the server was gained.
func (s *Server) Ready() bool { return s.engine.conclusive(s.gainedAt) }

// FreeSlots returns how many slots are free, or 0 while that isn't known.
func (s *Server) FreeSlots() int {
	if !s.Ready() {
		return 0
	}
	slots := s.spec.Slots
	if reported := s.engine.report.Slots; reported > 0 {
		slots = min(slots, reported)
	}
	return max(0, slots-len(s.loads)-s.engine.foreign)
}

// Busy reports whether something closes or loads, so that reports are wanted soon.
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

// StartLoad takes a slot for a load that is about to be ordered, and returns its name and the order's fence.
func (s *Server) StartLoad(of AdapterVersion, number engine.LoadNumber) (engine.LoadName, engine.FencingNumber, error) {
	switch {
	case s.superseded || s.Leaving():
		return "", 0, ErrLeaving
	case s.FreeSlots() == 0:
		return "", 0, ErrNoFreeSlot
	case s.loads[number] != nil || s.Has(of):
		return "", 0, ErrPresent
	}
	name := engine.NameLoad(of.Adapter, of.Version, number)
	s.loads[number] = &load{
		number: number, name: name, of: of, state: Loading, calling: true, users: map[GatewayID]*user{},
	}
	s.order = nil
	s.version.Advance()
	return name, s.owner.Fence, nil
}

// Has reports whether the adapter version is loading or resident on the server.
func (s *Server) Has(of AdapterVersion) bool {
	for _, l := range s.loads {
		if l.of == of && l.state != Closing {
			return true
		}
	}
	return false
}

// LoadEnded takes the answer to a load order. An error that leaves the effect unknown keeps the slot until a
// report shows what became of it.
func (s *Server) LoadEnded(now time.Time, number engine.LoadNumber, err error) {
	l := s.loads[number]
	if l == nil || !l.calling || l.state != Loading {
		return
	}
	l.calling = false
	l.settled = now
	switch {
	case err == nil:
		s.becomeResident(now, l)
	case errors.Is(err, engine.ErrFenced):
		s.remove(now, l)
		s.Supersede()
	case errors.Is(err, engine.ErrNoSlot), errors.Is(err, engine.ErrLoadFailed):
		s.remove(now, l)
	default:
		l.uncertain = true
	}
}

func (s *Server) becomeResident(now time.Time, l *load) {
	l.state = Resident
	l.uncertain = false
	l.since = now
	s.version.Advance()
}

// remove frees the slot. Older reports may still show the name and are not believed.
func (s *Server) remove(now time.Time, l *load) {
	s.requests -= l.inFlight()
	delete(s.loads, l.number)
	s.order = nil
	s.engine.removed[l.name] = now
	s.version.Advance()
}

// Loads returns the loads in the order of their numbers.
func (s *Server) Loads(now time.Time) []LoadView {
	views := make([]LoadView, 0, len(s.loads))
	for _, l := range s.ordered() {
		views = append(views, LoadView{
			Number: l.number, Name: l.name, Of: l.of, State: l.state, Since: l.since, InFlight: l.inFlight(),
			Evictable: s.evictable(now, l), Granted: s.grants(l),
		})
	}
	return views
}

// ordered returns the loads by number. The caller must not change the slice.
func (s *Server) ordered() []*load {
	if s.order != nil {
		return s.order
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
	s.order = list
	return list
}

func (l *load) inFlight() uint32 {
	var sum uint32
	for _, u := range l.users {
		sum += u.inFlight
	}
	return sum
}
