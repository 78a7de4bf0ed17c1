package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
)

const (
	// maximumTakers bounds the nodes that are named to one that can't reach servers.
	maximumTakers = 8
	// takerLifetime is how long a named node may be chosen. Names are repeated each unreachablePeriod.
	takerLifetime = 3 * time.Second
	// unknownLinkMbps stands for a bandwidth that isn't known.
	unknownLinkMbps = 10
)

// taker is a node that may take requests of others.
type taker struct {
	address, zone string
	linkMbps      float64
	// until is when a named node may no longer be chosen; meaningless for others.
	until time.Time
}

// nameTakers names nodes to a peer that can't reach servers. Nodes that hold nothing only know the readers and the holders of
// leases, which may be cut off as well, and are too few for the requests of many nodes. Readers know all nodes.
func (r *reach) nameTakers(now time.Time, to string, zone string, servers []string) {
	if !r.node.leases.isReader() {
		return
	}
	var message peerlink.Message
	for _, t := range r.takersFor(now, to, zone, servers) {
		message.Takers = append(message.Takers, peerlink.Taker{Address: t.address, Zone: t.zone, LinkMbps: t.linkMbps})
	}
	if len(message.Takers) > 0 {
		r.node.link.Send(message, to)
	}
}

// takersFor draws the nodes that are named to a peer: those of its zone, or of all zones when more nodes of its zone are cut
// off than are left there.
func (r *reach) takersFor(now time.Time, peer, zone string, servers []string) []taker {
	alive := r.node.peers.takers(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	var able, near []taker
	cutOff := 0
	for _, t := range alive {
		switch {
		case t.address == peer:
			cutOff++
		case r.reaches(now, t.address, servers):
			able = append(able, t)
			if t.zone == zone {
				near = append(near, t)
			}
		case t.zone == zone:
			cutOff++
		}
	}
	if len(near) >= cutOff {
		able = near
	}
	return drawTakers(able, maximumTakers)
}

// drawTakers draws up to count different nodes, each with a probability in proportion to its bandwidth.
func drawTakers(able []taker, count int) (drawn []taker) {
	able = slices.Clone(able)
	for len(able) > 0 && len(drawn) < count {
		total := 0.0
		for _, t := range able {
			total += t.weight()
		}
		left, chosen := rand.Float64()*total, len(able)-1
		for i, t := range able {
			if left -= t.weight(); left < 0 {
				chosen = i
				break
			}
		}
		drawn = append(drawn, able[chosen])
		able = slices.Delete(able, chosen, chosen+1)
	}
	return drawn
}

func (t taker) weight() float64 {
	if t.linkMbps <= 0 {
		return unknownLinkMbps
	}
	return t.linkMbps
}

// noteTakers records the nodes that a reader has named, and lets new ones know this node, as they take requests of nodes that
// they know only.
func (r *reach) noteTakers(now time.Time, named []peerlink.Taker) {
	if len(named) == 0 {
		return
	}
	var unknown []string
	r.mu.Lock()
	for address, t := range r.named {
		if now.After(t.until) {
			delete(r.named, address)
		}
	}
	for _, t := range named[:min(len(named), maximumTakers)] {
		if t.Address == r.node.link.Address() {
			continue
		}
		if _, known := r.named[t.Address]; !known {
			unknown = append(unknown, t.Address)
		}
		r.named[t.Address] = taker{t.Address, t.Zone, t.LinkMbps, now.Add(takerLifetime)}
	}
	r.mu.Unlock()
	if len(unknown) > 0 {
		r.sendUnreachable(r.node.view.UnreachableServers(now), unknown...)
	}
}

// namedTakers returns the nodes that readers have named. The caller holds r.mu.
func (r *reach) namedTakers(now time.Time) (named []taker) {
	for _, t := range r.named {
		if !now.After(t.until) {
			named = append(named, t)
		}
	}
	return named
}

// recipients returns the nodes that are told which servers this node can't reach.
func (r *reach) recipients(now time.Time) []string {
	addresses := r.node.peers.alive(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.namedTakers(now) {
		if !slices.Contains(addresses, t.address) {
			addresses = append(addresses, t.address)
		}
	}
	return addresses
}
