package forward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/routetable"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Description describes a request that isn't sent.
type Description struct {
	// Host and Path select the route, unless Route names it.
	Host  string
	Path  string
	Route string
	// Adapter is model or model/name; empty for plain services.
	Adapter string
	// Unseen allows an adapter of which the node knows nothing: no version was declared, and no server holds it.
	Unseen bool
	// Customer is the name of the customer; empty for a request without an API key.
	Customer string
	// PromptTokens and OutputTokens are the figures of the caller, if TokensNamed.
	PromptTokens int
	OutputTokens int
	TokensNamed  bool
	// Deadline is the caller's timeout; 0 for none.
	Deadline time.Duration
}

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

// Values returns the description as the parameters of a query.
func (d Description) Values() url.Values {
	values := make(url.Values)
	set := func(name, value string, given bool) {
		if given {
			values.Set(name, value)
		}
	}
	set(parameterHost, d.Host, d.Host != "")
	set(parameterPath, d.Path, d.Path != "")
	set(parameterRoute, d.Route, d.Route != "")
	set(parameterAdapter, d.Adapter, d.Adapter != "")
	set(parameterUnseen, "true", d.Unseen)
	set(parameterCustomer, d.Customer, d.Customer != "")
	set(parameterPrompt, strconv.Itoa(d.PromptTokens), d.TokensNamed)
	set(parameterOutput, strconv.Itoa(d.OutputTokens), d.TokensNamed)
	set(parameterDeadline, d.Deadline.String(), d.Deadline > 0)
	return values
}

// ParseDescription returns the description in the parameters of a query.
func ParseDescription(values url.Values) (d Description, err error) {
	for name, given := range values {
		if len(given) != 1 {
			return d, fmt.Errorf("parameter %s is repeated", name)
		}
		if err := d.set(name, given[0]); err != nil {
			return d, fmt.Errorf("parameter %s: %w", name, err)
		}
	}
	return d, d.Validate()
}

var errParameter = errors.New("unknown; allowed are host, path, route, adapter, unseen, customer, promptTokens, outputTokens and deadline")

func (d *Description) set(name, value string) (err error) {
	switch name {
	case parameterHost:
		d.Host = value
	case parameterPath:
		d.Path = value
	case parameterRoute:
		d.Route = value
	case parameterAdapter:
		d.Adapter = value
	case parameterUnseen:
		d.Unseen, err = strconv.ParseBool(value)
	case parameterCustomer:
		d.Customer = value
	case parameterPrompt:
		d.TokensNamed = true
		d.PromptTokens, err = strconv.Atoi(value)
	case parameterOutput:
		d.TokensNamed = true
		d.OutputTokens, err = strconv.Atoi(value)
	case parameterDeadline:
		d.Deadline, err = time.ParseDuration(value)
	default:
		err = errParameter
	}
	return err
}

// Validate returns an error unless the description has either a route or a host and path, and no negative numbers.
func (d Description) Validate() error {
	switch {
	case d.Route == "" && (d.Host == "" || d.Path == ""):
		return errors.New("either a route or a host and a path are required")
	case d.Route != "" && (d.Host != "" || d.Path != ""):
		return errors.New("a route can't be combined with a host or a path")
	case d.PromptTokens < 0 || d.OutputTokens < 0 || d.Deadline < 0:
		return errors.New("numbers of tokens and the deadline must not be negative")
	}
	return nil
}

// UnknownNameError is a name in a description that the configuration or the node's view doesn't have.
type UnknownNameError struct {
	Kind    string
	Name    string
	Similar []string
}

// Error implements error.
func (e *UnknownNameError) Error() string {
	text := fmt.Sprintf("no %s is called %q", e.Kind, e.Name)
	if len(e.Similar) > 0 {
		text += "; similar: " + strings.Join(e.Similar, ", ")
	}
	return text
}

