package serving

import (
	"strconv"
	"strings"
	"time"
)

// Adapter names a base model, or an adapter of it when Name is set.
type Adapter struct {
	Model string
	Name  string
}

// String returns model or model/name.
func (a Adapter) String() string {
	if a.Name == "" {
		return a.Model
	}
	return a.Model + "/" + a.Name
}

// IsZero reports whether no model is named.
func (a Adapter) IsZero() bool { return a.Model == "" }

// AdapterVersion is one version of an adapter.
type AdapterVersion struct {
	Adapter
	Version int
}

// ParseAdapter splits model or model/name.
func ParseAdapter(text string) Adapter {
	model, name, _ := strings.Cut(text, "/")
	return Adapter{Model: model, Name: name}
}

// ParseVersioned splits name@version. A missing version is 0, which is older than any declared one.
func ParseVersioned(text string) (name string, version int, err error) {
	name, number, found := strings.Cut(text, "@")
	if !found {
		return name, 0, nil
	}
	version, err = strconv.Atoi(number)
	return name, version, err
}

// Server is what a backend server says of itself in the platform's list of servers.
type Server struct {
	ID      string
	Service string
	// Address is ip:port.
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// LeavesIn is the time left until a server that is removed at short notice is gone; zero when unknown.
	LeavesIn time.Duration
	// Born is when the server started, in Unix milliseconds. The same ID with another value is a new incarnation.
	Born int64
}

// Report is the state of a model server as it reports it on request. Its values are some 100 ms old.
type Report struct {
	// Born is zero when the report doesn't carry it.
	Born int64
	// Models are the base models whose weights are present.
	Models map[string]bool
	// Adapters are the adapters that are present, with their versions.
	Adapters map[Adapter]int
	// Loading are the adapters on their way.
	Loading map[Adapter]int
	// Busy is true while an order for a base model is carried out.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders  int64
	Waiting int
	Running int
}

// OrderKind says what a server is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// String returns the kind's name in logs.
func (k OrderKind) String() string {
	if k == Load {
		return "load"
	}
	return "unload"
}

// Order tells a server to load or unload a base model or an adapter.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// Version is the adapter's version to load; 0 means the newest.
	Version int
	// Holder and Fence identify who gives the order and under which fencing token.
	Holder string
	Fence  int64
	// AfterOrders is the number of orders that the server must have accepted before, so that a delayed order
	// can't take effect after later ones.
	AfterOrders int64
}

// OrderOutcome is what became of an order.
type OrderOutcome uint8

// Outcomes of an order.
const (
	// OrderAccepted means that the server carries it out.
	OrderAccepted OrderOutcome = iota
	// OrderDone means that it already holds.
	OrderDone
	// OrderConflict means that another order is in progress or that the count of orders differs.
	OrderConflict
	// OrderFenced means that the server has seen a higher fencing token.
	OrderFenced
	// OrderInvalid means that the server doesn't know the order.
	OrderInvalid
	// OrderMisdirected means that another server has the address.
	OrderMisdirected
	// OrderUnknown means that the order may be carried out now, later, or never.
	OrderUnknown
	// OrderUnsent means that no connection was obtained; the order has no effect.
	OrderUnsent
)

var orderOutcomes = [...]string{"accepted", "done", "conflict", "fenced", "invalid", "misdirected", "unknown", "unsent"}

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string { return orderOutcomes[o] }
