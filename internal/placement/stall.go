package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

// Options holds the settings of the policies.
type Options struct {
	// StallWeight from 0 to 1 is the weight of load stalls relative to batch efficiency; 1 considers only stalls.
	StallWeight float64
	// RankDelay is the additional time that demand must have waited for each further rank in the rendezvous order.
	RankDelay time.Duration
	// HalfLife is the half-life of an adapter version's popularity.
	HalfLife time.Duration
	// CopyAfter is how long demand must wait for an existing copy before another copy is loaded, at a StallWeight of 1.
	CopyAfter time.Duration
	// MinimumStay is the minimum time that a load stays resident before it may be evicted for demand that isn't urgent.
	MinimumStay time.Duration
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		StallWeight: 0.5, RankDelay: 200 * time.Millisecond, HalfLife: 2 * time.Minute,
		CopyAfter: 500 * time.Millisecond, MinimumStay: 2 * time.Second,
	}
}

const (
	// loadStallSeconds is the approximate time that a request stalls for a load: at 3 loads per second, some loads
	// wait in a queue.
	loadStallSeconds = 1.0
	// urgentFactor is the weight of a stall of urgent demand relative to other demand.
	urgentFactor = 2.0
	// hysteresis is the factor by which the value of demand must exceed that of the load it evicts, so that two loads of
	// similar value don't evict each other alternately.
	hysteresis = 1.25
	// idleDecayIntervals is the number of expected request intervals without a request after which the rate of an adapter
	// version is reduced by a factor of e.
	idleDecayIntervals = 3.0
	// demandedBonus is added to the value of a load while requests for it wait, so that it is evicted last: after an
	// eviction, requests would wait for another load after their batch window. Demand that has waited long enough still
	// exceeds this value.
	demandedBonus = 2.0
	// rankPenalty breaks ties between servers in rendezvous order, so that schedulers agree without communicating.
	rankPenalty = 0.0001
	// copySaturation is the utilisation of a server's concurrency from which waiting demand justifies another copy.
	copySaturation = 0.75
	// minimumPopularity is the popularity, in requests, below which an adapter version is no longer tracked.
	minimumPopularity = 1e-3
	// waitingHorizon is the time in seconds by which waiting requests are divided to convert them to a rate.
	waitingHorizon = 10.0
)

// popularity holds exponentially decayed request counts.
type popularity struct {
	urgent float64
	other  float64
	// at is the time as of which the counts are decayed. For stored entries it is the time of the last request.
	at time.Time
}

// Stall is the default policy. It places loads in rendezvous order and evicts the load that prevents the least stall
// time.
type Stall struct {
	options      Options
	popularities map[fleet.AdapterVersion]popularity
	// pruneOrder lists the tracked adapter versions, and pruneNext is the index at which prune continues. Iterating over
	// the map instead made runs with the same seed differ.
	pruneOrder []fleet.AdapterVersion
	pruneNext  int
	rankCache  rankCache
}

// NewStall returns the default policy.
func NewStall(options Options) *Stall {
	return &Stall{options: options, popularities: map[fleet.AdapterVersion]popularity{}}
}

// Name implements Policy.
func (p *Stall) Name() string { return DefaultName }

// Observe implements Policy.
func (p *Stall) Observe(now time.Time, version fleet.AdapterVersion, rank, arrived uint32) {
	entry, seen := p.popularities[version]
	if !seen {
		p.pruneOrder = append(p.pruneOrder, version)
	}
	entry = p.decayed(now, entry)
	if rank == UrgentRank {
		entry.urgent += float64(arrived)
	} else {
		entry.other += float64(arrived)
	}
	p.popularities[version] = entry
	p.prune(now)
}

// prune removes idle entries. It examines only a few per call, so that no call visits all adapters.
func (p *Stall) prune(now time.Time) {
	const maximumExamined = 4
	for range min(maximumExamined, len(p.pruneOrder)) {
		p.pruneNext %= len(p.pruneOrder)
		version := p.pruneOrder[p.pruneNext]
		if current := p.decayed(now, p.popularities[version]); current.urgent+current.other >= minimumPopularity {
			p.pruneNext++
			continue
		}
		delete(p.popularities, version)
		last := len(p.pruneOrder) - 1
		p.pruneOrder[p.pruneNext] = p.pruneOrder[last]
		p.pruneOrder = p.pruneOrder[:last]
	}
}

// decayed returns the entry with its counts decayed to time now.
func (p *Stall) decayed(now time.Time, entry popularity) popularity {
	factor := math.Exp2(-float64(now.Sub(entry.at)) / float64(p.options.HalfLife))
	return popularity{urgent: entry.urgent * factor, other: entry.other * factor, at: now}
}

// rate returns the expected requests per second, with a higher weight for urgent ones. An adapter version without a
// request for much longer than its usual interval has probably become idle, so its rate is reduced beyond the decay.
func (p *Stall) rate(now time.Time, version fleet.AdapterVersion) float64 {
	entry, ok := p.popularities[version]
	if !ok {
		return 0
	}
	idle := now.Sub(entry.at).Seconds()
	entry = p.decayed(now, entry)
	rate := (urgentFactor*entry.urgent + entry.other) * math.Ln2 / p.options.HalfLife.Seconds()
	return rate * math.Exp(-idle*rate/idleDecayIntervals)
}

// loadValue returns the value of a resident load: the stall time it prevents and its share of the batch, combined by
// StallWeight.
func (p *Stall) loadValue(now time.Time, server *Server, slot *Slot) float64 {
	stall := p.rate(now, slot.AdapterVersion) * loadStallSeconds
	batch := float64(slot.InFlight) / float64(max(server.Concurrency, 1))
	return p.combine(stall, batch)
}

