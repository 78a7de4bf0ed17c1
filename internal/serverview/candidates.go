package serverview

import (
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Candidate is one server as seen at the moment of a decision.
type Candidate struct {
	ID      string
	Address string
	Zone    string
	Slots   int
	Leaving bool
	// Ejected is true while the server is left alone: after failures in a row, while none of its streams moves, or
	// while its holder doesn't reach it.
	Ejected bool
	// FailureRate is the share of this node's latest requests that failed there, from 0 to 1.
	FailureRate float64
	// InFlight is how many requests this node has there.
	InFlight int
	// Connected is true when this node probably has an idle connection to the server.
	Connected bool
	// Load estimates the requests that run or wait there from all nodes.
	Load int
	// Backlog is about how long a prompt would wait to be admitted.
	Backlog time.Duration
	// Age is how old the holder's latest publication is; meaningless while there was none.
	Age time.Duration
	// HolderAlive is true when the holder of the server has published lately and the server has its base models.
	HolderAlive bool
	Full        bool
	// Version is the version of the asked adapter that is present; Present tells 0 from none.
	Present bool
	Version int
	// Hot is true when the asked adapter is the one that all nodes use most there.
	Hot bool
	// Held is true when the server held the adapter before and loads it fast.
	Held bool
}

// Candidates returns the servers of a service, in a fixed order, as seen for an adapter, which is zero for plain
// services.
func (v *View) Candidates(now time.Time, service string, adapter serving.Adapter) []Candidate {
	v.mu.Lock()
	defer v.mu.Unlock()
	candidates := make([]Candidate, 0, len(v.servers))
	for _, known := range v.servers {
		if known.entry.Service == service && !v.gone(known, now) {
			candidates = append(candidates, known.candidate(now, adapter))
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

func (s *server) candidate(now time.Time, adapter serving.Adapter) Candidate {
	fresh := now.Sub(s.publishedAt) < publishedLifetime
	unreached := fresh && !s.published.Ready
	c := Candidate{
		ID: s.entry.ID, Address: s.entry.Address, Zone: s.entry.Zone, Slots: s.entry.Slots, Leaving: s.leaving,
		Ejected:     now.Before(s.ejectedUntil) || s.silent(now) || unreached,
		FailureRate: s.failureRate, InFlight: s.inFlight, Age: now.Sub(s.publishedAt),
		HolderAlive: now.Sub(s.publishedAt) < holderSilentAfter && s.published.Ready, Full: s.published.Full,
	}
	c.Connected = s.inFlight == 0 && !s.begunAt.IsZero() && now.Sub(s.begunAt) < connectionKept
	c.Load = s.inFlight
	if fresh {
		c.Load = max(s.inFlight, s.published.Running+s.published.Waiting+s.sentSince)
		c.Backlog = s.published.Backlog
	}
	if adapter.Name == "" {
		c.Present = s.published.Ready
		return c
	}
	c.Version, c.Present = s.published.Adapters[adapter]
	c.Hot = c.Present && s.published.Hot == adapter
	_, c.Held = s.held.At(adapter)
	return c
}

func (s *server) silent(now time.Time) bool {
	return s.inFlight >= silentStreams && now.Sub(s.heardAt) > silentAfter && !s.heardAt.IsZero()
}

// Heard notes that a stream got bytes from a server.
func (v *View) Heard(now time.Time, id string) {
	v.outcome(id, func(known *server) { known.heardAt = now })
}

// Begin notes that a request is sent to a server. The returned function ends it.
func (v *View) Begin(now time.Time, id string) (end func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.servers[id]
	if known == nil {
		return func() {}
	}
	if known.inFlight == 0 && !known.heardAt.IsZero() {
		known.heardAt = now
	}
	known.inFlight++
	known.begunAt = now
	known.sentSince++
	return func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		known.inFlight--
	}
}

// Succeeded notes a good answer of a server.
func (v *View) Succeeded(id string) {
	v.outcome(id, func(known *server) {
		known.failures = 0
		known.ejectTime = 0
		known.failureRate *= 1 - failureWeight
	})
}

// Failed notes that a server broke or failed a request. It returns true when the server is now left alone.
func (v *View) Failed(now time.Time, id string) (ejected bool) {
	v.outcome(id, func(known *server) {
		known.failures++
		known.failureRate += (1 - known.failureRate) * failureWeight
		if known.failures < ejectAfter {
			return
		}
		known.eject(now)
		ejected = true
	})
	return ejected
}

// Unreachable notes that no connection to a server was obtained, which ejects it at once.
func (v *View) Unreachable(now time.Time, id string) {
	v.outcome(id, func(known *server) {
		known.failures = max(known.failures+1, ejectAfter)
		known.eject(now)
	})
}

// eject leaves the server alone for twice as long as the last time.
func (s *server) eject(now time.Time) {
	s.ejectTime = min(max(2*s.ejectTime, ejectTime), maximumEjectTime)
	s.ejectedUntil = now.Add(s.ejectTime)
}

// Lacks notes that a server answered that it doesn't hold an adapter, until its holder publishes again.
func (v *View) Lacks(id string, adapter serving.Adapter) {
	v.outcome(id, func(known *server) {
		known.published.Adapters = copyOf(known.published.Adapters)
		delete(known.published.Adapters, adapter)
	})
}

func (v *View) outcome(id string, change func(*server)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if known := v.servers[id]; known != nil {
		change(known)
	}
}
