package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// NoteUsage applies a gateway's message about its requests.
func (c *Core) NoteUsage(now time.Time, usage Usage) { c.demand.record(now, usage) }

// ReportFailed records that the server gave no report.
func (c *Core) ReportFailed(now time.Time) {
	if c.reachable {
		c.revision++
	}
	c.reachable = false
	c.nextReport = now.Add(unreachablePause)
}

// Reported applies a report that was requested at requestedAt. It returns true when the server has restarted and lost
// its state, in which case the core must be replaced by a new one.
func (c *Core) Reported(requestedAt, now time.Time, report serving.Report) (restarted bool) {
	if c.reported && report.Orders < c.orders && requestedAt.Sub(c.orderedAt) > reportLag {
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
	c.nextReport = now.Add(max(reportPeriod, limitedReportCalls*c.callInterval))
	if report.Busy || len(report.Models) == 0 {
		c.nextReport = now.Add(busyReportPeriod)
	}
	if requestedAt.Sub(c.orderedAt) > reportLag {
		c.orders = report.Orders
	} else {
		c.orders = max(c.orders, report.Orders)
	}
	c.reconcile(requestedAt, now, report)
	return false
}

// reconcile applies the report to the adapters that no recent order has changed.
func (c *Core) reconcile(requestedAt, now time.Time, report serving.Report) {
	for adapter, s := range c.slots {
		if requestedAt.Sub(s.changedAt) <= reportLag {
			continue
		}
		_, isLoading := report.Loading[adapter]
		version, isPresent := report.Adapters[adapter]
		switch {
		case isLoading:
			s.state = loading
			s.pollAt = now.Add(pollPeriod)
		case isPresent && (s.state != present || s.version != version):
			c.setPresent(s, version, now)
		case !isPresent:
			c.remove(adapter, now)
		}
	}
	for adapter, version := range report.Adapters {
		if c.newlyReported(requestedAt, adapter) {
			c.slots[adapter] = &slot{state: present, version: version}
			c.revision++
		}
	}
	for adapter, version := range report.Loading {
		if c.newlyReported(requestedAt, adapter) {
			c.slots[adapter] = &slot{state: loading, version: version, pollAt: now.Add(pollPeriod)}
		}
	}
}

// newlyReported reports whether a reported adapter has no slot and wasn't removed so recently that the report may be
// older.
func (c *Core) newlyReported(requestedAt time.Time, adapter serving.Adapter) bool {
	evictedAt, _ := c.evicted.At(adapter)
	return c.slots[adapter] == nil && requestedAt.Sub(evictedAt) > reportLag
}

// Ordered applies the outcome of an order.
func (c *Core) Ordered(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	switch outcome {
	case serving.OrderAccepted, serving.OrderDone:
		c.orderAccepted(now, order, outcome)
	case serving.OrderConflict:
		c.orderConflicted(now, order)
	case serving.OrderUnknown:
		c.orderUnconfirmed(now, order)
	case serving.OrderUnsent, serving.OrderMisdirected:
		c.ReportFailed(now)
		c.pausedUntil = now.Add(pollPeriod)
	case serving.OrderFenced:
		c.pausedUntil = now.Add(unreachablePause)
	case serving.OrderInvalid:
		c.pausedUntil = now.Add(unreachablePause)
		c.resync(now)
	}
}

// orderAccepted applies an order that the server accepted or had carried out already.
func (c *Core) orderAccepted(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	c.orderedAt = now
	if order.Adapter.Name == "" {
		c.baseOrderAccepted(now, order, outcome)
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
		c.learnLoadTime(s, now)
		c.setPresent(s, max(order.Version, s.version), now)
	case outcome == serving.OrderDone:
		c.slots[order.Adapter] = &slot{state: present, version: order.Version, changedAt: now}
		c.revision++
	case s != nil && s.state == loading && s.version == order.Version:
		// The server answers a repeated order like the first one and doesn't count it again.
		s.pollAt = now.Add(pollPeriod)
	default:
		c.orders++
		c.startLoad(now, order)
	}
}

func (c *Core) baseOrderAccepted(now time.Time, order serving.Order, outcome serving.OrderOutcome) {
	if outcome == serving.OrderAccepted {
		c.orders++
		c.busy = true
		c.lastBaseLoad = now
	}
	if order.Kind == serving.Load && outcome == serving.OrderDone {
		c.models[order.Adapter.Model] = true
	}
	c.nextReport = now.Add(busyReportPeriod)
	c.revision++
}

func (c *Core) startLoad(now time.Time, order serving.Order) {
	expected := c.expectedLoadTime(order.Adapter)
	if previous := c.slots[order.Adapter]; previous != nil && previous.state == present {
		c.revision++
	}
	_, warm := c.evicted.At(order.Adapter)
	c.slots[order.Adapter] = &slot{
		state: loading, version: order.Version, changedAt: now, pollAt: now.Add(expected), loadSince: now, warm: warm,
	}
}

// learnLoadTime learns from a load that has ended.
func (c *Core) learnLoadTime(s *slot, now time.Time) {
	if s.state != loading || s.loadSince.IsZero() {
		return
	}
	learned := &c.loadTimes.Cold
	if s.warm {
		learned = &c.loadTimes.Warm
	}
	took := now.Sub(s.loadSince)
	if *learned == 0 {
		*learned = took
	}
	*learned += time.Duration(loadTimeWeight * float64(took-*learned))
}

// LoadTimes returns the learned times of loads, from the order to the poll that found the adapter present.
func (c *Core) LoadTimes() serving.LoadTimes { return c.loadTimes }

// Running returns the number of requests that ran at the latest report.
func (c *Core) Running() int { return c.running }

func (c *Core) expectedLoadTime(adapter serving.Adapter) time.Duration {
	if _, warm := c.evicted.At(adapter); warm {
		return warmLoadTime
	}
	return coldLoadTime
}

func (c *Core) setPresent(s *slot, version int, now time.Time) {
	s.state, s.version, s.changedAt = present, version, now
	c.revision++
}

func (c *Core) remove(adapter serving.Adapter, now time.Time) {
	delete(c.slots, adapter)
	c.evicted.Add(now, adapter)
	c.revision++
}

// orderConflicted handles a refusal because another order is in progress or the count of orders differs. It pauses
// orders until a report that covers the latest order shows which.
func (c *Core) orderConflicted(now time.Time, order serving.Order) {
	if s := c.slots[order.Adapter]; s != nil && s.state == loading {
		s.pollAt = now.Add(pollPeriod)
	}
	c.resync(now)
	c.pausedUntil = c.nextReport
}

// resync schedules a report for when it can cover the latest order.
func (c *Core) resync(now time.Time) {
	c.nextReport = minTime(c.nextReport, now.Add(busyReportPeriod))
}

// orderUnconfirmed handles an order that got no answer and may still be carried out: a load reserves its slot.
func (c *Core) orderUnconfirmed(now time.Time, order serving.Order) {
	c.orderedAt = now
	c.resync(now)
	c.pausedUntil = now.Add(busyReportPeriod)
	if order.Adapter.Name == "" {
		c.lastBaseLoad = now
		return
	}
	if order.Kind == serving.Load && c.slots[order.Adapter] == nil {
		c.slots[order.Adapter] = &slot{state: unconfirmed, version: order.Version, changedAt: now}
	}
}

// Snapshot is the state of the server that is published to gateways.
type Snapshot struct {
	// Revision changes whenever the rest does, except for the counts of requests.
	Revision uint64
	// Ready is true when the server answers and holds its base model.
	Ready    bool
	Adapters map[serving.Adapter]int
	// Hot is the adapter with the most uses, if it has a large share of all uses; else zero.
	Hot     serving.Adapter
	Waiting int
	Running int
}

// Revision returns the revision that Snapshot would have, without building the snapshot.
func (c *Core) Revision() uint64 { return c.revision }

// Wanting returns the names of the gateways whose requests wait for an adapter.
func (c *Core) Wanting(now time.Time, adapter serving.Adapter) (nodes []string) {
	for node, entry := range c.demand.pending[adapter] {
		if now.Sub(entry.at) < demandLifetime && entry.demand.Waiting > 0 {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// Snapshot returns the state of the server that is published to gateways.
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
	return snapshot
}
