// Package streamorigin remembers at which service and software version streams began. Servers of several versions may
// serve side by side, their events don't fit together, and a caller may resume a stream at any node. Each node therefore
// sends what it records to a few keepers among the holders of leases, whom all nodes know. The package does no I/O and
// reads no clock.
package streamorigin

import (
	"slices"
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rendezvous"
)

// Origin is where a stream began.
type Origin struct {
	// Request is the ID of the caller's attempt that brought the first event of the stream.
	Request string
	Service string
	// SoftwareVersion is that of the service's server.
	SoftwareVersion string
	// Until is the time after which the stream isn't resumed any more.
	Until time.Time
}

const (
	// capacity bounds the origins in a registry, some 200 B each.
	capacity = 20_000
	// MaximumRequestBytes bounds the IDs that are recorded and sent to other nodes. Callers choose them.
	MaximumRequestBytes = 128
)

// Registry holds the origins that one node knows. It isn't safe for concurrent use.
type Registry struct {
	byRequest map[string]Origin
	// order holds the requests in the order of their first record.
	order []string
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{byRequest: make(map[string]Origin)} }

// Record adds an origin, unless the request's ID is empty or too long. The service and version of a stream that is known
// already don't change.
func (r *Registry) Record(now time.Time, origin Origin) (recorded bool) {
	if origin.Request == "" || len(origin.Request) > MaximumRequestBytes {
		return false
	}
	if known, found := r.byRequest[origin.Request]; found {
		if origin.Until.After(known.Until) {
			known.Until = origin.Until
			r.byRequest[origin.Request] = known
		}
		return true
	}
	r.prune(now)
	r.byRequest[origin.Request] = origin
	r.order = append(r.order, origin.Request)
	return true
}

// prune removes the oldest origins while they are expired or the registry is full.
func (r *Registry) prune(now time.Time) {
	for len(r.order) > 0 {
		oldest := r.order[0]
		if len(r.order) < capacity && now.Before(r.byRequest[oldest].Until) {
			return
		}
		delete(r.byRequest, oldest)
		r.order = r.order[1:]
	}
}

// Find returns where the stream of a request began.
func (r *Registry) Find(now time.Time, request string) (origin Origin, found bool) {
	origin, found = r.byRequest[request]
	return origin, found && now.Before(origin.Until)
}

// Live returns the origins of a service's streams that may still be resumed, the oldest first.
func (r *Registry) Live(now time.Time, service string) (origins []Origin) {
	for _, request := range r.order {
		if origin := r.byRequest[request]; origin.Service == service && now.Before(origin.Until) {
			origins = append(origins, origin)
		}
	}
	return origins
}

// Basis is how a node knows the origin of a stream. Higher values are more reliable.
type Basis uint8

// Bases of an answer.
const (
	// Unknown means that the node doesn't know the origin.
	Unknown Basis = iota
	// OnlyVersion means that no other version of the service served since before the stream can have begun.
	OnlyVersion
	// SeveralVersions means that the stream may have begun at any of several versions.
	SeveralVersions
	// Recorded means that the node has a record of the stream.
	Recorded
)

var basisNames = [...]string{"unknown", "only version", "several versions", "recorded"}

// String returns the basis in logs.
func (b Basis) String() string {
	if int(b) >= len(basisNames) {
		return "unknown basis " + strconv.Itoa(int(b))
	}
	return basisNames[b]
}

// Answer is what one node knows about the origin of a stream. Service and SoftwareVersion are empty if it's not known.
type Answer struct {
	Basis           Basis
	Service         string
	SoftwareVersion string
}

// Known reports whether the answer has the stream's origin.
func (a Answer) Known() bool { return a.Basis == OnlyVersion || a.Basis == Recorded }

// Combine returns the more reliable of two answers. A node that has seen several versions is right against one that has
// seen a single one, whose view may be behind; so are two nodes that have each seen a different one.
func (a Answer) Combine(other Answer) Answer {
	switch {
	case other.Basis > a.Basis:
		return other
	case a.Basis == OnlyVersion && other.Basis == OnlyVersion && a != other:
		return Answer{Basis: SeveralVersions}
	default:
		return a
	}
}

// Node is another node of the site.
type Node struct {
	Address string
	Zone    string
}

const (
	// keepersInZone are reached by the nodes of a zone that is cut off from the others.
	keepersInZone = 2
	// keepersOverall are reached by the nodes of all zones, also when one of them has just stopped.
	keepersOverall = 3
	// MaximumWriters bounds the nodes that write origins to the store, as the store bounds the calls of all nodes together.
	MaximumWriters = 5
	// maximumTargets bounds the nodes that are asked for one origin.
	maximumTargets = 16
)

// Keepers returns the addresses of the holders that keep the origin of a request's stream: the first by rendezvous
// hashing in the given zone, and the first of all.
func Keepers(request, zone string, holders []Node) (keepers []string) {
	inZone := 0
	for rank, node := range ranked(request, holders) {
		if node.Zone == zone {
			inZone++
		}
		if rank < keepersOverall || node.Zone == zone && inZone <= keepersInZone {
			keepers = append(keepers, node.Address)
		}
	}
	return keepers
}

// Writer returns the address of the holder that writes the origin of a request's stream to the store. At most MaximumWriters
// of the holders write. There must be at least one.
func Writer(request string, holders []Node) string {
	writers := ranked("", holders)
	return ranked(request, writers[:min(len(writers), MaximumWriters)])[0].Address
}

// Targets returns the addresses of the nodes to ask for the origin of a request's stream. They are more than the keepers,
// since holders change, and since the node at which the stream began may be any.
func Targets(request string, holders, others []Node) (targets []string) {
	for _, node := range slices.Concat(ranked(request, holders), ranked(request, others)) {
		if len(targets) < maximumTargets && !slices.Contains(targets, node.Address) {
			targets = append(targets, node.Address)
		}
	}
	return targets
}

// ranked returns the nodes in the order of their rendezvous hashes, the highest first.
func ranked(request string, nodes []Node) []Node {
	return rendezvous.Order(nodes, func(node Node) string { return request + "\x00" + node.Address })
}
