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

// gossip holds the names of the nodes whose entries changed, with how often each was passed on.
type gossip struct{ sent map[string]int }

func (g *gossip) add(name string) {
	if g.sent == nil {
		g.sent = map[string]int{}
	}
	g.sent[name] = 0
}

func (g *gossip) remove(name string) { delete(g.sent, name) }

// piggyback returns the changes for one message: those that were passed on least, up to the bounds.
func (c *core) piggyback() []*peerpb.NodeEntry {
	names := make([]string, 0, len(c.gossip.sent))
	for name := range c.gossip.sent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.gossip.sent[a], c.gossip.sent[b]), cmp.Compare(a, b))
	})
	limit := retransmitFactor * int(math.Ceil(math.Log10(float64(len(c.members)+1))))
	var out []*peerpb.NodeEntry
	size := 0
	for _, name := range names {
		e := c.members[name].entry
		size += proto.Size(e)
		if size > maximumGossipBytes {
			break
		}
		out = append(out, e)
		c.gossip.sent[name]++
		if c.gossip.sent[name] >= limit {
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
