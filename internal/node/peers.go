package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// usagePeriod is the time between two messages to a holder at rest. They also subscribe to its publications.
	usagePeriod = 500 * time.Millisecond
	// wantPeriod is the time between two messages while requests wait for loads.
	wantPeriod = 100 * time.Millisecond
	// urgentPause gathers demand that comes up at the same time.
	urgentPause = 2 * time.Millisecond
	// subscriberLifetime is after how long without a message a node gets no more publications.
	subscriberLifetime = 3 * time.Second
	// newcomerTime is how long a started node asks holders for all they know: its address may be known from before.
	newcomerTime = 1500 * time.Millisecond
	// assumedNodes is the number of nodes that share the retry budget until more is known.
	assumedNodes = 16
)

// peers are the nodes that this node has heard of.
type peers struct {
	mu    sync.Mutex
	heard map[string]time.Time
	// told is the largest number of nodes that a holder has told of lately.
	told   int
	toldAt time.Time
}

func newPeers() *peers { return &peers{heard: make(map[string]time.Time)} }

// note returns true when the peer wasn't heard of lately.
func (p *peers) note(now time.Time, peer string, nodes int) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew = now.Sub(p.heard[peer]) > subscriberLifetime
	p.heard[peer] = now
	if nodes >= p.told || now.Sub(p.toldAt) > subscriberLifetime {
		p.told, p.toldAt = nodes, now
	}
	return isNew
}

// alive returns the peers that were heard of lately.
func (p *peers) alive(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := make([]string, 0, len(p.heard))
	for peer, at := range p.heard {
		if now.Sub(at) > subscriberLifetime {
			delete(p.heard, peer)
			continue
		}
		alive = append(alive, peer)
	}
	return alive
}

// heardLately returns the number of nodes that were heard of lately, this one included. It's what a node may tell others:
// told numbers that are passed on would outlive the nodes.
func (p *peers) heardLately(now time.Time) int { return len(p.alive(now)) + 1 }

// count returns the number of nodes that share a site's bounds.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := max(p.told, len(p.heard)+1)
	if known <= 1 {
		return assumedNodes
	}
	return known
}

// takeMessage handles a message of a peer.
func (n *Node) takeMessage(now time.Time, message peerlink.Message) {
	if message.From == n.link.Address() {
		return
	}
	if n.peers.note(now, message.From, message.Nodes) || message.Newcomer {
		n.introduce(message.From)
	}
	n.view.Publish(now, message.Published()...)
	for _, arrival := range message.Arrived {
		n.view.Arrived(now, message.From, arrival.ServerID, arrival.AdapterVersion())
	}
	if message.Forgotten {
		n.connections.HeardSuspicion(now)
	}
	if message.Digest != nil {
		n.takeNews(*message.Digest, serving.ServerBatch{Present: message.Present, Gone: message.Gone})
		if message.Operator != nil {
			n.takeOperatorNews(*message.Digest, *message.Operator)
		}
		n.watch.heard(now, message.From, *message.Digest)
	}
	n.gates.answered(message.Granted, gateGranted)
	n.gates.answered(message.Queued, gateQueued)
	if message.Ask != nil {
		if held := n.holders.of(message.Ask.ServerID); held != nil {
			held.takeAsk(now, message.From, *message.Ask)
		}
	}
	if message.Read != nil {
		if held := n.holders.of(message.Read.ServerID); held != nil {
			held.takeRead(now, message.From, *message.Read)
		}
	}
	for _, entry := range message.Usage {
		if held := n.holders.of(entry.ServerID); held != nil {
			held.noteUsage(now, entry.Decode(message.From))
		}
	}
}

// sendUsage tells each holder what this node's requests want and use of its servers.
func (n *Node) sendUsage(ctx context.Context) error {
	period := usagePeriod
	var sentAt time.Time
	for {
		if !delay.Until(ctx, period, n.usage.Urgent()) {
			if ctx.Err() != nil {
				return nil
			}
			pause(ctx, urgentPause)
		}
		now := time.Now()
		if now.Sub(sentAt) >= usagePeriod {
			n.sendUsageOnce(now)
			sentAt = now
		} else {
			n.sendWants(now)
		}
		period = time.Until(sentAt.Add(usagePeriod))
		if n.usage.Waiting() {
			period = min(period, wantPeriod)
		}
	}
}

// sendWants tells only the holders that are to load something.
func (n *Node) sendWants(now time.Time) {
	out := n.newOutbox(now)
	for server, usage := range n.usage.CollectWanted(now) {
		out.addUsage(server, usage)
	}
	out.send()
}

func (n *Node) sendUsageOnce(now time.Time) {
	collected := n.usage.Collect(now)
	out := n.newOutbox(now)
	for _, server := range n.view.Entries(now) {
		if usage, used := collected[server.ID]; used {
			out.addUsage(server.ID, usage)
		} else if n.holders.of(server.ID) == nil {
			// Without any usage, the message still subscribes to the holder's publications.
			out.to(n.holderOf(now, server.ID))
		}
	}
	for _, reader := range n.leases.readers() {
		out.to(reader)
	}
	out.send()
}

// holderOf returns the peer address of a server's holder, or an empty string. The store's word goes first, as a new
// holder learns of this node by its messages.
func (n *Node) holderOf(now time.Time, serverID string) string {
	if owner := n.leases.owner(serverID); owner != "" {
		return owner
	}
	return n.view.Holder(now, serverID)
}
