package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
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
	// ownersLifetime is the age at which a member reads the owners again even if the group hasn't changed.
	ownersLifetime = 15 * time.Second
	// ownersConfirmation is how long a node relies on the owners that it knows after a reader has confirmed them.
	ownersConfirmation = 2 * time.Second
	// ownersRetryPause is the least time between two reads of the owners by a node that isn't a member.
	ownersRetryPause = time.Second
	// incompleteOwnersPause is ownersRetryPause while partitions have no owner. A node that waits for others to join knows no
	// holder until then, and no reader knows it.
	incompleteOwnersPause = 300 * time.Millisecond
	// ownersNoticeInterval is the number of digests of a reader of which one carries the owners, ownersNoticeRepeats how long
	// after a change each does.
	ownersNoticeInterval = 10
	ownersNoticeRepeats  = 1500 * time.Millisecond
	// invitationLifetime is how long an invitation is valid. The inviting reader repeats it with each digest.
	invitationLifetime = 700 * time.Millisecond
	// invitingPartition is the partition whose owner invites nodes to the group; it's also a reader.
	invitingPartition = 0
	// joinDelayMbps and maximumJoinDelay bound the time after its start for which a node doesn't join the group, so that nodes
	// with large links get the partitions of a site that starts: 0.1 s at 200 Mbit/s, 2 s at 10 Mbit/s.
	joinDelayMbps    = 20.0
	maximumJoinDelay = 2 * time.Second
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
	// ownersEra is the era of the store in which the owners were read, ownersVersion the version of the group for which they were.
	ownersEra     serving.StoreEra
	ownersVersion int64
	// ownersChangedAt is when the owners were last found to have changed, ownersConfirmedAt when they were last read, or
	// confirmed by a reader.
	ownersChangedAt   time.Time
	ownersConfirmedAt time.Time
	// candidacy decides whether this node is a member of the group.
	candidacy  *serverlease.Candidacy
	inviter    *serverlease.Inviter
	partitions int
	// invitedAt is when a reader last invited this node to join the group.
	invitedAt time.Time
	// rejoin receives a value when a server refused this node's fencing token.
	rejoin chan struct{}
}

func newLeases(options serverlease.Options) *leases {
	return &leases{
		core: serverlease.New(options), owners: make(map[int]string), rejoin: make(chan struct{}, 1),
		candidacy: serverlease.NewCandidacy(options.Partitions), inviter: serverlease.NewInviter(options.Partitions),
		partitions: options.Partitions,
	}
}

func (l *leases) holds(serverID string) (fence int64, holds bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Holds(bootTime(), serverID)
}

// owns returns the fencing token of this node for a name and the name's partition, and whether this node may act as its owner.
func (l *leases) owns(name string) (fence int64, partition int, owns bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, owns = l.core.Owns(bootTime(), name)
	return fence, l.core.Partition(name), owns
}

// heldPartition returns the fencing token of this node for a partition, and whether the store's latest answer assigned it.
func (l *leases) heldPartition(partition int) (fence int64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Tenure(partition)
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

// noteEra records that an era of the store has begun.
func (l *leases) noteEra(era serving.StoreEra) {
	l.mu.Lock()
	l.core.EraSeen(era)
	l.mu.Unlock()
	notify(l.rejoin)
}

func (l *leases) recordFenced(serverID string, fence int64) {
	l.mu.Lock()
	l.core.Fenced(serverID, fence)
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
func (l *leases) copyOwners() serving.Owners {
	l.mu.Lock()
	defer l.mu.Unlock()
	return serving.Owners{Era: l.ownersEra, ByPartition: maps.Clone(l.owners)}
}

// setOwners replaces the cached owners by those of a peer, until the next read from the store, unless the peer read them in an
// earlier era.
func (l *leases) setOwners(owners serving.Owners) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owners.Era >= l.ownersEra {
		l.owners, l.ownersEra = owners.ByPartition, owners.Era
	}
}

// isMember reports whether this node takes part in the group.
func (l *leases) isMember() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.candidacy.Member()
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
	_, reader := l.readerPartition()
	return reader
}

// readerPartition returns the first partition that makes this node read the store for all, and whether there is one.
func (l *leases) readerPartition() (partition int, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for partition := range readerPartitions {
		if l.core.HasPartition(partition) {
			return partition, true
		}
	}
	return 0, false
}

