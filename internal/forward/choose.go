package forward

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// choose returns the server for the next send, after waiting for a load if necessary. If there is no server, it answers
// the caller and returns false.
func (j *job) choose() (chosen serverview.Candidate, version int, ok bool) {
	if j.service.Engine == nil {
		return j.choosePlain()
	}
	return j.chooseModel()
}

func (j *job) choosePlain() (serverview.Candidate, int, bool) {
	candidates := j.f.options.View.Candidates(time.Now(), j.service.Name, serving.Adapter{})
	if assigned, decided, ok := j.awaitSlot(&candidates); decided {
		return assigned, 0, ok
	}
	candidate, found, barred := j.pickPlain(candidates)
	if found && candidate.Unreachable {
		if servers, _ := unreachable(candidates); j.handOver(servers) {
			j.releaseSlot()
			return candidate, 0, false
		}
	}
	refusal := j.planPlain(candidates, candidate, found)
	if barred {
		refusal = &unserved{reason: ReasonBrittle, retryAfter: busyRetryAfter}
	}
	if refusal == nil {
		return candidate, 0, true
	}
	j.releaseSlot()
	if lingering, found := j.lingering(candidates, j.query(0)); found {
		return lingering, 0, true
	}
	j.refusePlanned(refusal)
	return candidate, 0, false
}

// planPlain returns the refusal of a request to a plain service for which no server was found, or only one whose limit
// leaves no room in time; nil if the request is sent.
func (j *job) planPlain(candidates []serverview.Candidate, chosen serverview.Candidate, found bool) *unserved {
	switch {
	case !found:
		if refusal := restRefusal(candidates); refusal != nil {
			return refusal
		}
		return &unserved{reason: modelpick.ReasonNoServer, retryAfter: busyRetryAfter}
	case chosen.RoomIn > j.remainingWait():
		return limitedRefusal(candidates, chosen.RoomIn)
	}
	return nil
}

func (j *job) query(minVersion int) modelpick.Query {
	return modelpick.Query{
		Adapter: j.request.Adapter, MinVersion: minVersion, SoftwareVersion: j.softwareVersion,
		Zone: j.f.options.Zone, Tried: j.tried, Priority: j.rank(), MaxInFlight: j.maxInFlight(),
		Nodes: j.f.options.Nodes(), MaxPause: j.route.MaxPause,
	}
}

// maxInFlight returns this node's share of the connections that one server of the service accepts.
func (j *job) maxInFlight() int {
	if j.service.MaxConnections <= 0 {
		return 0
	}
	share := connectionShare * float64(j.service.MaxConnections) / float64(max(j.f.options.Nodes(), 1))
	return max(int(share), minimumConnections)
}

// chooseModel waits until a server with free capacity holds the adapter, and requests a load of it meanwhile.
func (j *job) chooseModel() (serverview.Candidate, int, bool) {
	waitEnds := j.arrived.Add(j.loadWait())
	if j.recent == 0 {
		j.recent = j.f.options.Usage.Arrived(j.arrived, j.request.Adapter)
	}
	var demand loadDemand
	defer demand.end()
	for {
		changed := j.f.options.View.Changed()
		look := j.lookAtModel(time.Now())
		if servers := look.handoverServers(); len(servers) > 0 && j.handOver(servers) {
			return look.chosen, 0, false
		}
		if look.found {
			j.f.metrics.choice(look.query).Inc(1)
			j.requestCopy(look.now, look.candidates, look.query, look.chosen)
			return look.chosen, j.expectedVersion(look.chosen, look.declared, look.query.MinVersion), true
		}
		j.reason = look.reason
		plan := j.planLoad(look, demand.server, waitEnds)
		if plan.awaitsRoom {
			return plan.limited, j.expectedVersion(plan.limited, look.declared, look.query.MinVersion), true
		}
		if plan.wanted {
			demand.moveTo(j, plan.target.ID, waitEnds)
		}
		if plan.refusal != nil {
			if lingering, found := j.lingering(look.candidates, look.query); found {
				return lingering, j.expectedVersion(lingering, look.declared, look.query.MinVersion), true
			}
			j.refusePlanned(plan.refusal)
			return look.chosen, 0, false
		}
		if !j.wait(changed, waitEnds.Sub(look.now)) {
			return look.chosen, 0, false
		}
	}
}

// modelLook is the choice of a model server at one moment.
type modelLook struct {
	now        time.Time
	candidates []serverview.Candidate
	query      modelpick.Query
	// declared is the newest declared version of the adapter.
	declared int
	chosen   serverview.Candidate
	found    bool
	// reason is why no server was found.
	reason string
}

// lookAtModel chooses a model server that holds the adapter now.
func (j *job) lookAtModel(now time.Time) modelLook {
	look := modelLook{now: now}
	var since time.Time
	look.declared, since = j.f.options.View.Declared(j.request.Adapter)
	minVersion := look.declared
	if now.Sub(since) < outdatedVersionGrace {
		minVersion = 0
	}
	look.candidates = j.f.options.View.Candidates(now, j.service.Name, j.request.Adapter)
	look.query = j.query(minVersion)
	look.chosen, look.found, look.reason = modelpick.Resident(look.candidates, look.query, newRandom())
	return look
}

