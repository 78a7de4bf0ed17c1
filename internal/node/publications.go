package node

import (
	"context"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

const (
	// publishPeriod is the time between two publications of an unchanged state.
	publishPeriod = 500 * time.Millisecond
	// batchPeriod is the time during which the changes of all servers of a holder are collected into one message.
	// Nodes whose requests wait for an adapter are notified of its arrival at once.
	batchPeriod = 100 * time.Millisecond
	// batchPeriodPerPeer lengthens it on large sites, up to maximumBatchPeriod: all nodes receive the messages of all holders.
	batchPeriodPerPeer = 1250 * time.Microsecond
	maximumBatchPeriod = 250 * time.Millisecond
	// fullPeriod is the time between two publications that list all adapters.
	fullPeriod = 3 * time.Second
	// waitStep is the least change of an estimated wait that causes a publication.
	waitStep = 75 * time.Millisecond
	// statesPerMessage limits datagrams to a few kilobytes.
	statesPerMessage = 8
)

// publication is the state of one server as a holder has published it.
type publication struct {
	// local is the state in this node's own view, sent the latest one that was sent to other nodes.
	local   serverview.Published
	localAt time.Time
	sent    serverview.Published
	sentAt  time.Time
	// full is the latest sent state that listed all adapters; later ones are sent as differences from it.
	full   serverview.Published
	fullAt time.Time
}

// publishLocal updates this node's own view when the server's state has changed or publishPeriod has passed, and
// notifies the nodes whose requests wait for an adapter that has arrived.
func (h *holder) publishLocal(fence int64) {
	now := time.Now()
	ordersIn := h.node.leases.orderDelay(h.server.ID)
	h.mu.Lock()
	p := &h.publication
	backlog, slots := h.gate.Backlog(), h.core.SlotQueue(now)
	slots.OrdersIn = max(ordersIn, h.node.view.RestsFor(now, h.server.ID))
	step := h.steps.Cost(now)
	tolerance, brittle := h.node.view.Tolerance(now, h.server.ID)
	changed := brittle != p.local.Tolerance.Named || h.core.Revision() != p.local.Revision || fence != p.local.Fence ||
		(backlog-p.local.Backlog).Abs() >= waitStep || slotWaitsDiffer(slots, p.local.Slots) ||
		slownessDiffers(step, p.local.Step)
	if !changed && now.Sub(p.localAt) < publishPeriod {
		h.mu.Unlock()
		return
	}
	snapshot := h.core.Snapshot(now)
	state := serverview.Published{
		Revision: snapshot.Revision, ServerID: h.server.ID, Born: h.server.Born, Holder: h.node.link.Address(),
		Fence: fence, Sequence: p.local.Sequence + 1, Ready: snapshot.Ready, Slots: slots,
		Adapters: snapshot.Adapters, Hot: snapshot.Hot, Waiting: snapshot.Waiting, Running: snapshot.Running,
		Backlog: backlog, Asked: h.gate.Asked() - h.askedAtReport, Arrivals: h.gate.Arrivals(now),
		Step: step, LoadTimes: h.core.LoadTimes(),
	}
	if brittle {
		state.Tolerance = serving.NamedRate{Named: true, PerSecond: tolerance.PerSecond}
		state.ToleranceAge = now.Sub(tolerance.NamedAt)
	}
	if !h.reportedAt.IsZero() {
		state.LoadAge = now.Sub(h.reportedAt)
	}
	urgent := state.Ready != p.local.Ready || slownessDiffers(step, p.local.Step)
	arrivals := h.arrivals(now, p.local.Adapters, state.Adapters)
	p.local, p.localAt = state, now
	h.mu.Unlock()
	h.node.view.Publish(now, state)
	arrivals.send()
	if urgent {
		notify(h.node.publishNow)
	}
}

// slownessDiffers reports whether a server has become slow or no longer is, which nodes have to know within its spell.
func slownessDiffers(a, b steptime.Cost) bool { return (a.Slowness > 1) != (b.Slowness > 1) }

// slotWaitsDiffer reports whether the estimated wait of any rank differs by waitStep or more.
func slotWaitsDiffer(a, b serving.SlotQueue) bool {
	for rank := range serving.RankCount {
		if (a.Wait(rank) - b.Wait(rank)).Abs() >= waitStep {
			return true
		}
	}
	return false
}

// arrivals returns the messages to the nodes whose requests wait for an adapter version that is in after but not in
// before. The caller holds h.mu.
func (h *holder) arrivals(now time.Time, before, after map[serving.Adapter]int) *outbox {
	out := h.node.newOutbox(now)
	for adapter, version := range after {
		if previous, found := before[adapter]; found && previous == version {
			continue
		}
		for _, peer := range h.core.Wanting(now, adapter) {
			if message := out.messageTo(peer); message != nil {
				message.Arrived = append(message.Arrived, peerlink.Arrival{
					ServerID: h.server.ID, Adapter: adapter.String(), Version: version,
				})
			}
		}
	}
	return out
}

// due returns the state to send to the other nodes, if it has changed or was last sent publishPeriod ago.
func (h *holder) due(now time.Time) (state serverview.Published, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &h.publication
	state = p.local
	changed := state.Tolerance.Named != p.sent.Tolerance.Named || state.Revision != p.sent.Revision ||
		state.Fence != p.sent.Fence || state.Ready != p.sent.Ready ||
		(state.Backlog-p.sent.Backlog).Abs() >= waitStep || slotWaitsDiffer(state.Slots, p.sent.Slots) ||
		slownessDiffers(state.Step, p.sent.Step)
	if p.localAt.IsZero() || !changed && now.Sub(p.sentAt) < publishPeriod {
		return state, false
	}
	// What the gate knows is current, the rest is as old as the local publication.
	state.LoadAge += now.Sub(p.localAt)
	state.Asked, state.Arrivals = h.gate.Asked()-h.askedAtReport, h.gate.Arrivals(now)
	// Every message gets a new sequence number, as receivers drop states that aren't newer.
	p.local.Sequence++
	state.Sequence = p.local.Sequence
	p.sent, p.sentAt = state, now
	if now.Sub(p.fullAt) >= fullPeriod || p.full.Fence != state.Fence || p.full.Born != state.Born {
		p.full, p.fullAt = state, now
		return state, true
	}
	return state.Since(p.full), true
}

// fullStates returns the latest full state and the changes since, from which a node without any state can start.
func (h *holder) fullStates() (states []serverview.Published) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &h.publication
	if p.fullAt.IsZero() {
		return nil
	}
	states = append(states, p.full)
	if p.sent.Sequence > p.full.Sequence {
		states = append(states, p.sent.Since(p.full))
	}
	return states
}

