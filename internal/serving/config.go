// Package serving holds the types that the parts of a serving node share: what operators declare, what backend servers
// say of themselves, and what a caller's request asks for. It contains no I/O and decides nothing.
package serving

import "time"

// RouteKind says how often a request of a route may run.
type RouteKind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent RouteKind = iota
	// NonIdempotent requests run at most once for each attempt of the caller.
	NonIdempotent
	// Stream requests are answered by a series of events. They count as non-idempotent unless they are resumable.
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

// WeightedService is one destination of a route. Weights are relative to each other.
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
	// Timeout is the longest time that a caller is kept waiting for the whole answer. Zero means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective: until the answer, or until the first event of a stream.
	TargetLatency time.Duration
	// MaxPause is the longest pause between two events for which a stream is on time; zero means no bound.
	MaxPause time.Duration
	// MaxAttempts bounds the servers to which one request may be sent; at least 1.
	MaxAttempts int
	// Priority is the rank of the route, 0 the most urgent.
	Priority  int
	Resumable bool
	Services  []WeightedService
}

// Repeatable reports whether a request may be sent to a second server after it may have run at the first.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent }

// BaseModel is a model whose weights servers of a service load.
type BaseModel struct {
	Name      string
	WeightsMB float64
	// LoadTime is the time of one load at full speed of the weight store.
	LoadTime time.Duration
	Adapters int
	// AdapterMB is the size of one adapter.
	AdapterMB float64
}

// Engine describes the model servers of a service.
type Engine struct {
	Models []BaseModel
	// WeightsMB is the memory for weights and adapters of one server.
	WeightsMB float64
	// AdapterSlots bounds the adapters of one server, those being loaded included.
	AdapterSlots int
	// LoadsPerSecond bounds the loads of base models from the weight store over all servers.
	LoadsPerSecond float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers together to one server.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	BodyBytes int64
}

// Configuration is one version of what operators declare. It is immutable.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// ShortestPause returns the strictest bound on the pauses of streams among the routes to a service, or the given one
// when no route has any.
func (c *Configuration) ShortestPause(service string, otherwise time.Duration) time.Duration {
	shortest := time.Duration(0)
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.MaxPause > 0 && route.goesTo(service) && (shortest == 0 || route.MaxPause < shortest) {
			shortest = route.MaxPause
		}
	}
	if shortest == 0 {
		return otherwise
	}
	return shortest
}

func (r *Route) goesTo(service string) bool {
	for _, destination := range r.Services {
		if destination.Service == service {
			return true
		}
	}
	return false
}
