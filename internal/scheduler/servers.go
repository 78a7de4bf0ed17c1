package scheduler

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/ring"
)

// orderCapacity is the number of orders to one engine that may wait.
const orderCapacity = 256

// errLeaseExpired means that an order was not sent because the lease had expired.
var errLeaseExpired = errors.New("lease expired before the order was sent")

// ownedServer is an owned server with the goroutines that send its orders and poll its reports.
type ownedServer struct {
	name         string
	server       *fleet.Server
	control      engine.Control
	ctx          context.Context
	stop         context.CancelFunc
	orders       *ring.Ring[order]
	busy         *atomic.Bool
	pendingLoads []*pendingLoad
	// releasing is true once grants have stopped and the server is to be released.
	releasing bool
}

// startRelease stops all grants and new loads. The next tick appends the release.
func (o *ownedServer) startRelease() {
	o.releasing = true
	o.server.Supersede()
	o.cancelPendingLoads()
}

// order is an unload or a raise of the fencing number for the engine. An unload is not sent after validUntil.
type order struct {
	action     fleet.Action
	validUntil time.Time
}

func specOf(b *resource.BackendServer) fleet.Spec {
	return fleet.Spec{
		Name: b.Name, Zone: b.Spec.Zone, Address: b.Spec.Address, BaseModel: b.Spec.BaseModel, Slots: b.Spec.Slots,
		Concurrency: b.Spec.Concurrency, ChecksFence: b.Spec.ChecksFence, Drain: b.Spec.Drain,
	}
}

func sortedNames(servers map[string]*ownedServer) []string {
	names := make([]string, 0, len(servers))
	for name := range servers {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// startServer starts the goroutines of an owned server.
func (c *core) startServer(name string, server *fleet.Server) *ownedServer {
	ctx, stop := context.WithCancel(c.ctx)
	owned := &ownedServer{
		name: name, server: server, control: c.scheduler.options.Control(server.Spec().Address), ctx: ctx, stop: stop,
		orders: ring.New[order]("scheduler.orders", orderCapacity), busy: &atomic.Bool{},
	}
	owned.busy.Store(true)
	c.group.Go(func() error { return c.scheduler.sendOrders(ctx, owned) })
	c.group.Go(func() error { return c.scheduler.pollReports(ctx, owned) })
	return owned
}

// isCurrent reports whether a message refers to the present ownership of the server, not to an earlier one.
func (c *core) isCurrent(owned *ownedServer) bool { return c.servers[owned.name] == owned }

// stepServers updates the state of the owned servers, executes the actions due, and starts pending loads.
func (c *core) stepServers(now time.Time) {
	for _, name := range c.serverNames {
		owned := c.servers[name]
		status, ok := c.ownership.Status(now, name)
		if !ok {
			continue
		}
		owned.server.SetOwnership(now, fleetOwnership(status))
		before := owned.server.Violations()
		for _, action := range owned.server.Tick(now) {
			c.execute(now, owned, status, action)
		}
		if more := owned.server.Violations() - before; more > 0 {
			violationCount.Inc(int64(more))
			c.events.Emit(event.EvictionStopped, event.Fields{"server": name})
		}
		c.startPendingLoads(now, owned)
		owned.busy.Store(owned.server.Busy() || len(owned.pendingLoads) > 0)
	}
}

// execute appends the record or queues the order that an action requires.
func (c *core) execute(now time.Time, owned *ownedServer, status ownership.Status, action fleet.Action) {
	switch action.Kind {
	case fleet.WriteIntent:
		if record, ok := c.ownership.OpenIntent(now, owned.name, action.Name); ok {
			c.queueRecords(now, []ownership.Record{record})
		}
	case fleet.EndIntentDone:
		record := c.ownership.EndIntent(ownership.Done, owned.name, action.Fence, action.Name)
		c.queueRecords(now, []ownership.Record{record})
	case fleet.EndIntentWithdrawn:
		record := c.ownership.EndIntent(ownership.Withdrawn, owned.name, action.Fence, action.Name)
		c.queueRecords(now, []ownership.Record{record})
	case fleet.OrderUnload, fleet.OrderRaiseFence:
		if !owned.orders.TryPush(order{action: action, validUntil: status.LeaseUntil}) {
			orderCompleted{owned, action, errors.New("order queue is full")}.apply(c)
		}
	}
}

// sendOrders sends unloads and raises of the fencing number to one engine, one at a time.
func (s *Scheduler) sendOrders(ctx context.Context, owned *ownedServer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-owned.orders.Items():
			err := s.sendOrder(ctx, owned, next)
			if s.inbox.Push(ctx, orderCompleted{owned, next.action, err}) != nil {
				return nil
			}
		}
	}
}