// demandValue returns the value of a load for the demand on the server. It grows while the demand waits, so that
// popular adapters can't starve a rare one.
func (p *Stall) demandValue(now time.Time, server *Server, demand *Demand) float64 {
	waiting := float64(demand.Waiting) / waitingHorizon * p.rankWeight(demand.Rank)
	stall := (p.rate(now, demand.Of) + waiting) * (loadStallSeconds + demand.OldestWait.Seconds())
	batch := float64(demand.Waiting) / float64(max(server.Concurrency, 1))
	return p.combine(stall, batch)
}

// combine returns the sum of stall and batch value weighted by StallWeight.
func (p *Stall) combine(stall, batch float64) float64 {
	return p.options.StallWeight*stall + (1-p.options.StallWeight)*batch
}

func (p *Stall) rankWeight(rank uint32) float64 {
	if rank == UrgentRank {
		return urgentFactor
	}
	return 1
}

// Choose implements Policy.
func (p *Stall) Choose(now time.Time, _ *rand.Rand, view *View, demand Demand) Choice {
	ranks := p.rankCache.ranks(view, &demand)
	delay, reason := p.copyDelay(view, &demand)
	if demand.OldestWait < delay {
		return Choice{Reason: reason, Deferred: true}
	}
	if !demand.Minimum && demand.OldestWait-delay < delayForRank(bestRank(ranks), p.options.RankDelay) {
		return Choice{Reason: notNextOwner, Deferred: true}
	}
	candidates := make([]scoredServer, 0, len(view.Owned))
	for i := range view.Owned {
		if ranks[i] < 0 {
			continue
		}
		candidates = append(candidates, p.scoreServer(now, &view.Owned[i], ranks[i], &demand))
	}
	return chooseBest(candidates, "no owned server is better off with it")
}

// bestRank returns the lowest rank of the owned servers, or 0 if none is eligible. Once that rank is reached, the
// scheduler chooses among all of its servers, because the least valuable load may be on any of them.
func bestRank(ranks []int) int {
	best := -1
	for _, rank := range ranks {
		if rank >= 0 && (best < 0 || rank < best) {
			best = rank
		}
	}
	return max(best, 0)
}

// copyDelay returns how long demand must wait for the existing copies before another one is loaded, and the reason. A
// higher StallWeight shortens the delay; batch efficiency favours a single well utilised copy.
func (p *Stall) copyDelay(view *View, demand *Demand) (time.Duration, string) {
	wait := time.Duration(float64(p.options.CopyAfter) * (2 - p.options.StallWeight))
	for i := range view.Owned {
		server := &view.Owned[i]
		slot := server.holds(demand.Of)
		if slot == nil {
			continue
		}
		if slot.State == fleet.Loading {
			return math.MaxInt64, "loading on " + server.Name
		}
		if demand.Minimum || server.utilisation() < copySaturation {
			return math.MaxInt64, "already on " + server.Name
		}
		return wait, "already on " + server.Name
	}
	if demand.LoadedElsewhere {
		return wait, "loaded on another scheduler's server"
	}
	return 0, ""
}

// scoreServer scores a server for the demand.
func (p *Stall) scoreServer(now time.Time, server *Server, rank int, demand *Demand) scoredServer {
	candidate := scoredServer{server: server}
	value := p.demandValue(now, server, demand)
	candidate.score = value - rankPenalty*float64(rank) - (1-p.options.StallWeight)*server.utilisation()
	switch {
	case server.holds(demand.Of) != nil:
		candidate.rejected = "holds it already"
	case server.Free > 0 && !p.reservesFreeSlot(now, server, demand):
	default:
		p.scoreEviction(now, &candidate, value, demand)
	}
	return candidate
}

// reservesFreeSlot reports whether the server's last free slot is reserved for urgent demand.
func (p *Stall) reservesFreeSlot(now time.Time, server *Server, demand *Demand) bool {
	if demand.Rank == UrgentRank || server.Slots < 2 || server.Free > 1 {
		return false
	}
	for i := range server.Loads {
		if p.decayed(now, p.popularities[server.Loads[i].AdapterVersion]).urgent > minimumPopularity {
			return false
		}
	}
	return true
}

// scoreEviction selects the evictable load with the lowest value, and rejects the server if the demand's value doesn't
// exceed it.
func (p *Stall) scoreEviction(now time.Time, candidate *scoredServer, demandValue float64, demand *Demand) {
	lowest := math.Inf(1)
	for i := range candidate.server.Loads {
		slot := &candidate.server.Loads[i]
		if !p.mayEvict(now, candidate.server, slot, demand) {
			continue
		}
		value := p.loadValue(now, candidate.server, slot)
		if slot.Demanded {
			value += demandedBonus
		}
		if value < lowest {
			lowest, candidate.evict = value, slot
		}
	}
	switch {
	case candidate.evict == nil:
		candidate.rejected = "no free slot and nothing to evict"
	case demand.Rank != UrgentRank && demandValue <= lowest*hysteresis:
		candidate.rejected = "the loads it holds are worth more"
	default:
		candidate.score -= lowest
	}
}

// mayEvict reports whether the load may be evicted for the demand. It protects loads with requests in flight, and
// recent loads from demand that isn't urgent. Loads with urgent requests are protected only by their value, because an
// absolute rule left demand of other classes without any slot.
func (p *Stall) mayEvict(now time.Time, server *Server, slot *Slot, demand *Demand) bool {
	if !slot.Evictable || slot.Pinned || slot.InFlight > 0 {
		return false
	}
	if demand.Rank == UrgentRank {
		return true
	}
	return server.Slots < 2 || now.Sub(slot.Since) >= p.options.MinimumStay
}
