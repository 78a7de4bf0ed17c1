package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// BatchWindow configures how long requests for the same adapter version are held so that they run in the same engine
// steps.
type BatchWindow struct {
	// Window is the maximum time for which a request is held; 0 disables holding for the class.
	Window time.Duration
	// GatherSize is the number of waiting requests that ends the hold early; 0 means that only the window ends it.
	GatherSize int
}

// ScaledBy returns the window scaled by a stall weight from 0 to 1: 0 leaves the declared window unchanged, and 1
// disables holding.
func (w BatchWindow) ScaledBy(stallWeight float64) BatchWindow {
	w.Window = time.Duration(float64(w.Window) * (1 - stallWeight))
	if w.Window <= 0 {
		return BatchWindow{}
	}
	return w
}

// ReleaseAt returns the latest time at which a request is released. Windows are aligned to multiples of their length on
// the wall clock, shifted by the phase of the adapter version, so that all gateways release an adapter version at the
// same time; windows that began with each gateway's first request would end at different times. A request is held for
// at most half of the time until it expires, which leaves the other half for waiting for a load or a busy server.
func (w BatchWindow) ReleaseAt(arrived, expiresAt time.Time, phase uint64) time.Time {
	window := uint64(w.Window)
	elapsed := (uint64(arrived.UnixNano()) + phase%window) % window
	return arrived.Add(min(w.Window-time.Duration(elapsed), expiresAt.Sub(arrived)/2))
}

// Phase returns the offset of an adapter version's windows, which is identical on all gateways.
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
	// releaseAt is the earliest release time of the members, and gatherSize their smallest nonzero gather size.
	releaseAt  time.Time
	gatherSize int
	// released stays true until the group is empty, so that the rest of a group that is dispatched in parts, as capacity
	// allows, isn't held again.
	released bool
}

// Batcher decides which waiting requests are held for a batch. All requests of a group are released together, when
// the group reaches the smallest gather size of its members or the earliest release time of a member. K identifies an
// adapter version. The type is not safe for concurrent use.
type Batcher[K comparable] struct {
	groups map[K]*group
	ended  bool
}

// NewBatcher returns an instance without members.
func NewBatcher[K comparable]() *Batcher[K] { return &Batcher[K]{groups: map[K]*group{}} }

// Add registers a waiting request that has a batch window. The id must be unique among the waiting requests of the key,
// and phase must be the Phase of the key's adapter version.
func (g *Batcher[K]) Add(key K, phase, id uint64, window BatchWindow, arrived, expiresAt time.Time) {
	grp := g.groups[key]
	if grp == nil {
		grp = &group{members: map[uint64]member{}}
		g.groups[key] = grp
	}
	m := member{releaseAt: window.ReleaseAt(arrived, expiresAt, phase), gatherSize: window.GatherSize}
	grp.include(m)
	grp.members[id] = m
}

func (grp *group) include(m member) {
	if grp.releaseAt.IsZero() || m.releaseAt.Before(grp.releaseAt) {
		grp.releaseAt = m.releaseAt
	}
	if m.gatherSize > 0 && (grp.gatherSize == 0 || m.gatherSize < grp.gatherSize) {
		grp.gatherSize = m.gatherSize
	}
}

// Remove deletes a request that no longer waits. Unknown requests are ignored.
func (g *Batcher[K]) Remove(key K, id uint64) {
	grp := g.groups[key]
	if grp == nil {
		return
	}
	removed, known := grp.members[id]
	if !known {
		return
	}
	delete(grp.members, id)
	if len(grp.members) == 0 {
		delete(g.groups, key)
		return
	}
	if !grp.released && (removed.releaseAt.Equal(grp.releaseAt) || removed.gatherSize == grp.gatherSize) {
		grp.recompute()
	}
}

func (grp *group) recompute() {
	grp.releaseAt, grp.gatherSize = time.Time{}, 0
	for _, m := range grp.members {
		grp.include(m)
	}
}

// Held reports whether the waiting requests of the key are held at time now. It releases the group if it is due.
func (g *Batcher[K]) Held(key K, now time.Time) bool {
	grp := g.groups[key]
	if grp == nil || g.ended {
		return false
	}
	full := grp.gatherSize > 0 && len(grp.members) >= grp.gatherSize
	grp.released = grp.released || full || !now.Before(grp.releaseAt)
	return !grp.released
}

// NextRelease returns when the next held group is due, or false if no group is held.
func (g *Batcher[K]) NextRelease() (time.Time, bool) {
	next, held := time.Time{}, false
	if g.ended {
		return next, false
	}
	for _, grp := range g.groups {
		if !grp.released && (!held || grp.releaseAt.Before(next)) {
			next, held = grp.releaseAt, true
		}
	}
	return next, held
}

// End releases all held requests and disables holding from now on.
func (g *Batcher[K]) End() { g.ended = true }
