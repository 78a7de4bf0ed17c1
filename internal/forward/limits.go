package forward

import (
	"context"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

// Limits keeps the requests of all nodes within the limits that servers name in their answers.
type Limits interface {
	// Acquire reserves the sending of one request of the given rank, and waits for it up to patience. Without a reservation
	// it returns the time after which there is probably room. Servers without a limit always have room.
	Acquire(
		ctx context.Context, server serverview.Candidate, priority int, patience time.Duration,
	) (reservation Reservation, roomIn time.Duration, ok bool)
}

// Reservation allows one request to be sent to a server that names a limit.
type Reservation struct {
	// Valid reports whether the request may still be sent; nil means without a bound.
	Valid func() bool
	// Cancel gives back the reservation of a request that was not sent; nil if nothing has to be given back.
	Cancel func()
}

func (r Reservation) isValid() bool { return r.Valid == nil || r.Valid() }

func (r Reservation) cancel() {
	if r.Cancel != nil {
		r.Cancel()
	}
}

// minimumRoomWait is the least time for which a server without room isn't asked again for the same request.
const minimumRoomWait = 5 * time.Millisecond

// reserve reserves the sending of the request to a server. It waits only for a server that was chosen although its limit
// left no room. Without a reservation another server has to be chosen, unless the caller has its final answer: done is
// then true.
func (j *job) reserve(candidate serverview.Candidate) (reserved, done bool) {
	patience := time.Duration(0)
	if candidate.RoomIn > 0 {
		patience = j.remainingWait()
	}
	if j.acquire(candidate, patience) {
		if patience == 0 || !j.isBarred(candidate) {
			return true, false
		}
		j.reservation.cancel()
		return false, false
	}
	if j.ctx.Err() != nil {
		j.refuseUnserved(ReasonWaitedTooLong)
		return false, true
	}
	return false, false
}

// acquire reserves the sending of the request to a server. Without a reservation the server isn't chosen until it
// probably has room.
func (j *job) acquire(candidate serverview.Candidate, patience time.Duration) bool {
	reservation, roomIn, ok := j.f.options.Limits.Acquire(j.ctx, candidate, j.rank(), patience)
	j.reservation = reservation
	if !ok {
		j.f.options.View.NoRoom(candidate.ID, time.Now().Add(max(roomIn, minimumRoomWait)))
	}
	return ok
}

// reserveResident chooses a server that can resume a stream now, and reserves the sending to it.
func (j *job) reserveResident() (candidate serverview.Candidate, found bool) {
	for j.ctx.Err() == nil {
		candidates := j.f.options.View.Candidates(time.Now(), j.service.Name, j.request.Adapter)
		if candidate, found = j.pickResident(candidates); !found || candidate.RoomIn > 0 {
			return candidate, false
		}
		if j.acquire(candidate, 0) {
			return candidate, true
		}
	}
	return candidate, false
}

// remainingWait returns how much longer the request may wait for a load or for room at a server with a limit.
func (j *job) remainingWait() time.Duration { return max(j.loadWait()-time.Since(j.arrived), 0) }

// limitedRefusal returns the refusal of a request for which the servers' limits leave no room in time.
func limitedRefusal(candidates []serverview.Candidate, roomIn time.Duration) *unserved {
	inputs := obstacleFields(candidates)
	inputs["roomInMs"] = roomIn.Milliseconds()
	return &unserved{reason: ReasonLimited, retryAfter: max(roomIn, busyRetryAfter), inputs: inputs}
}

// awaitsRoom chooses a server that holds the adapter and whose limit leaves room soon enough: within the request's wait,
// and before another server could load the adapter, if one can.
func (j *job) awaitsRoom(
	look modelLook, loadWait time.Duration, loadPossible bool,
) (limited serverview.Candidate, waits bool) {
	if look.reason != ReasonLimited {
		return limited, false
	}
	limited, found := modelpick.LimitedResident(look.candidates, look.query)
	soon := limited.RoomIn <= j.remainingWait() && (!loadPossible || limited.RoomIn < loadWait)
	return limited, found && soon
}