// handoverServers returns the servers for which the request is passed to another node, if one takes it.
func (l modelLook) handoverServers() []string {
	if l.found && !l.chosen.Unreachable {
		return nil
	}
	servers, all := unreachable(l.candidates)
	if !l.found && !all {
		return nil
	}
	return servers
}

// unserved is the refusal of a request that no server gets.
type unserved struct {
	reason     string
	retryAfter time.Duration
	// inputs are the inputs of the decision, for the log.
	inputs event.Fields
}

// refusePlanned answers a request that no server gets.
func (j *job) refusePlanned(refusal *unserved) {
	if refusal.reason == ReasonResting {
		j.refuseResting(refusal)
		return
	}
	if refusal.inputs != nil {
		j.inputs = refusal.inputs
	}
	j.refuseUnservedFor(refusal.reason, refusal.retryAfter)
}

// loadPlan is what is done with a request that no server with the adapter can get now.
type loadPlan struct {
	// target is the server that loads the adapter, and wait the estimated time until it can get the request, if possible.
	target   serverview.Candidate
	wait     time.Duration
	possible bool
	// limited gets the request after a wait for its limit, or for room if it is brittle, if awaitsRoom.
	limited    serverview.Candidate
	awaitsRoom bool
	// wanted is true when the demand for the adapter is registered at the target.
	wanted bool
	// refusal is nil while the request waits.
	refusal *unserved
}

// planLoad decides what is done with a request for which no server was found. current is the server at which its demand is
// registered already; waitEnds is when it has to be refused.
func (j *job) planLoad(look modelLook, current string, waitEnds time.Time) (plan loadPlan) {
	plan.target, plan.wait, plan.possible = modelpick.LoadTarget(look.candidates, look.query, current)
	plan.limited, plan.awaitsRoom = j.awaitsRoom(look, plan.wait, plan.possible)
	left := waitEnds.Sub(look.now)
	if look.reason == modelpick.ReasonAllBusy && !plan.possible {
		plan.limited, plan.awaitsRoom = modelpick.BusyBrittle(look.candidates, look.query)
	}
	switch {
	case plan.awaitsRoom:
		return plan
	case look.reason == ReasonLimited && !plan.possible:
		plan.refusal = limitedRefusal(look.candidates, plan.limited.RoomIn)
		return plan
	case plan.possible && current == "" && plan.wait > left:
		inputs := obstacleFields(look.candidates)
		inputs["loadWaitMs"] = plan.wait.Milliseconds()
		plan.refusal = &unserved{ReasonOverloaded, max(plan.wait, busyRetryAfter), inputs}
		return plan
	}
	if look.reason == modelpick.ReasonNoServer {
		if plan.refusal = restRefusal(look.candidates); plan.refusal != nil {
			return plan
		}
	}
	plan.wanted = plan.possible
	if left <= 0 || look.reason == modelpick.ReasonNoServer {
		plan.refusal = &unserved{look.reason, busyRetryAfter, obstacleFields(look.candidates)}
	}
	return plan
}

// obstacleFields returns the log fields that show why no server can load the adapter.
func obstacleFields(candidates []serverview.Candidate) event.Fields {
	o := modelpick.CountObstacles(candidates)
	return event.Fields{
		"servers": o.Servers, "leaving": o.Leaving, "resting": o.Resting, "leftAlone": o.Ejected, "withoutHolder": o.WithoutHolder,
		"full": o.Full, "limited": o.Limited,
	}
}

// expectedVersion returns the version that the server must hold to accept the request, or 0 while older versions are
// still allowed.
func (j *job) expectedVersion(chosen serverview.Candidate, declared, minVersion int) int {
	if minVersion == 0 || declared == 0 {
		return 0
	}
	return chosen.Version
}

// loadWait returns how long the request may wait for a load, counted from its arrival.
func (j *job) loadWait() time.Duration {
	remaining := j.deadline.Sub(j.arrived)
	if j.deadline.IsZero() {
		return maximumLoadWait
	}
	return min(maximumLoadWait, time.Duration(loadWaitShare*float64(remaining)))
}

// requestCopy registers a demand for one more copy of the adapter if the load is worthwhile.
func (j *job) requestCopy(
	now time.Time, candidates []serverview.Candidate, query modelpick.Query, chosen serverview.Candidate,
) {
	if target, worthwhile := modelpick.Copy(candidates, query, chosen, j.recent); worthwhile {
		j.f.options.Usage.RequestCopy(now, target.ID, j.request.Adapter)
	}
}

// wait blocks until the servers change, the timeout passes or recheckPeriod is over. If the request's context ends
// first, it answers the caller and returns false.
func (j *job) wait(changed <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(min(recheckPeriod, timeout))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-j.ctx.Done():
		j.refuseUnserved(ReasonWaitedTooLong)
		return false
	}
	return true
}
