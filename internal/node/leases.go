package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
)

const (
	// leaseTTL is the time without a join after which the store reassigns a node's partitions. The store accepts 1 s
	// or more.
	leaseTTL = 1800 * time.Millisecond
	// joinPeriod allows three attempts within the TTL.
	joinPeriod = 500 * time.Millisecond
	// minimumJoinPause is the least time between two joins.
	minimumJoinPause = 20 * time.Millisecond
	// turnInterval is the platform's bound on the time between orders of two holders that take turns.
	turnInterval = 3 * time.Second
	// ownersLifetime is the age at which the owners are read again even if the group hasn't changed.
	ownersLifetime = 15 * time.Second
	// readerPartitions is the number of partitions, from 0, whose owners read the store for all nodes. With three of
	// them, two readers may fail.
	readerPartitions = 3
)

// leases guards the lease core for concurrent use and caches the owners of the partitions.
type leases struct {
	mu   sync.Mutex
	core *serverlease.Core
	// owners maps each partition to the peer address of its holder.
	owners       map[int]string
	ownersReadAt time.Time
	// ownersGeneration is the generation of the group for which the owners were read.
	ownersGeneration int64
	// generation is that of the latest successful join.
	generation int64
	// rejoin receives a value when a server refused this node's fencing token.
	rejoin chan struct{}
}

func newLeases(options serverlease.Options) *leases {
	return &leases{core: serverlease.New(options), owners: make(map[int]string), rejoin: make(chan struct{}, 1)}
}

func (l *leases) holds(serverID string) (fence int64, holds bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Holds(bootTime(), serverID)
}

// orderDelay returns how long this node must not send orders to a server whose lease it holds.
func (l *leases) orderDelay(serverID string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := bootTime(); !l.core.MayOrder(now, serverID) {
		at, _ := l.core.NextConfirmation()
		return max(at-now, minimumJoinPause)
	}
	return 0
}

// mayOrder returns the fencing token for orders to a server, and whether this node may send any now.
func (l *leases) mayOrder(serverID string) (fence int64, may bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := bootTime()
	fence, _ = l.core.Holds(now, serverID)
	return fence, l.core.MayOrder(now, serverID)
}

// untilConfirmation returns the time until the next join can allow orders to newly assigned servers.
func (l *leases) untilConfirmation() (wait time.Duration, pending bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, pending := l.core.NextConfirmation()
	return max(at-bootTime(), minimumJoinPause), pending
}

func (l *leases) recordFenced(serverID string) {
	l.mu.Lock()
	l.core.Fenced(serverID)
	l.mu.Unlock()
	notify(l.rejoin)
}

// owner returns the peer address of a server's holder, or an empty string.
func (l *leases) owner(serverID string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owners[l.core.Partition(serverID)]
}

// copyOwners returns a copy of the cached owners.
func (l *leases) copyOwners() map[int]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.owners)
}

// setOwners replaces the cached owners by those of a peer, until the next read from the store.
func (l *leases) setOwners(owners map[int]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = owners
}

// readers returns the peer addresses of the nodes that read the store for all.
func (l *leases) readers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var readers []string
	for partition := range readerPartitions {
		if owner := l.owners[partition]; owner != "" {
			readers = append(readers, owner)
		}
	}
	return readers
}

// isReader reports whether this node holds a partition that makes it read the store for all.
func (l *leases) isReader() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for partition := range readerPartitions {
		if l.core.HasPartition(partition) {
			return true
		}
	}
	return false
}

// ownersDue reports whether the owners have to be read again. Each change of the group is a reason, as a new holder
// publishes only to nodes from which it has received messages.
func (l *leases) ownersDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownersGeneration != l.generation || now.Sub(l.ownersReadAt) > ownersLifetime
}

// renewLeases joins the group periodically until ctx ends, which renews the leases.
func (n *Node) renewLeases(ctx context.Context) error {
	l := n.leases
	for ctx.Err() == nil {
		l.mu.Lock()
		generation := l.core.Generation()
		l.mu.Unlock()
		sent := bootTime()
		membership, err := n.store.Join(ctx, n.link.Address(), generation, leaseTTL)
		ok := n.recordStoreCall(ctx, err)
		l.mu.Lock()
		var gained, lost []int
		if ok {
			gained, lost = l.core.Joined(sent, bootTime(), membership)
			l.generation = membership.Generation
		} else {
			l.core.JoinFailed()
		}
		l.mu.Unlock()
		n.logLeases(gained, lost, membership.Generation)
		n.watch.setReader(l.isReader())
		n.holders.reconcile()
		if ok && l.ownersDue(time.Now()) {
			n.readOwners(ctx)
		}
		if len(lost) > 0 {
			// The next join, sent at once, releases the lost partitions to their new owners.
			continue
		}
		n.waitForJoin(ctx, ok)
	}
	return nil
}

func (n *Node) waitForJoin(ctx context.Context, ok bool) {
	period := joinPeriod
	if !ok {
		period = retryPause
	} else if wait, pending := n.leases.untilConfirmation(); pending {
		period = min(period, wait)
	}
	delay.Until(ctx, period, n.leases.rejoin)
}

func (n *Node) logLeases(gained, lost []int, generation int64) {
	if len(gained) > 0 {
		n.events.Emit(event.LeaseGained, event.Fields{"partitions": gained, "generation": generation})
	}
	if len(lost) > 0 {
		n.events.Emit(event.LeaseLost, event.Fields{"partitions": lost, "generation": generation})
	}
}

func (n *Node) readOwners(ctx context.Context) {
	l := n.leases
	l.mu.Lock()
	generation := l.generation
	l.mu.Unlock()
	owners, err := n.store.Owners(ctx)
	if !n.recordStoreCall(ctx, err) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners, l.ownersReadAt, l.ownersGeneration = owners, time.Now(), generation
}
