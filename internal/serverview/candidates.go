package serverview

import (
	"maps"
	"slices"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// Candidate is a snapshot of one server for a routing decision.
type Candidate struct {
	ID      string
	Address string
	Zone    string
	// SoftwareVersion is the version of the server's own software.
	SoftwareVersion string
	// Born is the start time of the server in Unix milliseconds, as in its entry.
	Born    int64
	Slots   int
	Leaving bool
	// Lingers is true when the server leaves and may still get the requests that no other one can serve.
	Lingers bool
	// RestsFor is how long the server still wants no requests from this node.
	RestsFor time.Duration
	// Ejected is true while the server should not get requests: after consecutive failures, while all its streams are
	// stalled, or while its holder cannot reach it.
	Ejected bool
	// Unreachable is true when this node can't open connections to the server; it is then ejected as well.
	Unreachable bool
	// FailureRate is the moving average of failed requests among those of this node to the server, from 0 to 1.
	FailureRate float64
	// InFlight is the number of requests that this node has in progress on the server.
	InFlight int
	// Connected is true when this node probably has an idle connection to the server.
	Connected bool
	// Load estimates the requests of all nodes that run or wait on the server.
	Load int
	// LoadKnown is true while the holder's latest publication is recent enough to count.
	LoadKnown bool
	// Reported is the part of Load that the server reported LoadAge ago, and Asked the number of prompts of all nodes
	// that are known to have come since.
	Reported int
	LoadAge  time.Duration
	Asked    int
	// SentSince is the number of this node's requests since the latest publication; they are part of Asked.
	SentSince int
	// Arrivals is the rate per second of requests of all nodes to the server; 0 when its holder doesn't publish it.
	Arrivals float64
	// Step is the time between two events of the server's streams, and LoadTimes the times of its loads, as published.
	Step      steptime.Cost
	LoadTimes serving.LoadTimes
	// Backlog estimates how long a prompt would wait for admission.
	Backlog time.Duration
	// Age is the age of the holder's latest publication; it is meaningless before the first one.
	Age time.Duration
	// HolderAlive is true when the holder published within holderSilentAfter and the server has its base models.
	HolderAlive bool
	// SlotQueue describes the adapter slots and the adapters that wait for one.
	SlotQueue serving.SlotQueue
	// Limited is true when the server names a limit of requests a second. RoomIn is then the time until the limit probably
	// leaves room for a request of this node.
	Limited bool
	RoomIn  time.Duration
	// Brittle is true when the server names how many rejections a second it tolerates. Room is then the number of requests
	// that it probably processes at once, and ClosedUntil the time before which it mustn't get requests since it has
	// rejected nearly as many; Closed is true until then. Crowded is true when it has rejected a request recently.
	Brittle     bool
	Tolerance   float64
	Room        int
	ClosedUntil time.Time
	Closed      bool
	Crowded     bool
	// Version is the version of the requested adapter that is present; Present distinguishes version 0 from none.
	Present bool
	Version int
	// Hot is true when the requested adapter is the server's most used one, over all nodes.
	Hot bool
	// Held is true when the server evicted the adapter recently and so loads it fast.
	Held bool
}

// Candidates returns the servers of a service as candidates for an adapter, ordered by ID. The adapter is zero for
// plain services.
func (v *View) Candidates(now time.Time, service string, adapter serving.Adapter) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	servers := make([]*server, 0, len(v.servers))
	for _, srv := range v.servers {
		if srv.entry.Service == service && !srv.isGone(now) {
			servers = append(servers, srv)
		}
	}
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.entry.ID, b.entry.ID) })
	candidates := make([]Candidate, len(servers))
	for i, srv := range servers {
		candidates[i] = srv.candidate(now, adapter, v.toleranceOf(srv))
	}
	return candidates
}

// KnowsAdapter reports whether a version of the adapter was declared, or a server holds it or evicted it recently.
func (v *View) KnowsAdapter(adapter serving.Adapter) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, declared := v.declared[adapter]; declared {
		return true
	}
	for _, srv := range v.servers {
		_, held := srv.published.Adapters[adapter]
		if _, evicted := srv.evicted.At(adapter); held || evicted {
			return true
		}
	}
	return false
}

// Adapters returns the adapters that a server holds, as last published.
func (v *View) Adapters(id string) map[serving.Adapter]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil {
		return nil
	}
	held := make(map[serving.Adapter]bool, len(srv.published.Adapters))
	for adapter := range srv.published.Adapters {
		held[adapter] = true
	}
	return held
}

// KnownAdapters returns the adapters for which KnowsAdapter is true, in no particular order. With some 10,000 of them it
// takes milliseconds, in which the view is locked.
func (v *View) KnownAdapters() []serving.Adapter {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := make(map[serving.Adapter]bool)
	for adapter := range v.declared {
		known[adapter] = true
	}
	for _, srv := range v.servers {
		for adapter := range srv.published.Adapters {
			known[adapter] = true
		}
		for _, adapter := range srv.evicted.All() {
			known[adapter] = true
		}
	}
	return slices.Collect(maps.Keys(known))
}

// InUse reports whether a server may get requests: it has an entry and isn't leaving.
func (v *View) InUse(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	return srv != nil && !srv.isLeaving() && !srv.isGone(now)
}

