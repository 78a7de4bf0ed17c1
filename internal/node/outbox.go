package node

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/residency"
)

// outbox gathers what is to be sent to each peer at one moment.
type outbox struct {
	node     *Node
	now      time.Time
	messages map[string]*peerlink.Message
	// nodes is the number of nodes that was heard of lately; 0 until the first message needs it.
	nodes int
}

func (n *Node) newOutbox(now time.Time) *outbox {
	return &outbox{node: n, now: now, messages: make(map[string]*peerlink.Message)}
}

// to returns the message to a peer, a new one if there is none yet. It returns nil for this node and for an unknown peer.
func (o *outbox) to(peer string) *peerlink.Message {
	if peer == "" || peer == o.node.link.Address() {
		return nil
	}
	if o.messages[peer] == nil {
		if o.nodes == 0 {
			o.nodes = o.node.peers.heardLately(o.now)
		}
		o.messages[peer] = &peerlink.Message{Nodes: o.nodes, Newcomer: o.now.Sub(o.node.startedAt) < newcomerTime}
	}
	return o.messages[peer]
}

// addUsage adds the usage of a server to the message to its holder, or hands it to the own holder.
func (o *outbox) addUsage(server string, usage residency.Usage) {
	if held := o.node.holders.of(server); held != nil {
		held.noteUsage(o.now, usage)
		return
	}
	if message := o.to(o.node.holderOf(o.now, server)); message != nil {
		message.Usage = append(message.Usage, peerlink.NewUsage(server, usage))
	}
}

func (o *outbox) send() {
	for peer, message := range o.messages {
		o.node.link.Send(*message, peer)
	}
}