// sendFullStates sends the full states of this node's servers to a peer that has just started or was not alive before.
func (n *Node) sendFullStates(peer string) {
	n.holders.mu.Lock()
	var states []serverview.Published
	for _, holder := range n.holders.byID {
		states = append(states, holder.fullStates()...)
	}
	n.holders.mu.Unlock()
	n.sendStates(time.Now(), states, peer)
}

// due returns the states to send to the other nodes.
func (h *holders) due(now time.Time) (states []serverview.Published) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, holder := range h.byID {
		if state, due := holder.due(now); due {
			states = append(states, state)
		}
	}
	return states
}

// batchPeriodFor returns the batch period of a holder that publishes to so many nodes.
func batchPeriodFor(peers int) time.Duration {
	return min(max(time.Duration(peers)*batchPeriodPerPeer, batchPeriod), maximumBatchPeriod)
}

// publishStates sends the states of this node's servers to the other nodes until ctx ends.
func (n *Node) publishStates(ctx context.Context) error {
	period := batchPeriod
	for ctx.Err() == nil {
		delay.Until(ctx, period, n.publishNow)
		now := time.Now()
		peers := n.peers.alive(now)
		n.sendStates(now, n.holders.due(now), peers...)
		period = batchPeriodFor(len(peers))
	}
	return nil
}

func (n *Node) sendStates(now time.Time, states []serverview.Published, peers ...string) {
	if len(states) == 0 {
		return
	}
	nodes, idleResets := n.peers.aliveNodes(now), n.connections.DetectedIdleDrops(now)
	for chunk := range slices.Chunk(states, statesPerMessage) {
		message := peerlink.Message{Nodes: nodes, IdleResetsSeen: idleResets}
		for _, state := range chunk {
			message.AddState(state)
		}
		n.link.Send(message, peers...)
	}
}
