// Package residency decides which adapters one model server holds. The core is a deterministic state machine: its
// inputs are reports, demand, outcomes of orders and the time; its output is the next action. Only the node that holds
// the server's lease executes orders.
package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/evictions"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Options describes the server.
type Options struct {
	// Engine is the server's model engine.
	Engine serving.Engine
	// Servers is the number of servers that share the weight store's rate.
	Servers int
}

const (
	// reportPeriod is the time between two reports in the normal state. Reports cost more than orders.
	reportPeriod = 500 * time.Millisecond
	// reportLag is an upper bound on the age of a report's values, which the platform specifies as a few hundred
	// milliseconds.
	reportLag = 400 * time.Millisecond
	// busyReportPeriod is the time between reports while base weights load or are missing.
	busyReportPeriod = 150 * time.Millisecond
	// concurrentLoads bounds the concurrent loads of one server; the engines allow four.
	concurrentLoads = 4
	// coldLoadTime and warmLoadTime are the initial estimates for a load from the weight store and for a load of an
	// adapter that the server evicted recently.
	coldLoadTime = 240 * time.Millisecond
	warmLoadTime = 25 * time.Millisecond
	// loadTimeWeight is the weight of one load in the learned load times.
	loadTimeWeight = 0.1
	// pollPeriod is the time between two polls for the end of a load.
	pollPeriod = 25 * time.Millisecond
	// limitedReportCalls is the number of call intervals between two reports of a server that limits its requests, so that
	// orders get the others.
	limitedReportCalls = 2
	// demandLifetime is how long a gateway's demand is valid without being repeated; gateways repeat it every 100 ms.
	demandLifetime = 350 * time.Millisecond
	// usageLifetime is how long a gateway's count of running requests is valid without an update.
	usageLifetime = 2 * time.Second
	// evictionDelay is the time after a use before which an adapter isn't evicted, since a gateway may be sending a
	// request for it.
	evictionDelay = 400 * time.Millisecond
	// unreachablePause is the time between two attempts to reach a server that doesn't answer.
	unreachablePause = 300 * time.Millisecond
	// replaceInUseAfter is how long the replacement of an outdated adapter is delayed while requests run on it.
	replaceInUseAfter = 800 * time.Millisecond
	// evictedLimit bounds the evicted adapters that are recorded as fast to load.
	evictedLimit = 256
)

type slotState uint8

const (
	loading slotState = iota
	present
	unloading
	// unconfirmed means that a load order got no answer.
	unconfirmed
)

type slot struct {
	state   slotState
	version int
	// changedAt is when an order last changed the slot; reports whose values may be older are ignored for it.
	changedAt time.Time
	// pollAt is when to poll for the end of a load.
	pollAt time.Time
	// loadSince is when the load was ordered, and warm is true if the server had evicted the adapter recently.
	loadSince time.Time
	warm      bool
}

// Core is a holder's state of one incarnation of a server.
type Core struct {
	options  Options
	reported bool
	// orders is the latest known number of orders that the server has accepted.
	orders       int64
	orderedAt    time.Time
	models       map[string]bool
	busy         bool
	lastBaseLoad time.Time
	slots        map[serving.Adapter]*slot
	evicted      *evictions.Memory
	demand       demand
	declared     map[serving.Adapter]declared
	nextReport   time.Time
	// callInterval is the least time between two calls, reports or orders; zero without a limit of the server.
	callInterval time.Duration
	lastCallAt   time.Time
	pausedUntil  time.Time
	// restUntil is until when the server wants no calls.
	restUntil time.Time
	reachable bool
	waiting   int
	running   int
	turnover  turnover
	loadTimes serving.LoadTimes
	// revision counts the changes that have to be published to gateways.
	revision uint64
}

type declared struct {
	version int
	at      time.Time
}

// New returns the core of a server that has not reported yet.
func New(options Options) *Core {
	return &Core{
		options: options, models: make(map[string]bool), slots: make(map[serving.Adapter]*slot),
		evicted: evictions.New(evictedLimit), declared: make(map[serving.Adapter]declared),
		demand: newDemand(),
	}
}

// ActionKind is the kind of an action.
type ActionKind uint8

// Kinds of actions.
const (
	Wait ActionKind = iota
	Report
	Order
)

// Action is what the driver does next. Until is set for Wait and Order for Order; the driver fills in the order's
// holder and fence.
type Action struct {
	Kind  ActionKind
	Until time.Time
	Order serving.Order
	// Reason says why the order is given, for the log.
	Reason string
	// Repeats is true for an order that repeats an earlier one to poll for its end.
	Repeats bool
}

// Declare records the version of an adapter that is to be served.
func (c *Core) Declare(now time.Time, adapter serving.AdapterVersion) {
	if c.declared[adapter.Adapter].version < adapter.Version {
		c.declared[adapter.Adapter] = declared{version: adapter.Version, at: now}
	}
}

// SetCallInterval sets the least time between two calls, reports or orders, to a server that limits its requests; zero
// removes the bound.
func (c *Core) SetCallInterval(interval time.Duration) { c.callInterval = interval }

// SetRest makes Next return neither reports nor orders until a time.
func (c *Core) SetRest(until time.Time) { c.restUntil = until }

// Next returns the next action. Without the lease, mayOrder is false and no orders are returned.
func (c *Core) Next(now time.Time, mayOrder bool) Action {
	earliest := later(later(c.pausedUntil, c.restUntil), c.lastCallAt.Add(c.callInterval))
	if now.Before(earliest) {
		return Action{Kind: Wait, Until: earliest}
	}
	action := c.nextCall(now, mayOrder)
	if action.Kind != Wait {
		c.lastCallAt = now
	}
	return action
}

