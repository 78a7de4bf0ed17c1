// Package serverlease determines to which model servers this node may send orders. Leases follow from the node's
// membership in a group of the platform's store: the group assigns a fixed number of partitions to its members, and
// each server belongs to one partition by its ID. The generation of the group serves as the fencing token.
//
// Times are readings of a clock that also runs while the VM is suspended, so that a lease that expired meanwhile is
// detected.
package serverlease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Options are the bounds of a lease.
type Options struct {
	// Partitions is the number of partitions of the group.
	Partitions int
	// TTL is the time without a join after which the store reassigns a member's partitions.
	TTL time.Duration
	// Fenced is true when the servers refuse orders with an outdated fencing token. A holder may then continue while
	// the store is unreachable: once another node has taken over, the servers refuse the old holder.
	Fenced bool
}

// safetyShare is the share of the TTL for which a lease is valid regardless of fencing.
const safetyShare = 0.7

// Core is the state of the membership. It isn't safe for concurrent use.
type Core struct {
	options    Options
	generation int64
	// fences maps each assigned partition to its fencing token, the generation in which this node acquired it.
	fences   map[int]int64
	joinedAt time.Duration
	joined   bool
	// storeUnavailable is true when the latest join failed because the store was unreachable or refused to serve it.
	storeUnavailable bool
	// refused holds the partitions with a server that refused this node's fencing token.
	refused map[int]bool
}

// New returns a core without any lease.
func New(options Options) *Core {
	return &Core{options: options, fences: make(map[int]int64), refused: make(map[int]bool)}
}

// Generation returns the generation to send with the next join.
func (c *Core) Generation() int64 { return c.generation }

// Joined applies the answer to a join that was sent at sent. It returns the partitions that this node gained and lost.
func (c *Core) Joined(sent time.Duration, membership serving.Membership) (gained, lost []int) {
	listed := make(map[int]bool, len(membership.Partitions))
	for _, partition := range membership.Partitions {
		listed[partition] = true
		if _, held := c.fences[partition]; !held || c.refused[partition] && membership.Generation > c.generation {
			c.fences[partition] = membership.Generation
			delete(c.refused, partition)
			gained = append(gained, partition)
		}
	}
	for partition := range c.fences {
		if !listed[partition] {
			delete(c.fences, partition)
			delete(c.refused, partition)
			lost = append(lost, partition)
		}
	}
	expired := c.joined && sent-c.joinedAt > c.options.TTL
	if expired && membership.Generation != c.generation {
		// Another member may have held the partitions meanwhile, in a generation that this node hasn't seen.
		for partition := range c.fences {
			c.fences[partition] = membership.Generation
		}
	}
	c.generation = membership.Generation
	c.joinedAt = sent
	c.joined = true
	c.storeUnavailable = false
	return gained, lost
}

// JoinFailed records that a join got no answer or that the store refused to serve it.
func (c *Core) JoinFailed() { c.storeUnavailable = true }

// Fenced records that a server refused this node's fencing token. The node sends no orders to the server's partition
// until the store assigns it in a later generation.
func (c *Core) Fenced(serverID string) { c.refused[c.Partition(serverID)] = true }

// HasPartition reports whether the store's latest answer assigned the partition to this node.
func (c *Core) HasPartition(partition int) bool {
	_, listed := c.fences[partition]
	return listed
}

// Partition returns the partition of a server.
func (c *Core) Partition(serverID string) int {
	return int(xxhash.Sum64String(serverID) % uint64(c.options.Partitions))
}

// Holds returns the fencing token for orders to a server, and whether this node may send any.
func (c *Core) Holds(now time.Duration, serverID string) (fence int64, holds bool) {
	partition := c.Partition(serverID)
	fence, listed := c.fences[partition]
	if !listed || c.refused[partition] {
		return 0, false
	}
	if now-c.joinedAt < time.Duration(safetyShare*float64(c.options.TTL)) {
		return fence, true
	}
	return fence, c.options.Fenced && c.storeUnavailable
}
