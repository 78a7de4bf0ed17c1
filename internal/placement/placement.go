// Package placement decides which demanded adapter version is loaded on which owned backend server, and which
// resident load makes room. Policies are deterministic: time and random source are arguments.
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

// maximumCandidates bounds the candidates of one decision's record.
const maximumCandidates = 8

// Demand is what waits for one adapter version over all gateways.
type Demand struct {
	Of         fleet.AdapterVersion
	BaseModel  string
	Rank       uint32
	Waiting    uint32
	OldestWait time.Duration
	// Zones limits the servers; empty means all zones.
	Zones []string
	// Elsewhere is true when a load of the version on another scheduler's server ended lately.
	Elsewhere bool
	// Minimum is true for a copy that is declared and not asked for by requests.
	Minimum bool
}

// Slot is one load on an owned server.
type Slot struct {
	fleet.LoadView
	// Pinned loads are declared copies and are not evicted.
	Pinned bool
	// Demanded is true while requests for the adapter version wait, for instance for their batch window to end.
	Demanded bool
}

// Server is one owned server that takes loads.
type Server struct {
	Name        string
	Zone        string
	BaseModel   string
	Slots       int
	Free        int
	Running     uint32
	Concurrency int
	Loads       []Slot
	// Evictions counts evictions under way and loads waiting for their turn.
	Pending int
}

// Known is a server of any zone that takes loads.
type Known struct {
	Name      string
	Zone      string
	BaseModel string
}

// View is what a decision is made on. The policy doesn't change it.
type View struct {
	Owned []Server
	All   []Known
	// Generation changes with the names, zones and base models of the servers. Views of the same generation have
	// the same ranks; 0 means that nothing may be remembered.
	Generation uint64
}

// Choice is the outcome of one decision. Server is empty when nothing is to be done now.
type Choice struct {
	Server string
	// Evict is the load that makes room, 0 when a slot is free.
	Evict      engine.LoadNumber
	Candidates []decision.Candidate
	Reason     string
	// Deferred is true when it's another owner's turn or nothing is to be decided here.
	Deferred bool
}

// outOfTurn is why a server is rejected while the owner of a better ranked one goes first.
const outOfTurn = "a better ranked server's owner goes first"

// linearRanks is up to which place each rank adds a full delay. Further down the delay grows with the logarithm, or
// a free slot on one of 600 servers would be found after minutes.
const linearRanks = 8

// turnDelay returns how long demand waits for its turn at a place in the rendezvous order.
func turnDelay(rank int, rankDelay time.Duration) time.Duration {
	if rank <= linearRanks {
		return time.Duration(rank) * rankDelay
	}
	return time.Duration((linearRanks + math.Log2(float64(rank)/linearRanks)) * float64(rankDelay))
}

// Policy chooses. Its methods are called from one goroutine.
type Policy interface {
	// Name returns the name used in settings.
	Name() string
	// Observe takes arrived requests for an adapter version.
	Observe(now time.Time, of fleet.AdapterVersion, rank, arrived uint32)
	// Choose decides on one demand.
	Choose(now time.Time, random *rand.Rand, view *View, demand Demand) Choice
}

// Names of the policies.
const (
	DefaultName       = "stall"
	LeastLoadedName   = "least-loaded-lru"
	RendezvousLRUName = "rendezvous-lru"
)

// New returns the policy with the given name, or false.
func New(name string, options Options) (Policy, bool) {
	switch name {
	case DefaultName:
		return NewStall(options), true
	case LeastLoadedName:
		return &LeastLoadedLRU{use: newUse()}, true
	case RendezvousLRUName:
		return &RendezvousLRU{use: newUse(), rankDelay: options.RankDelay}, true
	}
	return nil, false
}

// allows reports whether the demand may be placed in a zone.
func (d *Demand) allows(zone, baseModel string) bool {
	return baseModel == d.BaseModel && (len(d.Zones) == 0 || slices.Contains(d.Zones, zone))
}

// Score returns the rendezvous weight of a server for an adapter version.
func Score(of fleet.AdapterVersion, server string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(of.Adapter)
	_, _ = digest.WriteString("@")
	_, _ = digest.WriteString(of.Version)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(server)
	return digest.Sum64()
}

// Ranks returns the place of each owned server in the rendezvous order over the servers of all zones that may hold
// the demand; -1 for those that may not.
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
	for _, known := range view.All {
		if !demand.allows(known.Zone, known.BaseModel) {
			continue
		}
		score := Score(demand.Of, known.Name)
		for i := range ranks {
			if ranks[i] >= 0 && score > scores[i] {
				ranks[i]++
			}
		}
	}
	return ranks
}

// rankedLimit bounds the remembered ranks.
const rankedLimit = 4096

// ranked remembers ranks for views of one generation. Demand that waits is looked at again and again.
type ranked struct {
	generation uint64
	byVersion  map[fleet.AdapterVersion][]int
}

func (r *ranked) ranks(view *View, demand *Demand) []int {
	if view.Generation == 0 {
		return Ranks(view, demand)
	}
	if r.byVersion == nil || r.generation != view.Generation || len(r.byVersion) >= rankedLimit {
		r.byVersion = map[fleet.AdapterVersion][]int{}
		r.generation = view.Generation
	}
	known, ok := r.byVersion[demand.Of]
	if !ok {
		known = Ranks(view, demand)
		r.byVersion[demand.Of] = known
	}
	return known
}

// holds returns the load of the adapter version on the server, or nil.
func (s *Server) holds(of fleet.AdapterVersion) *Slot {
	for i := range s.Loads {
		if s.Loads[i].Of == of && s.Loads[i].State != fleet.Closing {
			return &s.Loads[i]
		}
	}
	return nil
}

func (s *Server) utilisation() float64 {
	return float64(s.Running) / float64(max(s.Concurrency, 1))
}

// option is one server weighed for a demand.
type option struct {
	server   *Server
	evict    *Slot
	score    float64
	rejected string
}

// pick returns the option with the highest score and records all of them.
func pick(options []option, none string) Choice {
	slices.SortStableFunc(options, func(a, b option) int {
		if (a.rejected == "") != (b.rejected == "") {
			if a.rejected == "" {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	choice := Choice{Reason: none, Deferred: !slices.ContainsFunc(options, func(o option) bool { return o.rejected != outOfTurn })}
	for _, o := range options[:min(len(options), maximumCandidates)] {
		score := o.score
		if math.IsInf(score, 0) || math.IsNaN(score) {
			score = 0
		}
		choice.Candidates = append(choice.Candidates, decision.Candidate{Name: o.server.Name, Score: score, Rejected: o.rejected})
	}
	if len(options) == 0 || options[0].rejected != "" {
		return choice
	}
	best := options[0]
	choice.Server = best.server.Name
	choice.Reason = "free slot on the best server"
	if best.evict != nil {
		choice.Evict = best.evict.Number
		choice.Reason = fmt.Sprintf("evict %s from the best server", best.evict.Name)
	}
	return choice
}
