package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
)

const (
	// usagePeriod is the time between two messages to a holder without urgent demand. Each message also renews the
	// subscription to the holder's publications.
	usagePeriod = 500 * time.Millisecond
	// demandPeriod is the time between two messages while requests wait for adapters to be loaded.
	demandPeriod = 100 * time.Millisecond
	// urgentBatchDelay delays urgent demand, so that requests that arrive together share a message.
	urgentBatchDelay = 2 * time.Millisecond
	// keepAlivePause is the time between two messages without content to a peer, for each such peer; the messages of a node to
	// all peers are then spread at that pause. maximumKeepAlive allows three attempts within subscriberLifetime.
	keepAlivePause   = 60 * time.Millisecond
	maximumKeepAlive = time.Second
	// keepAliveSlack keeps a message that is due a little later from waiting another usagePeriod.
	keepAliveSlack = 100 * time.Millisecond
	// subscriberLifetime is how long after its latest message a node counts as alive and gets publications.
	subscriberLifetime = 3 * time.Second
	// fullStatePeriod is how long a node requests full states after its start. Holders may still count its address as
	// alive from before a restart, and send it only changes otherwise.
	fullStatePeriod = 1500 * time.Millisecond
	// assumedNodes is the number of nodes that share the retry budget until the first peer is known.
	assumedNodes = 16
)

// peers tracks the other nodes by the messages that they send.
type peers struct {
	mu sync.Mutex
	// byAddress holds the peers that have sent a message.
	byAddress map[string]peer
	// sentAt holds when this node last sent usage, or a message without content, to a peer.
	sentAt map[string]time.Time
	// reportedNodes is the largest number of live nodes in recent messages of peers, as of reportedAt.
	reportedNodes int
	reportedAt    time.Time
}

type peer struct {
	lastSeen time.Time
	zone     string
	// linkMbps is the bandwidth of the peer's network link; 0 if it isn't known.
	linkMbps float64
}

func newPeers() *peers {
	return &peers{byAddress: make(map[string]peer), sentAt: make(map[string]time.Time)}
}

// noteSent records a message to a peer that shows it that this node is alive.
func (p *peers) noteSent(now time.Time, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt[address] = now
}

// keepAliveDue returns those of the given peers to which this node has sent nothing for so long that they need a message.
func (p *peers) keepAliveDue(now time.Time, addresses map[string]bool) (due []string) {
	period := min(max(time.Duration(len(addresses))*keepAlivePause, usagePeriod), maximumKeepAlive)
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.sentAt {
		if !addresses[address] {
			delete(p.sentAt, address)
		}
	}
	for address := range addresses {
		// With few peers each regular round reaches all of them, also those that have just got urgent usage.
		if period <= usagePeriod || now.Sub(p.sentAt[address]) >= period-keepAliveSlack {
			due = append(due, address)
		}
	}
	return due
}

// recordSeen records a message of a peer with its availability zone and the number of nodes. It returns true when the
// peer was not alive before.
func (p *peers) recordSeen(now time.Time, address, zone string, nodes int) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew = now.Sub(p.byAddress[address].lastSeen) > subscriberLifetime
	p.byAddress[address] = peer{lastSeen: now, zone: zone, linkMbps: p.byAddress[address].linkMbps}
	if nodes >= p.reportedNodes || now.Sub(p.reportedAt) > subscriberLifetime {
		p.reportedNodes, p.reportedAt = nodes, now
	}
	return isNew
}

// alive returns the addresses of the peers whose latest message is recent, and removes the others.
func (p *peers) alive(now time.Time) []string {
	nodes := p.aliveWithZones(now)
	addresses := make([]string, 0, len(nodes))
	for _, node := range nodes {
		addresses = append(addresses, node.Address)
	}
	return addresses
}

// aliveWithZones is alive with the availability zones of the peers.
func (p *peers) aliveWithZones(now time.Time) []streamorigin.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := make([]streamorigin.Node, 0, len(p.byAddress))
	for address, peer := range p.byAddress {
		if now.Sub(peer.lastSeen) > subscriberLifetime {
			delete(p.byAddress, address)
			continue
		}
		alive = append(alive, streamorigin.Node{Address: address, Zone: peer.zone})
	}
	return alive
}

// takers returns the live peers as takers of requests.
func (p *peers) takers(now time.Time) (takers []taker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, peer := range p.byAddress {
		if now.Sub(peer.lastSeen) <= subscriberLifetime {
			takers = append(takers, taker{address: address, zone: peer.zone, linkMbps: peer.linkMbps})
		}
	}
	return takers
}

// noteLink records the bandwidth of a peer's network link.
func (p *peers) noteLink(address string, linkMbps float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, found := p.byAddress[address]; found {
		known.linkMbps = linkMbps
		p.byAddress[address] = known
	}
}

