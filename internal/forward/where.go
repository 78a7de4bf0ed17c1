package forward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Parameters of a description in a query.
const (
	parameterHost     = "host"
	parameterPath     = "path"
	parameterRoute    = "route"
	parameterAdapter  = "adapter"
	parameterUnseen   = "unseen"
	parameterCustomer = "customer"
	parameterPrompt   = "promptTokens"
	parameterOutput   = "outputTokens"
	parameterDeadline = "deadline"
)

// Decisions of a QuotaState.
const (
	QuotaAdmits  = "admit"
	QuotaRefuses = "refuse"
	QuotaAsks    = "ask"
)

// Outcomes of a destination.
const (
	OutcomeSend     = "sent"
	OutcomeRoom     = "sent after a wait for the server's limit"
	OutcomeDispatch = "sent to the server that the dispatcher assigns"
	OutcomeLoad     = "waits until a server has loaded the adapter"
	OutcomeHandOver = "handed over to another node"
	OutcomeRefuse   = "refused"
)

// describedJob returns a request that is only explained.
func (f *Forwarder) describedJob(current *activeConfig) *job {
	j := &job{f: f, ctx: context.Background(), arrived: time.Now(), tried: map[string]bool{}}
	if current != nil {
		j.authenticated = current.customers.Required()
	}
	return j
}

// checkAdapter returns an error if no service of the route has the base model, or if nothing is known of the adapter.
func (j *job) checkAdapter(config *serving.Configuration, allowUnseen bool) error {
	var models []string
	for _, destination := range j.route.Services {
		if engine := config.Services[destination.Service].Engine; engine != nil {
			for _, model := range engine.Models {
				models = append(models, model.Name)
			}
		}
	}
	adapter := j.request.Adapter
	if len(models) > 0 && !slices.Contains(models, adapter.Model) {
		return &UnknownNameError{"base model of the route", adapter.Model, similarNames(adapter.Model, models)}
	}
	if adapter.Name == "" || allowUnseen || j.f.options.View.KnowsAdapter(adapter) {
		return nil
	}
	var names []string
	for _, other := range j.f.options.View.KnownAdapters() {
		names = append(names, other.String())
	}
	return &UnknownNameError{"adapter that was declared or that a server holds", adapter.String(), similarNames(adapter.String(), names)}
}

// explainKey shows how recent the configuration is, and returns the refusal of a request that isn't admitted.
func (j *job) explainKey(current *activeConfig, status KeyStatus, where *Where) *WhereRefusal {
	where.Customer = j.customerName()
	if !j.authenticated {
		return nil
	}
	where.Keys = &WhereKeys{Accepted: status.Accept}
	if j.f.options.Keys != nil {
		age := max(status.Age.Milliseconds(), -1)
		where.Keys.ProofAgeMs = &age
	}
	if j.customer == nil {
		if reason := j.checkNoKey(); reason != "" {
			return j.explainRefusal(http.StatusUnauthorized, reason, 0)
		}
		return nil
	}
	if code, reason := j.checkKey(current, status, j.customer); reason != "" {
		return j.explainRefusal(code, reason, j.keyRetryAfter(code))
	}
	return nil
}

// explainQuota shows the state of the customer's quota, and returns the refusal if it leaves no room.
func (j *job) explainQuota(where *Where) *WhereRefusal {
	if !j.charges() {
		return nil
	}
	quota := j.customer.Quota
	where.Quota = &WhereQuota{
		Unit: "requests", PerSecond: quota.PerSecond, Burst: quota.Burst, Cost: quota.Cost(j.request),
	}
	if quota.Unit == serving.QuotaTokens {
		where.Quota.Unit = "tokens"
	}
	viewer, shows := j.f.options.Quotas.(QuotaViewer)
	if !shows {
		return nil
	}
	where.Quota.QuotaState = viewer.View(j.customer, where.Quota.Cost, j.rank())
	if where.Quota.Decision != QuotaRefuses {
		return nil
	}
	roomIn := time.Duration(where.Quota.RetryAfterMs) * time.Millisecond
	return j.explainRefusal(http.StatusTooManyRequests, ReasonQuota, quotaRetryAfter(roomIn))
}

// explainRefusal returns the refusal of a request that has not run, with the bounds of its Retry-After.
func (j *job) explainRefusal(status int, reason string, retryAfter time.Duration) *WhereRefusal {
	least, most := j.refusal(status, reason, retryAfter, 0), j.refusal(status, reason, retryAfter, 1)
	return &WhereRefusal{
		Status: least.Status, Reason: least.Reason,
		RetryAfterMinMs: least.RetryAfter.Milliseconds(), RetryAfterMaxMs: most.RetryAfter.Milliseconds(),
	}
}

func (j *job) explainUnserved(refusal *unserved) *WhereRefusal {
	return j.explainRefusal(http.StatusServiceUnavailable, refusal.reason, refusal.retryAfter)
}

// explainDestination explains the choice of a server of the request's service.
func (j *job) explainDestination() WhereDestination {
	if j.service.Engine == nil {
		return j.explainPlain()
	}
	return j.explainModel()
}

