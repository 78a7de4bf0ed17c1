// Package serverlease determines to which model servers this node may send orders. Leases follow from the node's
// membership in a group of the platform's store: the group assigns a fixed number of partitions to its members, and
// each server belongs to one partition by its ID. The generation of the group serves as the fencing token, after the era of the
// store, since the generation falls when the store returns from an older copy.
//
// Times are readings of a clock that also runs while the VM is suspended, so that a lease that expired meanwhile is
// detected.
package serverlease

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
)

// Options are the bounds of a lease.
type Options struct {
	// Partitions is the number of partitions of the group.
	Partitions int
	// TTL is the time without a join after which the store reassigns a member's partitions.
	TTL time.Duration
	// TurnInterval is the time within which two holders must not send orders in turn, as servers may not check fencing
	// tokens.
	TurnInterval time.Duration
	// Fenced is true when the servers refuse orders with an outdated fencing token. A holder may then continue while
	// the store is unreachable: once another node has taken over, the servers refuse the old holder.
	Fenced bool
	// StartedAt is when the process started. An earlier process of this node may have sent orders until then.
	StartedAt time.Duration
}

const (
	// validShare is the share of the TTL for which a lease is valid regardless of fencing.
	validShare = 0.7
	// orderDelayMargin covers an order that is on its way when the lease of the previous holder or the use of a token ends.
	orderDelayMargin = 150 * time.Millisecond
)

// tenure is the time in which a partition is assigned to this node.
type tenure struct {
	// fence is the fencing token: the era and the generation in which this node acquired the partition.
	fence int64
	// confirmAfter is the time after which a join must have confirmed the tenure before this node sends orders.
	confirmAfter time.Duration
	confirmed    bool
	// refused is true after a server refused the fencing token.
	refused bool
}

// Core is the state of the membership. It isn't safe for concurrent use.
type Core struct {
	options Options
	// era is the newest known era of the store, joinedEra that of the latest join.
	era, joinedEra serving.StoreEra
	// generation is that of the latest join.
	generation int64
	// tenures holds the partitions that the latest join assigned.
	tenures map[int]*tenure
	// lostAt is when this node last held each partition that was assigned to other members since.
	lostAt   map[int]time.Duration
	joinedAt time.Duration
	joined   bool
	// storeUnavailable is true when the latest join failed because the store was unreachable or refused to serve it.
	storeUnavailable bool
}

// New returns a core without any lease.
func New(options Options) *Core {
	return &Core{options: options, tenures: make(map[int]*tenure), lostAt: make(map[int]time.Duration)}
}

// Generation returns the generation to send with the next join; 0 if the latest one belongs to an earlier era.
func (c *Core) Generation() int64 {
	if !c.joinedInCurrentEra() {
		return 0
	}
	return c.generation
}

// GroupVersion returns a number that orders what is known of the group, over returns of the store as well.
func (c *Core) GroupVersion() int64 { return storeera.Token(c.era, c.Generation()) }

// EraSeen records that an era of the store has begun. The store may assign this node's partitions to other members in it, so that
// the node holds none until it has joined in that era.
func (c *Core) EraSeen(era serving.StoreEra) { c.era = max(c.era, era) }

func (c *Core) joinedInCurrentEra() bool { return c.joinedEra == c.era }

// Joined applies the answer, received at now, to a join that was sent at sent. It returns the partitions that this node
// gained, also those that it keeps with another token, and those that it lost. An answer of an earlier era counts as none; applied
// is false then.
func (c *Core) Joined(sent, now time.Duration, membership serving.Membership) (gained, lost []int, applied bool) {
	if membership.Era < c.era {
		c.storeUnavailable = true
		return nil, nil, false
	}
	c.era = membership.Era
	token := storeera.Token(membership.Era, membership.Generation)
	returned := c.joined && !c.joinedInCurrentEra()
	if returned {
		c.renewTokens(now, token)
	} else if lapsed := c.joined && sent-c.joinedAt > c.validity(); lapsed && membership.Generation != c.generation {
		// Another member may have held the partitions meanwhile, in a generation that this node hasn't seen.
		for partition, t := range c.tenures {
			t.confirmed = false
			c.lostAt[partition] = now
		}
	}
	listed := make(map[int]bool, len(membership.Partitions))
	for _, partition := range membership.Partitions {
		listed[partition] = true
		t := c.tenures[partition]
		reassigned := t != nil && t.refused && membership.Generation > c.generation
		// A partition that another member held since the last join has changed hands twice, each time in a new generation.
		missed := t != nil && !returned && !t.confirmed && membership.Generation > c.generation+1
		if t == nil || reassigned || missed {
			t = &tenure{fence: token, confirmAfter: c.ordersFrom(partition, now)}
			c.tenures[partition] = t
			gained = append(gained, partition)
		} else if returned {
			gained = append(gained, partition)
		}
		t.confirmed = t.confirmed || sent >= t.confirmAfter
	}
	for partition := range c.tenures {
		if !listed[partition] {
			delete(c.tenures, partition)
			c.lostAt[partition] = now
			lost = append(lost, partition)
		}
	}
	c.joinedEra, c.generation = membership.Era, membership.Generation
	c.joinedAt = sent
	c.joined = true
	c.storeUnavailable = false
	return gained, lost, true
}

