// Package fleet holds the state of one owned backend server: its slots, its loads, and the permits that gateways
// hold. The core is deterministic: syncs, reports, results of orders and times come in, orders and permits go out.
package fleet

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// State is the state of a load.
type State int

// States of a load.
const (
	// Loading means that the load was ordered and isn't in place as far as known.
	Loading State = iota + 1
	// Resident means that requests may be dispatched to the load under permits.
	Resident
	// Closing means that no permits are granted any more and the load will be evicted.
	Closing
)

// Spec is what operators declare of the server.
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

// Ownership is what the ownership core knows of the server. The server is dropped when it's owned by another.
type Ownership struct {
	Fence      engine.FencingNumber
	LeaseUntil time.Time
	// PredecessorsStopped is true when every former owner is proven to grant no more permits.
	PredecessorsStopped bool
	// Barred are loads that a former owner may still evict.
	Barred []engine.LoadName
	// Intent is the own open eviction intent that was read back, or empty.
	Intent engine.LoadName
}

// AdapterVersion names one version of an adapter.
type AdapterVersion struct {
	Adapter string
	Version string
}

// String returns adapter@version.
func (a AdapterVersion) String() string { return a.Adapter + "@" + a.Version }

// GatewayID names one run of a gateway process.
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
	// Closed are closing loads that the gateway no longer uses.
	Closed []engine.LoadNumber
	// Held is the version of this scheduler's permits that the gateway holds, 0 for none.
	Held uint64
	// Waiting counts waiting requests by adapter version.
	Waiting map[AdapterVersion]uint32
}

// Permits are what one gateway may dispatch to one server.
type Permits struct {
	Concurrent uint32
	Running    uint32
	Leaving    bool
	Loads      []Permit
}

// Permit is the state of one load as a gateway is to see it. Only Resident allows a dispatch.
type Permit struct {
	Number engine.LoadNumber
	Name   engine.LoadName
	Of     AdapterVersion
	State  State
}

// ActionKind says what is to be done.
type ActionKind int

// Kinds of actions.
const (
	// WriteIntent asks for an eviction intent on the log.
	WriteIntent ActionKind = iota + 1
	// EndIntentDone asks for a record that the eviction is over.
	EndIntentDone
	// EndIntentWithdrawn asks for a record that the eviction won't be sent.
	EndIntentWithdrawn
	// OrderUnload orders the engine to unload. Its result goes to UnloadEnded.
	OrderUnload
	// OrderRaise orders the engine to raise its fencing number. Its result goes to FenceRaised.
	OrderRaise
)

// Action is one thing to do for the server.
type Action struct {
	Kind   ActionKind
	Number engine.LoadNumber
	Name   engine.LoadName
	Fence  engine.FencingNumber
}

// LoadView is a read-only view of a load for the placement policy.
type LoadView struct {
	Number engine.LoadNumber
	Name   engine.LoadName
	Of     AdapterVersion
	State  State
	// Since is when the load became resident, on the local clock.
	Since time.Time
	// InFlight is the sum over the gateways' last syncs.
	InFlight uint32
	// Evictable is true when Close would be accepted.
	Evictable bool
	// Granted is true when gateways get permits for it.
	Granted bool
}

// Errors of the aggregate.
var (
	// ErrNoFreeSlot means that every slot is taken or the slots aren't known yet.
	ErrNoFreeSlot = errors.New("no free slot")
	// ErrLeaving means that the server is leaving.
	ErrLeaving = errors.New("server is leaving")
	// ErrPresent means that the adapter version or the load name is on the server already.
	ErrPresent = errors.New("adapter version is on the server already")
	// ErrNotEvictable means that the load isn't resident, the lease doesn't hold, or a former owner may still
	// grant permits for the load.
	ErrNotEvictable = errors.New("load may not be evicted")
)

// Version numbers the states of all servers of one scheduler. A gateway drops answers with a lower number than it
// holds.
type Version struct {
	current uint64
}

// Current returns the version.
func (v *Version) Current() uint64 { return v.current }

// Advance makes and returns the next version.
func (v *Version) Advance() uint64 {
	v.current++
	return v.current
}

// parseName splits a load name into its parts.
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
