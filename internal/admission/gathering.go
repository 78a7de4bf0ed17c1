package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BatchWindow is how long requests for the same adapter version are held so that they run in the same engine steps.
type BatchWindow struct {
	// Window bounds the time for which a request is held; 0 means that requests of the class are not held.
	Window time.Duration
	// GatherSize is the number of waiting requests that ends the hold early; 0 means that only the window ends it.
	GatherSize int
}

// InForce returns the window at a stall weight from 0 to 1: a weight of 0 keeps the declared window, 1 holds nothing.
func (w BatchWindow) InForce(stallWeight float64) BatchWindow {
	w.Window = time.Duration(float64(w.Window) * (1 - stallWeight))
	if w.Window <= 0 {
		return BatchWindow{}
	}
	return w
}

// ReleaseAt returns when a request is released at the latest. Windows end at multiples of their length on the clock,
// shifted by the phase of the adapter version, so that all gateways release an adapter version together; windows that
// began with each gateway's first request would end apart. A request is held for at most half of the time until it's
// given up on, so that the other half is left to wait for a load or a busy server.
func (w BatchWindow) ReleaseAt(arrived, giveUpAt time.Time, phase uint64) time.Time {
	window := uint64(w.Window)
	since := (uint64(arrived.UnixNano()) + phase%window) % window
	return arrived.Add(min(w.Window-time.Duration(since), giveUpAt.Sub(arrived)/2))
}

// Phase returns the phase of an adapter version, which is the same at all gateways.
func Phase(adapter, version string) uint64 {
	return xxhash.Sum64String(adapter + "@" + version)
}

// member is one waiting request of a group.
type member struct {
	releaseAt  time.Time
	gatherSize int
}

// group holds the waiting requests of one key.
type group struct {
	members map[uint64]member
	// releaseAt is the earliest of the members, and gatherSize the smallest that isn't 0.
	releaseAt  time.Time
	gatherSize int
	// released stays true until the group is empty, so that a group that is dispatched in parts, as capacity allows,
	// isn't held again halfway.
	released bool
}

// Gathering decides which waiting requests are held for a batch. A group is released as a whole when it has reached the
// smallest gather size among its members, or when the first of them has been held for its window. K identifies an
// adapter version. It must be used by one goroutine at a time.
type Gathering[K comparable] struct {
	groups map[K]*group
	ended  bool
}

// NewGathering returns a gathering without members.
func NewGathering[K comparable]() *Gathering[K] { return &Gathering[K]{groups: map[K]*group{}} }

// Add counts a waiting request with a batch window. ID must be unique among the waiting requests of the key. The phase
// is that of the key's adapter version.
func (g *Gathering[K]) Add(key K, phase, id uint64, window BatchWindow, arrived, giveUpAt time.Time) {
	of := g.groups[key]
	if of == nil {
		of = &group{members: map[uint64]member{}}
		g.groups[key] = of
	}
	m := member{releaseAt: window.ReleaseAt(arrived, giveUpAt, phase), gatherSize: window.GatherSize}
	of.include(m)
	of.members[id] = m
}

func (of *group) include(m member) {
	if of.releaseAt.IsZero() || m.releaseAt.Before(of.releaseAt) {
		of.releaseAt = m.releaseAt
	}
	if m.gatherSize > 0 && (of.gatherSize == 0 || m.gatherSize < of.gatherSize) {
		of.gatherSize = m.gatherSize
	}
}

// Remove takes out a request that no longer waits. Unknown requests are ignored.
func (g *Gathering[K]) Remove(key K, id uint64) {
	of := g.groups[key]
	if of == nil {
		return
	}
	gone, known := of.members[id]
	if !known {
		return
	}
	delete(of.members, id)
	if len(of.members) == 0 {
		delete(g.groups, key)
		return
	}
	if !of.released && (gone.releaseAt.Equal(of.releaseAt) || gone.gatherSize == of.gatherSize) {
		of.recompute()
	}
}

func (of *group) recompute() {
	of.releaseAt, of.gatherSize = time.Time{}, 0
	for _, m := range of.members {
		of.include(m)
	}
}

// Held reports whether the waiting requests of the key are held at now. A group that is found due is released.
func (g *Gathering[K]) Held(key K, now time.Time) bool {
	of := g.groups[key]
	if of == nil || g.ended {
		return false
	}
	full := of.gatherSize > 0 && len(of.members) >= of.gatherSize
	of.released = of.released || full || !now.Before(of.releaseAt)
	return !of.released
}

// NextRelease returns when the next held group is due; false when none is held.
func (g *Gathering[K]) NextRelease() (time.Time, bool) {
	next, held := time.Time{}, false
	if g.ended {
		return next, false
	}
	for _, of := range g.groups {
		if !of.released && (!held || of.releaseAt.Before(next)) {
			next, held = of.releaseAt, true
		}
	}
	return next, held
}

// End releases all requests, now and from now on.
func (g *Gathering[K]) End() { g.ended = true }
