package node

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// defaultMaxPause is used when no route of the service bounds the pauses of its streams.
const defaultMaxPause = 250 * time.Millisecond

// holders is the set of holders of this node, one for each model server that it gives orders to.
type holders struct {
	node *Node
	mu   sync.Mutex
	byID map[string]*holder
	// reports and orders count the calls to the servers.
	reports, orders metrics.Counter
}

// holder executes the decisions of the residency core of one server. After a restart of the server, its new entry gets
// a new holder.
type holder struct {
	node   *Node
	server serving.Server
	stop   context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu   sync.Mutex
	core *residency.Core
	// incarnation is the server's start time in its latest report, in Unix milliseconds; 0 when no report had one.
	incarnation int64
	// reportedAt is when the latest report was requested, and askedAtReport the number of prompts that the gate had been
	// asked to admit by then.
	reportedAt    time.Time
	askedAtReport int
	gate          *prefillgate.Core
	steps         *steptime.Core
	grantTimer    *time.Timer
	publication   publication
}

func newHolders(node *Node) *holders {
	return &holders{
		node: node, byID: make(map[string]*holder),
		reports: metrics.GetOrRegisterCounter("holders.reports", nil),
		orders:  metrics.GetOrRegisterCounter("holders.orders", nil),
	}
}

// reconcile starts a holder for each server whose lease this node holds, and stops the others.
func (h *holders) reconcile() {
	config := h.node.forwarder.Config()
	if config == nil {
		return
	}
	leased := make(map[string]serving.Server)
	engines := 0
	now := time.Now()
	for _, server := range h.node.view.Entries(now) {
		if config.Services[server.Service].Engine == nil {
			continue
		}
		engines++
		if _, holds := h.node.leases.holds(server.ID); holds && h.node.view.InUse(now, server.ID) {
			leased[server.ID] = server
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, running := range h.byID {
		server, isLeased := leased[id]
		if !isLeased || server.Born != running.server.Born || server.Address != running.server.Address {
			running.stop()
			<-running.done
			delete(h.byID, id)
		}
	}
	for id, server := range leased {
		if h.byID[id] == nil && h.node.ctx.Err() == nil {
			engine := *config.Services[server.Service].Engine
			pause := config.ShortestPause(server.Service, defaultMaxPause)
			h.byID[id] = h.start(server, residency.Options{Engine: engine, Servers: engines}, pause)
		}
	}
}

func (h *holders) start(server serving.Server, options residency.Options, maxPause time.Duration) *holder {
	ctx, stop := context.WithCancel(h.node.ctx)
	started := &holder{
		node: h.node, server: server, stop: stop, done: make(chan struct{}), wake: make(chan struct{}, 1),
		core: h.node.newCore(options),
		gate: prefillgate.New(prefillgate.Options{MaxPause: maxPause}), steps: steptime.New(),
	}
	go started.run(ctx, options)
	return started
}

// newCore returns a core with the declared versions, for a server whose state is not known yet.
func (n *Node) newCore(options residency.Options) *residency.Core {
	core := residency.New(options)
	now := time.Now()
	for _, version := range n.view.AllDeclared() {
		core.Declare(now, version)
	}
	return core
}

func (h *holders) get(serverID string) *holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byID[serverID]
}

func (h *holders) declare(version serving.AdapterVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holder := range h.byID {
		holder.mu.Lock()
		holder.core.Declare(time.Now(), version)
		holder.mu.Unlock()
		holder.notify()
	}
}

func (h *holder) notify() { notify(h.wake) }

// recordUsage records a node's demand for and use of the server.
func (h *holder) recordUsage(now time.Time, usage residency.Usage) {
	h.mu.Lock()
	h.core.NoteUsage(now, usage)
	changed := h.observeEvents(now, usage)
	h.mu.Unlock()
	if len(usage.Wants) > 0 || changed {
		h.notify()
	}
}

// observeEvents learns from the events that a node saw, and returns true when the server has become slow or no longer is.
// The caller holds h.mu.
func (h *holder) observeEvents(now time.Time, usage residency.Usage) (changed bool) {
	if usage.Events == 0 || usage.EventsBorn != h.server.Born {
		return false
	}
	before := h.steps.Cost(now).Slowness
	observed := steptime.Observation{Gap: usage.EventGap, Events: usage.Events}
	h.steps.Observe(now, usage.Node, observed, h.core.Running())
	slowness := h.steps.Cost(now).Slowness
	if changed = (before > 1) != (slowness > 1); changed {
		h.node.logSlowness(h.server, h.steps.Cost(now), h.core.Running())
	}
	return changed
}

// run executes the core's actions until ctx ends.
func (h *holder) run(ctx context.Context, options residency.Options) {
	defer close(h.done)
	for ctx.Err() == nil {
		fence, mayOrder := h.node.leases.mayOrder(h.server.ID)
		callInterval, now := h.callInterval(), time.Now()
		h.mu.Lock()
		h.core.SetCallInterval(callInterval)
		h.core.SetRest(now.Add(h.node.view.RestsFor(now, h.server.ID)))
		action := h.core.Next(now, mayOrder)
		h.mu.Unlock()
		switch action.Kind {
		case residency.Report:
			h.report(ctx, options)
		case residency.Order:
			h.order(ctx, action, fence)
		case residency.Wait:
			h.wait(ctx, action.Until)
		}
		h.publishLocal(fence)
	}
}

// callInterval returns the least time between two calls that the server's limit allows; zero without a limit.
func (h *holder) callInterval() time.Duration {
	if perSecond, limited := h.node.view.Limit(h.server.ID); limited {
		return requestlimit.CallInterval(perSecond)
	}
	return 0
}

func (h *holder) wait(ctx context.Context, until time.Time) {
	delay.Until(ctx, min(max(time.Until(until), time.Millisecond), publishPeriod), h.wake)
}

func (h *holder) report(ctx context.Context, options residency.Options) {
	requestedAt := time.Now()
	h.node.holders.reports.Inc(1)
	h.node.limits.charge(h.server.ID)
	h.mu.Lock()
	asked := h.gate.Asked()
	h.mu.Unlock()
	report, err := h.node.servers.Report(ctx, h.server)
	if ctx.Err() != nil {
		return
	}
	h.node.notices.called(h.server, report.Notice, requestedAt)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.node.events.EmitError(event.ServerReportFailed, err, event.Fields{"server": h.server.ID})
		if report.Notice.Rest == 0 {
			h.core.ReportFailed(time.Now())
		}
		return
	}
	h.reportedAt, h.askedAtReport = requestedAt, asked
	h.gate.Reported(requestedAt, report.Running+report.Waiting)
	restarted := h.incarnation != 0 && report.Born != 0 && report.Born != h.incarnation
	if report.Born != 0 {
		h.incarnation = report.Born
	}
	if h.core.Reported(requestedAt, time.Now(), report) || restarted {
		h.node.events.Emit(event.ServerRestarted, event.Fields{"server": h.server.ID, "born": report.Born})
		h.core = h.node.newCore(options)
		h.steps = steptime.New()
		h.core.Reported(requestedAt, time.Now(), report)
	}
}

