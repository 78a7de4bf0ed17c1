// Package placement decides on which owned backend server a demanded adapter version is loaded, and which resident load
// is evicted for it. Policies are deterministic: the time and the random source are arguments.
package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

// UrgentRank is the class rank of urgent demand.
const UrgentRank uint32 = 0

// maximumCandidates limits the candidates recorded for one decision.
const maximumCandidates = 8

// Demand describes the requests of all gateways that wait for one adapter version.
type Demand struct {
	Of         fleet.AdapterVersion
	BaseModel  string
	Rank       uint32
	Waiting    uint32
	OldestWait time.Duration
	// Zones restricts the eligible servers; empty means all zones.
	Zones []string
	// LoadedElsewhere is true when the version was recently loaded on another scheduler's server.
	LoadedElsewhere bool
	// Minimum is true for a copy that is required by the declared minimum rather than by requests.
	Minimum bool
}

// Slot is a load on an owned server.
type Slot struct {
	fleet.LoadView
	// Pinned is true for declared copies, which are never evicted.
	Pinned bool
	// Demanded is true while requests for the adapter version wait, for example for the end of their batch window.
	Demanded bool
}

// Server is an owned server that accepts loads.
type Server struct {
	Name        string
	Zone        string
	BaseModel   string
	Slots       int
	Free        int
	Running     uint32
	Concurrency int
	Loads       []Slot
	// Pending is the number of evictions in progress and of queued loads.
	Pending int
}

// ServerInfo is a server in any zone that accepts loads.
type ServerInfo struct {
	Name      string
	Zone      string
	BaseModel string
}

// View is the input of a decision. Policies must not modify it.
type View struct {
	Owned []Server
	All   []ServerInfo
	// Generation changes whenever the names, zones or base models of the servers change. Views of the same generation have
	// the same ranks; 0 disables caching of ranks.
	Generation uint64
}

// Choice is the outcome of a decision. Server is empty if nothing is to be loaded now.
type Choice struct {
	Server string
	// Evict is the load to evict, or 0 if a slot is free.
	Evict      engine.LoadNumber
	Candidates []decision.Candidate
	Reason     string
	// Deferred is true when a better ranked server's owner goes first or when this scheduler has nothing to decide.
	Deferred bool
}

// notNextOwner is the rejection reason while the owner of a better ranked server goes first.
const notNextOwner = "a better ranked server's owner goes first"

// maximumLinearRank is the rank up to which each rank adds a full delay. Beyond it the delay grows logarithmically;
// otherwise it would take minutes to find a free slot on one of 600 servers.
const maximumLinearRank = 8

// delayForRank returns how long demand must have waited before a server of this rank in the rendezvous order is
// eligible.
func delayForRank(rank int, rankDelay time.Duration) time.Duration {
	if rank <= maximumLinearRank {
		return time.Duration(rank) * rankDelay
	}
	return time.Duration((maximumLinearRank + math.Log2(float64(rank)/maximumLinearRank)) * float64(rankDelay))
}

// Policy chooses servers and evictions for demand. Implementations need not be safe for concurrent use.
type Policy interface {
	// Name returns the name used in settings.
	Name() string
	// Observe records the arrival of requests for an adapter version.
	Observe(now time.Time, version fleet.AdapterVersion, rank, arrived uint32)
	// Choose decides whether and where to load for one demand.
	Choose(now time.Time, random *rand.Rand, view *View, demand Demand) Choice
}

// Names of the policies.
const (
	DefaultName       = "stall"
	LeastLoadedName   = "least-loaded-lru"
	RendezvousLRUName = "rendezvous-lru"
)

// New returns the policy with the given name, or false if there is none.
func New(name string, options Options) (Policy, bool) {
	switch name {
	case DefaultName:
		return NewStall(options), true
	case LeastLoadedName:
		return &LeastLoadedLRU{recency: newRecency()}, true
	case RendezvousLRUName:
		return &RendezvousLRU{recency: newRecency(), rankDelay: options.RankDelay}, true
	}
	return nil, false
}

