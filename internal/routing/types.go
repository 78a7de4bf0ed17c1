// Package routing chooses the backend server for one request by filter, score and pick steps over an immutable
// snapshot. It contains no I/O and no clock; the time and the random source are arguments.
package routing

import "time"

// Target is what a request is for: an adapter version, or a plain service.
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

// State is the state of one load on a server.
type State uint8

// States of a load.
const (
	Loading State = iota
	Resident
	Closing
)

// Candidate is one server that holds or is to hold the target, as seen at the moment of the decision.
type Candidate struct {
	Server  string
	Address string
	Zone    string
	// BaseModel is empty for endpoints of plain services.
	BaseModel string
	// Load and LoadName identify the load on the server; zero for endpoints of plain services.
	Load     uint64
	LoadName string
	State    State
	// Superseded is true when the permit's fencing number is below the highest seen for the server.
	Superseded bool
	// Expires is when the permit ends; endpoints of plain services need none and have a zero time.
	Expires time.Time
	Leaving bool
	// Tried is true when an earlier attempt of the same request failed there.
	Tried bool
	// Concurrent is how many requests this gateway may have in flight on the server, InFlight how many it has.
	Concurrent int
	InFlight   int
	// SameLoad is how many of InFlight use the same load.
	SameLoad int
	// Running is how many requests the server has from all gateways, as far as known.
	Running int
}

// Snapshot is what one decision sees. Steps must not change it.
type Snapshot struct {
	Now        time.Time
	Candidates []Candidate
}

// Request is what a decision needs to know of a request.
type Request struct {
	Target    Target
	BaseModel string
	// Zone is the gateway's own zone.
	Zone string
}

// Rejection is the filter that removed a candidate.
type Rejection uint8

// Rejections, in the order of the filters.
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
