package membership

import (
	"cmp"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// retransmitFactor times the decimal logarithm of the number of nodes is how often a change is passed on. Each
	// node that hears it passes it on as often, so that few miss it; the full exchanges reach those.
	retransmitFactor = 3
	// maximumGossipBytes bounds the changes in one message.
	maximumGossipBytes = 1024
)

// appliedRetransmitFactor is lower, since each change of the configuration makes every node gossip its offset once,
// and a missed offset is repaired by the next one or by a full exchange.
const appliedRetransmitFactor = 2

// spread is how far a changed entry has been passed on.
type spread struct {
	sent int
	// brief is true when only the applied offset has changed.
	brief bool
}

// gossip holds the names of the nodes whose entries changed.
type gossip struct{ spreads map[string]spread }

func (g *gossip) add(name string, brief bool) {
	if g.spreads == nil {
		g.spreads = map[string]spread{}
	}
	before, known := g.spreads[name]
	g.spreads[name] = spread{brief: brief && (!known || before.brief)}
}

func (g *gossip) remove(name string) { delete(g.spreads, name) }

// brief returns an entry without what doesn't change within an incarnation.
func brief(e *peerpb.NodeEntry) *peerpb.NodeEntry {
	return &peerpb.NodeEntry{
		Name: e.Name, Incarnation: e.Incarnation, State: e.State, AppliedConfig: e.AppliedConfig, Revision: e.Revision,
	}
}

// expand completes a brief entry from a known one. It returns nil when that has another incarnation.
func expand(e, known *peerpb.NodeEntry) *peerpb.NodeEntry {
	if known == nil || known.Incarnation != e.Incarnation {
		return nil
	}
	full := withState(known, e.State)
	full.AppliedConfig, full.Revision = e.AppliedConfig, e.Revision
	return full
}

// piggyback returns the changes for one message: those that were passed on least, up to the bounds.
func (c *core) piggyback() []*peerpb.NodeEntry {
	names := make([]string, 0, len(c.gossip.spreads))
	for name := range c.gossip.spreads {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.gossip.spreads[a].sent, c.gossip.spreads[b].sent), cmp.Compare(a, b))
	})
	rounds := int(math.Ceil(math.Log10(float64(len(c.members) + 1))))
	var out []*peerpb.NodeEntry
	size := 0
	for _, name := range names {
		e, limit := c.members[name].entry, retransmitFactor*rounds
		passed := c.gossip.spreads[name]
		if passed.brief {
			e, limit = brief(e), appliedRetransmitFactor*rounds
		}
		size += proto.Size(e)
		if size > maximumGossipBytes {
			break
		}
		out = append(out, e)
		passed.sent++
		c.gossip.spreads[name] = passed
		if passed.sent >= limit {
			c.gossip.remove(name)
		}
	}
	return out
}

// difference returns the entries that the peer which sent its whole table lacks or has older.
func (c *core) difference(theirs []*peerpb.NodeEntry) []*peerpb.NodeEntry {
	known := map[string]*peerpb.NodeEntry{}
	for _, e := range theirs {
		known[e.Name] = e
	}
	var out []*peerpb.NodeEntry
	for _, name := range c.sortedMembers() {
		own := c.members[name].entry
		other := known[name]
		if other == nil && present(own) || other != nil && !same(merge(other, own), other) {
			out = append(out, own)
		}
	}
	return out
}

// whole returns every entry.
func (c *core) whole() []*peerpb.NodeEntry {
	out := make([]*peerpb.NodeEntry, 0, len(c.members))
	for _, name := range c.sortedMembers() {
		out = append(out, c.members[name].entry)
	}
	return out
}
