package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// retransmitFactor times the decimal logarithm of the number of nodes is how often a node sends a change. Each
	// node that receives the change sends it as often, so that few nodes miss it; full exchanges update those.
	retransmitFactor = 3
	// maximumGossipBytes bounds the changes in one message.
	maximumGossipBytes = 1024
)

// appliedRetransmitFactor replaces retransmitFactor for changes of only the applied offset. It's lower, since each
// change of the configuration makes every node gossip its offset once, and a missed offset is repaired by the next one
// or by a full exchange.
const appliedRetransmitFactor = 2

// pendingUpdate is the gossip state of a changed entry.
type pendingUpdate struct {
	// sent counts the messages that have carried the entry.
	sent int
	// appliedOnly is true when only the applied offset has changed.
	appliedOnly bool
}

// gossip holds the changed entries to send to other nodes, by node name.
type gossip struct{ pending map[string]pendingUpdate }

func (g *gossip) add(name string, appliedOnly bool) {
	if g.pending == nil {
		g.pending = map[string]pendingUpdate{}
	}
	before, known := g.pending[name]
	g.pending[name] = pendingUpdate{appliedOnly: appliedOnly && (!known || before.appliedOnly)}
}

func (g *gossip) remove(name string) { delete(g.pending, name) }

// abbreviate returns an entry without the fields that are constant within an incarnation.
func abbreviate(e *peerpb.NodeEntry) *peerpb.NodeEntry {
	return &peerpb.NodeEntry{
		Name: e.Name, Incarnation: e.Incarnation, State: e.State, AppliedConfig: e.AppliedConfig, Revision: e.Revision,
	}
}

// expand completes an abbreviated entry from the known entry of its node. It returns nil if there is none of the same
// incarnation.
func expand(e, known *peerpb.NodeEntry) *peerpb.NodeEntry {
	if known == nil || known.Incarnation != e.Incarnation {
		return nil
	}
	full := withState(known, e.State)
	full.AppliedConfig, full.Revision = e.AppliedConfig, e.Revision
	return full
}

// piggyback returns the changes for one message: those that were sent least often, up to maximumGossipBytes.
func (c *core) piggyback() []*peerpb.NodeEntry {
	names := make([]string, 0, len(c.gossip.pending))
	for name := range c.gossip.pending {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.gossip.pending[a].sent, c.gossip.pending[b].sent), cmp.Compare(a, b))
	})
	rounds := int(math.Ceil(math.Log10(float64(len(c.members) + 1))))
	var out []*peerpb.NodeEntry
	size := 0
	for _, name := range names {
		e, limit := c.members[name].entry, retransmitFactor*rounds
		p := c.gossip.pending[name]
		if p.appliedOnly {
			e, limit = abbreviate(e), appliedRetransmitFactor*rounds
		}
		size += proto.Size(e)
		if size > maximumGossipBytes {
			break
		}
		out = append(out, e)
		p.sent++
		c.gossip.pending[name] = p
		if p.sent >= limit {
			c.gossip.remove(name)
		}
	}
	return out
}

// missingEntries returns the entries that are missing or older in a peer's full table.
func (c *core) missingEntries(entries []*peerpb.NodeEntry) []*peerpb.NodeEntry {
	known := map[string]*peerpb.NodeEntry{}
	for _, e := range entries {
		known[e.Name] = e
	}
	var out []*peerpb.NodeEntry
	for _, name := range c.sortedMembers() {
		own := c.members[name].entry
		other := known[name]
		if other == nil && isRunning(own) || other != nil && !sameVersion(merge(other, own), other) {
			out = append(out, own)
		}
	}
	return out
}

// allEntries returns all entries in the order of names.
func (c *core) allEntries() []*peerpb.NodeEntry {
	out := make([]*peerpb.NodeEntry, 0, len(c.members))
	for _, name := range c.sortedMembers() {
		out = append(out, c.members[name].entry)
	}
	return out
}