// ownersDue reports whether this node has to read the owners: a member after each change of the group, as a new holder
// publishes only to nodes from which it has received messages; another node if no reader confirms what it knows, or if
// partitions have no owner.
func (l *leases) ownersDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.candidacy.Member() {
		return l.ownersVersion != l.core.GroupVersion() || now.Sub(l.ownersReadAt) > ownersLifetime
	}
	if len(l.owners) < l.partitions && now.Sub(l.ownersReadAt) > incompleteOwnersPause {
		return true
	}
	return now.Sub(l.ownersConfirmedAt) > ownersConfirmation && now.Sub(l.ownersReadAt) > ownersRetryPause
}

// group returns what the node with the address self on a site of so many nodes knows of the group, and whether that is recent
// enough to rely on. well holds the peers with large links, nil if links aren't told apart; selfWell is true if this node's is.
func (l *leases) group(
	now time.Time, self string, nodes int, well map[string]bool, selfWell bool,
) (group serverlease.Group, current bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make(map[string]bool)
	for _, owner := range l.owners {
		members[owner] = true
	}
	group = serverlease.Group{
		Owners: len(members), Complete: len(l.owners) >= l.partitions, Listed: members[self], Nodes: nodes,
		PoorlyConnected: !selfWell,
	}
	if nodes > 0 && well != nil {
		group.WellConnected = len(well)
		if selfWell {
			group.WellConnected++
		}
	}
	return group, now.Sub(l.ownersConfirmedAt) <= ownersConfirmation
}

// renewLeases considers whether to join the group and, as a member, joins it periodically until ctx ends, which renews the
// leases.
func (n *Node) renewLeases(ctx context.Context) error {
	for ctx.Err() == nil {
		if !n.takesPart(ctx) {
			pause(ctx, joinPeriod)
			continue
		}
		lost, ok := n.join(ctx)
		if ok && n.leaveIfSurplus(ctx) || lost > 0 {
			// The next join, sent at once, releases the lost partitions to their new owners.
			continue
		}
		n.waitForJoin(ctx, ok)
	}
	return nil
}

// group returns what this node knows of the group, and whether that is recent enough to rely on.
func (n *Node) group() (group serverlease.Group, current bool) {
	now := time.Now()
	well, selfWell := n.peers.wellConnected(now, n.settings.LinkMbps)
	return n.leases.group(now, n.link.Address(), n.peers.observed(), well, selfWell)
}

// joinDelay returns how long after its start a node with such a link doesn't join the group.
func joinDelay(linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	return min(time.Duration(joinDelayMbps/linkMbps*float64(time.Second)), maximumJoinDelay)
}

// takesPart reports whether this node is a member of the group, or becomes one now.
func (n *Node) takesPart(ctx context.Context) bool {
	l := n.leases
	if l.isMember() {
		return true
	}
	if l.ownersDue(time.Now()) {
		n.readOwners(ctx)
	}
	group, current := n.group()
	l.mu.Lock()
	defer l.mu.Unlock()
	if current && (group.Listed || time.Since(n.startedAt) >= joinDelay(n.settings.LinkMbps)) {
		invited := time.Since(l.invitedAt) < invitationLifetime
		l.candidacy.Consider(bootTime(), group, invited, rand.Float64())
	}
	return l.candidacy.Member()
}

// join renews the leases. It returns the number of partitions that this node has lost.
func (n *Node) join(ctx context.Context) (lostPartitions int, ok bool) {
	l := n.leases
	l.mu.Lock()
	generation := l.core.Generation()
	l.mu.Unlock()
	sent, sentAt := bootTime(), time.Now()
	membership, err := n.store.Join(ctx, n.link.Address(), generation, leaseTTL)
	ok = n.recordStoreCall(ctx, sentAt, err)
	l.mu.Lock()
	var gained, lost []int
	if ok {
		gained, lost, ok = l.core.Joined(sent, bootTime(), membership)
	} else {
		l.core.JoinFailed()
	}
	l.mu.Unlock()
	n.logLeases(gained, lost, membership)
	n.watch.setReader(l.isReader())
	n.holders.reconcile()
	if ok && l.ownersDue(time.Now()) {
		n.readOwners(ctx)
	}
	return len(lost), ok
}

