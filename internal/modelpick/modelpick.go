// Package modelpick chooses the backend server for one request, and the server that is to load an adapter which no
// server holds. Each choice is a filter, a score and a pick over one snapshot; there is no I/O and no clock.
package modelpick

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Weights of the score, in shares of a server that is full. Lower scores are better.
const (
	// otherZoneCost keeps requests in their zone between servers that are about equally busy.
	otherZoneCost = 0.08
	// plainOtherZoneCost is the same for plain services, whose slots are few.
	plainOtherZoneCost = 0.4
	// connectCost keeps requests on connections that exist between servers that are about equally busy; a new one
	// takes a round trip and a handshake.
	connectCost = 0.05
	// fullBacklog is the wait for admission that counts as much as a full server.
	fullBacklog = time.Second
	// failureCost makes a server that fails all requests worse than a full one.
	failureCost = 3.0
	// tieSpread keeps nodes that see the same snapshot from choosing the same server.
	tieSpread = 0.02
)

// Bounds on the load of model servers, in shares of their slots.
const (
	// fullLoad is above which a server gets no more requests, since they would wait for a slot there.
	fullLoad = 1.0
	// copyLoad is above which another copy of a busy adapter is worth its load, if the other server has copyGap
	// less load.
	copyLoad = 0.35
	// copyBacklog is the wait for admission above which another copy is worth its load.
	copyBacklog = 150 * time.Millisecond
	copyGap     = 0.2
	// copyRequests is how many recent requests make a copy worth its load.
	copyRequests = 3.0
	// homeSpread is how much more loaded than the least loaded server a home may be.
	homeSpread = 0.4
)

// Query is what a request needs.
type Query struct {
	Adapter serving.Adapter
	// MinVersion is the oldest version of the adapter that may serve.
	MinVersion int
	// Zone is the node's own zone.
	Zone string
	// Tried are the servers that the request shall not be sent to again.
	Tried map[string]bool
	// MaxInFlight bounds this node's requests to one server; 0 means no bound.
	MaxInFlight int
}

// usable reports whether the request may be sent to a server at all.
func (q Query) usable(c serverview.Candidate) bool {
	return !c.Leaving && !q.Tried[c.ID] && (q.MaxInFlight == 0 || c.InFlight < q.MaxInFlight)
}

// distance returns what reaching a server costs.
func (q Query) distance(c serverview.Candidate, otherZone float64) (cost float64) {
	if c.Zone != q.Zone {
		cost += otherZone
	}
	if !c.Connected {
		cost += connectCost
	}
	return cost
}

// Reasons for which no server was chosen.
const (
	ReasonNoServer  = "no server of the service is in use"
	ReasonAllBusy   = "all servers that hold the adapter are full"
	ReasonNotLoaded = "no server holds the adapter"
)

// Plain chooses a server of a plain service. Ejected servers are used only when there are no others.
func Plain(candidates []serverview.Candidate, query Query, random *rand.Rand) (serverview.Candidate, bool) {
	usable := filter(candidates, query.usable)
	if healthy := filter(usable, func(c serverview.Candidate) bool { return !c.Ejected }); len(healthy) > 0 {
		usable = healthy
	}
	return lowest(usable, func(c serverview.Candidate) float64 {
		score := float64(c.InFlight)/float64(max(c.Slots, 1)) + failureCost*c.FailureRate
		return score + query.distance(c, plainOtherZoneCost) + tieSpread*random.Float64()
	})
}

// Resident chooses a model server that holds the adapter.
func Resident(candidates []serverview.Candidate, query Query, random *rand.Rand) (chosen serverview.Candidate, found bool, reason string) {
	usable := filter(candidates, query.usable)
	if len(usable) == 0 {
		return chosen, false, ReasonNoServer
	}
	holding := filter(usable, func(c serverview.Candidate) bool {
		return c.Present && (query.Adapter.Name == "" || c.Version >= query.MinVersion)
	})
	if healthy := filter(holding, func(c serverview.Candidate) bool { return !c.Ejected }); len(healthy) > 0 {
		holding = healthy
	}
	if len(holding) == 0 {
		return chosen, false, ReasonNotLoaded
	}
	free := filter(holding, func(c serverview.Candidate) bool { return load(c) < fullLoad })
	chosen, found = lowest(free, func(c serverview.Candidate) float64 {
		score := load(c) + failureCost*c.FailureRate + float64(c.Backlog)/float64(fullBacklog)
		return score + query.distance(c, otherZoneCost) + tieSpread*random.Float64()
	})
	if !found {
		return chosen, false, ReasonAllBusy
	}
	return chosen, true, ""
}

