// Package engine declares what the system needs of a model engine. Each adapter package beneath it speaks
// one published protocol; no other package knows the protocol.
package engine

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// FencingNumber grows with each change of owner. Engines that check it refuse an order with a lower number
// than the highest seen.
type FencingNumber uint64

// LoadNumber is unique to one load of one adapter version on one engine.
type LoadNumber uint64

// LoadName is the name under which an engine holds a loaded adapter: adapter@version#number.
// A request that carries it can't run on another version or on a later load.
type LoadName string

// NameLoad returns the load name for an adapter, a version and a load number.
func NameLoad(adapter, version string, number LoadNumber) LoadName {
	return LoadName(fmt.Sprintf("%s@%s#%d", adapter, version, number))
}

// Order is what every order to an engine carries.
type Order struct {
	Fence FencingNumber
}

// LoadedAdapter is one slot in a report.
type LoadedAdapter struct {
	Name LoadName
	// Loading is true until the weights are in place.
	Loading bool
	// Running and Waiting count requests.
	Running int
	Waiting int
}

// Report is an engine's view of itself. It lags: it describes the engine at AsOf.
type Report struct {
	// Incarnation changes at each restart of the engine.
	Incarnation string
	// AsOf and Now are readings of the engine's own clock since its start: when the report was true,
	// and when the answer was sent.
	AsOf time.Duration
	Now  time.Duration
	// Draining is true when the engine announces that it's leaving.
	Draining bool
	Slots    int
	Adapters []LoadedAdapter
}

// Errors that engines answer with. Adapters wrap them.
var (
	// ErrFenced means that the order carried an old fencing number and had no effect.
	ErrFenced = errors.New("order refused: old fencing number")
	// ErrNoSlot means that every slot is taken; the load had no effect.
	ErrNoSlot = errors.New("no free adapter slot")
	// ErrNotLoaded means that the engine doesn't hold the adapter; a request was not run.
	ErrNotLoaded = errors.New("adapter is not loaded")
	// ErrLoadFailed means that the weights could not be loaded.
	ErrLoadFailed = errors.New("adapter load failed")
)

// Control gives orders to one engine and reads its reports. Any other error than those above leaves the effect
// of an order unknown.
type Control interface {
	// Load loads an adapter under name from path and returns when it is in place.
	Load(ctx context.Context, order Order, name LoadName, path string) error
	// Unload frees the slot of name.
	Unload(ctx context.Context, order Order, name LoadName) error
	// RaiseFence makes the order's number known to the engine and changes nothing else.
	RaiseFence(ctx context.Context, order Order) error
	// Report reads the latest report.
	Report(ctx context.Context) (Report, error)
}