// renewTokens prepares the tenures for the first join in a new era. Without a gap between the leases no other member can have sent
// orders in between, so that a tenure continues with a token of the new era, once orders with the old one have arrived. Other
// tenures end.
func (c *Core) renewTokens(now time.Duration, token int64) {
	for partition, t := range c.tenures {
		if t.refused || now-c.joinedAt >= c.validity() {
			delete(c.tenures, partition)
			c.lostAt[partition] = now
			continue
		}
		c.tenures[partition] = &tenure{fence: token, confirmAfter: max(t.confirmAfter, now+orderDelayMargin)}
	}
}

// ordersFrom returns when this node may send the first order to the servers of a partition that it gains now. The store
// may reassign partitions at once, while the lease of the previous holder, which learns of it with its next join, is
// still valid; servers that check fencing tokens refuse its orders. A node that gets a partition back, also after a
// restart, waits until orders of others in between would be older than TurnInterval.
func (c *Core) ordersFrom(partition int, now time.Duration) time.Duration {
	if lostAt, lost := c.lostAt[partition]; lost && now-lostAt < c.options.TurnInterval {
		return now + c.options.TurnInterval
	}
	if c.options.Fenced {
		return 0
	}
	return max(now+c.validity()+orderDelayMargin, c.options.StartedAt+c.options.TurnInterval)
}

// validity returns how long a lease lasts after the sending of a join.
func (c *Core) validity() time.Duration { return time.Duration(validShare * float64(c.options.TTL)) }

// JoinFailed records that a join got no answer or that the store refused to serve it.
func (c *Core) JoinFailed() { c.storeUnavailable = true }

// Fenced records that a server refused a fencing token of this node. The node sends no orders to the server's partition
// until the store assigns it in a later generation, unless it has a newer token by now.
func (c *Core) Fenced(serverID string, fence int64) {
	if t := c.tenures[c.Partition(serverID)]; t != nil && t.fence == fence {
		t.refused = true
	}
}

// HasPartition reports whether the store's latest answer assigned the partition to this node.
func (c *Core) HasPartition(partition int) bool { return c.tenures[partition] != nil }

// Tenure returns the fencing token of this node for a partition, and whether the store's latest answer assigned it.
func (c *Core) Tenure(partition int) (fence int64, held bool) {
	t := c.tenures[partition]
	if t == nil {
		return 0, false
	}
	return t.fence, true
}

// PartitionCount returns the number of partitions that the store's latest answer assigned to this node.
func (c *Core) PartitionCount() int { return len(c.tenures) }

// Partition returns the partition of a server.
func (c *Core) Partition(serverID string) int {
	return int(xxhash.Sum64String(serverID) % uint64(c.options.Partitions))
}

// currentTenure returns the tenure of the partition of a name, or nil if there's none in the current era or a server refused its
// token.
func (c *Core) currentTenure(name string) *tenure {
	t := c.tenures[c.Partition(name)]
	if t == nil || t.refused || !c.joinedInCurrentEra() {
		return nil
	}
	return t
}

// Holds returns the fencing token of this node for a server, and whether its lease is valid.
func (c *Core) Holds(now time.Duration, serverID string) (fence int64, holds bool) {
	t := c.currentTenure(serverID)
	if t == nil {
		return 0, false
	}
	if now-c.joinedAt < c.validity() {
		return t.fence, true
	}
	return t.fence, c.options.Fenced && c.storeUnavailable
}

// Owns returns the fencing token of this node for a name, and whether its lease is valid without the help of servers that check
// the token.
func (c *Core) Owns(now time.Duration, name string) (fence int64, owns bool) {
	t := c.currentTenure(name)
	if t == nil {
		return 0, false
	}
	return t.fence, now-c.joinedAt < c.validity()
}

// MayOrder reports whether this node may send orders to a server now: its lease is valid, and a join has confirmed it
// after the last moment at which an earlier holder could send orders.
func (c *Core) MayOrder(now time.Duration, serverID string) bool {
	_, holds := c.Holds(now, serverID)
	return holds && c.tenures[c.Partition(serverID)].confirmed
}

// NextConfirmation returns when the next join can confirm a tenure, and false when all are confirmed.
func (c *Core) NextConfirmation() (at time.Duration, pending bool) {
	for _, t := range c.tenures {
		if !t.confirmed && (!pending || t.confirmAfter < at) {
			at, pending = t.confirmAfter, true
		}
	}
	return at, pending
}
