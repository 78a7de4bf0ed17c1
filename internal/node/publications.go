package node

import (
	"context"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// publishPeriod is the time between two publications of a state that didn't change.
	publishPeriod = 500 * time.Millisecond
	// batchPeriod is the time in which the changes of all servers of a holder are gathered into one message. A node
	// whose request waits for an adapter hears of it at once.
	batchPeriod = 100 * time.Millisecond
	// fullPeriod is the time between two publications that list all adapters.
	fullPeriod = 3 * time.Second
	// backlogStep is the change of a backlog that is worth a publication.
	backlogStep = 75 * time.Millisecond
	// statesPerMessage keeps datagrams at a few kilobytes.
	statesPerMessage = 8
)

// publication is what a holder has told of one server.
type publication struct {
	// local is the state as this node believes it, sent the one that the others were told last.
	local   serverview.Published
	localAt time.Time
	sent    serverview.Published
	sentAt  time.Time
	// full is the latest one that listed all adapters.
	full   serverview.Published
	fullAt time.Time
}

// noteState takes the server's state into this node's own view when it has changed, and tells the nodes whose requests
// wait for an adapter that has arrived.
func (h *holder) noteState(fence int64) {
	now := time.Now()
	h.mu.Lock()
	p := &h.publication
	backlog := h.gate.Backlog()
	changed := h.core.Revision() != p.local.Revision || fence != p.local.Fence || (backlog-p.local.Backlog).Abs() >= backlogStep
	if !changed && now.Sub(p.localAt) < publishPeriod {
		h.mu.Unlock()
		return
	}
	snapshot := h.core.Snapshot(now)
	state := serverview.Published{
		Revision: snapshot.Revision, ServerID: h.server.ID, Born: h.server.Born, Holder: h.node.link.Address(),
		Fence: fence, Sequence: p.local.Sequence + 1, Ready: snapshot.Ready, Full: snapshot.Full,
		Adapters: snapshot.Adapters, Hot: snapshot.Hot, Waiting: snapshot.Waiting, Running: snapshot.Running, Backlog: backlog,
	}
	urgent := state.Ready != p.local.Ready
	arrivals := h.arrivals(now, p.local.Adapters, state.Adapters)
	p.local, p.localAt = state, now
	h.mu.Unlock()
	h.node.view.Publish(now, state)
	arrivals.send()
	if urgent {
		poke(h.node.publishNow)
	}
}

// arrivals returns the messages to the nodes whose requests wait for an adapter that is in after and not in before.
func (h *holder) arrivals(now time.Time, before, after map[serving.Adapter]int) *outbox {
	out := h.node.newOutbox(now)
	for adapter, version := range after {
		if known, had := before[adapter]; had && known == version {
			continue
		}
		for _, peer := range h.core.Wanting(now, adapter) {
			if message := out.to(peer); message != nil {
				message.Arrived = append(message.Arrived, peerlink.Arrival{ServerID: h.server.ID, Adapter: adapter.String(), Version: version})
			}
		}
	}
	return out
}

// due returns the state for the other nodes, if it has changed or the last news is old.
func (h *holder) due(now time.Time) (state serverview.Published, due bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &h.publication
	state = p.local
	changed := state.Revision != p.sent.Revision || state.Fence != p.sent.Fence || state.Ready != p.sent.Ready ||
		(state.Backlog-p.sent.Backlog).Abs() >= backlogStep
	if p.localAt.IsZero() || !changed && now.Sub(p.sentAt) < publishPeriod {
		return state, false
	}
	// Each message has a number of its own, as receivers drop what isn't newer.
	p.local.Sequence++
	state.Sequence = p.local.Sequence
	p.sent, p.sentAt = state, now
	if now.Sub(p.fullAt) >= fullPeriod || p.full.Fence != state.Fence || p.full.Born != state.Born {
		p.full, p.fullAt = state, now
		return state, true
	}
	return state.Since(p.full), true
}

// introduction returns what a node that knows nothing yet needs: the latest full state, and what changed since.
func (h *holder) introduction() (states []serverview.Published) {
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

// introduce tells a node that has just started, or that wasn't heard for long, of the servers that this node holds.
func (n *Node) introduce(peer string) {
	n.holders.mu.Lock()
	var states []serverview.Published
	for _, held := range n.holders.held {
		states = append(states, held.introduction()...)
	}
	n.holders.mu.Unlock()
	n.sendStates(time.Now(), states, peer)
}

// due returns the states that other nodes are to be told.
func (h *holders) due(now time.Time) (states []serverview.Published) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, held := range h.held {
		if state, due := held.due(now); due {
			states = append(states, state)
		}
	}
	return states
}

// publishStates tells the other nodes of the servers that this node holds.
func (n *Node) publishStates(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Until(ctx, batchPeriod, n.publishNow)
		now := time.Now()
		n.sendStates(now, n.holders.due(now), n.peers.alive(now)...)
	}
	return nil
}

func (n *Node) sendStates(now time.Time, states []serverview.Published, peers ...string) {
	if len(states) == 0 {
		return
	}
	nodes, forgotten := n.peers.heardLately(now), n.connections.SeenForgotten(now)
	for chunk := range slices.Chunk(states, statesPerMessage) {
		message := peerlink.Message{Nodes: nodes, Forgotten: forgotten}
		for _, state := range chunk {
			message.AddState(state)
		}
		n.link.Send(message, peers...)
	}
}
