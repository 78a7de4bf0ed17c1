package slotdispatch

import (
	"fmt"
	"math"
	"time"
)

// server is a server with what its slots show.
type server struct {
	Server
	// present is false once the server has left; its slots in use are kept until they end.
	present bool
	used    int
	// told is the number of slots that nodes reported to a new dispatcher.
	told int
	// sinceSum is the sum of the times at which the slots in use began, in seconds after the dispatcher's start.
	sinceSum float64
	// hold is the average time from an assignment to the return of its slot, work the part between send and answer.
	hold       time.Duration
	work       time.Duration
	observedAt time.Time
	// withheld is the number of excess requests that the server doesn't get since it rejected some, withheldChangedAt the
	// time of the latest change, and recovery the time until it gets one of them again.
	withheld          int
	withheldChangedAt time.Time
	recovery          time.Duration
	// fullUntil is when a server that rejected a request may get requests again.
	fullUntil time.Time
}

// ServerState describes a server for the log.
type ServerState struct {
	ID       string
	Used     int
	Capacity int
	Hold     time.Duration
}

// String returns the state as in the log.
func (s ServerState) String() string {
	return fmt.Sprintf("%d of %d, %d ms", s.Used, s.Capacity, s.Hold.Milliseconds())
}

// States returns the state of each server, ordered by ID.
func (d *Dispatcher) States(now time.Time) []ServerState {
	states := make([]ServerState, 0, len(d.present))
	for _, s := range d.present {
		states = append(states, ServerState{ID: s.ID, Used: s.used, Capacity: s.capacity(), Hold: d.holdOf(now, s)})
	}
	return states
}

func (s *server) currentHold(now time.Time) time.Duration {
	if now.Sub(s.observedAt) > observationLifetime {
		return 0
	}
	return s.hold
}

// observe applies the end of a request to the averages.
func (s *server) observe(now time.Time, used *slot, end End) {
	if end.Full {
		s.rejected(now)
	}
	s.recover(now)
	if end.Work <= 0 || !used.assigned {
		return
	}
	hold := max(now.Sub(used.since), time.Microsecond)
	work := min(end.Work, hold)
	if s.currentHold(now) == 0 {
		s.hold, s.work = hold, work
	}
	s.hold += time.Duration(observationWeight * float64(hold-s.hold))
	s.work += time.Duration(observationWeight * float64(work-s.work))
	s.observedAt = now
}

// rejected notes that the server rejected a request because its slots were in use.
func (s *server) rejected(now time.Time) {
	untilReturn := s.hold / time.Duration(max(s.Slots, 1))
	s.fullUntil = now.Add(min(max(untilReturn, minimumFullPeriod), maximumFullPeriod))
	// The requests that were assigned before the last change don't count again.
	if now.Sub(s.withheldChangedAt) > s.hold && s.capacity() > s.Slots {
		s.withheld++
		s.withheldChangedAt = now
		s.recovery = min(max(2*s.recovery, minimumExcessRecovery), maximumExcessRecovery)
	}
}

// recover lets a server have one more excess request when it has long rejected none.
func (s *server) recover(now time.Time) {
	if s.recovery == 0 || now.Sub(s.withheldChangedAt) <= s.recovery {
		return
	}
	if s.withheld == 0 {
		s.recovery = 0
		return
	}
	s.withheld--
	s.withheldChangedAt = now
}

// capacity returns how many requests may be assigned to the server at once: its slots, and as many more as are on their
// way to it or back on average, less those that it has shown not to accept. A brittle server gets no such excess, which it
// would have to queue.
func (s *server) capacity() int {
	if s.Room > 0 {
		return s.Room
	}
	if s.work <= 0 {
		return s.Slots
	}
	excess := min(float64(s.hold)/float64(s.work), maximumExcess)
	return max(int(math.Ceil(float64(s.Slots)*excess-roundingMargin))-s.withheld, s.Slots)
}
