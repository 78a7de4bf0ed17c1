package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

// Options are the settings of the policies.
type Options struct {
	// StallWeight from 0 to 1 sets load stalls against batch efficiency: 1 counts only stalls.
	StallWeight float64
	// RankDelay is how much longer demand must have waited for each further place in the rendezvous order.
	RankDelay time.Duration
	// HalfLife is the time in which popularity halves.
	HalfLife time.Duration
	// CopyAfter is how long demand waits for a resident copy before another copy is made, at a weight of 1.
	CopyAfter time.Duration
	// MinimumStay is how long a load stays before it may be evicted for demand that isn't urgent.
	MinimumStay time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		StallWeight: 0.5, RankDelay: 200 * time.Millisecond, HalfLife: 2 * time.Minute,
		CopyAfter: 500 * time.Millisecond, MinimumStay: 2 * time.Second,
	}
}

const (
	// loadSeconds is about how long a request stalls for a load: 3 loads a second, some of which wait in turn.
	loadSeconds = 1.0
	// urgentFactor is how much more a stall of urgent demand counts.
	urgentFactor = 2.0
	// hysteresis is by how much demand must outweigh the load that it evicts, so that two loads of about the same
	// value don't evict each other in turn.
	hysteresis = 1.25
	// expectedGaps is after how many expected intervals without a request a popularity counts e times less.
	expectedGaps = 3.0
	// demandedWorth is what a load is worth more while requests for it wait, so that it's evicted last: evicting it makes
	// requests wait for a second load after their batch window. Demand that has waited for long still outweighs it.
	demandedWorth = 2.0
	// rankPenalty makes equal servers be taken in the rendezvous order, so that schedulers agree without messages.
	rankPenalty = 0.0001
	// copySaturation is the use of a server's concurrency from which a waiting demand earns another copy.
	copySaturation = 0.75
	// negligible is the popularity, in requests, below which an adapter version is forgotten.
	negligible = 1e-3
	// waitingHorizon spreads waiting requests over time to add them to a rate, in seconds.
	waitingHorizon = 10.0
)

// popularity holds decayed counts of requests.
type popularity struct {
	urgent float64
	other  float64
	// at is the time for which the counts hold: in the table, that of the last request.
	at time.Time
}

// Stall is the default policy. It places by rendezvous preference and evicts the load that saves the least stall.
type Stall struct {
	options Options
	known   map[fleet.AdapterVersion]popularity
	// order lists the known adapter versions, and next is the place at which forget goes on. Visits in the order of a
	// map made runs of the same seed differ.
	order  []fleet.AdapterVersion
	next   int
	ranked ranked
}

// NewStall returns the default policy.
func NewStall(options Options) *Stall {
	return &Stall{options: options, known: map[fleet.AdapterVersion]popularity{}}
}

// Name implements Policy.
func (p *Stall) Name() string { return DefaultName }

// Observe implements Policy.
func (p *Stall) Observe(now time.Time, of fleet.AdapterVersion, rank, arrived uint32) {
	entry, seen := p.known[of]
	if !seen {
		p.order = append(p.order, of)
	}
	entry = p.decayed(now, entry)
	if rank == UrgentRank {
		entry.urgent += float64(arrived)
	} else {
		entry.other += float64(arrived)
	}
	p.known[of] = entry
	p.forget(now)
}

// forget drops idle entries, a few at a time, so that no call visits all adapters.
func (p *Stall) forget(now time.Time) {
	const looks = 4
	for range min(looks, len(p.order)) {
		p.next %= len(p.order)
		of := p.order[p.next]
		if current := p.decayed(now, p.known[of]); current.urgent+current.other >= negligible {
			p.next++
			continue
		}
		delete(p.known, of)
		last := len(p.order) - 1
		p.order[p.next] = p.order[last]
		p.order = p.order[:last]
	}
}

func (p *Stall) decayed(now time.Time, entry popularity) popularity {
	factor := math.Exp2(-float64(now.Sub(entry.at)) / float64(p.options.HalfLife))
	return popularity{urgent: entry.urgent * factor, other: entry.other * factor, at: now}
}

// rate returns the expected requests a second; urgent ones count more. An adapter version that has been idle for much
// longer than its requests were apart has probably fallen idle: its popularity counts less than the decay alone says.
func (p *Stall) rate(now time.Time, of fleet.AdapterVersion) float64 {
	entry, ok := p.known[of]
	if !ok {
		return 0
	}
	idle := now.Sub(entry.at).Seconds()
	entry = p.decayed(now, entry)
	rate := (urgentFactor*entry.urgent + entry.other) * math.Ln2 / p.options.HalfLife.Seconds()
	return rate * math.Exp(-idle*rate/expectedGaps)
}

// keep returns what a resident load is worth: the stall it saves, weighed against its part in the batch.
func (p *Stall) keep(now time.Time, server *Server, slot *Slot) float64 {
	stall := p.rate(now, slot.Of) * loadSeconds
	batch := float64(slot.InFlight) / float64(max(server.Concurrency, 1))
	return p.weigh(stall, batch)
}

