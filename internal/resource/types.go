// Package resource defines the resources that operators declare and the state machine by which every process computes
// them from the configuration stream.
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

// Meta holds the fields that are common to all resources.
type Meta struct {
	Name string `json:"name"`
	// ResourceVersion is the offset of the record that last changed the resource; 0 if it does not exist yet.
	ResourceVersion platform.Offset `json:"resourceVersion"`
}

// Adapter declares a LoRA adapter and its versions.
type Adapter struct {
	Meta
	Spec AdapterSpec `json:"spec"`
}

// AdapterSpec is the specification of an adapter.
type AdapterSpec struct {
	BaseModel string           `json:"baseModel"`
	Versions  []AdapterVersion `json:"versions"`
	// DefaultVersion is the version for requests that don't specify one.
	DefaultVersion string `json:"defaultVersion"`
	// PriorityClass is the class of requests that don't specify one.
	PriorityClass string `json:"priorityClass,omitempty"`
}

// AdapterVersion is one immutable version of an adapter.
type AdapterVersion struct {
	Name string `json:"name"`
	// Path is the location of the weights in the weight store.
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

// Placement declares where an adapter is kept resident.
type Placement struct {
	Meta
	Spec PlacementSpec `json:"spec"`
}

// PlacementSpec is the specification of a placement.
type PlacementSpec struct {
	Adapter string `json:"adapter"`
	// Zones restricts the placement to backend servers in these zones; empty means all zones.
	Zones []string `json:"zones,omitempty"`
	// MinimumCopies is the number of copies that are kept resident even without demand.
	MinimumCopies int `json:"minimumCopies"`
}

// PriorityClass declares a class of requests.
type PriorityClass struct {
	Meta
	Spec PriorityClassSpec `json:"spec"`
}

// PriorityClassSpec is the specification of a priority class.
type PriorityClassSpec struct {
	// Rank orders the classes; 0 is the most urgent.
	Rank int `json:"rank"`
	// QueueLimit bounds the waiting requests of the class in one gateway.
	QueueLimit int `json:"queueLimit"`
	// MaximumWaitMs bounds the time in the queue.
	MaximumWaitMs int `json:"maximumWaitMs"`
	// BatchWindowMs is how long requests are held so that requests for the same adapter version run together; 0
	// disables it.
	BatchWindowMs int `json:"batchWindowMs,omitempty"`
	// GatherSize is the number of waiting requests for an adapter version in one gateway that ends the hold early; 0
	// means that only the window ends it.
	GatherSize int `json:"gatherSize,omitempty"`
}

// BackendServer declares a model engine.
type BackendServer struct {
	Meta
	Spec BackendServerSpec `json:"spec"`
}

// BackendServerSpec is the specification of a backend server.
type BackendServerSpec struct {
	Zone string `json:"zone"`
	// Address is ip:port of the engine's HTTP service.
	Address   string `json:"address"`
	BaseModel string `json:"baseModel"`
	// Slots is the number of adapters that the engine can hold at a time.
	Slots int `json:"slots"`
	// Concurrency is the maximum number of requests that are sent to the engine at a time.
	Concurrency int `json:"concurrency"`
	// ChecksFence is true when the engine rejects commands with an outdated fencing token.
	ChecksFence bool `json:"checksFence"`
	// Drain is true when the server must not get new work.
	Drain bool `json:"drain"`
}

// Service declares a service without adapters, whose requests are distributed to its endpoints.
type Service struct {
	Meta
	Spec ServiceSpec `json:"spec"`
}

// ServiceSpec is the specification of a service.
type ServiceSpec struct {
	Endpoints []ServiceEndpoint `json:"endpoints"`
	// PriorityClass is the class of requests that don't specify one.
	PriorityClass string `json:"priorityClass,omitempty"`
	// NonIdempotent lists the calls that must run at most once.
	NonIdempotent []ServiceCall `json:"nonIdempotent,omitempty"`
}

// ServiceEndpoint is one server of a service.
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

// View is an immutable snapshot of all resources at one offset. Readers share it and must not modify it.
type View struct {
	// Applied is the offset of the last configuration record in the view.
	Applied         platform.Offset
	Adapters        map[string]*Adapter
	Placements      map[string]*Placement
	PriorityClasses map[string]*PriorityClass
	BackendServers  map[string]*BackendServer
	Services        map[string]*Service
}

// Source provides the current view.
type Source interface {
	// View returns the current view, or nil before the configuration is known.
	View() *View
	// Changed returns a channel that is closed at the next change of the view.
	Changed() <-chan struct{}
}
