package placement

import (
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

// forgetAfter is how long a last use is remembered.
const forgetAfter = time.Hour

// use remembers the last request for each adapter version.
type use struct {
	last map[fleet.AdapterVersion]time.Time
}

func newUse() *use { return &use{last: map[fleet.AdapterVersion]time.Time{}} }

func (u *use) observe(now time.Time, of fleet.AdapterVersion) {
	u.last[of] = now
	looked := 0
	for other, at := range u.last { // A few entries at a time, so that no decision visits all adapters.
		if now.Sub(at) > forgetAfter {
			delete(u.last, other)
		}
		if looked++; looked >= 4 {
			return
		}
	}
}

// leastRecent returns the evictable load without requests that was used least recently, or nil.
func (u *use) leastRecent(server *Server) *Slot {
	var victim *Slot
	for i := range server.Loads {
		slot := &server.Loads[i]
		if !slot.Evictable || slot.Pinned || slot.InFlight > 0 {
			continue
		}
		if victim == nil || u.last[slot.Of].Before(u.last[victim.Of]) {
			victim = slot
		}
	}
	return victim
}

// option weighs one server by a score, with the least recently used load as the one to evict.
func (u *use) option(server *Server, score float64) option {
	o := option{server: server, score: score}
	if server.Free > 0 {
		return o
	}
	o.evict = u.leastRecent(server)
	if o.evict == nil {
		o.rejected = "no free slot and nothing to evict"
	}
	return o
}

// LeastLoadedLRU loads on the owned server with the fewest requests and evicts the least recently used load.
type LeastLoadedLRU struct {
	use *use
}

// Name implements Policy.
func (p *LeastLoadedLRU) Name() string { return LeastLoadedName }

// Observe implements Policy.
func (p *LeastLoadedLRU) Observe(now time.Time, of fleet.AdapterVersion, _, _ uint32) {
	p.use.observe(now, of)
}

// Choose implements Policy.
func (p *LeastLoadedLRU) Choose(_ time.Time, random *rand.Rand, view *View, demand Demand) Choice {
	var options []option
	for i := range view.Owned {
		server := &view.Owned[i]
		if !demand.allows(server.Zone, server.BaseModel) {
			continue
		}
		if server.holds(demand.Of) != nil {
			return Choice{Reason: "already on " + server.Name, Deferred: true}
		}
		options = append(options, p.use.option(server, -server.utilisation()-random.Float64()/1024))
	}
	return pick(options, "no owned server has room")
}

// RendezvousLRU loads on the first server of the rendezvous order and evicts the least recently used load. Further
// servers follow when the demand has waited long enough.
type RendezvousLRU struct {
	use       *use
	rankDelay time.Duration
	ranked    ranked
}

// Name implements Policy.
func (p *RendezvousLRU) Name() string { return RendezvousLRUName }

// Observe implements Policy.
func (p *RendezvousLRU) Observe(now time.Time, of fleet.AdapterVersion, _, _ uint32) {
	p.use.observe(now, of)
}

// Choose implements Policy.
func (p *RendezvousLRU) Choose(_ time.Time, _ *rand.Rand, view *View, demand Demand) Choice {
	var options []option
	ranks := p.ranked.ranks(view, &demand)
	for i := range view.Owned {
		server := &view.Owned[i]
		if ranks[i] < 0 {
			continue
		}
		if server.holds(demand.Of) != nil {
			return Choice{Reason: "already on " + server.Name, Deferred: true}
		}
		o := p.use.option(server, -float64(ranks[i]))
		if demand.OldestWait < turnDelay(ranks[i], p.rankDelay) {
			o.rejected = outOfTurn
		}
		options = append(options, o)
	}
	return pick(options, "no owned server has room")
}
