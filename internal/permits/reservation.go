package permits

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// Reservation represents one request in flight on a load. It must be released exactly once.
type Reservation struct {
	Server string
	Load   uint64
}

// Gather stores the servers that hold or are loading the target in candidates and returns the resulting slice. It
// reuses the slice's memory, so that it doesn't allocate once the slice is large enough.
func (t *Table) Gather(target routing.Target, candidates []routing.Candidate) []routing.Candidate {
	candidates = candidates[:0]
	for _, load := range t.copies[target] {
		server := load.server
		candidates = append(candidates, routing.Candidate{
			Server: server.name, Address: server.address, Zone: server.zone, BaseModel: server.baseModel,
			Load: load.number, LoadName: load.name, State: load.effectiveState(),
			Superseded: t.superseded(server), Expires: server.scheduler.expires, Leaving: server.leaving,
			Concurrent: server.concurrent, InFlight: t.serverInFlight[server.name],
			SameLoad: t.inFlight[loadKey{server.name, load.number}], Running: server.running,
		})
	}
	return candidates
}

// Acquire counts a request as in flight on the load. It returns false and counts nothing if no valid permit covers the
// load or the gateway's share of the server's concurrency is used up.
func (t *Table) Acquire(server string, load uint64, now time.Time) (Reservation, bool) {
	reservation := Reservation{Server: server, Load: load}
	grant := t.validGrant(reservation, now)
	if grant == nil || t.serverInFlight[server] >= grant.concurrent {
		return Reservation{}, false
	}
	t.inFlight[loadKey{server, load}]++
	t.serverInFlight[server]++
	return reservation, true
}

// Valid reports whether a request that was counted by Acquire may still be written to the server.
func (t *Table) Valid(reservation Reservation, now time.Time) bool {
	return t.validGrant(reservation, now) != nil
}

// validGrant returns the grant under which the reservation is valid at time now, or nil.
func (t *Table) validGrant(reservation Reservation, now time.Time) *grantedServer {
	for _, server := range t.grants[reservation.Server] {
		if t.superseded(server) || server.leaving || !now.Before(server.scheduler.expires) {
			continue
		}
		if server.hasResident(reservation.Load) {
			return server
		}
	}
	return nil
}

func (s *grantedServer) hasResident(number uint64) bool {
	for _, load := range s.loads {
		if load.number == number {
			return load.effectiveState() == routing.Resident
		}
	}
	return false
}

// Release ends a reservation. It reports whether it was the last one on a closing load, so that the closing can be
// acknowledged.
func (t *Table) Release(reservation Reservation) bool {
	key := loadKey{reservation.Server, reservation.Load}
	decrement(t.inFlight, key)
	decrement(t.serverInFlight, reservation.Server)
	if t.inFlight[key] > 0 {
		return false
	}
	for _, server := range t.grants[reservation.Server] {
		if _, closing := server.scheduler.closed[key]; closing {
			return true
		}
	}
	return false
}

func decrement[K comparable](counts map[K]int, key K) {
	counts[key]--
	if counts[key] <= 0 {
		delete(counts, key)
	}
}

// ServersWithPermits returns the number of servers with a permit that is valid at time now.
func (t *Table) ServersWithPermits(now time.Time) int {
	count := 0
	for _, grants := range t.grants {
		for _, server := range grants {
			if !t.superseded(server) && !server.leaving && now.Before(server.scheduler.expires) {
				count++
				break
			}
		}
	}
	return count
}
