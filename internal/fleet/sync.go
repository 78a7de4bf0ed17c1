package fleet

import (
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

const (
	// sessionLifetimeFactor times the validity of permits is how long the session of a silent gateway is kept.
	sessionLifetimeFactor = 4
	// sweepInterval is how often the sums over all gateways are recomputed. Between two sweeps a sync only updates
	// its own part, since summing over 400 gateways in each sync took 0.6 ms.
	sweepInterval = 100 * time.Millisecond
)

// session is the state of one run of a gateway.
type session struct {
	sequence uint64
	seenAt   time.Time
	// demand counts the gateway's in-flight and waiting requests for this server.
	demand uint32
	// granted is the number of concurrent requests that the gateway may have until grantedUntil.
	granted      uint32
	grantedUntil time.Time
}

// sums holds totals over the sessions with a share. A share that has expired counts until the next sweep.
type sums struct {
	granted uint64
	demand  uint64
	holders uint64
	sweptAt time.Time
}

// Sync applies a gateway's sync. It returns false, without effect, for one that isn't newer than the last.
func (s *Server) Sync(now time.Time, sync Sync) bool {
	current := s.sessions[sync.Gateway]
	if current == nil {
		current = &session{}
		s.sessions[sync.Gateway] = current
	}
	if current.sequence >= sync.Sequence {
		return false
	}
	current.sequence = sync.Sequence
	current.seenAt = now
	s.sweep(now)
	s.subtractShare(current)
	current.demand = 0
	for number, l := range s.loads {
		s.recordUse(now, l, sync)
		current.demand += sync.InFlight[number]
		if l.state == Resident {
			current.demand += sync.Waiting[l.adapterVersion]
		}
	}
	s.addShare(current)
	for _, number := range sync.Closed {
		s.acknowledge(number, sync)
	}
	return true
}

// recordUse records a gateway's use of one load.
func (s *Server) recordUse(now time.Time, l *load, sync Sync) {
	count := sync.InFlight[l.number]
	u := l.users[sync.Gateway]
	if u == nil {
		if count == 0 {
			return
		}
		u = &gatewayUse{}
		l.users[sync.Gateway] = u
	}
	s.requests += count - u.inFlight
	u.inFlight = count
	u.seenAt = now
	if count > 0 {
		u.released = false
	} else if u.permitExpiry.IsZero() {
		delete(l.users, sync.Gateway)
	}
}

// acknowledge marks the load as released by the gateway, if the gateway had permits of this owner that showed the load
// as closing when it sent the sync. An acknowledgement of a former owner's closing could cross with a new permit.
func (s *Server) acknowledge(number engine.LoadNumber, sync Sync) {
	l := s.loads[number]
	if l == nil || l.state != Closing || sync.PermitsVersion < l.closingVersion || sync.InFlight[number] > 0 {
		return
	}
	if u := l.users[sync.Gateway]; u != nil {
		u.released = true
	}
}

// sweep removes expired shares and the sessions of gateways that have been silent for long.
func (s *Server) sweep(now time.Time) {
	if now.Sub(s.shareSums.sweptAt) < sweepInterval {
		return
	}
	s.shareSums = sums{sweptAt: now}
	for id, current := range s.sessions {
		if now.Before(current.grantedUntil) {
			s.addShare(current)
			continue
		}
		current.granted = 0
		if now.Sub(current.seenAt) > sessionLifetimeFactor*s.validity {
			delete(s.sessions, id)
		}
	}
}

// subtractShare removes a session's part from the sums; addShare adds it.
func (s *Server) subtractShare(current *session) {
	if current.granted > 0 {
		s.shareSums.granted -= uint64(current.granted)
		s.shareSums.demand -= uint64(current.demand)
		s.shareSums.holders--
	}
}

func (s *Server) addShare(current *session) {
	if current.granted > 0 {
		s.shareSums.granted += uint64(current.granted)
		s.shareSums.demand += uint64(current.demand)
		s.shareSums.holders++
	}
}

// Grant returns the permits for a gateway whose sync arrived at received. They expire validity after the gateway sent
// the sync, so received plus validity is an upper bound of their expiry.
func (s *Server) Grant(now time.Time, gateway GatewayID, received time.Time) Permits {
	if s.superseded || s.Leaving() {
		return Permits{Leaving: s.Leaving(), Running: s.requests}
	}
	expiry := received.Add(s.validity)
	permits := Permits{Running: s.requests, Loads: make([]Permit, 0, len(s.loads))}
	for _, l := range s.ordered() {
		if l.state == Resident && !s.grantable(l) {
			continue
		}
		permits.Loads = append(permits.Loads, Permit{Number: l.number, Name: l.name, AdapterVersion: l.adapterVersion, State: l.state})
		if l.state == Resident {
			l.grant(gateway, expiry)
		}
	}
	permits.Concurrent = s.share(now, gateway, expiry)
	return permits
}

// grantable reports whether gateways may get permits for the load. A load that was first seen in a report while the
// lease wasn't valid may belong to a newer owner.
func (s *Server) grantable(l *load) bool {
	if l.state != Resident {
		return false
	}
	return !l.inherited || (!s.blockedByFormerOwner(l) && l.residentSince.Before(s.ownership.LeaseUntil))
}

// blockedByFormerOwner reports whether a former owner may still evict the load. An engine that checks fencing numbers
// rejects that once it has seen the newer number; until then a former owner may evict any of its loads without an
// intent.
func (s *Server) blockedByFormerOwner(l *load) bool {
	if s.spec.ChecksFence {
		return !s.fenceRaised
	}
	return slices.Contains(s.ownership.BlockedLoads, l.name)
}

func (l *load) grant(gateway GatewayID, expiry time.Time) {
	u := l.users[gateway]
	if u == nil {
		u = &gatewayUse{}
		l.users[gateway] = u
	}
	if expiry.After(u.permitExpiry) {
		u.permitExpiry = expiry
	}
}

// share returns how many concurrent requests the gateway may have. Each gateway gets at least 1. Unexpired shares of
// other gateways are never granted a second time, so the sum stays within the server's concurrency unless there are
// more gateways than that.
func (s *Server) share(now time.Time, gateway GatewayID, expiry time.Time) uint32 {
	own := s.sessions[gateway]
	if own == nil {
		own = &session{seenAt: now}
		s.sessions[gateway] = own
	}
	s.sweep(now)
	s.subtractShare(own)
	weight := uint64(own.demand) + 1
	capacity := uint64(max(s.spec.Concurrency, 1))
	target := capacity * weight / (s.shareSums.demand + s.shareSums.holders + weight)
	if s.shareSums.granted < capacity {
		target = min(target, capacity-s.shareSums.granted)
	} else {
		target = 1
	}
	own.granted = uint32(max(target, 1))
	own.grantedUntil = expiry
	s.addShare(own)
	return own.granted
}