func (s *Scheduler) sendOrder(ctx context.Context, owned *ownedServer, next order) error {
	bounded, cancel := context.WithTimeout(ctx, s.options.Settings.EngineTimeout.Std())
	defer cancel()
	by := engine.Order{Fence: next.action.Fence}
	if next.action.Kind == fleet.OrderRaiseFence {
		return owned.control.RaiseFence(bounded, by)
	}
	if !time.Now().Before(next.validUntil) {
		return errLeaseExpired
	}
	return owned.control.Unload(bounded, by, next.action.Name)
}

// orderCompleted is the result of an unload or a raise of the fencing number.
type orderCompleted struct {
	owned  *ownedServer
	action fleet.Action
	err    error
}

func (m orderCompleted) apply(c *core) {
	if !c.isCurrent(m.owned) {
		return
	}
	c.serverStepDue = true
	fields := event.Fields{"server": m.owned.name, "load": m.action.Name}
	if m.action.Kind == fleet.OrderRaiseFence {
		m.owned.server.FenceRaised(m.err)
		if m.err != nil {
			c.events.EmitError(event.RaiseFailed, failure.Wrap(m.err, failure.Unavailable, "raise fence", m.owned.name), fields)
		}
		return
	}
	m.owned.server.UnloadEnded(c.now(), m.action.Number, m.err)
	if m.err != nil {
		c.events.EmitError(event.UnloadFailed, failure.Wrap(m.err, failure.Unavailable, "unload", m.owned.name), fields)
		return
	}
	c.events.Emit(event.UnloadEnded, fields)
}

// pollReports reads the reports of one engine, more often while a load is loading or closing.
func (s *Scheduler) pollReports(ctx context.Context, owned *ownedServer) error {
	// The busy flag is checked at least every ReportEveryBusy, so that a closing load waits no longer for a report.
	ticker := time.NewTicker(min(s.options.Settings.ReportEveryBusy, s.options.Settings.ReportEvery).Std())
	defer ticker.Stop()
	var last time.Time
	for {
		if owned.busy.Load() || time.Since(last) >= s.options.Settings.ReportEvery.Std() {
			last = time.Now()
			s.pollReport(ctx, owned, last)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Scheduler) pollReport(ctx context.Context, owned *ownedServer, sent time.Time) {
	bounded, cancel := context.WithTimeout(ctx, s.options.Settings.EngineTimeout.Std())
	defer cancel()
	report, err := owned.control.Report(bounded)
	if err != nil {
		if ctx.Err() == nil {
			err = failure.Wrap(err, failure.Unavailable, "report", owned.name)
			s.options.Events.EmitError(event.ReportFailed, err, event.Fields{"server": owned.name})
		}
		return
	}
	_ = s.inbox.Push(ctx, reportReceived{owned, sent, report})
}

// reportReceived is an engine's report. It was requested at time sent.
type reportReceived struct {
	owned  *ownedServer
	sent   time.Time
	report engine.Report
}

func (m reportReceived) apply(c *core) {
	if !c.isCurrent(m.owned) {
		return
	}
	leaving := m.owned.server.Leaving()
	m.owned.server.Report(c.now(), m.sent, m.report)
	if now := m.owned.server.Leaving(); now != leaving {
		c.events.Emit(event.ServerLeaving, event.Fields{"server": m.owned.name, "leaving": now})
	}
	c.serverStepDue = true
}

// hasLoadOrEviction reports whether a load is pending or an eviction is in progress under a valid lease.
func (o *ownedServer) hasLoadOrEviction(now time.Time) bool {
	if len(o.pendingLoads) > 0 {
		return true
	}
	for _, l := range o.server.Loads(now) {
		if l.State == fleet.Closing && o.server.LeaseValid(now) {
			return true
		}
	}
	return false
}
