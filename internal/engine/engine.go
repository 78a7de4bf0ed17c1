// Package engine defines the interface through which schedulers control model engines. Each subpackage implements it
// for one published protocol; no other package depends on that protocol.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// FencingNumber is the fencing token of an order. It increases with each change of owner; engines that check it refuse
// an order whose number is below the highest one seen.
type FencingNumber uint64

// LoadNumber identifies one load of one adapter version on one engine.
type LoadNumber uint64

// LoadName is the name under which an engine holds a loaded adapter: adapter@version#number.
// A request that carries it can't run on another version or on a later load.
type LoadName string

// NewLoadName returns the load name for an adapter, a version and a load number.
func NewLoadName(adapter, version string, number LoadNumber) LoadName {
	return LoadName(fmt.Sprintf("%s@%s#%d", adapter, version, number))
}

// Order holds the fields that every order to an engine carries.
type Order struct {
	Fence FencingNumber
}

// LoadedAdapter describes one occupied slot in a report.
type LoadedAdapter struct {
	Name LoadName
	// Loading is true until the weights are loaded.
	Loading bool
	// Running and Waiting count requests.
	Running int
	Waiting int
}

// Report is the state of an engine at AsOf, which may be well before the report is read.
type Report struct {
	// Incarnation changes at each restart of the engine.
	Incarnation string
	// AsOf and Now are times on the engine's own clock since its start: the time that the report describes
	// and the time at which it was sent.
	AsOf time.Duration
	Now  time.Duration
	// Draining is true when the engine has announced its shutdown.
	Draining bool
	Slots    int
	Adapters []LoadedAdapter
}

// Errors that engines answer with. Implementations of Control wrap them.
var (
	// ErrFenced means that the order carried a stale fencing number and had no effect.
	ErrFenced = errors.New("order refused: stale fencing number")
	// ErrNoSlot means that every slot is in use; the load had no effect.
	ErrNoSlot = errors.New("no free adapter slot")
	// ErrNotLoaded means that the engine doesn't hold the adapter; the request or order was not run.
	ErrNotLoaded = errors.New("adapter is not loaded")
	// ErrLoadFailed means that the weights could not be loaded.
	ErrLoadFailed = errors.New("adapter load failed")
)

// Control sends orders to one engine and reads its reports. After any error other than those above, it is unknown
// whether the order took effect.
type Control interface {
	// Load loads an adapter under name from path and returns once it can serve requests.
	Load(ctx context.Context, order Order, name LoadName, path string) error
	// Unload frees the slot of name.
	Unload(ctx context.Context, order Order, name LoadName) error
	// RaiseFence raises the engine's highest seen fencing number to that of the order and changes nothing else.
	RaiseFence(ctx context.Context, order Order) error
	// Report reads the latest report.
	Report(ctx context.Context) (Report, error)
}
