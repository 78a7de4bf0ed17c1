// Package serverlease says which model servers this node may give orders, from its membership in a group of the
// platform's store. The group spreads a fixed number of partitions over its members; each server belongs to one
// partition by its ID. The generation of the group serves as the fencing token.
//
// Times are readings of a clock that goes on while the VM is suspended, so that a lease that lapsed meanwhile is seen.
package serverlease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Options are the bounds of a lease.
type Options struct {
	Partitions int
	// TTL is after how long without a join the store gives a member's partitions to others.
	TTL time.Duration
	// Fenced is true when the servers refuse orders with an old fencing token. A holder may then go on while the
	// store is out of reach: if another node has taken over, the servers refuse the old holder.
	Fenced bool
}

// safetyShare is the part of the TTL for which a lease counts without fencing.
const safetyShare = 0.7

// Core is the state of the membership. It isn't safe for concurrent use.
type Core struct {
	options    Options
	generation int64
	// heldSince maps a partition to the generation at which this node got it.
	heldSince map[int]int64
	joinedAt  time.Duration
	joined    bool
	// storeFails is true while the latest join failed because the store was out of reach.
	storeFails bool
	// lost marks partitions whose servers refused this node's fencing token.
	lost map[int]bool
}

// New returns a core without any lease.
func New(options Options) *Core {
	return &Core{options: options, heldSince: make(map[int]int64), lost: make(map[int]bool)}
}

// Generation returns the generation to name in the next join.
func (c *Core) Generation() int64 { return c.generation }

// Joined takes the answer to a join that was sent at sent. It returns the partitions gained and lost.
func (c *Core) Joined(sent time.Duration, membership serving.Membership) (gained, lost []int) {
	listed := make(map[int]bool, len(membership.Partitions))
	for _, partition := range membership.Partitions {
		listed[partition] = true
		if _, held := c.heldSince[partition]; !held || c.lost[partition] && membership.Generation > c.generation {
			c.heldSince[partition] = membership.Generation
			delete(c.lost, partition)
			gained = append(gained, partition)
		}
	}
	for partition := range c.heldSince {
		if !listed[partition] {
			delete(c.heldSince, partition)
			delete(c.lost, partition)
			lost = append(lost, partition)
		}
	}
	lapsed := c.joined && sent-c.joinedAt > c.options.TTL
	if lapsed && membership.Generation != c.generation {
		// Another member may have held the partitions in between, under a generation that this node hasn't seen.
		for partition := range c.heldSince {
			c.heldSince[partition] = membership.Generation
		}
	}
	c.generation = membership.Generation
	c.joinedAt = sent
	c.joined = true
	c.storeFails = false
	return gained, lost
}

// JoinFailed notes that a join got no answer or that the store refused to serve it.
func (c *Core) JoinFailed() { c.storeFails = true }

// Fenced notes that a server refused this node's fencing token.
func (c *Core) Fenced(serverID string) { c.lost[c.Partition(serverID)] = true }

// HasPartition reports whether the store's latest answer gave this node the partition.
func (c *Core) HasPartition(partition int) bool {
	_, listed := c.heldSince[partition]
	return listed
}

// Partition returns the partition of a server.
func (c *Core) Partition(serverID string) int {
	return int(xxhash.Sum64String(serverID) % uint64(c.options.Partitions))
}

// Holds returns the fencing token for orders to a server, and whether this node may give any.
func (c *Core) Holds(now time.Duration, serverID string) (fence int64, holds bool) {
	partition := c.Partition(serverID)
	fence, listed := c.heldSince[partition]
	if !listed || c.lost[partition] {
		return 0, false
	}
	if now-c.joinedAt < time.Duration(safetyShare*float64(c.options.TTL)) {
		return fence, true
	}
	return fence, c.options.Fenced && c.storeFails
}