func (c *Core) nextCall(now time.Time, mayOrder bool) Action {
	if !now.Before(c.nextReport) {
		return Action{Kind: Report}
	}
	if mayOrder && c.reported && c.reachable {
		if action, found := c.nextOrder(now); found {
			action.Order.AfterOrders = c.orders
			return action
		}
	}
	return Action{Kind: Wait, Until: c.wakeAt(now)}
}

func (c *Core) nextOrder(now time.Time) (Action, bool) {
	if c.busy {
		return Action{}, false
	}
	if len(c.models) == 0 {
		return c.loadBase(now)
	}
	if action, found := c.poll(now); found {
		return action, true
	}
	if action, found := c.replaceOutdated(now); found {
		return action, true
	}
	return c.serveDemand(now)
}

// loadBase loads the first base model that fits. It has precedence, since a server without weights can serve nothing.
func (c *Core) loadBase(now time.Time) (Action, bool) {
	if !c.lastBaseLoad.IsZero() && now.Sub(c.lastBaseLoad) < c.baseLoadInterval() {
		return Action{}, false
	}
	for _, model := range c.options.Engine.Models {
		if model.WeightsMB <= c.options.Engine.WeightsMB {
			return Action{
				Kind: Order, Reason: "server holds no base model",
				Order: serving.Order{Kind: serving.Load, Adapter: serving.Adapter{Model: model.Name}},
			}, true
		}
	}
	return Action{}, false
}

// baseLoadInterval is the time between two loads of base weights that keeps all servers together within the weight
// store's rate.
func (c *Core) baseLoadInterval() time.Duration {
	if c.options.Engine.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(c.options.Servers) / c.options.Engine.LoadsPerSecond * float64(time.Second))
}

// poll repeats the order of an adapter that is loading, which shows whether the load has finished.
func (c *Core) poll(now time.Time) (Action, bool) {
	for adapter, s := range c.slots {
		if s.state == loading && !now.Before(s.pollAt) {
			return Action{
				Kind: Order, Reason: "poll for the end of the load", Repeats: true,
				Order: serving.Order{Kind: serving.Load, Adapter: adapter, Version: s.version},
			}, true
		}
	}
	return Action{}, false
}

// replaceOutdated loads the declared version of an adapter that is present in an older one.
func (c *Core) replaceOutdated(now time.Time) (Action, bool) {
	if c.countLoading() >= concurrentLoads {
		return Action{}, false
	}
	for adapter, s := range c.slots {
		newest, found := c.declared[adapter]
		if !found || s.state != present || s.version >= newest.version {
			continue
		}
		if c.demand.inUse(now, adapter) && now.Sub(newest.at) < replaceInUseAfter {
			continue
		}
		return Action{
			Kind: Order, Reason: "a newer version is declared",
			Order: serving.Order{Kind: serving.Load, Adapter: adapter, Version: newest.version},
		}, true
	}
	return Action{}, false
}

// serveDemand loads the adapter with the most urgent demand, or evicts another one first when no slot is free.
func (c *Core) serveDemand(now time.Time) (Action, bool) {
	adapter, entry, found := c.mostUrgent(now)
	if !found || c.countLoading() >= concurrentLoads {
		return Action{}, false
	}
	if len(c.slots) < c.options.Engine.AdapterSlots {
		c.turnover.placed(now, entry.firstAt)
		return Action{
			Kind: Order, Reason: "requests wait for it",
			Order: serving.Order{Kind: serving.Load, Adapter: adapter, Version: c.declared[adapter].version},
		}, true
	}
	victim, found := c.victim(now)
	if !found {
		return Action{}, false
	}
	return Action{
		Kind: Order, Reason: "make room for " + adapter.String(),
		Order: serving.Order{Kind: serving.Unload, Adapter: victim},
	}, true
}

// mostUrgent returns the adapter with the most urgent demand among those that have no slot, whose base model is loaded,
// and whose requests still wait when the load ends.
func (c *Core) mostUrgent(now time.Time) (serving.Adapter, demandEntry, bool) {
	return c.demand.mostUrgent(now, func(adapter serving.Adapter, demand AdapterDemand) bool {
		return c.slots[adapter] == nil && c.models[adapter.Model] && demand.Patience > c.expectedLoadTime(adapter)
	})
}

// victim returns the adapter to evict: the one with the fewest recent uses. Adapters in use are never chosen.
func (c *Core) victim(now time.Time) (serving.Adapter, bool) {
	var victim serving.Adapter
	lowestValue, found := 0.0, false
	for adapter, s := range c.slots {
		if !c.evictable(now, adapter, s) {
			continue
		}
		value := c.demand.value(now, adapter)
		if !found || value < lowestValue || value == lowestValue && adapter.Name < victim.Name {
			victim, lowestValue, found = adapter, value, true
		}
	}
	return victim, found
}

func (c *Core) evictable(now time.Time, adapter serving.Adapter, s *slot) bool {
	return s.state == present && now.Sub(s.changedAt) >= evictionDelay && !c.demand.protects(now, adapter)
}

// countLoading returns the number of slots that load or may load.
func (c *Core) countLoading() int {
	count := 0
	for _, s := range c.slots {
		if s.state == loading || s.state == unconfirmed {
			count++
		}
	}
	return count
}

// wakeAt returns when Next may return an action even if no event occurs.
func (c *Core) wakeAt(now time.Time) time.Time {
	at := c.nextReport
	for _, s := range c.slots {
		if s.state == loading && s.pollAt.Before(at) {
			at = s.pollAt
		}
	}
	if len(c.demand.pending) > 0 {
		at = minTime(at, now.Add(pollPeriod))
	}
	return at
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
