package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// NoteUsage takes what a gateway says of its requests.
func (c *Core) NoteUsage(now time.Time, usage Usage) { c.demand.note(now, usage) }

// ReportFailed notes that the server gave no report.
func (c *Core) ReportFailed(now time.Time) {
	if c.reachable {
		c.revision++
	}
	c.reachable = false
	c.nextReport = now.Add(unreachablePause)
}

// Reported takes a report that was asked for at asked. It returns true when the server has lost what it held, so that
// everything known of it is void.
func (c *Core) Reported(asked, now time.Time, report serving.Report) (restarted bool) {
	if c.reported && report.Orders < c.orders && asked.Sub(c.orderedAt) > reportLag {
		return true
	}
	if !c.reachable || c.busy != report.Busy || len(c.models) != len(report.Models) {
		c.revision++
	}
	c.reachable = true
	c.reported = true
	c.busy = report.Busy
	c.models = report.Models
	c.waiting = report.Waiting
	c.running = report.Running
	c.nextReport = now.Add(reportPeriod)
	if report.Busy || len(report.Models) == 0 {
		c.nextReport = now.Add(busyReportPeriod)
	}
	if asked.Sub(c.orderedAt) > reportLag {
		c.orders = report.Orders
	} else {
		c.orders = max(c.orders, report.Orders)
	}
	c.reconcile(asked, now, report)
	return false
}

// reconcile takes over what the report says of adapters that no recent order concerns.
func (c *Core) reconcile(asked, now time.Time, report serving.Report) {
	for adapter, s := range c.slots {
		if asked.Sub(s.changedAt) <= reportLag {
			continue
		}
		_, isLoading := report.Loading[adapter]
		version, isPresent := report.Adapters[adapter]
		switch {
		case isLoading:
			s.state = loading
			s.pollAt = now.Add(pollPeriod)
		case isPresent && (s.state != present || s.version != version):
			c.arrived(s, version, now)
		case !isPresent:
			c.remove(adapter, now)
		}
	}
	for adapter, version := range report.Adapters {
		if c.unknownToOrders(asked, adapter) {
			c.slots[adapter] = &slot{state: present, version: version}
			c.revision++
		}
	}
	for adapter, version := range report.Loading {
		if c.unknownToOrders(asked, adapter) {
			c.slots[adapter] = &slot{state: loading, version: version, pollAt: now.Add(pollPeriod)}
		}
	}
}

func (c *Core) unknownToOrders(asked time.Time, adapter serving.Adapter) bool {
	removedAt, _ := c.removed.At(adapter)
	return c.slots[adapter] == nil && asked.Sub(removedAt) > reportLag
}

// Ordered takes the outcome of an order.
func (c *Core) Ordered(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	switch outcome {
	case serving.OrderAccepted, serving.OrderDone:
		c.took(now, order, outcome)
	case serving.OrderConflict:
		c.conflicted(now, order)
	case serving.OrderUnknown:
		c.doubt(now, order)
	case serving.OrderUnsent, serving.OrderMisdirected:
		c.ReportFailed(now)
		c.holdUntil = now.Add(pollPeriod)
	case serving.OrderFenced:
		c.holdUntil = now.Add(unreachablePause)
	case serving.OrderInvalid:
		c.holdUntil = now.Add(unreachablePause)
		c.resync(now)
	}
}

func (c *Core) took(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	c.orderedAt = now
	if order.Adapter.Name == "" {
		c.tookBase(now, order, outcome)
		return
	}
	s := c.slots[order.Adapter]
	switch {
	case order.Kind == serving.Unload && outcome == serving.OrderDone:
		c.orders++
		c.remove(order.Adapter, now)
	case order.Kind == serving.Unload:
		c.orders++
		if s != nil {
			s.state, s.changedAt = unloading, now
		}
		c.revision++
	case outcome == serving.OrderDone && s != nil:
		c.arrived(s, max(order.Version, s.version), now)
	case outcome == serving.OrderDone:
		c.slots[order.Adapter] = &slot{state: present, version: order.Version, changedAt: now}
		c.revision++
	case s != nil && s.state == loading && s.version == order.Version:
		// The server answers a repeated order like the first one and doesn't count it.
		s.pollAt = now.Add(pollPeriod)
	default:
		c.orders++
		c.startLoad(now, order)
	}
}