// leaveIfSurplus leaves the group if it has enough members without this node, and reports that.
func (n *Node) leaveIfSurplus(ctx context.Context) (left bool) {
	l := n.leases
	group, current := n.group()
	l.mu.Lock()
	surplus := l.candidacy.Joined(bootTime(), l.core.PartitionCount(), group) && current
	l.mu.Unlock()
	sentAt := time.Now()
	if !surplus || !n.recordStoreCall(ctx, sentAt, n.store.Leave(ctx, n.link.Address())) {
		return false
	}
	l.mu.Lock()
	l.candidacy.Left()
	l.mu.Unlock()
	n.events.Emit(event.GroupLeft, event.Fields{"owners": group.Owners, "nodes": group.Nodes})
	return true
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

func (n *Node) logLeases(gained, lost []int, membership serving.Membership) {
	fields := func(partitions []int) event.Fields {
		return event.Fields{"partitions": partitions, "generation": membership.Generation, "era": membership.Era}
	}
	if len(gained) > 0 {
		n.events.Emit(event.LeaseGained, fields(gained))
	}
	if len(lost) > 0 {
		n.events.Emit(event.LeaseLost, fields(lost))
	}
}

func (n *Node) readOwners(ctx context.Context) {
	l := n.leases
	l.mu.Lock()
	version := l.core.GroupVersion()
	sentAt := time.Now()
	l.ownersReadAt = sentAt
	l.mu.Unlock()
	owners, err := n.store.Owners(ctx)
	if !n.recordStoreCall(ctx, sentAt, err) {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	// The group may have entered a new era meanwhile, of which this node knows no generation.
	l.replaceOwners(now, max(version, storeera.Token(owners.Era, 0)), owners)
	l.ownersReadAt = now
}

// replaceOwners replaces the owners by those that were read, by this node or by a reader, unless that was in an earlier era than
// the known owners. The caller holds l.mu.
func (l *leases) replaceOwners(now time.Time, version int64, owners serving.Owners) {
	if owners.Era < l.ownersEra {
		return
	}
	if !maps.Equal(owners.ByPartition, l.owners) {
		l.ownersChangedAt = now
	}
	l.owners, l.ownersEra, l.ownersVersion, l.ownersConfirmedAt = owners.ByPartition, owners.Era, version, now
}

// invitations returns the nodes that this node invites to join the group, out of the live peers.
func (n *Node) invitations(now time.Time, peers []string) []string {
	group, current := n.group()
	well, _ := n.peers.wellConnected(now, n.settings.LinkMbps)
	l := n.leases
	l.mu.Lock()
	defer l.mu.Unlock()
	if !current || !group.Complete || !l.core.HasPartition(invitingPartition) {
		return nil
	}
	owners := make(map[string]bool, len(l.owners))
	for _, owner := range l.owners {
		owners[owner] = true
	}
	candidates := slices.DeleteFunc(slices.Clone(peers), func(peer string) bool { return owners[peer] || well != nil && !well[peer] })
	return l.inviter.Invite(bootTime(), group, candidates)
}

// ownersNotice returns what a reader tells the other nodes about the owners in a round of digests: their generation, the
// nodes that it invites, and now and then, or after a change, the owners.
func (l *leases) ownersNotice(now time.Time, round int, invited []string) *peerlink.OwnersNotice {
	l.mu.Lock()
	defer l.mu.Unlock()
	notice := &peerlink.OwnersNotice{Era: l.ownersEra, Version: l.ownersVersion, Invited: invited}
	if round%ownersNoticeInterval == 0 || now.Sub(l.ownersChangedAt) < ownersNoticeRepeats {
		notice.Owners = maps.Clone(l.owners)
	}
	return notice
}

// applyOwnersNotice applies what a reader says about the owners to the node with the address self. Readers that are behind
// others are ignored until what this node knows isn't confirmed any more, and always if they are behind by an era.
func (l *leases) applyOwnersNotice(now time.Time, self string, notice peerlink.OwnersNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Contains(notice.Invited, self) {
		l.invitedAt = now
	}
	unconfirmed := now.Sub(l.ownersConfirmedAt) > ownersConfirmation
	switch {
	case notice.Era < l.ownersEra:
	case len(notice.Owners) > 0 && (notice.Version >= l.ownersVersion || unconfirmed):
		l.replaceOwners(now, notice.Version, serving.Owners{Era: notice.Era, ByPartition: notice.Owners})
	case notice.Version == l.ownersVersion:
		l.ownersConfirmedAt = now
	}
}
