// Package routing chooses the backend server for a request by filtering, scoring and picking among the candidates of an
// immutable snapshot. It performs no I/O and reads no clock; the time and the random source are arguments.
package routing

import "time"

// Target identifies what a request is addressed to: an adapter version or a plain service.
type Target struct {
	// Service is set for plain services only.
	Service string
	Adapter string
	Version string
}

// String returns the target's name in logs: adapter@version or the service's name.
func (t Target) String() string {
	if t.Service != "" {
		return "service/" + t.Service
	}
	return t.Adapter + "@" + t.Version
}

// State is the state of a load on a server.
type State uint8

// States of a load.
const (
	Loading State = iota
	Resident
	Closing
)

// Candidate is a server that has the target loaded or is loading it, as seen at the time of the decision.
type Candidate struct {
	Server  string
	Address string
	Zone    string
	// BaseModel is empty for endpoints of plain services.
	BaseModel string
	// Load and LoadName identify the load on the server. They are zero for endpoints of plain services.
	Load     uint64
	LoadName string
	State    State
	// Superseded is true when the permit's fencing number is below the highest seen for the server.
	Superseded bool
	// Expires is when the permit expires. Endpoints of plain services need no permit and have the zero time.
	Expires time.Time
	Leaving bool
	// Tried is true when an earlier attempt of the same request failed on this server.
	Tried bool
	// Concurrent is the number of requests that this gateway may have in flight on the server, and InFlight the number
	// that it currently has.
	Concurrent int
	InFlight   int
	// SameLoad is the number of those InFlight requests that use the same load.
	SameLoad int
	// Running is the last reported number of requests on the server from all gateways.
	Running int
}

// Snapshot is the input of one decision. Filters and scores must not modify it.
type Snapshot struct {
	Now        time.Time
	Candidates []Candidate
}

// Request holds the properties of a request that a decision depends on.
type Request struct {
	Target    Target
	BaseModel string
	// Zone is the gateway's own zone.
	Zone string
}

// Rejection identifies the filter that rejected a candidate.
type Rejection uint8

// Rejections, in the order of Filters.
const (
	Accepted Rejection = iota
	WrongBaseModel
	NotResident
	NoPermit
	ServerLeaving
	AlreadyTried
	NoConcurrency
)

// String returns the rejection's name in decision logs, or an empty string for Accepted.
func (r Rejection) String() string {
	switch r {
	case WrongBaseModel:
		return "wrong base model"
	case NotResident:
		return "not resident"
	case NoPermit:
		return "no valid permit"
	case ServerLeaving:
		return "server is leaving"
	case AlreadyTried:
		return "an earlier attempt failed there"
	case NoConcurrency:
		return "no concurrency left"
	default:
		return ""
	}
}
