package serverlease

import "time"

// surplusPeriod is how long a member goes without any partition until it leaves the group. The store may assign a partition
// to a new member only after its holder has joined again.
const surplusPeriod = 3 * time.Second

// Candidacy decides whether this node is a member of the group. Each member's joins are calls to the store, so on sites with
// more nodes than partitions only about as many nodes as there are partitions take part. It isn't safe for concurrent use.
type Candidacy struct {
	partitions int
	member     bool
	// idleSince is since when this member has no partition; negative while it has one.
	idleSince time.Duration
}

// NewCandidacy returns the candidacy of a node that isn't a member.
func NewCandidacy(partitions int) *Candidacy {
	return &Candidacy{partitions: partitions, idleSince: -1}
}

// Group is what a node knows about the group and the site.
type Group struct {
	// Owners is the number of nodes that hold partitions.
	Owners int
	// Complete is true if each partition has an owner.
	Complete bool
	// Listed is true if this node is one of the owners, as it is after a restart.
	Listed bool
	// Nodes is the number of nodes of the site, including those that aren't members; 0 while it's unknown.
	Nodes int
}

// missing returns how many further nodes should hold partitions.
func (g Group) missing(partitions int) int {
	if g.Nodes > 0 {
		partitions = min(partitions, g.Nodes)
	}
	return partitions - g.Owners
}

// Member reports whether this node takes part.
func (c *Candidacy) Member() bool { return c.member }

// Consider makes this node a member if the group needs it. Each node that isn't a member decides by itself, so it joins with
// the probability that makes as many join as are missing. random is uniform from 0 to 1.
func (c *Candidacy) Consider(group Group, random float64) {
	others := max(group.Nodes-group.Owners, 1)
	chosen := random*float64(others) < float64(group.missing(c.partitions))
	c.member = c.member || !group.Complete || group.Listed || chosen
	c.idleSince = -1
}

// Joined records the number of partitions after a join, and reports whether this member is to leave the group: it holds
// nothing, and the others are enough.
func (c *Candidacy) Joined(now time.Duration, partitions int, group Group) (leave bool) {
	if partitions > 0 || !group.Complete || group.missing(c.partitions) > 0 {
		c.idleSince = -1
		return false
	}
	if c.idleSince < 0 {
		c.idleSince = now
	}
	return now-c.idleSince >= surplusPeriod
}

// Left records that this node has left the group.
func (c *Candidacy) Left() { c.member = false }