// gain returns what a load for the demand is worth on the server. It grows while the demand waits, so that a rare
// adapter isn't kept out for ever by popular ones.
func (p *Stall) gain(now time.Time, server *Server, demand *Demand) float64 {
	waiting := float64(demand.Waiting) / waitingHorizon * p.urgency(demand.Rank)
	stall := (p.rate(now, demand.Of) + waiting) * (loadSeconds + demand.OldestWait.Seconds())
	batch := float64(demand.Waiting) / float64(max(server.Concurrency, 1))
	return p.weigh(stall, batch)
}

func (p *Stall) weigh(stall, batch float64) float64 {
	return p.options.StallWeight*stall + (1-p.options.StallWeight)*batch
}

func (p *Stall) urgency(rank uint32) float64 {
	if rank == UrgentRank {
		return urgentFactor
	}
	return 1
}

// Choose implements Policy.
func (p *Stall) Choose(now time.Time, _ *rand.Rand, view *View, demand Demand) Choice {
	ranks := p.ranked.ranks(view, &demand)
	patience, held := p.patience(view, &demand)
	if demand.OldestWait < patience {
		return Choice{Reason: held, Deferred: true}
	}
	if !demand.Minimum && demand.OldestWait-patience < turnDelay(bestRank(ranks), p.options.RankDelay) {
		return Choice{Reason: outOfTurn, Deferred: true}
	}
	options := make([]option, 0, len(view.Owned))
	for i := range view.Owned {
		if ranks[i] < 0 {
			continue
		}
		options = append(options, p.weighServer(now, &view.Owned[i], ranks[i], &demand))
	}
	return pick(options, "no owned server is better off with it")
}

// bestRank returns the lowest place that an owned server has, or 0 when none has any. A scheduler whose turn it is
// chooses among all of its servers, since the least valuable load may be on any of them.
func bestRank(ranks []int) int {
	best := -1
	for _, rank := range ranks {
		if rank >= 0 && (best < 0 || rank < best) {
			best = rank
		}
	}
	return max(best, 0)
}

// patience returns how long demand waits for the copies that exist before another is made. A higher stall weight
// makes copies sooner; batch efficiency prefers one well used copy.
func (p *Stall) patience(view *View, demand *Demand) (time.Duration, string) {
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
	if demand.Elsewhere {
		return wait, "loaded on another scheduler's server"
	}
	return 0, ""
}

// weighServer scores one server for the demand.
func (p *Stall) weighServer(now time.Time, server *Server, rank int, demand *Demand) option {
	o := option{server: server}
	gain := p.gain(now, server, demand)
	o.score = gain - rankPenalty*float64(rank) - (1-p.options.StallWeight)*server.utilisation()
	switch {
	case server.holds(demand.Of) != nil:
		o.rejected = "holds it already"
	case server.Free > 0 && !p.keepsFree(now, server, demand):
	default:
		p.weighEviction(now, &o, gain, demand)
	}
	return o
}

// keepsFree reports whether the last free slot is kept for urgent demand.
func (p *Stall) keepsFree(now time.Time, server *Server, demand *Demand) bool {
	if demand.Rank == UrgentRank || server.Slots < 2 || server.Free > 1 {
		return false
	}
	for i := range server.Loads {
		if p.decayed(now, p.known[server.Loads[i].Of]).urgent > negligible {
			return false
		}
	}
	return true
}

// weighEviction chooses the load that is worth the least and rejects the server when the demand isn't worth more.
func (p *Stall) weighEviction(now time.Time, o *option, gain float64, demand *Demand) {
	worth := math.Inf(1)
	for i := range o.server.Loads {
		slot := &o.server.Loads[i]
		if !p.mayEvict(now, o.server, slot, demand) {
			continue
		}
		value := p.keep(now, o.server, slot)
		if slot.Demanded {
			value += demandedWorth
		}
		if value < worth {
			worth, o.evict = value, slot
		}
	}
	switch {
	case o.evict == nil:
		o.rejected = "no free slot and nothing to evict"
	case demand.Rank != UrgentRank && gain <= worth*hysteresis:
		o.rejected = "the loads it holds are worth more"
	default:
		o.score -= worth
	}
}

// mayEvict keeps loads that serve requests, and new loads against demand that isn't urgent. Loads with urgent requests
// are protected by their worth alone: an absolute rule left demand of other classes without any slot.
func (p *Stall) mayEvict(now time.Time, server *Server, slot *Slot, demand *Demand) bool {
	if !slot.Evictable || slot.Pinned || slot.InFlight > 0 {
		return false
	}
	if demand.Rank == UrgentRank {
		return true
	}
	return server.Slots < 2 || now.Sub(slot.Since) >= p.options.MinimumStay
}
