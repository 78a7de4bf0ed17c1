package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// defaultMaxPause holds when no route bounds the pauses of its streams.
const defaultMaxPause = 250 * time.Millisecond

// holders are the model servers that this node gives orders to.
type holders struct {
	node *Node
	mu   sync.Mutex
	held map[string]*holder
}

// holder carries out what the core of one server's residency decides. An entry of another start of the server gets a
// holder of its own.
type holder struct {
	node   *Node
	server serving.Server
	stop   context.CancelFunc
	done   chan struct{}
	wake   chan struct{}

	mu   sync.Mutex
	core *residency.Core
	// incarnation is the start of the server that its latest report gave, in Unix milliseconds; 0 when none did.
	incarnation int64
	gate        *prefillgate.Core
	gateTimer   *time.Timer
	publication publication
}

func newHolders(node *Node) *holders { return &holders{node: node, held: make(map[string]*holder)} }

// reconcile starts a holder for each server whose lease this node holds, and stops the others.
func (h *holders) reconcile() {
	config := h.node.forwarder.Config()
	if config == nil {
		return
	}
	wanted := make(map[string]serving.Server)
	engines := 0
	for _, server := range h.node.view.Entries(time.Now()) {
		if config.Services[server.Service].Engine == nil {
			continue
		}
		engines++
		if _, holds := h.node.leases.holds(server.ID); holds && !server.Draining {
			wanted[server.ID] = server
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, held := range h.held {
		server, wants := wanted[id]
		if !wants || server.Born != held.server.Born || server.Address != held.server.Address {
			held.stop()
			<-held.done
			delete(h.held, id)
		}
	}
	for id, server := range wanted {
		if h.held[id] == nil && h.node.ctx.Err() == nil {
			engine := *config.Services[server.Service].Engine
			pause := config.ShortestPause(server.Service, defaultMaxPause)
			h.held[id] = h.start(server, residency.Options{Engine: engine, Servers: engines}, pause)
		}
	}
}

func (h *holders) start(server serving.Server, options residency.Options, maxPause time.Duration) *holder {
	ctx, stop := context.WithCancel(h.node.ctx)
	held := &holder{
		node: h.node, server: server, stop: stop, done: make(chan struct{}), wake: make(chan struct{}, 1),
		core: h.node.newCore(options),
		gate: prefillgate.New(prefillgate.Options{TokensPerMs: h.node.settings.PrefillTokensPerMs, MaxPause: maxPause}),
	}
	go held.run(ctx, options)
	return held
}

// newCore returns the core of a server of which nothing is known but the declared versions.
func (n *Node) newCore(options residency.Options) *residency.Core {
	core := residency.New(options)
	now := time.Now()
	for _, version := range n.view.AllDeclared() {
		core.Declare(now, version)
	}
	return core
}

func (h *holders) of(serverID string) *holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[serverID]
}

func (h *holders) declare(version serving.AdapterVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.held {
		held.mu.Lock()
		held.core.Declare(time.Now(), version)
		held.mu.Unlock()
		held.poke()
	}
}

func (h *holder) poke() { poke(h.wake) }

// noteUsage takes what a gateway says of the server.
func (h *holder) noteUsage(now time.Time, usage residency.Usage) {
	h.mu.Lock()
	h.core.NoteUsage(now, usage)
	h.mu.Unlock()
	if len(usage.Wants) > 0 {
		h.poke()
	}
}

// run carries out the core's actions until ctx ends.
func (h *holder) run(ctx context.Context, options residency.Options) {
	defer close(h.done)
	for ctx.Err() == nil {
		fence, holds := h.node.leases.holds(h.server.ID)
		h.mu.Lock()
		action := h.core.Next(time.Now(), holds)
		h.mu.Unlock()
		switch action.Kind {
		case residency.Report:
			h.report(ctx, options)
		case residency.Order:
			h.order(ctx, action, fence)
		case residency.Wait:
			h.await(ctx, action.Until)
		}
		h.noteState(fence)
	}
}

func (h *holder) await(ctx context.Context, until time.Time) {
	delay.Until(ctx, min(max(time.Until(until), time.Millisecond), publishPeriod), h.wake)
}

func (h *holder) report(ctx context.Context, options residency.Options) {
	asked := time.Now()
	report, err := h.node.servers.Report(ctx, h.server)
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.node.events.EmitError(event.ServerReportFailed, err, event.Fields{"server": h.server.ID})
		h.core.ReportFailed(time.Now())
		return
	}
	reborn := h.incarnation != 0 && report.Born != 0 && report.Born != h.incarnation
	if report.Born != 0 {
		h.incarnation = report.Born
	}
	if h.core.Reported(asked, time.Now(), report) || reborn {
		h.node.events.Emit(event.ServerRestarted, event.Fields{"server": h.server.ID, "born": report.Born})
		h.core = h.node.newCore(options)
		h.core.Reported(asked, time.Now(), report)
	}
}

func (h *holder) order(ctx context.Context, action residency.Action, fence int64) {
	order := action.Order
	order.Holder = h.node.settings.Node.Name
	order.Fence = fence
	outcome, err := h.node.servers.Order(ctx, h.server, order)
	if !action.Repeats || outcome != serving.OrderAccepted {
		h.logOrder(action, order, outcome, err)
	}
	h.mu.Lock()
	h.core.Ordered(time.Now(), order, outcome)
	h.mu.Unlock()
	if outcome == serving.OrderFenced {
		h.node.leases.fenced(h.server.ID)
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
