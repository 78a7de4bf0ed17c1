package node

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/residency"
)

// outbox collects one message for each peer, so that everything for a peer at one moment is sent together.
type outbox struct {
	node     *Node
	now      time.Time
	messages map[string]*peerlink.Message
	// nodeCount is the number of live nodes; 0 until the first message needs it.
	nodeCount int
}

func (n *Node) newOutbox(now time.Time) *outbox {
	return &outbox{node: n, now: now, messages: make(map[string]*peerlink.Message)}
}

// messageTo returns the message to a peer, creating it if needed. It returns nil for this node and for an empty
// address.
func (o *outbox) messageTo(peer string) *peerlink.Message {
	if peer == "" || peer == o.node.link.Address() {
		return nil
	}
	if o.messages[peer] == nil {
		if o.nodeCount == 0 {
			o.nodeCount = o.node.peers.aliveNodes(o.now)
		}
		o.messages[peer] = &peerlink.Message{
			Nodes: o.nodeCount, FullStatesRequested: o.now.Sub(o.node.startedAt) < fullStatePeriod,
		}
	}
	return o.messages[peer]
}

// addUsage adds the usage of a server to the message to its holder, or records it directly if this node is the holder.
func (o *outbox) addUsage(server string, usage residency.Usage) {
	o.node.addEvents(o.now, server, &usage)
	if holder := o.node.holders.get(server); holder != nil {
		holder.recordUsage(o.now, usage)
		return
	}
	if message := o.messageTo(o.node.holderOf(o.now, server)); message != nil {
		message.Usage = append(message.Usage, peerlink.NewUsage(server, usage))
	}
}

func (o *outbox) send() {
	for peer, message := range o.messages {
		o.node.peers.noteSent(o.now, peer)
		o.node.link.Send(*message, peer)
	}
}
