package serverlease

import (
	"strconv"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rendezvous"
)

// surplusPeriod is how long a member goes without any partition until it leaves the group. The store may assign a partition
// to a new member only after its holder has joined again.
const surplusPeriod = 3 * time.Second

// invitationPeriod is how long the same nodes are invited. An invited node is known as an owner after 2.6 s, even if two digests
// are lost: 0.9 s until the third, 0.6 s until it joins, and 0.5 s each until its partition is released and the owners are
// read. One that isn't by then probably can't reach the store.
const invitationPeriod = 4 * time.Second

// invitationTimeout is how long a node waits for an invitation while members are missing. After that nobody seems to invite,
// for instance because the inviting node runs an older build, and nodes join by chance.
const invitationTimeout = 2 * invitationPeriod

// Candidacy decides whether this node is a member of the group. Each member's joins are calls to the store, so on sites with
// more nodes than partitions only about as many nodes as there are partitions take part. It isn't safe for concurrent use.
type Candidacy struct {
	partitions int
	member     bool
	// idleSince is since when this member has no partition; negative while it has one.
	idleSince time.Duration
	// missingSince is since when members have been missing without an invitation for this node; negative while none are.
	missingSince time.Duration
}

// NewCandidacy returns the candidacy of a node that isn't a member.
func NewCandidacy(partitions int) *Candidacy {
	return &Candidacy{partitions: partitions, idleSince: -1, missingSince: -1}
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
	// WellConnected is the number of nodes whose network links are about as large as the largest one; 0 while it's unknown.
	// Holders publish to all nodes, so that nodes with small links aren't asked to join while these can hold the partitions.
	WellConnected int
	// PoorlyConnected is true if this node isn't one of them.
	PoorlyConnected bool
}

// missing returns how many further nodes should hold partitions.
func (g Group) missing(partitions int) int {
	if g.Nodes > 0 {
		partitions = min(partitions, g.Nodes)
	}
	if g.WellConnected > 0 {
		partitions = min(partitions, g.WellConnected)
	}
	return partitions - g.Owners
}

// Member reports whether this node takes part.
func (c *Candidacy) Member() bool { return c.member }

// Consider makes this node a member if the group needs it: it was invited, a partition has no owner, or the node was a member
// before its restart. A node that doesn't know the site yet, or that sees members missing for invitationTimeout, joins with
// the probability that makes as many join as are missing; random is uniform from 0 to 1.
func (c *Candidacy) Consider(now time.Duration, group Group, invited bool, random float64) {
	missing := group.missing(c.partitions)
	switch {
	case missing <= 0:
		c.missingSince = -1
	case c.missingSince < 0:
		c.missingSince = now
	}
	uninvited := missing > 0 && !group.PoorlyConnected && (group.Nodes == 0 || now-c.missingSince >= invitationTimeout)
	others := max(group.Nodes-group.Owners, 1)
	chosen := uninvited && random*float64(others) < float64(missing)
	c.member = c.member || !group.Complete || group.Listed || invited || chosen
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
func (c *Candidacy) Left() { c.member, c.missingSince = false, -1 }

// Inviter chooses the nodes that are to join the group. Only one node of a site invites, so that no more nodes join than are
// missing. It isn't safe for concurrent use.
type Inviter struct {
	partitions int
	// since is when members were first missing; negative while none are.
	since time.Duration
}

// NewInviter returns the inviter of a group with so many partitions.
func NewInviter(partitions int) *Inviter { return &Inviter{partitions: partitions, since: -1} }

// Invite returns as many of the candidates, the live nodes that own no partition, as are missing. The choice stays the same for
// invitationPeriod, until the invited nodes own partitions.
func (i *Inviter) Invite(now time.Duration, group Group, candidates []string) []string {
	missing := group.missing(i.partitions)
	if missing <= 0 {
		i.since = -1
		return nil
	}
	if i.since < 0 {
		i.since = now
	}
	round := strconv.FormatInt(int64((now-i.since)/invitationPeriod), 10)
	ordered := rendezvous.Order(candidates, func(candidate string) string { return round + "\x00" + candidate })
	return ordered[:min(missing, len(ordered))]
}
