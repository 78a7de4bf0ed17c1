package placement

import (
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

// lastUseTTL is how long the time of a last use is retained.
const lastUseTTL = time.Hour

// recency tracks the time of the last request for each adapter version.
type recency struct {
	lastUsed map[fleet.AdapterVersion]time.Time
}

func newRecency() *recency { return &recency{lastUsed: map[fleet.AdapterVersion]time.Time{}} }

func (r *recency) observe(now time.Time, version fleet.AdapterVersion) {
	r.lastUsed[version] = now
	examined := 0
	for other, at := range r.lastUsed { // Expires a few entries per call, so that no call visits all adapters.
		if now.Sub(at) > lastUseTTL {
			delete(r.lastUsed, other)
		}
		if examined++; examined >= 4 {
			return
		}
	}
}

// leastRecentlyUsed returns the least recently used load that is evictable and has no requests in flight, or nil.
func (r *recency) leastRecentlyUsed(server *Server) *Slot {
	var victim *Slot
	for i := range server.Loads {
		slot := &server.Loads[i]
		if !slot.Evictable || slot.Pinned || slot.InFlight > 0 {
			continue
		}
		if victim == nil || r.lastUsed[slot.AdapterVersion].Before(r.lastUsed[victim.AdapterVersion]) {
			victim = slot
		}
	}
	return victim
}

// score returns the server with the given score. If it has no free slot, its least recently used load is to be evicted.
func (r *recency) score(server *Server, score float64) scoredServer {
	candidate := scoredServer{server: server, score: score}
	if server.Free > 0 {
		return candidate
	}
	candidate.evict = r.leastRecentlyUsed(server)
	if candidate.evict == nil {
		candidate.rejected = "no free slot and nothing to evict"
	}
	return candidate
}

// LeastLoadedLRU loads on the owned server with the lowest utilisation and evicts the least recently used load.
type LeastLoadedLRU struct {
	recency *recency
}

// Name implements Policy.
func (p *LeastLoadedLRU) Name() string { return LeastLoadedName }

// Observe implements Policy.
func (p *LeastLoadedLRU) Observe(now time.Time, version fleet.AdapterVersion, _, _ uint32) {
	p.recency.observe(now, version)
}

// Choose implements Policy.
func (p *LeastLoadedLRU) Choose(_ time.Time, random *rand.Rand, view *View, demand Demand) Choice {
	var candidates []scoredServer
	for i := range view.Owned {
		server := &view.Owned[i]
		if !demand.allows(server.Zone, server.BaseModel) {
			continue
		}
		if server.holds(demand.Of) != nil {
			return Choice{Reason: "already on " + server.Name, Deferred: true}
		}
		candidates = append(candidates, p.recency.score(server, -server.utilisation()-random.Float64()/1024))
	}
	return chooseBest(candidates, "no owned server has room")
}

// RendezvousLRU loads on the first server in rendezvous order and evicts the least recently used load. Servers of lower
// rank become eligible once the demand has waited long enough.
type RendezvousLRU struct {
	recency   *recency
	rankDelay time.Duration
	rankCache rankCache
}

// Name implements Policy.
func (p *RendezvousLRU) Name() string { return RendezvousLRUName }

// Observe implements Policy.
func (p *RendezvousLRU) Observe(now time.Time, version fleet.AdapterVersion, _, _ uint32) {
	p.recency.observe(now, version)
}

// Choose implements Policy.
func (p *RendezvousLRU) Choose(_ time.Time, _ *rand.Rand, view *View, demand Demand) Choice {
	var candidates []scoredServer
	ranks := p.rankCache.ranks(view, &demand)
	for i := range view.Owned {
		server := &view.Owned[i]
		if ranks[i] < 0 {
			continue
		}
		if server.holds(demand.Of) != nil {
			return Choice{Reason: "already on " + server.Name, Deferred: true}
		}
		candidate := p.recency.score(server, -float64(ranks[i]))
		if demand.OldestWait < delayForRank(ranks[i], p.rankDelay) {
			candidate.rejected = notNextOwner
		}
		candidates = append(candidates, candidate)
	}
	return chooseBest(candidates, "no owned server has room")
}