func (c *Core) tookBase(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	if outcome == serving.OrderAccepted {
		c.orders++
		c.busy = true
		c.lastBase = now
	}
	if order.Kind == serving.Load && outcome == serving.OrderDone {
		c.models[order.Adapter.Model] = true
	}
	c.nextReport = now.Add(busyReportPeriod)
	c.revision++
}

func (c *Core) startLoad(now time.Time, order serving.Order) {
	expected := coldLoadTime
	if _, warm := c.removed.At(order.Adapter); warm {
		expected = warmLoadTime
	}
	if before := c.slots[order.Adapter]; before != nil && before.state == present {
		c.revision++
	}
	c.slots[order.Adapter] = &slot{state: loading, version: order.Version, changedAt: now, pollAt: now.Add(expected)}
}

func (c *Core) arrived(s *slot, version int, now time.Time) {
	s.state, s.version, s.changedAt = present, version, now
	c.revision++
}

func (c *Core) remove(adapter serving.Adapter, now time.Time) {
	delete(c.slots, adapter)
	c.removed.Add(now, adapter)
	c.revision++
}

// conflicted handles a refusal because another order is in progress or the count of orders differs: a report tells
// which, once it's young enough to know of the latest order.
func (c *Core) conflicted(now time.Time, order serving.Order) {
	if s := c.slots[order.Adapter]; s != nil && s.state == loading {
		s.pollAt = now.Add(pollPeriod)
	}
	c.resync(now)
	c.holdUntil = c.nextReport
}

// resync asks for a report as soon as it can tell of the latest order.
func (c *Core) resync(now time.Time) {
	c.nextReport = minTime(c.nextReport, now.Add(busyReportPeriod))
}

// doubt keeps the room of an order that got no answer: it may still be carried out.
func (c *Core) doubt(now time.Time, order serving.Order) {
	c.orderedAt = now
	c.resync(now)
	c.holdUntil = now.Add(busyReportPeriod)
	if order.Adapter.Name == "" {
		c.lastBase = now
		return
	}
	if order.Kind == serving.Load && c.slots[order.Adapter] == nil {
		c.slots[order.Adapter] = &slot{state: doubtful, version: order.Version, changedAt: now}
	}
}

// Snapshot is what gateways should know of the server.
type Snapshot struct {
	// Revision changes whenever the rest does, except for the counts of requests.
	Revision uint64
	Ready    bool
	Full     bool
	Adapters map[serving.Adapter]int
	// Hot is the adapter with the most uses, if it has a large part of all; zero if there is none.
	Hot     serving.Adapter
	Waiting int
	Running int
}

// Revision returns the revision of Snapshot without the rest.
func (c *Core) Revision() uint64 { return c.revision }

// Wanting returns the gateways whose requests wait for an adapter.
func (c *Core) Wanting(now time.Time, adapter serving.Adapter) (nodes []string) {
	for node, want := range c.demand.wants[adapter] {
		if now.Sub(want.at) < wantLifetime && want.want.Waiting > 0 {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Snapshot returns what gateways should know of the server.
func (c *Core) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{
		Revision: c.revision, Ready: c.reachable && len(c.models) > 0, Waiting: c.waiting, Running: c.running,
		Adapters: make(map[serving.Adapter]int),
	}
	for adapter, s := range c.slots {
		if s.state == present {
			snapshot.Adapters[adapter] = s.version
		}
	}
	snapshot.Hot = c.demand.hottest(now, snapshot.Adapters)
	if len(c.slots) >= c.options.Engine.AdapterSlots {
		_, evictable := c.victim(now)
		snapshot.Full = !evictable
	}
	return snapshot
}
