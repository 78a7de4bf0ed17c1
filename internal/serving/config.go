// Package serving defines the types shared by the parts of a serving node: the configuration that operators declare,
// the state that backend servers publish, and callers' requests. It contains no I/O and makes no decisions.
package serving

import "time"

// RouteKind determines how often a request of a route may run.
type RouteKind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Stream requests are answered by a stream of events. They are treated as non-idempotent unless they are resumable.
	Stream
)

// String returns the kind's name in logs.
func (k RouteKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "stream"
	}
}

// WeightedService is one destination of a route. Weights are relative to those of the route's other destinations.
type WeightedService struct {
	Service string
	Weight  int
}

// Route sends the requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       RouteKind
	// Timeout bounds the time until the answer is complete. Zero means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective for the answer, or for the first event of a stream.
	TargetLatency time.Duration
	// MaxPause is the latency objective for the pause between two events of a stream; zero means none.
	MaxPause time.Duration
	// MaxAttempts bounds the servers to which one request may be sent; at least 1.
	MaxAttempts int
	// Priority is the rank of the route, 0 the most urgent.
	Priority int
	// Resumable allows a broken stream to be resumed at another server after the last event.
	Resumable bool
	// Anonymous admits requests without an API key although the configuration has customers.
	Anonymous bool
	Services  []WeightedService
}

// Repeatable reports whether a request may be sent to another server although it may have run at the first.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// BaseModel is a base model that the servers of a service can load.
type BaseModel struct {
	Name      string
	WeightsMB float64
	// LoadTime is the time of one load at full speed of the weight store.
	LoadTime time.Duration
	// Adapters is the number of adapters of the model.
	Adapters int
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// Engine describes the model servers of a service.
type Engine struct {
	Models []BaseModel
	// WeightsMB is the memory of one server for weights and adapters.
	WeightsMB float64
	// AdapterSlots bounds the adapters of one server, including those being loaded.
	AdapterSlots int
	// LoadsPerSecond bounds the rate at which all servers together load base models from the weight store.
	LoadsPerSecond float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server, of all its clients together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bounds callers' requests.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of the configuration that operators declare. It is immutable.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Customers holds the customers whose API keys are admitted. Without any, requests need no key.
	Customers []Customer
	// CustomersDeclared is true when the operators declare customers, even if none of them can be used.
	CustomersDeclared bool
	// CustomerProblems holds the fields of customers that were ignored, at the node that decoded the configuration.
	CustomerProblems []CustomerProblem `json:"-"`
}

// HasCustomers reports whether requests need an API key, except on anonymous routes.
func (c *Configuration) HasCustomers() bool { return c.CustomersDeclared || len(c.Customers) > 0 }

// ShortestPause returns the smallest MaxPause among the routes to a service, or fallback if none of them sets one.
func (c *Configuration) ShortestPause(service string, fallback time.Duration) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.MaxPause > 0 && route.LeadsTo(service) && (shortest == 0 || route.MaxPause < shortest) {
			shortest = route.MaxPause
		}
	}
	if shortest == 0 {
		return fallback
	}
	return shortest
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	for _, destination := range r.Services {
		if destination.Service == service && destination.Weight > 0 {
			return true
		}
	}
	return false
}
