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

const orderCapacity = 256

// errLeaseEnded means that an order was not sent because the lease had ended.
var errLeaseEnded = errors.New("lease ended before the order was sent")

// ownedServer is one owned server with its duties.
type ownedServer struct {
	name    string
	server  *fleet.Server
	control engine.Control
	ctx     context.Context
	stop    context.CancelFunc
	orders  *ring.Ring[order]
	busy    *atomic.Bool
	waiting []*waitingLoad
	// givenUp is true once grants have stopped and the server is to be released.
	givenUp bool
}

// giveUp stops all grants and new loads. The server is released by the next tick.
func (o *ownedServer) giveUp() {
	o.givenUp = true
	o.server.Supersede()
	o.cancelWaiting()
}

// order is an unload or a raise for the engine. It's not sent after validUntil.
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

// startServer starts the duties of a server that was gained.
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

// current reports whether a result belongs to a server as it's owned now.
func (c *core) current(owned *ownedServer) bool { return c.servers[owned.name] == owned }

// stepServers lets the aggregates of the owned servers act.
func (c *core) stepServers(now time.Time) {
	for _, name := range c.serverNames {
		owned := c.servers[name]
		status, ok := c.own.Status(now, name)
		if !ok {
			continue
		}
		owned.server.SetOwnership(now, fleetOwnership(status))
		before := owned.server.Violations()
		for _, action := range owned.server.Tick(now) {
			c.act(now, owned, status, action)
		}
		if more := owned.server.Violations() - before; more > 0 {
			violationCount.Inc(int64(more))
			c.events.Emit(event.EvictionStopped, event.Fields{"server": name})
		}
		c.startWaiting(now, owned)
		owned.busy.Store(owned.server.Busy() || len(owned.waiting) > 0)
	}
}

func (c *core) act(now time.Time, owned *ownedServer, status ownership.Status, action fleet.Action) {
	switch action.Kind {
	case fleet.WriteIntent:
		if record, ok := c.own.Intent(now, owned.name, action.Name); ok {
			c.append(now, []ownership.Record{record})
		}
	case fleet.EndIntentDone:
		c.append(now, []ownership.Record{c.own.EndIntent(ownership.Done, owned.name, action.Fence, action.Name)})
	case fleet.EndIntentWithdrawn:
		c.append(now, []ownership.Record{c.own.EndIntent(ownership.Withdrawn, owned.name, action.Fence, action.Name)})
	case fleet.OrderUnload, fleet.OrderRaise:
		if !owned.orders.TryPush(order{action: action, validUntil: status.LeaseUntil}) {
			orderEnded{owned, action, errors.New("too many orders wait")}.apply(c)
		}
	}
}

// sendOrders sends unloads and raises to one engine, one after another.
func (s *Scheduler) sendOrders(ctx context.Context, owned *ownedServer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case next := <-owned.orders.Items():
			err := s.send(ctx, owned, next)
			if s.inbox.Push(ctx, orderEnded{owned, next.action, err}) != nil {
				return nil
			}
		}
	}
}

func (s *Scheduler) send(ctx context.Context, owned *ownedServer, next order) error {
	bounded, cancel := context.WithTimeout(ctx, s.options.Settings.EngineTimeout.Std())
	defer cancel()
	by := engine.Order{Fence: next.action.Fence}
	if next.action.Kind == fleet.OrderRaise {
		return owned.control.RaiseFence(bounded, by)
	}
	if !time.Now().Before(next.validUntil) {
		return errLeaseEnded
	}
	return owned.control.Unload(bounded, by, next.action.Name)
}

// orderEnded is the result of an unload or a raise.
type orderEnded struct {
	owned  *ownedServer
	action fleet.Action
	err    error
}

func (m orderEnded) apply(c *core) {
	if !c.current(m.owned) {
		return
	}
	c.serversDirty = true
	fields := event.Fields{"server": m.owned.name, "load": m.action.Name}
	if m.action.Kind == fleet.OrderRaise {
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

// pollReports reads one engine's reports, more often while something loads or closes.
func (s *Scheduler) pollReports(ctx context.Context, owned *ownedServer) error {
	// The poll looks at the busy flag each ReportEveryBusy, so that a closing load waits no longer for a report.
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
	_ = s.inbox.Push(ctx, reported{owned, sent, report})
}

// reported is an engine's report that was asked for at sent.
type reported struct {
	owned  *ownedServer
	sent   time.Time
	report engine.Report
}

func (m reported) apply(c *core) {
	if !c.current(m.owned) {
		return
	}
	leaving := m.owned.server.Leaving()
	m.owned.server.Report(c.now(), m.sent, m.report)
	if now := m.owned.server.Leaving(); now != leaving {
		c.events.Emit(event.ServerLeaving, event.Fields{"server": m.owned.name, "leaving": now})
	}
	c.serversDirty = true
}

// working reports whether a load or an eviction is under way in the aggregate or waits for its turn.
func (o *ownedServer) working(now time.Time) bool {
	if len(o.waiting) > 0 {
		return true
	}
	for _, l := range o.server.Loads(now) {
		if l.State == fleet.Closing && o.server.LeaseValid(now) {
			return true
		}
	}
	return false
}