func (s *server) candidate(now time.Time, adapter serving.Adapter, named tolerance) Candidate {
	fresh := now.Sub(s.publishedAt) < publishedLifetime
	holderCannotReach := fresh && !s.published.Ready
	c := Candidate{
		ID: s.entry.ID, Address: s.entry.Address, Zone: s.entry.Zone, SoftwareVersion: s.entry.SoftwareVersion,
		Born: s.entry.Born, Slots: s.entry.Slots, Leaving: s.isLeaving(), Lingers: s.lingers(now), RestsFor: s.restsFor(now),
		Ejected:     now.Before(s.ejectedUntil) || s.stalled(now) || holderCannotReach || s.reach.isLost(),
		Unreachable: s.reach.isLost(),
		FailureRate: s.failureRate, InFlight: s.inFlight, Age: now.Sub(s.publishedAt),
		HolderAlive: now.Sub(s.publishedAt) < holderSilentAfter && s.published.Ready, SlotQueue: s.published.Slots,
	}
	c.Connected = s.inFlight == 0 && !s.lastRequestAt.IsZero() && now.Sub(s.lastRequestAt) < idleConnectionLifetime
	if _, c.Limited = s.limit.Limit(); c.Limited {
		c.RoomIn = max(s.noRoomUntil.Sub(now), 0)
	}
	if c.Brittle = named.isNamed(now); c.Brittle {
		c.Tolerance = named.perSecond
		c.Room, c.ClosedUntil = s.room.Requests(now, s.entry.Slots), s.room.ClosedUntil(now, named.perSecond)
		c.Closed, c.Crowded = now.Before(c.ClosedUntil), s.room.IsCrowded(now)
	}
	c.Load = s.inFlight
	c.Reported = s.inFlight
	c.LoadKnown = fresh
	if fresh {
		c.Load = max(s.inFlight, s.published.Running+s.published.Waiting+s.sentSince)
		c.Backlog = s.published.Backlog
		c.Reported, c.Asked = s.published.Running+s.published.Waiting, s.published.Asked+s.sentSince
		c.SentSince = s.sentSince
		c.Step, c.LoadTimes = s.published.Step, s.published.LoadTimes
		c.LoadAge, c.Arrivals = s.published.LoadAge+c.Age, s.published.Arrivals
	}
	if adapter.Name == "" {
		c.Present = s.published.Ready
		return c
	}
	c.Version, c.Present = s.published.Adapters[adapter]
	c.Hot = c.Present && s.published.Hot == adapter
	_, c.Held = s.evicted.At(adapter)
	return c
}

// stalled reports whether several requests are in progress and none received a byte within stallTimeout.
func (s *server) stalled(now time.Time) bool {
	return s.inFlight >= minStalledStreams && now.Sub(s.lastByteAt) > stallTimeout && !s.lastByteAt.IsZero()
}

// BytesReceived records that a stream received bytes from a server.
func (v *View) BytesReceived(now time.Time, id string) {
	v.update(id, func(srv *server) { srv.lastByteAt = now })
}

// Begin records that a request is sent to a server. The returned function records its end.
func (v *View) Begin(now time.Time, id string) (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	srv := v.servers[id]
	if srv == nil {
		return func() {}
	}
	if srv.inFlight == 0 && !srv.lastByteAt.IsZero() {
		srv.lastByteAt = now
	}
	if srv.inFlight == 0 {
		srv.reach.waitsSince = now
	}
	srv.inFlight++
	srv.lastRequestAt = now
	srv.sentSince++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		srv.inFlight--
	}
}

// Succeeded records a successful response of a server.
func (v *View) Succeeded(id string) {
	v.update(id, func(srv *server) {
		srv.failures = 0
		srv.ejectTime = 0
		srv.failureRate *= 1 - failureWeight
	})
}

// Failed records that a server broke off or failed a request. It returns true when the server is now ejected.
func (v *View) Failed(now time.Time, id string) (ejected bool) {
	v.update(id, func(srv *server) {
		srv.failures++
		srv.failureRate += (1 - srv.failureRate) * failureWeight
		if srv.failures < ejectThreshold {
			return
		}
		srv.eject(now)
		ejected = true
	})
	return ejected
}

// Unreachable records that no connection to a server was obtained, which ejects it until one is accepted. It returns true if
// the server was reachable before.
func (v *View) Unreachable(now time.Time, id string) (lost bool) {
	v.update(id, func(srv *server) {
		srv.failures = max(srv.failures+1, ejectThreshold)
		srv.eject(now)
		srv.reach.doubted = false
		if lost = !srv.reach.isLost(); lost {
			srv.reach.lostAt = now
		}
	})
	return lost
}

// eject ejects the server for twice as long as the last time, up to maximumEjectTime.
func (s *server) eject(now time.Time) {
	s.ejectTime = min(max(2*s.ejectTime, ejectTime), maximumEjectTime)
	s.ejectedUntil = now.Add(s.ejectTime)
}

// Lacks records that a server answered that it doesn't hold an adapter. It is valid until the next publication.
func (v *View) Lacks(id string, adapter serving.Adapter) {
	v.update(id, func(srv *server) {
		srv.published.Adapters = cloneAdapters(srv.published.Adapters)
		delete(srv.published.Adapters, adapter)
	})
}

func (v *View) update(id string, change func(*server)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if srv := v.servers[id]; srv != nil {
		change(srv)
	}
}
