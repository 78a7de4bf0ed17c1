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
	// leaseTTL is after how long without a join a node's servers go to others; the platform's bound on changes of
	// holder is 3 s.
	leaseTTL = 3 * time.Second
	// joinPeriod leaves three tries within the TTL.
	joinPeriod = time.Second
	// ownersLifetime is after how long the owners are read again in any case.
	ownersLifetime = 15 * time.Second
	// readerPartitions is how many partitions make their owners read the store for all nodes. Three of them bear the
	// loss of two.
	readerPartitions = 3
)

// leases joins the core of the leases with the other duties.
type leases struct {
	mu   sync.Mutex
	core *serverlease.Core
	// owners maps each partition to the peer address of its holder.
	owners     map[int]string
	ownersAt   time.Time
	ownersOf   int64
	generation int64
	// rejoin receives when a server refused this node's fencing token.
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

func (l *leases) fenced(serverID string) {
	l.mu.Lock()
	l.core.Fenced(serverID)
	l.mu.Unlock()
	poke(l.rejoin)
}

// owner returns the peer address of a server's holder, or an empty string.
func (l *leases) owner(serverID string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owners[l.core.Partition(serverID)]
}

// knownOwners returns a copy of what is known of the owners.
func (l *leases) knownOwners() map[int]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.owners)
}

// learnOwners takes the owners from a peer. The next read from the store replaces them.
func (l *leases) learnOwners(owners map[int]string) {
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

// ownersDue reports whether the owners are to be read. A new holder publishes only to nodes that it has heard of, so
// that each change of the group is a reason.
func (l *leases) ownersDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownersOf != l.generation || now.Sub(l.ownersAt) > ownersLifetime
}

// keepLeases joins the group again and again.
func (n *Node) keepLeases(ctx context.Context) error {
	l := n.leases
	for ctx.Err() == nil {
		l.mu.Lock()
		generation := l.core.Generation()
		l.mu.Unlock()
		sent := bootTime()
		membership, err := n.store.Join(ctx, n.link.Address(), generation, leaseTTL)
		ok := n.noteStore(ctx, err)
		l.mu.Lock()
		var gained, lost []int
		if ok {
			gained, lost = l.core.Joined(sent, membership)
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
			// The next join hands the lost partitions over.
			continue
		}
		n.awaitJoin(ctx, ok)
	}
	return nil
}

func (n *Node) awaitJoin(ctx context.Context, ok bool) {
	period := joinPeriod
	if !ok {
		period = retryPause
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
	if !n.noteStore(ctx, err) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners, l.ownersAt, l.ownersOf = owners, time.Now(), generation
}
