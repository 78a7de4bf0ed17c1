// Package residency decides which adapters one model server holds. The core is deterministic: reports, demand, outcomes
// of orders and the time go in, the next action comes out. Only the node that holds the server's lease acts on it.
package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/evictions"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Options describe the server.
type Options struct {
	Engine serving.Engine
	// Servers is the number of servers that share the weight store's rate.
	Servers int
}

const (
	// reportPeriod is the time between two reports of a server at rest. Reports cost more than orders.
	reportPeriod = 500 * time.Millisecond
	// reportLag covers the age of a report's values, which the platform gives as some hundred milliseconds.
	reportLag = 400 * time.Millisecond
	// busyReportPeriod is the time between reports while base weights load.
	busyReportPeriod = 150 * time.Millisecond
	// concurrentLoads bounds the adapters on their way to one server; the engines allow four.
	concurrentLoads = 4
	// coldLoadTime and warmLoadTime are the first estimates of a load from the weight store and of one that the
	// server held recently.
	coldLoadTime = 240 * time.Millisecond
	warmLoadTime = 25 * time.Millisecond
	// pollPeriod is the time between two questions whether an adapter has arrived.
	pollPeriod = 25 * time.Millisecond
	// wantLifetime is how long a demand counts without being repeated; gateways repeat it each 100 ms.
	wantLifetime = 350 * time.Millisecond
	// usageLifetime is how long a gateway's count of running requests counts without news.
	usageLifetime = 2 * time.Second
	// evictAfterUse keeps an adapter that was used so lately that a gateway may be sending to it.
	evictAfterUse = 400 * time.Millisecond
	// unreachablePause is the time between two tries at a server that doesn't answer.
	unreachablePause = 300 * time.Millisecond
	// replaceInUseAfter is how long the replacement of an outdated adapter waits for its running requests.
	replaceInUseAfter = 800 * time.Millisecond
	// heldBefore bounds the evicted adapters that are remembered as fast to load.
	heldBefore = 256
)

type slotState uint8

const (
	loading slotState = iota
	present
	unloading
	// doubtful means that an order got no answer.
	doubtful
)

type slot struct {
	state   slotState
	version int
	// changedAt is when an order last changed the slot; reports that may be older say nothing of it.
	changedAt time.Time
	pollAt    time.Time
}

// Core is the state of one incarnation of a server as its holder knows it.
type Core struct {
	options  Options
	reported bool
	// orders is the number of orders that the server has accepted, as far as known.
	orders     int64
	orderedAt  time.Time
	models     map[string]bool
	busy       bool
	lastBase   time.Time
	slots      map[serving.Adapter]*slot
	removed    *evictions.Memory
	demand     demand
	declared   map[serving.Adapter]declared
	nextReport time.Time
	holdUntil  time.Time
	reachable  bool
	waiting    int
	running    int
	// revision counts the changes that gateways should learn of.
	revision uint64
}

type declared struct {
	version int
	at      time.Time
}

// New returns the core of a server of which nothing is known yet.
func New(options Options) *Core {
	return &Core{
		options: options, models: make(map[string]bool), slots: make(map[serving.Adapter]*slot),
		removed: evictions.New(heldBefore), declared: make(map[serving.Adapter]declared),
		demand: newDemand(),
	}
}

// ActionKind says what the driver does next.
type ActionKind uint8

// Kinds of actions.
const (
	Wait ActionKind = iota
	Report
	Order
)

// Action is what the driver does next. Until is set for Wait, Order for Order; holder and fence are the driver's.
type Action struct {
	Kind   ActionKind
	Until  time.Time
	Order  serving.Order
	Reason string
	// Repeats is true for an order that only asks whether an earlier one is done.
	Repeats bool
}

// Declare notes the version of an adapter that is to be served.
func (c *Core) Declare(now time.Time, adapter serving.AdapterVersion) {
	if c.declared[adapter.Adapter].version < adapter.Version {
		c.declared[adapter.Adapter] = declared{version: adapter.Version, at: now}
	}
}

// Next returns the next action. Without the lease, mayOrder is false and only reports are made.
func (c *Core) Next(now time.Time, mayOrder bool) Action {
	if now.Before(c.holdUntil) {
		return Action{Kind: Wait, Until: c.holdUntil}
	}
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

// loadBase loads the first base model that fits. A server that lost its weights can serve nothing, so this goes first.
func (c *Core) loadBase(now time.Time) (Action, bool) {
	if !c.lastBase.IsZero() && now.Sub(c.lastBase) < c.basePause() {
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

// basePause spaces the loads of base weights so that all servers together keep the weight store's rate.
func (c *Core) basePause() time.Duration {
	if c.options.Engine.LoadsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(c.options.Servers) / c.options.Engine.LoadsPerSecond * float64(time.Second))
}

// poll repeats the order of an adapter on its way, to learn whether it has arrived.
func (c *Core) poll(now time.Time) (Action, bool) {
	for adapter, s := range c.slots {
		if s.state == loading && !now.Before(s.pollAt) {
			return Action{
				Kind: Order, Reason: "has it arrived", Repeats: true,
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
		newest, known := c.declared[adapter]
		if !known || s.state != present || s.version >= newest.version {
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

// serveDemand loads the adapter that is wanted most, after evicting another one when there is no room.
func (c *Core) serveDemand(now time.Time) (Action, bool) {
	adapter, found := c.mostWanted(now)
	if !found || c.countLoading() >= concurrentLoads {
		return Action{}, false
	}
	if len(c.slots) < c.options.Engine.AdapterSlots {
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
		Kind: Order, Reason: "makes room for " + adapter.String(),
		Order: serving.Order{Kind: serving.Unload, Adapter: victim},
	}, true
}

// mostWanted returns the wanted adapter that isn't here in any state and whose base model is.
func (c *Core) mostWanted(now time.Time) (serving.Adapter, bool) {
	return c.demand.most(now, func(adapter serving.Adapter) bool {
		return c.slots[adapter] == nil && c.models[adapter.Model]
	})
}

// victim returns the adapter that is least likely to be missed. One that a request uses is never chosen.
func (c *Core) victim(now time.Time) (serving.Adapter, bool) {
	var victim serving.Adapter
	lowest, found := 0.0, false
	for adapter, s := range c.slots {
		if s.state != present || now.Sub(s.changedAt) < evictAfterUse || c.demand.keeps(now, adapter) {
			continue
		}
		value := c.demand.value(now, adapter)
		if !found || value < lowest || value == lowest && adapter.Name < victim.Name {
			victim, lowest, found = adapter, value, true
		}
	}
	return victim, found
}

func (c *Core) countLoading() int {
	count := 0
	for _, s := range c.slots {
		if s.state == loading || s.state == doubtful {
			count++
		}
	}
	return count
}

// wakeAt returns when Next may have something new to say without any event.
func (c *Core) wakeAt(now time.Time) time.Time {
	at := c.nextReport
	for _, s := range c.slots {
		if s.state == loading && s.pollAt.Before(at) {
			at = s.pollAt
		}
	}
	if len(c.demand.wants) > 0 {
		at = minTime(at, now.Add(pollPeriod))
	}
	return at
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
