// Package fleet holds the state of one owned backend server: its slots, its loads, and the permits that gateways
// hold. The core is deterministic: its inputs are syncs, engine reports, results of orders and times; its outputs are
// orders and permits.
package fleet

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// LoadState is the state of a load.
type LoadState int

// States of a load.
const (
	// Loading means that the load was ordered and isn't known to be complete.
	Loading LoadState = iota + 1
	// Resident means that requests may be dispatched to the load under permits.
	Resident
	// Closing means that no new permits are granted and the load will be evicted.
	Closing
)

// Spec is the operator's declaration of the server.
type Spec struct {
	Name        string
	Zone        string
	Address     string
	BaseModel   string
	Slots       int
	Concurrency int
	ChecksFence bool
	Drain       bool
}

// Ownership is the ownership state of a server that this scheduler owns. A server that another scheduler owns is
// removed.
type Ownership struct {
	Fence      engine.FencingNumber
	LeaseUntil time.Time
	// PredecessorsStopped is true when every former owner is proven to have stopped granting permits.
	PredecessorsStopped bool
	// BlockedLoads lists the loads that a former owner may still evict.
	BlockedLoads []engine.LoadName
	// Intent is this owner's open eviction intent as read back from the log, or empty.
	Intent engine.LoadName
}

// AdapterVersion identifies one version of an adapter.
type AdapterVersion struct {
	Adapter string
	Version string
}

// String returns adapter@version.
func (a AdapterVersion) String() string { return a.Adapter + "@" + a.Version }

// GatewayID identifies one run of a gateway process.
type GatewayID struct {
	Process     string
	Incarnation string
}

// Sync is the part of a gateway's sync that concerns one server.
type Sync struct {
	Gateway  GatewayID
	Sequence uint64
	// InFlight counts requests by load. Loads without requests are absent.
	InFlight map[engine.LoadNumber]uint32
	// Closed lists closing loads that the gateway no longer uses.
	Closed []engine.LoadNumber
	// PermitsVersion is the version of this scheduler's permits that the gateway has, 0 for none.
	PermitsVersion uint64
	// Waiting counts waiting requests by adapter version.
	Waiting map[AdapterVersion]uint32
}

// Permits state what one gateway may dispatch to one server.
type Permits struct {
	Concurrent uint32
	Running    uint32
	Leaving    bool
	Loads      []Permit
}

// Permit is the state of one load as shown to a gateway. Only Resident allows a dispatch.
type Permit struct {
	Number         engine.LoadNumber
	Name           engine.LoadName
	AdapterVersion AdapterVersion
	State          LoadState
}

// ActionKind is the kind of an Action.
type ActionKind int

// Kinds of actions.
const (
	// WriteIntent appends an eviction intent to the log.
	WriteIntent ActionKind = iota + 1
	// EndIntentDone appends a record that the eviction is complete.
	EndIntentDone
	// EndIntentWithdrawn appends a record that the eviction won't be ordered.
	EndIntentWithdrawn
	// OrderUnload orders the engine to unload. Its result is passed to UnloadEnded.
	OrderUnload
	// OrderRaiseFence orders the engine to raise its fencing number. Its result is passed to FenceRaised.
	OrderRaiseFence
)

// Action is one operation that the caller of Tick performs for the server.
type Action struct {
	Kind   ActionKind
	Number engine.LoadNumber
	Name   engine.LoadName
	Fence  engine.FencingNumber
}

// LoadView is a read-only view of a load for the placement policy.
type LoadView struct {
	Number         engine.LoadNumber
	Name           engine.LoadName
	AdapterVersion AdapterVersion
	State          LoadState
	// Since is when the load became resident, on the local clock.
	Since time.Time
	// InFlight is the number of requests on the load, summed over the gateways' last syncs.
	InFlight uint32
	// Evictable is true when Close would be accepted.
	Evictable bool
	// Granted is true when gateways get permits for the load.
	Granted bool
}

// Errors that Server returns.
var (
	// ErrNoFreeSlot means that every slot is in use or the number of free slots isn't known yet.
	ErrNoFreeSlot = errors.New("no free slot")
	// ErrLeaving means that the server is leaving.
	ErrLeaving = errors.New("server is leaving")
	// ErrPresent means that the server already has the adapter version or the load number.
	ErrPresent = errors.New("adapter version is on the server already")
	// ErrNotEvictable means that the load isn't resident, the lease isn't valid, or a former owner may still grant
	// permits for the load.
	ErrNotEvictable = errors.New("load may not be evicted")
)

// Version counts the changes of all servers of one scheduler. A gateway discards permits with a lower version than
// the one it has.
type Version struct {
	current uint64
}

// Current returns the current version.
func (v *Version) Current() uint64 { return v.current }

// Advance increments the version and returns it.
func (v *Version) Advance() uint64 {
	v.current++
	return v.current
}

// parseName splits a load name into its adapter version and load number.
func parseName(name engine.LoadName) (AdapterVersion, engine.LoadNumber, bool) {
	text := string(name)
	hash := strings.LastIndexByte(text, '#')
	if hash < 0 {
		return AdapterVersion{}, 0, false
	}
	at := strings.LastIndexByte(text[:hash], '@')
	if at <= 0 {
		return AdapterVersion{}, 0, false
	}
	number, err := strconv.ParseUint(text[hash+1:], 10, 64)
	if err != nil || number == 0 {
		return AdapterVersion{}, 0, false
	}
	return AdapterVersion{Adapter: text[:at], Version: text[at+1 : hash]}, engine.LoadNumber(number), true
}