// wellConnected returns the live peers whose links have at least half of the largest known bandwidth, own included, and
// whether this node's own has. Without a bandwidth of its own a node tells no peers apart and returns nil.
func (p *peers) wellConnected(now time.Time, own float64) (addresses map[string]bool, self bool) {
	if own <= 0 {
		return nil, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	largest := own
	for _, peer := range p.byAddress {
		if now.Sub(peer.lastSeen) <= subscriberLifetime {
			largest = max(largest, peer.linkMbps)
		}
	}
	addresses = make(map[string]bool)
	for address, peer := range p.byAddress {
		if now.Sub(peer.lastSeen) <= subscriberLifetime && peer.linkMbps >= largest/2 {
			addresses[address] = true
		}
	}
	return addresses, own >= largest/2
}

// aliveNodes returns the number of live nodes that this node has observed itself, including itself. Only this number is
// sent to peers: if nodes relayed the numbers of others, dead nodes would be counted forever.
func (p *peers) aliveNodes(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	alive := 1
	for _, peer := range p.byAddress {
		if now.Sub(peer.lastSeen) <= subscriberLifetime {
			alive++
		}
	}
	return alive
}

// count returns the number of nodes that share the bounds of a site, such as the retry budget.
func (p *peers) count() int {
	if observed := p.observed(); observed > 0 {
		return observed
	}
	return assumedNodes
}

// observed returns the number of nodes of the site; 0 until the first peer is known.
func (p *peers) observed() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known := max(p.reportedNodes, len(p.byAddress)+1); known > 1 {
		return known
	}
	return 0
}

// handleMessage processes a message of a peer.
func (n *Node) handleMessage(now time.Time, message peerlink.Message) {
	if message.From == n.link.Address() {
		return
	}
	if n.peers.recordSeen(now, message.From, message.Zone, message.Nodes) || message.FullStatesRequested {
		n.sendFullStates(message.From)
		n.crashes.sendBlocks(now, message.From)
		n.notices.sendTo(now, message.From)
	}
	n.peers.noteLink(message.From, message.LinkMbps)
	n.view.Publish(now, message.Published()...)
	for _, arrival := range message.Arrived {
		n.view.Arrived(now, message.From, arrival.ServerID, arrival.AdapterVersion())
	}
	if message.IdleResetsSeen {
		n.connections.NotePeerSuspicion(now)
	}
	if message.Digest != nil {
		n.applyDigest(now, message)
	}
	n.admission.deliver(message.Granted, admissionGranted)
	n.admission.deliver(message.Queued, admissionQueued)
	if message.AdmissionRequest != nil {
		if holder := n.holders.get(message.AdmissionRequest.ServerID); holder != nil {
			holder.handleAdmissionRequest(now, message.From, *message.AdmissionRequest)
		}
	}
	if message.AdmissionRelease != nil {
		if holder := n.holders.get(message.AdmissionRelease.ServerID); holder != nil {
			holder.handleAdmissionRelease(now, message.From, *message.AdmissionRelease)
		}
	}
	n.origins.handleMessage(now, message)
	n.limits.handleMessage(now, message)
	n.tolerances.handleMessage(now, message)
	n.notices.handleMessage(now, message)
	n.slots.handleMessage(now, message)
	n.quotas.handleMessage(message)
	n.crashes.handleMessage(now, message)
	n.reach.handleMessage(now, message)
	n.keys.handleMessage(message)
	for _, entry := range message.Usage {
		if holder := n.holders.get(entry.ServerID); holder != nil {
			holder.recordUsage(now, entry.Decode(message.From))
		}
	}
}

// sendUsage reports this node's demand for and use of each server to its holder until ctx ends.
func (n *Node) sendUsage(ctx context.Context) error {
	period := usagePeriod
	var sentAt time.Time
	for {
		if !delay.Until(ctx, period, n.usage.Urgent()) {
			if ctx.Err() != nil {
				return nil
			}
			pause(ctx, urgentBatchDelay)
		}
		now := time.Now()
		if now.Sub(sentAt) >= usagePeriod {
			n.sendUsageOnce(now)
			sentAt = now
		} else {
			n.sendUrgentUsage(now)
		}
		period = time.Until(sentAt.Add(usagePeriod))
		if n.usage.Waiting() {
			period = min(period, demandPeriod)
		}
	}
}

// sendUrgentUsage sends the usage of only those servers on which requests wait for an adapter to be loaded, or where the
// use of an adapter has begun or ended.
func (n *Node) sendUrgentUsage(now time.Time) {
	out := n.newOutbox(now)
	for server, usage := range n.usage.CollectUrgent(now) {
		out.addUsage(server, usage)
	}
	out.send()
}

func (n *Node) sendUsageOnce(now time.Time) {
	collected := n.usage.Collect(now)
	out := n.newOutbox(now)
	subscribed := make(map[string]bool)
	for _, server := range n.view.Entries(now) {
		if usage, used := collected[server.ID]; used {
			out.addUsage(server.ID, usage)
		}
		if n.holders.get(server.ID) == nil {
			subscribed[n.holderOf(now, server.ID)] = true
		}
	}
	for _, reader := range n.leases.readers() {
		subscribed[reader] = true
	}
	delete(subscribed, "")
	// A message without usage still renews the subscription to what holders and readers publish.
	for _, peer := range n.peers.keepAliveDue(now, subscribed) {
		out.messageTo(peer)
	}
	out.send()
}

// holderOf returns the peer address of a server's holder, or an empty string. The owner according to the store takes
// precedence over publications, as a new holder publishes to this node only after it has received a message from it.
func (n *Node) holderOf(now time.Time, serverID string) string {
	if owner := n.leases.owner(serverID); owner != "" {
		return owner
	}
	return n.view.Holder(now, serverID)
}