func (j *job) explainPlain() WhereDestination {
	now := time.Now()
	candidates := j.f.options.View.Candidates(now, j.service.Name, serving.Adapter{})
	query := j.query(0)
	d := WhereDestination{Service: j.service.Name, Outcome: OutcomeSend}
	explanations := modelpick.ExplainPlain(candidates, query)
	d.addCandidates(explanations, query)
	if viewer, shows := j.f.options.Slots.(SlotViewer); shows {
		state := viewer.View(j.service.Name, candidates)
		d.Slots = &state
	}
	chosen, found := modelpick.Plain(candidates, query, newRandom())
	if j.asksDispatcher(modelpick.PlainChoices(candidates, query)) && d.Slots != nil && d.Slots.Active && d.Slots.Dispatcher != "" {
		d.Server, d.Outcome = "", OutcomeDispatch
		return d
	}
	if found && chosen.Unreachable {
		if servers, _ := unreachable(candidates); d.handOver(j, servers) {
			return d
		}
	}
	if refusal := j.planPlain(candidates, chosen, found); refusal != nil {
		d.refuse(j, refusal)
	} else if d.Server == "" && chosen.RoomIn > 0 {
		d.Outcome, d.Server, d.Reason = OutcomeRoom, chosen.ID, ReasonLimited
	}
	return d
}

func (j *job) explainModel() WhereDestination {
	look := j.lookAtModel(time.Now())
	d := WhereDestination{Service: j.service.Name, Outcome: OutcomeSend, Random: look.query.Spreads(), Reason: look.reason}
	if !j.request.Adapter.IsZero() {
		d.Adapter = &WhereAdapter{
			Name: j.request.Adapter.String(), Declared: look.declared, MinVersion: look.query.MinVersion,
		}
		if look.declared > 0 {
			_, since := j.f.options.View.Declared(j.request.Adapter)
			d.Adapter.DeclaredMsAgo = look.now.Sub(since).Milliseconds()
		}
	}
	d.addCandidates(modelpick.ExplainResident(look.candidates, look.query), look.query)
	if servers := look.handoverServers(); len(servers) > 0 && d.handOver(j, servers) {
		return d
	}
	if look.found {
		return d
	}
	for i, option := range modelpick.ExplainLoad(look.candidates, look.query) {
		d.Candidates[i].LoadOption = &WhereLoadOption{Excluded: option.Excluded, WaitMs: option.Wait.Milliseconds()}
	}
	plan := j.planLoad(look, "", j.arrived.Add(j.loadWait()))
	if plan.possible {
		d.Load = &WhereLoad{Server: plan.target.ID, WaitMs: plan.wait.Milliseconds()}
	}
	switch {
	case plan.awaitsRoom:
		d.Outcome, d.Server = OutcomeRoom, plan.limited.ID
	case plan.refusal != nil:
		d.refuse(j, plan.refusal)
	default:
		d.Outcome = OutcomeLoad
	}
	return d
}

// certain is the probability from which a server counts as the chosen one; less is due to rounding.
const certain = 1 - 1e-9

// addCandidates adds the candidates, and the chosen one if it is certain.
func (d *WhereDestination) addCandidates(explanations []modelpick.Explanation, query modelpick.Query) {
	d.Candidates = make([]WhereCandidate, 0, len(explanations))
	for _, e := range explanations {
		d.Candidates = append(d.Candidates, newWhereCandidate(e, query))
		if e.Probability >= certain {
			d.Server = e.ID
		}
	}
}

func (d *WhereDestination) refuse(j *job, refusal *unserved) {
	d.Outcome, d.Server, d.Reason, d.Refusal = OutcomeRefuse, "", refusal.reason, j.explainUnserved(refusal)
}

// handOver explains the handover to a node that reaches one of the servers. It returns false if no node would be asked.
func (d *WhereDestination) handOver(j *job, servers []string) bool {
	if j.f.options.Peers == nil {
		return false
	}
	peer := j.f.options.Peers.Choose(servers, map[string]bool{})
	if peer == "" {
		return false
	}
	d.Outcome, d.Server, d.HandOver = OutcomeHandOver, "", &WhereHandOver{Servers: servers, Peer: peer}
	return true
}

// maximumAge is the age from which a publication counts as missing; the age is meaningless before the first one.
const maximumAge = 24 * time.Hour

func newWhereCandidate(e modelpick.Explanation, query modelpick.Query) WhereCandidate {
	c := WhereCandidate{
		Server: e.ID, Zone: e.Zone, SoftwareVersion: e.SoftwareVersion, Excluded: string(e.Excluded),
		Probability: e.Probability, Total: e.Score.Total(), Score: e.Score,
		AgeMs: e.Age.Milliseconds(), LoadAgeMs: e.LoadAge.Milliseconds(), Load: e.Load, Slots: e.Slots,
		Reported: e.Reported, Asked: e.Asked, SentSince: e.SentSince, Arrivals: e.Arrivals,
		TakesRuns: query.Capacity(e.Candidate), EventMs: float64(e.Step.Gap(e.Load)) / float64(time.Millisecond),
		InFlight: e.InFlight, FailureRate: e.FailureRate, BacklogMs: e.Backlog.Milliseconds(), Connected: e.Connected,
		HolderAlive: e.HolderAlive, Draining: e.Leaving, Ejected: e.Ejected, Unreachable: e.Unreachable,
		Limited: e.Limited, RoomInMs: e.RoomIn.Milliseconds(), Holds: e.Present, Version: e.Version, Evicted: e.Held,
		AdapterSlots: e.SlotQueue.Free, SlotWaitMs: e.SlotQueue.Wait(query.Priority).Milliseconds(),
	}
	if e.Age > maximumAge {
		c.AgeMs, c.LoadAgeMs = -1, -1
	}
	if query.MaxPause > 0 {
		c.PauseMs = query.ExpectedPause(e.Candidate, e.Load).Milliseconds()
	}
	return c
}