func (h *holder) order(ctx context.Context, action residency.Action, fence int64) {
	order := action.Order
	order.Holder = h.node.settings.Node.Name
	order.Fence = fence
	h.node.holders.orders.Inc(1)
	h.node.limits.charge(h.server.ID)
	// The process may have been suspended, or the connection slow, since the lease was checked.
	stillAllowed := func() bool {
		current, may := h.node.leases.mayOrder(h.server.ID)
		return may && current == fence && h.node.view.RestsFor(time.Now(), h.server.ID) == 0
	}
	sentAt := time.Now()
	result, err := h.node.servers.Order(ctx, h.server, order, stillAllowed)
	outcome := result.Outcome
	h.node.notices.called(h.server, result.Notice, sentAt)
	if !action.Repeats || outcome != serving.OrderAccepted {
		h.logOrder(action, order, outcome, err)
	}
	if outcome == serving.OrderUnsent && !stillAllowed() {
		return
	}
	h.mu.Lock()
	h.core.Ordered(time.Now(), order, outcome)
	h.mu.Unlock()
	if outcome == serving.OrderFenced {
		h.node.leases.recordFenced(h.server.ID, order.Fence)
	}
}

func (h *holder) logOrder(action residency.Action, order serving.Order, outcome serving.OrderOutcome, err error) {
	fields := event.Fields{
		"server": h.server.ID, "order": order.Kind.String(), "adapter": order.Adapter.String(), "version": order.Version,
		"fence": order.Fence, "after": order.AfterOrders, "reason": action.Reason, "outcome": outcome.String(),
	}
	if err != nil {
		fields["error"] = err.Error()
	}
	h.node.events.Emit(event.OrderGiven, fields)
}
