// Package resource holds the operators' resources and the state machine that every process computes from the
// configuration stream.
package resource

import (
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// Kind names a type of resource.
type Kind string

// Kinds of resources.
const (
	KindAdapter       Kind = "adapters"
	KindPlacement     Kind = "placements"
	KindPriorityClass Kind = "priorityclasses"
	KindBackendServer Kind = "backendservers"
	KindService       Kind = "services"
)

// Meta is common to all resources.
type Meta struct {
	Name string `json:"name"`
	// ResourceVersion is the offset of the record that last changed the resource; 0 before it exists.
	ResourceVersion platform.Offset `json:"resourceVersion"`
}

// Adapter declares a LoRA adapter and its versions.
type Adapter struct {
	Meta
	Spec AdapterSpec `json:"spec"`
}

// AdapterSpec is what operators declare of an adapter.
type AdapterSpec struct {
	BaseModel string           `json:"baseModel"`
	Versions  []AdapterVersion `json:"versions"`
	// DefaultVersion serves requests that name no version.
	DefaultVersion string `json:"defaultVersion"`
	// PriorityClass is the class of requests that name none.
	PriorityClass string `json:"priorityClass,omitempty"`
}

// AdapterVersion is one immutable version of an adapter.
type AdapterVersion struct {
	Name string `json:"name"`
	// Path is where the weight store keeps the weights.
	Path string `json:"path"`
}

// Version returns the version with the given name. An empty name means the default version.
func (a *Adapter) Version(name string) (AdapterVersion, bool) {
	if name == "" {
		name = a.Spec.DefaultVersion
	}
	for _, version := range a.Spec.Versions {
		if version.Name == name {
			return version, true
		}
	}
	return AdapterVersion{}, false
}

// Placement declares where adapters are to be held.
type Placement struct {
	Meta
	Spec PlacementSpec `json:"spec"`
}

// PlacementSpec is what operators declare of a placement.
type PlacementSpec struct {
	Adapter string `json:"adapter"`
	// Zones limits the backend servers; empty means all zones.
	Zones []string `json:"zones,omitempty"`
	// MinimumCopies are kept resident without demand.
	MinimumCopies int `json:"minimumCopies"`
}

// PriorityClass declares a class of requests.
type PriorityClass struct {
	Meta
	Spec PriorityClassSpec `json:"spec"`
}

// PriorityClassSpec is what operators declare of a priority class.
type PriorityClassSpec struct {
	// Rank orders the classes; 0 is the most urgent.
	Rank int `json:"rank"`
	// QueueLimit bounds the waiting requests of the class in one gateway.
	QueueLimit int `json:"queueLimit"`
	// MaximumWaitMs bounds the time in the queue.
	MaximumWaitMs int `json:"maximumWaitMs"`
	// BatchWindowMs is how long requests are held so that requests for the same adapter version run together; 0 is none.
	BatchWindowMs int `json:"batchWindowMs,omitempty"`
	// GatherSize is how many waiting requests for an adapter version in one gateway end the hold early; 0 is none.
	GatherSize int `json:"gatherSize,omitempty"`
}

// BackendServer declares a model engine.
type BackendServer struct {
	Meta
	Spec BackendServerSpec `json:"spec"`
}

// BackendServerSpec is what operators declare of a backend server.
type BackendServerSpec struct {
	Zone string `json:"zone"`
	// Address is ip:port of the engine's HTTP service.
	Address   string `json:"address"`
	BaseModel string `json:"baseModel"`
	// Slots is how many adapters the engine holds at a time.
	Slots int `json:"slots"`
	// Concurrency is how many requests the engine is to have at a time.
	Concurrency int `json:"concurrency"`
	// ChecksFence is true when the engine refuses orders with an old fencing number.
	ChecksFence bool `json:"checksFence"`
	// Drain is true when the server is to get no new work.
	Drain bool `json:"drain"`
}

// Service declares a plain service.
type Service struct {
	Meta
	Spec ServiceSpec `json:"spec"`
}

// ServiceSpec is what operators declare of a plain service.
type ServiceSpec struct {
	Endpoints []ServiceEndpoint `json:"endpoints"`
	// PriorityClass is the class of requests that name none.
	PriorityClass string `json:"priorityClass,omitempty"`
	// NonIdempotent lists the calls that may run at most once.
	NonIdempotent []ServiceCall `json:"nonIdempotent,omitempty"`
}

// ServiceEndpoint is one server of a plain service.
type ServiceEndpoint struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Drain   bool   `json:"drain"`
}

// ServiceCall matches calls by method and path prefix.
type ServiceCall struct {
	Method     string `json:"method"`
	PathPrefix string `json:"pathPrefix"`
}

// View is an immutable state of all resources at one offset. Readers share it and must not change it.
type View struct {
	// Applied is the offset of the last configuration record in the view.
	Applied         platform.Offset
	Adapters        map[string]*Adapter
	Placements      map[string]*Placement
	PriorityClasses map[string]*PriorityClass
	BackendServers  map[string]*BackendServer
	Services        map[string]*Service
}

// Source gives the current view.
type Source interface {
	// View returns the current view, or nil before the configuration is known.
	View() *View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}
