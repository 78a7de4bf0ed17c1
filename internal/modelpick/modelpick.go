// Package modelpick selects the backend server for a request, and the server that loads an adapter which no server
// holds. Each selection filters and scores the candidates of one snapshot; the package does no I/O and reads no clock.
package modelpick

import (
	"math"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rendezvous"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Weights of the score, where 1 is the load of a full server. Lower scores are better.
const (
	// otherZoneCost prefers servers in the node's zone among servers with about the same load.
	otherZoneCost = 0.08
	// plainOtherZoneCost is otherZoneCost for plain services, whose servers have few slots.
	plainOtherZoneCost = 0.4
	// connectCost prefers servers with an idle connection among servers with about the same load; a new connection
	// takes a round trip and a handshake.
	connectCost = 0.05
	// fullBacklog is the wait for admission that scores like a full server.
	fullBacklog = time.Second
	// failureCost makes a server that fails all requests score worse than a full one.
	failureCost = 3.0
	// tieSpread is the random part of the score, so that nodes with the same snapshot don't all choose the same server.
	tieSpread = 0.02
)

// Bounds on the load of model servers, in shares of their slots.
const (
	// fullLoad is the load from which a server gets no more requests, since they would wait for a slot there.
	fullLoad = 1.0
	// copyLoad is the load of the least loaded holder from which another copy of an adapter is worth loading, provided
	// that the target's load is lower by more than copyGap.
	copyLoad = 0.35
	// copyBacklog is the wait for admission from which another copy is worth loading.
	copyBacklog = 150 * time.Millisecond
	copyGap     = 0.2
	// copyRequests is the number of recent requests from which a copy is worth loading.
	copyRequests = 3.0
	// loadTargetSpread is how much the load of a load target may exceed that of the least loaded server.
	loadTargetSpread = 0.4
)

// Query holds the requirements of a request.
type Query struct {
	Adapter serving.Adapter
	// MinVersion is the oldest version of the adapter that may serve the request.
	MinVersion int
	// SoftwareVersion is the version at which the stream that the request resumes began; empty allows all.
	SoftwareVersion string
	// Zone is the node's own zone.
	Zone string
	// Tried holds the servers that must not get the request again.
	Tried map[string]bool
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// MaxInFlight bounds this node's requests to one server; 0 means no bound.
	MaxInFlight int
	// Nodes is the number of live nodes that choose among the servers; 0 when it isn't known.
	Nodes int
	// MaxPause is the longest pause of streams that the route allows; 0 means no bound.
	MaxPause time.Duration
	// Lingering allows the servers that leave and may still get requests.
	Lingering bool
}

// usable reports whether the request may be sent to a server, regardless of the adapters there.
func (q Query) usable(c serverview.Candidate) bool { return q.unusable(c) == "" }

// unusable returns why the request may not be sent to a server, regardless of the adapters there; empty if it may.
func (q Query) unusable(c serverview.Candidate) Exclusion {
	switch {
	case c.Leaving && !(q.Lingering && c.Lingers):
		return ExcludedLeaving
	case c.RestsFor > 0:
		return ExcludedResting
	case q.SoftwareVersion != "" && c.SoftwareVersion != q.SoftwareVersion:
		return ExcludedSoftware
	case q.Tried[c.ID]:
		return ExcludedTried
	case q.MaxInFlight != 0 && c.InFlight >= q.MaxInFlight:
		return ExcludedConnections
	}
	return ""
}

// score returns the score of a server at a load, with the cost of reaching it: another zone or a new connection.
func (q Query) score(c serverview.Candidate, load, backlog, otherZone float64) Score {
	s := Score{Load: load, Failures: failureCost * c.FailureRate, Backlog: backlog}
	if c.Zone != q.Zone {
		s.Zone = otherZone
	}
	if !c.Connected {
		s.Connection = connectCost
	}
	return s
}

// Reasons for which no server was chosen.
const (
	ReasonNoServer  = "no server of the service is in use"
	ReasonAllBusy   = "all servers that hold the adapter are full"
	ReasonNotLoaded = "no server holds the adapter"
	ReasonLimited   = "the limits that the servers name leave no room"
	ReasonResting   = "all servers have asked this node for rest"
)

// Plain chooses a server of a plain service. Ejected servers are chosen only when no other one has room.
func Plain(candidates []serverview.Candidate, query Query, random *rand.Rand) (serverview.Candidate, bool) {
	roomy := PlainChoices(candidates, query)
	if len(roomy) == 0 {
		return SoonestRoom(preferHealthy(filter(candidates, query.usable)))
	}
	return lowest(roomy, func(c serverview.Candidate) float64 {
		return query.plainScore(c).Total() + tieSpread*random.Float64()
	})
}

// plainScore returns the score of a server of a plain service.
func (q Query) plainScore(c serverview.Candidate) Score {
	return q.score(c, float64(c.InFlight)/slots(c), 0, plainOtherZoneCost)
}

// PlainChoices returns the servers of a plain service that can get the request now. Ejected servers are among them only
// when no other one has room.
func PlainChoices(candidates []serverview.Candidate, query Query) []serverview.Candidate {
	return preferHealthy(filter(filter(candidates, query.usable), hasRoom))
}

// hasRoom reports whether the limit of a server probably leaves room for a request now.
func hasRoom(c serverview.Candidate) bool { return !c.Limited || c.RoomIn <= 0 }

// RestEnd returns how long it takes until the first server may get requests again where all that don't leave rest. Otherwise
// it returns false.
func RestEnd(candidates []serverview.Candidate) (in time.Duration, allRest bool) {
	for _, c := range candidates {
		switch {
		case c.Leaving:
		case c.RestsFor <= 0:
			return 0, false
		case !allRest || c.RestsFor < in:
			in, allRest = c.RestsFor, true
		}
	}
	return in, allRest
}

// SoonestRoom chooses the server whose limit leaves room first.
func SoonestRoom(candidates []serverview.Candidate) (serverview.Candidate, bool) {
	return lowest(candidates, func(c serverview.Candidate) float64 { return c.RoomIn.Seconds() })
}

// Resident chooses a model server that holds the adapter. Without one, reason says why.
func Resident(
	candidates []serverview.Candidate, query Query, random *rand.Rand,
) (chosen serverview.Candidate, found bool, reason string) {
	choices, reason := residentChoices(candidates, query)
	if reason != "" {
		return chosen, false, reason
	}
	if query.Spreads() {
		chosen, found = spread(choices, query, random)
	} else {
		chosen, found = lowest(choices, func(c serverview.Candidate) float64 {
			return query.residentScore(c, load(c)).Total() + tieSpread*random.Float64()
		})
	}
	return chosen, found, ""
}

// residentChoices returns the model servers that can get the request now. Without any, reason says why.
func residentChoices(
	candidates []serverview.Candidate, query Query,
) (choices []serverview.Candidate, reason string) {
	if len(filter(candidates, query.usable)) == 0 {
		return nil, ReasonNoServer
	}
	holding := holders(candidates, query)
	if len(holding) == 0 {
		return nil, ReasonNotLoaded
	}
	if len(filter(preferHealthy(holding), isFree)) == 0 {
		return nil, ReasonAllBusy
	}
	choices = preferHealthy(filter(holding, func(c serverview.Candidate) bool { return isFree(c) && hasRoom(c) }))
	if len(choices) == 0 {
		return nil, ReasonLimited
	}
	return choices, ""
}

// residentScore returns the score of a model server at a load, in shares of its slots.
func (q Query) residentScore(c serverview.Candidate, load float64) Score {
	return q.score(c, load, float64(c.Backlog)/float64(fullBacklog), otherZoneCost)
}

// holders returns the usable servers that hold the adapter.
func holders(candidates []serverview.Candidate, query Query) []serverview.Candidate {
	return filter(candidates, func(c serverview.Candidate) bool { return query.usable(c) && query.lacking(c) == "" })
}

// lacking returns why a server can't serve the adapter; empty if it can.
func (q Query) lacking(c serverview.Candidate) Exclusion {
	switch {
	case !c.Present:
		return ExcludedLacks
	case q.Adapter.Name != "" && c.Version < q.MinVersion:
		return ExcludedOutdated
	}
	return ""
}

// preferHealthy returns the candidates without the ejected ones if there are others.
func preferHealthy(candidates []serverview.Candidate) []serverview.Candidate {
	if healthy := filter(candidates, func(c serverview.Candidate) bool { return !c.Ejected }); len(healthy) > 0 {
		return healthy
	}
	return candidates
}

// isFree reports whether a model server probably has a free slot, and isn't closed as it is brittle and has rejected requests.
func isFree(c serverview.Candidate) bool { return load(c) < fullLoad && !c.Closed }

// LimitedResident chooses the server that holds the adapter and whose limit leaves room first, for a request that waits
// for it. Resident has found no server with room.
func LimitedResident(candidates []serverview.Candidate, query Query) (chosen serverview.Candidate, found bool) {
	return SoonestRoom(filter(preferHealthy(holders(candidates, query)), isFree))
}

// BusyBrittle chooses the brittle server that holds the adapter and has the least load, for a request that waits there until
// the holder of the server finds room for it. Resident has found no server with a free slot, by loads that are older than what
// the holder knows.
func BusyBrittle(candidates []serverview.Candidate, query Query) (chosen serverview.Candidate, found bool) {
	return lowest(filter(preferHealthy(holders(candidates, query)), func(c serverview.Candidate) bool {
		return c.Brittle && !c.Closed && !c.Ejected && hasRoom(c)
	}), load)
}

// Estimated times of loads, from the demand to the notice of arrival, and costs for the choice between servers.
const (
	coldLoadTime = 270 * time.Millisecond
	warmLoadTime = 30 * time.Millisecond
	// homes is the number of servers that may load an adapter cold, in the order of rendezvous hashing.
	homes = 2
	// homeOrderCost prefers the first home, so that all nodes choose the same one.
	homeOrderCost = 100 * time.Millisecond
	// slowTargetCost is the cost of a server whose streams take the longest pause that the route allows between two events,
	// since the adapter's later requests are served there too. It applies on sites of many nodes.
	slowTargetCost = 1500 * time.Millisecond
	// moveGain is how much sooner another server must be able to serve a waiting request before its demand moves there.
	moveGain = 400 * time.Millisecond
)

// LoadTarget chooses the server that loads an adapter: the one that can probably serve it first among those that evicted
// it recently, which load it fast, and its homes, the first servers by rendezvous hashing. An adapter thus returns to the
// same few servers, whichever node needs it. Servers that can't load it or whose load is much higher than that of the
// least loaded server are excluded. A request that waits already keeps its target, current, unless another one is much
// faster; current is empty for other requests.
//
// wait estimates how long the request has to wait until it can be sent there.
func LoadTarget(
	candidates []serverview.Candidate, query Query, current string,
) (target serverview.Candidate, wait time.Duration, found bool) {
	return loadTarget(candidates, query, current, "")
}

// loadTarget is LoadTarget with a salt for the hash. A different salt leads to a different order of the servers.
func loadTarget(
	candidates []serverview.Candidate, query Query, current, salt string,
) (target serverview.Candidate, wait time.Duration, found bool) {
	for _, option := range loadOptions(candidates, query, current, salt) {
		if !found || option.wait < wait {
			target, wait, found = option.Candidate, option.wait, true
		}
	}
	return target, wait, found
}

// loadOption is a server that may load an adapter, and the estimated wait until it serves it.
type loadOption struct {
	serverview.Candidate
	wait time.Duration
}

// loadOptions returns the servers among which loadTarget chooses.
func loadOptions(candidates []serverview.Candidate, query Query, current, salt string) (options []loadOption) {
	eligible := filter(candidates, func(c serverview.Candidate) bool {
		return obstacleOf(c) == none && !c.Present && query.usable(c)
	})
	// Loads would use up the limit of a server, and the requests for the adapter would have no room there.
	if unlimited := filter(eligible, func(c serverview.Candidate) bool { return !c.Limited }); len(unlimited) > 0 {
		eligible = unlimited
	}
	least := math.Inf(1)
	for _, c := range eligible {
		least = math.Min(least, load(c))
	}
	eligible = filter(eligible, func(c serverview.Candidate) bool { return load(c) <= least+loadTargetSpread })
	for i, c := range byRendezvous(eligible, query.Adapter, salt) {
		if i >= homes && !c.Held && c.ID != current {
			continue
		}
		options = append(options, loadOption{c, loadWait(c, i, query, current)})
	}
	return options
}

// byRendezvous returns the candidates in the order of their rendezvous hashes, the highest first.
func byRendezvous(candidates []serverview.Candidate, adapter serving.Adapter, salt string) []serverview.Candidate {
	return rendezvous.Order(candidates, func(c serverview.Candidate) string {
		return c.ID + salt + "\x00" + adapter.String()
	})
}

// loadWait estimates how long it takes until a server can serve an adapter that it has to load, for the choice between
// servers. order is the server's position by rendezvous hashing.
func loadWait(c serverview.Candidate, order int, query Query, current string) time.Duration {
	wait := c.SlotQueue.Wait(query.Priority) + c.Backlog + c.RoomIn
	wait += time.Duration(query.gapShare(c, 0) * float64(slowTargetCost))
	cold, warm := query.loadTimes(c)
	if c.Held {
		wait += warm
	} else {
		wait += cold + time.Duration(order)*homeOrderCost
	}
	if c.ID == current {
		wait -= moveGain
	}
	return wait
}

// loadTimes returns the learned times of loads of a server on sites of many nodes, and the usual ones elsewhere.
func (q Query) loadTimes(c serverview.Candidate) (cold, warm time.Duration) {
	cold, warm = coldLoadTime, warmLoadTime
	if q.Spreads() && c.LoadTimes.Cold > 0 {
		cold = c.LoadTimes.Cold
	}
	if q.Spreads() && c.LoadTimes.Warm > 0 {
		warm = c.LoadTimes.Warm
	}
	return cold, warm
}

// obstacle is a reason for which a server can't load an adapter.
type obstacle uint8

const (
	none obstacle = iota
	leaving
	resting
	ejected
	withoutHolder
	full
)

// obstacleOf returns the first obstacle that applies.
func obstacleOf(c serverview.Candidate) obstacle {
	switch {
	case c.Leaving:
		return leaving
	case c.RestsFor > 0:
		return resting
	case c.Ejected:
		return ejected
	case !c.HolderAlive:
		return withoutHolder
	case load(c) >= fullLoad:
		return full
	}
	return none
}

// Obstacles counts the servers of a service, and those that can't load an adapter by the first reason that applies.
type Obstacles struct {
	Servers       int
	Leaving       int
	Resting       int
	Ejected       int
	WithoutHolder int
	Full          int
	// Limited counts the servers that name a limit, whatever else applies to them.
	Limited int
}

// CountObstacles counts the reasons for which no server loads an adapter at once.
func CountObstacles(candidates []serverview.Candidate) Obstacles {
	var counts [full + 1]int
	limited := 0
	for _, c := range candidates {
		if c.Limited {
			limited++
		}
		reason := obstacleOf(c)
		if reason == none && c.SlotQueue.Wait(serving.RankCount) > 0 {
			reason = full
		}
		counts[reason]++
	}
	return Obstacles{
		Servers: len(candidates), Leaving: counts[leaving], Resting: counts[resting], Ejected: counts[ejected],
		WithoutHolder: counts[withoutHolder], Full: counts[full], Limited: limited,
	}
}

// Copy chooses a server for another copy of an adapter, if one is worth loading; chosen is the adapter's least loaded
// holder. recent is the node's own number of recent requests for the adapter; on a site of many nodes it stays low, and
// the published Hot flag decides. The hash is salted with the chosen server, so that each holder leads to a copy on
// another server and the number of copies grows exponentially.
func Copy(
	candidates []serverview.Candidate, query Query, chosen serverview.Candidate, recent float64,
) (serverview.Candidate, bool) {
	busy := load(chosen) >= copyLoad || chosen.Backlog >= copyBacklog
	popular := recent >= copyRequests || chosen.Hot
	if !busy || !popular || query.Adapter.Name == "" {
		return serverview.Candidate{}, false
	}
	lessLoaded := filter(candidates, func(c serverview.Candidate) bool {
		if c.SlotQueue.Wait(query.Priority) > 0 {
			return false
		}
		return load(c) < load(chosen)-copyGap || chosen.Backlog >= copyBacklog && c.Backlog < chosen.Backlog/2
	})
	target, _, found := loadTarget(lessLoaded, query, "", chosen.ID)
	return target, found
}

func load(c serverview.Candidate) float64 { return float64(c.Load) / float64(max(c.Slots, 1)) }

func filter(candidates []serverview.Candidate, matches func(serverview.Candidate) bool) []serverview.Candidate {
	matching := make([]serverview.Candidate, 0, len(candidates))
	for _, c := range candidates {
		if matches(c) {
			matching = append(matching, c)
		}
	}
	return matching
}

// lowest returns the candidate with the lowest score.
func lowest(
	candidates []serverview.Candidate, score func(serverview.Candidate) float64,
) (best serverview.Candidate, found bool) {
	bestScore := math.Inf(1)
	for _, c := range candidates {
		if s := score(c); s < bestScore {
			best, bestScore, found = c, s, true
		}
	}
	return best, found
}