// Where explains where a request would be routed.
type Where struct {
	ConfigurationVersion int64  `json:"configurationVersion"`
	Zone                 string `json:"zone"`
	// Nodes is the number of live nodes of the site.
	Nodes    int    `json:"nodes"`
	Route    string `json:"route,omitempty"`
	Customer string `json:"customer,omitempty"`
	Rank     int    `json:"rank"`
	// DeadlineMs is the time that the request would have, by its own deadline and the route's; 0 for no bound.
	DeadlineMs int64 `json:"deadlineMs"`
	// WaitMs is how long the request would wait at most for a load, for room at a server, or for a slot.
	WaitMs int64       `json:"waitMs"`
	Keys   *WhereKeys  `json:"keys,omitempty"`
	Quota  *WhereQuota `json:"quota,omitempty"`
	// Destinations holds the services of the route that the request could go to.
	Destinations []WhereDestination `json:"destinations,omitempty"`
	// Refusal is the answer of a request that is refused before a server is chosen, because of its route, key or quota; nil
	// if it gets to one of the destinations.
	Refusal *WhereRefusal `json:"refusal,omitempty"`
}

// WhereKeys tells how recent the configuration is by which API keys are checked.
type WhereKeys struct {
	// Accepted is true when a key that the configuration has is accepted.
	Accepted bool `json:"accepted"`
	// ProofAgeMs is the age of the proof; -1 without one, and absent if keys are accepted without a proof.
	ProofAgeMs *int64 `json:"proofAgeMs,omitempty"`
}

// WhereQuota is the state of a customer's quota.
type WhereQuota struct {
	Unit      string  `json:"unit"`
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	Cost      float64 `json:"cost"`
	QuotaState
}

// QuotaState is what a node knows about the quota of a customer.
type QuotaState struct {
	// Decision is "admit", "refuse", or "ask" if the coordinator would be asked.
	Decision string `json:"decision"`
	// RetryAfterMs is when there will be room, for a request that would be refused.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Coordinator is the peer address of the coordinator, empty without one.
	Coordinator string `json:"coordinator,omitempty"`
	// SilentForMs is how much longer the coordinator isn't asked, because it didn't answer.
	SilentForMs int64 `json:"silentForMs,omitempty"`
	// AnsweredMsAgo is the age of the coordinator's latest answer; -1 without one.
	AnsweredMsAgo int64 `json:"answeredMsAgo"`
	// Credit is what the node may use without asking, Share the rate a second at which it continues without coordinator.
	Credit float64 `json:"credit"`
	Share  float64 `json:"share"`
	// Waiting is the number of this node's requests that wait for credit.
	Waiting int `json:"waiting"`
	// Coordinated is the state of the coordinator, if it is this node.
	Coordinated *QuotaCoordinatorState `json:"coordinated,omitempty"`
}

// QuotaCoordinatorState is the state of the coordinator of a customer's quota.
type QuotaCoordinatorState struct {
	Available   float64 `json:"available"`
	Outstanding float64 `json:"outstanding"`
	Nodes       int     `json:"nodes"`
	Waiting     int     `json:"waiting"`
	Inherits    bool    `json:"inherits"`
}

// Decisions of a QuotaState.
const (
	QuotaAdmits  = "admit"
	QuotaRefuses = "refuse"
	QuotaAsks    = "ask"
)

// QuotaViewer is implemented by Quotas that show their state.
type QuotaViewer interface {
	// View returns the state of a customer's quota and what would be decided about a request. It changes no state.
	View(customer *serving.Customer, cost float64, priority int) QuotaState
}

// WhereSlots is the state of the dispatcher of a plain service's slots.
type WhereSlots struct {
	// Active is false if each node chooses by itself, as there are fewer nodes than slots.
	Active bool `json:"active"`
	// Dispatcher is the peer address of the dispatcher; empty if none can be asked now.
	Dispatcher string `json:"dispatcher,omitempty"`
	// Here is true when this node is the dispatcher. The other fields are then its state.
	Here    bool              `json:"here"`
	InUse   int               `json:"inUse,omitempty"`
	Slots   int               `json:"slots,omitempty"`
	Waiting int               `json:"waiting,omitempty"`
	Servers map[string]string `json:"servers,omitempty"`
}

// SlotViewer is implemented by Slots that show their state.
type SlotViewer interface {
	// View returns the state of a service's dispatcher. It changes no state.
	View(service string, candidates []serverview.Candidate) WhereSlots
}

// Outcomes of a destination.
const (
	OutcomeSend     = "sent"
	OutcomeRoom     = "sent after a wait for the server's limit"
	OutcomeDispatch = "sent to the server that the dispatcher assigns"
	OutcomeLoad     = "waits until a server has loaded the adapter"
	OutcomeHandOver = "handed over to another node"
	OutcomeRefuse   = "refused"
)

