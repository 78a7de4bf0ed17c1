package node

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
)

const (
	// probeCheckPeriod is the time between two checks for servers to which a connection is to be tried.
	probeCheckPeriod = 250 * time.Millisecond
	// lostProbeCheckPeriod is probeCheckPeriod while servers are unreachable.
	lostProbeCheckPeriod = 100 * time.Millisecond
	// maximumProbes bounds the connections that are tried at once.
	maximumProbes = 64
	// unreachablePeriod is the time between two messages that list the servers which this node can't reach.
	unreachablePeriod = 500 * time.Millisecond
	// unreachableLifetime is how long such a message is valid.
	unreachableLifetime = 1600 * time.Millisecond
	// maximumUnreachable bounds the servers in such a message.
	maximumUnreachable = 128
	// notTakenPause is how long a node isn't chosen after it hasn't taken a request or couldn't be reached. The time of a
	// failed connection to it is then a small share.
	notTakenPause = time.Second
)

// reach finds out which servers this node and the others can reach, and chooses nodes that take requests. It implements
// forward.Peers.
type reach struct {
	node   *Node
	probes chan struct{}

	mu sync.Mutex
	// byPeer holds what peers last said that they can't reach.
	byPeer map[string]peerReach
	// pausedUntil holds the peers that didn't take a request.
	pausedUntil map[string]time.Time
	// named holds the nodes that readers have named as takers of requests, by address.
	named map[string]taker

	unreachable metrics.Gauge
}

// peerReach is what a peer can't reach, as of a time.
type peerReach struct {
	servers map[string]bool
	at      time.Time
}

func newReach(node *Node) *reach {
	return &reach{
		node: node, probes: make(chan struct{}, maximumProbes), byPeer: make(map[string]peerReach),
		pausedUntil: make(map[string]time.Time), named: make(map[string]taker),
		unreachable: metrics.GetOrRegisterGauge("reach.unreachableServers", nil),
	}
}

// run tries connections to servers that seem unreachable, and tells the other nodes which ones are.
func (r *reach) run(ctx context.Context) error {
	var sentAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		for _, probe := range r.node.view.ProbesDue(now) {
			r.try(ctx, probe)
		}
		lost := r.node.view.UnreachableServers(now)
		r.unreachable.Update(int64(len(lost)))
		period := probeCheckPeriod
		if len(lost) > 0 {
			period = lostProbeCheckPeriod
			if now.Sub(sentAt) >= unreachablePeriod {
				sentAt = now
				r.sendUnreachable(lost, r.recipients(now)...)
			}
		}
		delay.For(ctx, period)
	}
	return nil
}

func (r *reach) sendUnreachable(lost []string, peers ...string) {
	r.node.link.Send(peerlink.Message{UnreachableServers: lost[:min(len(lost), maximumUnreachable)]}, peers...)
}

// try opens a connection to a server in the background. Beyond maximumProbes it does nothing; the probe is due again later.
func (r *reach) try(ctx context.Context, probe serverview.Probe) {
	select {
	case r.probes <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-r.probes }()
		err := r.node.connections.Accepts(ctx, probe.Address)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if r.node.view.Reached(time.Now(), probe.ID) {
				r.node.events.Emit(event.ServerReachable, event.Fields{"server": probe.ID})
			}
			return
		}
		if r.node.view.Unreachable(time.Now(), probe.ID) {
			r.node.events.EmitError(event.ServerUnreachable, err, event.Fields{"server": probe.ID})
		}
	}()
}

// handleMessage processes the parts of a peer's message about servers that can't be reached.
func (r *reach) handleMessage(now time.Time, message peerlink.Message) {
	r.noteUnreachable(now, message)
	r.noteTakers(now, message.Takers)
}

// noteUnreachable records what a peer can't reach.
func (r *reach) noteUnreachable(now time.Time, message peerlink.Message) {
	if len(message.UnreachableServers) == 0 {
		return
	}
	servers := make(map[string]bool, len(message.UnreachableServers))
	for _, id := range message.UnreachableServers {
		servers[id] = true
	}
	r.mu.Lock()
	for peer, known := range r.byPeer {
		if now.Sub(known.at) > unreachableLifetime {
			delete(r.byPeer, peer)
		}
	}
	r.byPeer[message.From] = peerReach{servers: servers, at: now}
	r.mu.Unlock()
	r.nameTakers(now, message.From, message.Zone, message.UnreachableServers)
}

// Choose implements forward.Peers. Without nodes that readers have named, it prefers nodes of the own availability zone.
func (r *reach) Choose(servers []string, tried map[string]bool) (peer string) {
	now := time.Now()
	alive := r.node.peers.takers(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	unable := func(t taker) bool {
		return tried[t.address] || now.Before(r.pausedUntil[t.address]) || !r.reaches(now, t.address, servers)
	}
	able := slices.DeleteFunc(r.namedTakers(now), unable)
	if len(able) == 0 {
		able = slices.DeleteFunc(alive, unable)
		near := slices.DeleteFunc(slices.Clone(able), func(t taker) bool { return t.zone != r.node.settings.Node.Zone })
		if len(near) > 0 {
			able = near
		}
	}
	if len(able) == 0 {
		return ""
	}
	return drawTakers(able, 1)[0].address
}

// reaches reports whether a peer probably reaches one of the servers.
func (r *reach) reaches(now time.Time, peer string, servers []string) bool {
	known := r.byPeer[peer]
	if now.Sub(known.at) > unreachableLifetime {
		return true
	}
	return slices.ContainsFunc(servers, func(id string) bool { return !known.servers[id] })
}

// NotTaken implements forward.Peers.
func (r *reach) NotTaken(peer string) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for other, until := range r.pausedUntil {
		if now.After(until) {
			delete(r.pausedUntil, other)
		}
	}
	r.pausedUntil[peer] = now.Add(notTakenPause)
}

// servePeer serves what other nodes send over TCP: handed over requests and requests for snapshots. It takes requests from
// the addresses of nodes that it knows only.
func (n *Node) servePeer(snapshots http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case !forward.IsHandedOver(r):
			snapshots.ServeHTTP(w, r)
		case n.peers.isKnown(r.RemoteAddr):
			n.forwarder.ServePeer(w, r)
		default:
			n.events.Emit(event.HandoverRefused, event.Fields{"peer": r.RemoteAddr})
			forward.RefuseHandover(w, http.StatusForbidden)
		}
	})
}

// isKnown reports whether a live peer has the IP address of a connection.
func (p *peers) isKnown(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return false
	}
	return slices.ContainsFunc(p.alive(time.Now()), func(address string) bool {
		peer, _, err := net.SplitHostPort(address)
		return err == nil && peer == host
	})
}