// allows reports whether the demand may be placed on a server with this zone and base model.
func (d *Demand) allows(zone, baseModel string) bool {
	return baseModel == d.BaseModel && (len(d.Zones) == 0 || slices.Contains(d.Zones, zone))
}

// Score returns the rendezvous weight of a server for an adapter version.
func Score(version fleet.AdapterVersion, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(version.Adapter)
	_, _ = digest.WriteString("@")
	_, _ = digest.WriteString(version.Version)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(server)
	return digest.Sum64()
}

// Ranks returns the rank of each owned server in the rendezvous order of all servers that are eligible for the demand,
// or -1 for servers that are not eligible.
func Ranks(view *View, demand *Demand) []int {
	ranks := make([]int, len(view.Owned))
	scores := make([]uint64, len(view.Owned))
	for i := range view.Owned {
		ranks[i] = -1
		if demand.allows(view.Owned[i].Zone, view.Owned[i].BaseModel) {
			ranks[i] = 0
			scores[i] = Score(demand.Of, view.Owned[i].Name)
		}
	}
	for _, server := range view.All {
		if !demand.allows(server.Zone, server.BaseModel) {
			continue
		}
		score := Score(demand.Of, server.Name)
		for i := range ranks {
			if ranks[i] >= 0 && score > scores[i] {
				ranks[i]++
			}
		}
	}
	return ranks
}

// maximumCachedRanks limits the number of adapter versions in a rankCache.
const maximumCachedRanks = 4096

// rankCache caches ranks for views of one generation, because waiting demand is reconsidered repeatedly.
type rankCache struct {
	generation uint64
	byVersion  map[fleet.AdapterVersion][]int
}

func (r *rankCache) ranks(view *View, demand *Demand) []int {
	if view.Generation == 0 {
		return Ranks(view, demand)
	}
	if r.byVersion == nil || r.generation != view.Generation || len(r.byVersion) >= maximumCachedRanks {
		r.byVersion = map[fleet.AdapterVersion][]int{}
		r.generation = view.Generation
	}
	cached, ok := r.byVersion[demand.Of]
	if !ok {
		cached = Ranks(view, demand)
		r.byVersion[demand.Of] = cached
	}
	return cached
}

// holds returns the server's load of the adapter version, ignoring loads that are closing, or nil.
func (s *Server) holds(version fleet.AdapterVersion) *Slot {
	for i := range s.Loads {
		if s.Loads[i].AdapterVersion == version && s.Loads[i].State != fleet.Closing {
			return &s.Loads[i]
		}
	}
	return nil
}

func (s *Server) utilisation() float64 {
	return float64(s.Running) / float64(max(s.Concurrency, 1))
}

// scoredServer is a server scored for a demand.
type scoredServer struct {
	server   *Server
	evict    *Slot
	score    float64
	rejected string
}

// chooseBest returns the choice of the server with the highest score and records the best candidates. If no server is
// eligible, the reason is noneReason.
func chooseBest(candidates []scoredServer, noneReason string) Choice {
	slices.SortStableFunc(candidates, func(a, b scoredServer) int {
		if (a.rejected == "") != (b.rejected == "") {
			if a.rejected == "" {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	choice := Choice{
		Reason:   noneReason,
		Deferred: !slices.ContainsFunc(candidates, func(c scoredServer) bool { return c.rejected != notNextOwner }),
	}
	for _, c := range candidates[:min(len(candidates), maximumCandidates)] {
		score := c.score
		if math.IsInf(score, 0) || math.IsNaN(score) {
			score = 0
		}
		choice.Candidates = append(choice.Candidates, decision.Candidate{
			Name: c.server.Name, Score: score, Rejected: c.rejected,
		})
	}
	if len(candidates) == 0 || candidates[0].rejected != "" {
		return choice
	}
	best := candidates[0]
	choice.Server = best.server.Name
	choice.Reason = "free slot on the best server"
	if best.evict != nil {
		choice.Evict = best.evict.Number
		choice.Reason = fmt.Sprintf("evict %s from the best server", best.evict.Name)
	}
	return choice
}
