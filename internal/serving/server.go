package serving

import (
	"strconv"
	"strings"
	"time"
)

// Adapter identifies a base model, or one of its adapters if Name is set.
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

// IsZero reports whether a identifies no model.
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

// ParseVersioned splits name@version. Without a version it returns 0, which is lower than every declared version.
func ParseVersioned(text string) (name string, version int, err error) {
	name, number, found := strings.Cut(text, "@")
	if !found {
		return name, 0, nil
	}
	version, err = strconv.Atoi(number)
	return name, version, err
}

// Server is the entry that a backend server publishes in the platform's list of servers.
type Server struct {
	ID      string
	Service string
	// Address is ip:port.
	Address string
	Zone    string
	// SoftwareVersion is the version of the server's own software, not of the weights that it serves.
	SoftwareVersion string
	Slots           int
	Draining        bool
	// LeavesIn is the time until the termination of a server that is removed at short notice; zero if unknown.
	LeavesIn time.Duration
	// Born is the start time of the server in Unix milliseconds. The same ID with another value is a new incarnation.
	Born int64
}

// Report is the state that a model server reports on request. Its values are some 100 ms old.
type Report struct {
	// Born is the start time as in Server; zero if the report doesn't carry it.
	Born int64
	// Models holds the base models whose weights are loaded.
	Models map[string]bool
	// Adapters holds the loaded adapters with their versions.
	Adapters map[Adapter]int
	// Loading holds the adapters being loaded, with their versions.
	Loading map[Adapter]int
	// Busy is true while the server executes an order for a base model.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders int64
	// Waiting and Running are the numbers of requests in these states.
	Waiting int
	Running int
	// Notice is what the server says about itself in the answer with the report.
	Notice ServerNotice
}

// OrderKind is the operation that an order requests.
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

// Order instructs a server to load or unload a base model or an adapter.
type Order struct {
	Kind    OrderKind
	Adapter Adapter
	// Version is the version of the adapter to load; 0 means the newest.
	Version int
	// Holder identifies the node that gives the order, Fence is its fencing token.
	Holder string
	Fence  int64
	// AfterOrders is the number of orders that the server must have accepted before this one, so that a delayed order
	// can't take effect after later ones.
	AfterOrders int64
}

// OrderOutcome is the result of an order.
type OrderOutcome uint8

// Outcomes of an order.
const (
	// OrderAccepted means that the server executes the order.
	OrderAccepted OrderOutcome = iota
	// OrderDone means that the requested state is in place already.
	OrderDone
	// OrderConflict means that another order is in progress or that AfterOrders doesn't match.
	OrderConflict
	// OrderFenced means that the server has seen a higher fencing token.
	OrderFenced
	// OrderInvalid means that the server rejected the order as invalid.
	OrderInvalid
	// OrderMisdirected means that another server uses the address.
	OrderMisdirected
	// OrderUnknown means that the order may be executed now, later, or never.
	OrderUnknown
	// OrderUnsent means that no connection was obtained; the order has no effect.
	OrderUnsent
)

// OrderResult is the outcome of an order, with what the server says about itself in its answer, if it has answered.
type OrderResult struct {
	Outcome OrderOutcome
	Notice  ServerNotice
}

var orderOutcomes = [...]string{"accepted", "done", "conflict", "fenced", "invalid", "misdirected", "unknown", "unsent"}

// String returns the outcome's name in logs.
func (o OrderOutcome) String() string { return orderOutcomes[o] }
