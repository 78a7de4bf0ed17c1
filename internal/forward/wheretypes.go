package forward

import (
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