// WhereDestination explains the choice of a server of one service.
type WhereDestination struct {
	Service string `json:"service"`
	// Probability is that of the service, by the weights of the route.
	Probability float64       `json:"probability"`
	Adapter     *WhereAdapter `json:"adapter,omitempty"`
	// Random is true when the server is drawn, as many nodes choose.
	Random  bool   `json:"random"`
	Outcome string `json:"outcome"`
	// Reason is why no server can get the request at once.
	Reason string `json:"reason,omitempty"`
	// Server is the chosen one; empty where several have a probability.
	Server     string           `json:"server,omitempty"`
	Load       *WhereLoad       `json:"load,omitempty"`
	HandOver   *WhereHandOver   `json:"handOver,omitempty"`
	Slots      *WhereSlots      `json:"slots,omitempty"`
	Refusal    *WhereRefusal    `json:"refusal,omitempty"`
	Candidates []WhereCandidate `json:"candidates"`
}

// WhereAdapter is the adapter of the request.
type WhereAdapter struct {
	Name string `json:"name"`
	// Declared is the newest declared version, 0 without one, and DeclaredMsAgo when the declaration arrived.
	Declared      int   `json:"declared"`
	DeclaredMsAgo int64 `json:"declaredMsAgo,omitempty"`
	// MinVersion is the oldest version that may serve the request.
	MinVersion int `json:"minVersion"`
}

// WhereLoad is the server that would load the adapter.
type WhereLoad struct {
	Server string `json:"server"`
	// WaitMs is the estimated wait until the request can be sent there.
	WaitMs int64 `json:"waitMs"`
}

// WhereHandOver tells which servers the other node has to reach.
type WhereHandOver struct {
	Servers []string `json:"servers"`
	// Peer is one of the nodes that would be asked, drawn as for a request.
	Peer string `json:"peer"`
}

// WhereRefusal is an answer by which a request is refused.
type WhereRefusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// The time in Retry-After is random between these bounds; 0 without the header.
	RetryAfterMinMs int64 `json:"retryAfterMinMs"`
	RetryAfterMaxMs int64 `json:"retryAfterMaxMs"`
}

// WhereCandidate is a server with the inputs of the choice and what it makes of them.
type WhereCandidate struct {
	Server          string `json:"server"`
	Zone            string `json:"zone"`
	SoftwareVersion string `json:"softwareVersion"`
	// Excluded is why the request can't be sent there; empty if it can.
	Excluded    string           `json:"excluded,omitempty"`
	Probability float64          `json:"probability"`
	Total       float64          `json:"total"`
	Score       modelpick.Score  `json:"score"`
	LoadOption  *WhereLoadOption `json:"loadOption,omitempty"`

	// AgeMs is the age of the holder's publication, LoadAgeMs that of the reported load; -1 without a publication.
	AgeMs     int64   `json:"ageMs"`
	LoadAgeMs int64   `json:"loadAgeMs"`
	Load      int     `json:"load"`
	Slots     int     `json:"slots"`
	Reported  int     `json:"reported"`
	Asked     int     `json:"asked"`
	SentSince int     `json:"sentSince"`
	Arrivals  float64 `json:"arrivalsPerSecond"`
	TakesRuns float64 `json:"takesRuns"`
	EventMs   float64 `json:"eventMs"`
	// PauseMs is the longest pause to be expected of the streams there; 0 where the route bounds none.
	PauseMs      int64   `json:"expectedPauseMs"`
	InFlight     int     `json:"inFlight"`
	FailureRate  float64 `json:"failureRate"`
	BacklogMs    int64   `json:"backlogMs"`
	Connected    bool    `json:"connected"`
	HolderAlive  bool    `json:"holderAlive"`
	Draining     bool    `json:"draining"`
	Ejected      bool    `json:"ejected"`
	Unreachable  bool    `json:"unreachable"`
	Limited      bool    `json:"limited"`
	RoomInMs     int64   `json:"roomInMs"`
	Holds        bool    `json:"holds"`
	Version      int     `json:"version"`
	Evicted      bool    `json:"evictedRecently"`
	AdapterSlots int     `json:"freeAdapterSlots"`
	SlotWaitMs   int64   `json:"adapterSlotWaitMs"`
}