// Home chooses the server that is to load an adapter: one that held it before, which loads it ten times as fast,
// else the first by rendezvous hashing, so that all nodes choose alike. Servers that can't load it or are
// much busier than the others don't count.
func Home(candidates []serverview.Candidate, query Query) (serverview.Candidate, bool) {
	return home(candidates, query, "")
}

// home is Home with a text that makes the choice by hashing another one.
func home(candidates []serverview.Candidate, query Query, salt string) (serverview.Candidate, bool) {
	able := filter(candidates, func(c serverview.Candidate) bool {
		return obstacleOf(c) == none && !c.Present && query.usable(c)
	})
	least := math.Inf(1)
	for _, c := range able {
		least = math.Min(least, load(c))
	}
	able = filter(able, func(c serverview.Candidate) bool { return load(c) <= least+homeSpread })
	if held := filter(able, func(c serverview.Candidate) bool { return c.Held }); len(held) > 0 {
		able = held
	}
	return lowest(able, func(c serverview.Candidate) float64 { return -rendezvous(c.ID+salt, query.Adapter) })
}

// obstacle is what keeps a server from loading an adapter.
type obstacle uint8

const (
	none obstacle = iota
	leaving
	leftAlone
	withoutHolder
	full
)

// obstacleOf returns the first obstacle that applies.
func obstacleOf(c serverview.Candidate) obstacle {
	switch {
	case c.Leaving:
		return leaving
	case c.Ejected:
		return leftAlone
	case !c.HolderAlive:
		return withoutHolder
	case c.Full || load(c) >= fullLoad:
		return full
	}
	return none
}

// Obstacles counts the servers of a service, and those that can't load an adapter by the reason that comes first.
type Obstacles struct {
	Servers       int
	Leaving       int
	LeftAlone     int
	WithoutHolder int
	Full          int
}

// CountObstacles tells why Home finds no server.
func CountObstacles(candidates []serverview.Candidate) Obstacles {
	var counts [full + 1]int
	for _, c := range candidates {
		counts[obstacleOf(c)]++
	}
	return Obstacles{
		Servers: len(candidates), Leaving: counts[leaving], LeftAlone: counts[leftAlone],
		WithoutHolder: counts[withoutHolder], Full: counts[full],
	}
}

// Copy chooses a server for one more copy of an adapter whose least loaded holder is chosen, if that is worth a load.
// recent is how many requests the node had for it lately; on a site of many nodes it stays low, and the holder's word that
// the adapter is hot counts. Each server that holds the adapter gets a copy elsewhere, so that copies multiply as fast as
// they arrive.
func Copy(candidates []serverview.Candidate, query Query, chosen serverview.Candidate, recent float64) (serverview.Candidate, bool) {
	busy := load(chosen) >= copyLoad || chosen.Backlog >= copyBacklog
	popular := recent >= copyRequests || chosen.Hot
	if !busy || !popular || query.Adapter.Name == "" {
		return serverview.Candidate{}, false
	}
	calm := filter(candidates, func(c serverview.Candidate) bool {
		return load(c) < load(chosen)-copyGap || chosen.Backlog >= copyBacklog && c.Backlog < chosen.Backlog/2
	})
	return home(calm, query, chosen.ID)
}

func load(c serverview.Candidate) float64 { return float64(c.Load) / float64(max(c.Slots, 1)) }

// rendezvous returns a number in [0, 1) that depends on the server and the adapter only.
func rendezvous(server string, adapter serving.Adapter) float64 {
	return float64(xxhash.Sum64String(server+"\x00"+adapter.String())>>11) / (1 << 53)
}

func filter(candidates []serverview.Candidate, keep func(serverview.Candidate) bool) []serverview.Candidate {
	kept := make([]serverview.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	return kept
}

func lowest(candidates []serverview.Candidate, score func(serverview.Candidate) float64) (best serverview.Candidate, found bool) {
	bestScore := math.Inf(1)
	for _, c := range candidates {
		if s := score(c); s < bestScore {
			best, bestScore, found = c, s, true
		}
	}
	return best, found
}