// WhereLoadOption tells whether a server could load the adapter.
type WhereLoadOption struct {
	Excluded string `json:"excluded,omitempty"`
	WaitMs   int64  `json:"waitMs"`
}

// Where explains where a request would be routed now, by the code that routes requests. It sends nothing and changes no
// state.
func (f *Forwarder) Where(description Description) (Where, error) {
	status := f.keyStatus()
	current := f.current.Load()
	if current == nil {
		j := f.describedJob(nil)
		return Where{Refusal: j.explainRefusal(http.StatusServiceUnavailable, ReasonNoConfig, configRetryAfter)}, nil
	}
	j := f.describedJob(current)
	where := Where{ConfigurationVersion: current.config.Version, Zone: f.options.Zone, Nodes: f.options.Nodes()}
	if err := j.describe(current, description); err != nil {
		return where, err
	}
	if j.route == nil {
		where.Refusal = j.explainRefusal(http.StatusNotFound, ReasonNoRoute, 0)
		return where, nil
	}
	where.Route = j.route.Name
	// What follows is shown also for a request that is refused before a server is chosen.
	where.Refusal = j.explainKey(current, status, &where)
	where.Rank = j.rank()
	j.setDeadline()
	where.DeadlineMs, where.WaitMs = j.timeout().Milliseconds(), j.loadWait().Milliseconds()
	if refusal := j.explainQuota(&where); where.Refusal == nil {
		where.Refusal = refusal
	}
	for i, probability := range routetable.Probabilities(j.route) {
		if probability == 0 {
			continue
		}
		name := j.route.Services[i].Service
		destination := WhereDestination{Service: name, Candidates: []WhereCandidate{}}
		if service, known := current.config.Services[name]; known {
			j.service = service
			destination = j.explainDestination()
		} else {
			destination.refuse(j, &unserved{reason: ReasonNoService, retryAfter: busyRetryAfter})
		}
		destination.Probability = probability
		where.Destinations = append(where.Destinations, destination)
	}
	if len(where.Destinations) == 0 && where.Refusal == nil {
		where.Refusal = j.explainRefusal(http.StatusServiceUnavailable, ReasonNoService, busyRetryAfter)
	}
	return where, nil
}

// describedJob returns a request that is only explained.
func (f *Forwarder) describedJob(current *activeConfig) *job {
	j := &job{f: f, ctx: context.Background(), arrived: time.Now(), tried: map[string]bool{}}
	if current != nil {
		j.authenticated = current.customers.Required()
	}
	return j
}

// describe sets the request's properties and its route, which stays nil if none matches host and path.
func (j *job) describe(current *activeConfig, d Description) error {
	config := current.config
	if d.Route != "" {
		i := slices.IndexFunc(config.Routes, func(r serving.Route) bool { return r.Name == d.Route })
		if i < 0 {
			var names []string
			for _, route := range config.Routes {
				names = append(names, route.Name)
			}
			return &UnknownNameError{"route", d.Route, similarNames(d.Route, names)}
		}
		j.route = &config.Routes[i]
	} else if route, found := current.table.Match(d.Host, d.Path); found {
		j.route = route
	} else if !slices.ContainsFunc(config.Routes, func(r serving.Route) bool {
		_, found := current.table.Match(d.Host, r.PathPrefix)
		return found
	}) {
		var hosts []string
		for _, route := range config.Routes {
			hosts = append(hosts, route.Host)
		}
		slices.Sort(hosts)
		return &UnknownNameError{"host of a route", d.Host, similarNames(d.Host, slices.Compact(hosts))}
	}
	if d.Customer != "" {
		if j.customer = current.customers.ByName(d.Customer); j.customer == nil {
			var names []string
			for _, customer := range config.Customers {
				names = append(names, customer.Name)
			}
			return &UnknownNameError{"customer", d.Customer, similarNames(d.Customer, names)}
		}
	}
	j.request = serving.CallerRequest{
		Adapter: serving.ParseAdapter(d.Adapter), PromptTokens: d.PromptTokens, OutputTokens: d.OutputTokens,
		TokensNamed: d.TokensNamed, Timeout: d.Deadline,
	}
	if d.Adapter == "" || j.route == nil {
		return nil
	}
	return j.checkAdapter(config, d.Unseen)
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
