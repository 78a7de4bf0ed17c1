package node

import (
	"context"
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

const (
	// digestPeriod is the time between two digests of a reader that has read no changes.
	digestPeriod = 300 * time.Millisecond
	// digestMaxAge is the largest age of a reader's latest read at which it still sends digests.
	digestMaxAge = 1500 * time.Millisecond
	// digestEntryLimit bounds the entries in a digest, of some 200 B each. After larger changes the followers read the
	// store themselves.
	digestEntryLimit = 40
	// digestEntriesAtOnce bounds the entries in the digests to all nodes, some 400 KB, so that they don't fill a link of
	// 20 Mbit/s, which would delay or lose all digests.
	digestEntriesAtOnce = 2000
	// followerPollPeriod is the time between two checks by a follower for changes in the digests that it received.
	followerPollPeriod = 100 * time.Millisecond
)

// watch guards the core that decides when this node reads the store, and wakes the goroutines that read it.
type watch struct {
	mu   sync.Mutex
	core storewatch.Core
	own  storewatch.Digest
	// outages shows when the store was away.
	outages storewatch.Outages
	// history holds this node's recent reads of the operators' records.
	history storewatch.OperatorHistory
	// readAt is when this node's latest read of the servers' entries in the present era of the store succeeded, operatorReadAt that
	// of the operators' records.
	readAt         time.Time
	operatorReadAt time.Time
	// entriesRead is true once the servers' entries have been read in any era.
	entriesRead bool
	// proofDue, if set, reports whether the operators' records have to be read although readers show nothing new.
	proofDue func() bool
	// checkedAt is when checkCurrent was last called, checkedBootTime the reading of bootTime then.
	checkedAt       time.Time
	checkedBootTime time.Duration
	// digestReceived receives a value when a digest of another node arrived.
	digestReceived chan struct{}
	// digestChanged receives a value when this node's own digest changed.
	digestChanged chan struct{}
}

func newWatch() *watch {
	return &watch{digestReceived: make(chan struct{}, 1), digestChanged: make(chan struct{}, 1)}
}

// serversKnown reports whether the servers' entries have been read from the store at least once.
func (w *watch) serversKnown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entriesRead
}

// notify sends to a channel with a buffer of one, unless the buffer is full.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (w *watch) recordDigest(now time.Time, reader string, digest storewatch.Digest) {
	w.mu.Lock()
	w.core.DigestReceived(now, reader, digest)
	w.mu.Unlock()
	notify(w.digestReceived)
}

// entriesServed records that the store served a read of the servers' entries some time ago.
func (w *watch) entriesServed(now time.Time, ago time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outages.Served(now.Add(-ago), now, bootTime())
}

// running records that this process runs, so that a time in which it stood still is noticed.
func (w *watch) running(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outages.Running(now, bootTime())
}

// storeFailed records that a call to the store failed that was sent at a time.
func (w *watch) storeFailed(sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outages.Failed(sentAt)
}

// storeReturned records that the store has returned from an older copy.
func (w *watch) storeReturned(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outages.Returned(now)
}

// goneAt returns when an entry that is found to be missing now counts as removed.
func (w *watch) goneAt(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outages.GoneAt(now)
}

func (w *watch) setReader(reader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.SetReader(reader)
}

func (w *watch) followsOperator(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.FollowsOperator(now)
}

func (w *watch) fetchSource(now time.Time, fingerprint uint64) (reader string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.FetchSource(now, fingerprint)
}

func (w *watch) advance(digest storewatch.Digest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.core.Fetched(digest)
}

func (w *watch) recentOperatorChanges(now time.Time) storewatch.OperatorChanges {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history.Changes(now)
}

func (w *watch) hasReadOperator(position serving.Position) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return position.Era == w.own.Era && w.core.HasRead(position.Offset)
}

// enterEra forgets what was read if it belongs to an earlier era of the store than the given one. It returns false if the given era is
// an earlier one. The caller holds w.mu.
func (w *watch) enterEra(era serving.StoreEra) (current bool) {
	if era > w.own.Era {
		w.own, w.history = storewatch.Digest{Era: era}, storewatch.OperatorHistory{}
		w.readAt, w.operatorReadAt = time.Time{}, time.Time{}
	}
	return w.core.EnterEra(era) && era == w.own.Era
}

// eraBegun records that an era of the store has begun.
func (w *watch) eraBegun(era serving.StoreEra) {
	w.mu.Lock()
	w.enterEra(era)
	w.mu.Unlock()
	notify(w.digestReceived)
}

// recordOperatorRead records a read of the operators' records, unless it was one in an earlier era. contiguous is true if the read
// started from a known cursor.
func (w *watch) recordOperatorRead(now time.Time, batch serving.OperatorBatch, contiguous bool) {
	next := batch.Next.Offset
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.enterEra(batch.Next.Era) {
		return
	}
	w.history.Add(now, batch, contiguous)
	w.core.ReadOperator(next)
	w.operatorReadAt = now
	if next != w.own.OperatorNext {
		w.own.OperatorNext = next
		notify(w.digestChanged)
	}
}

// recordServersRead records a read of the servers' entries up to a position, unless it was one in an earlier era.
func (w *watch) recordServersRead(now time.Time, next serving.Position, fingerprint uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entriesRead = true
	if !w.enterEra(next.Era) {
		return
	}
	w.core.ReadServers(now, next.Offset)
	w.readAt = now
	w.own.ServersNext = next.Offset
	if fingerprint != w.own.Servers {
		w.own.Servers = fingerprint
		notify(w.digestChanged)
	}
}

// waitForOperator returns when the operators' records have to be read again: at once for a node that doesn't follow
// readers, else when a digest shows new records.
func (w *watch) waitForOperator(ctx context.Context) {
	for ctx.Err() == nil && w.operatorIdle(time.Now()) {
		delay.For(ctx, followerPollPeriod)
	}
}

// operatorIdle reports whether this node follows readers and knows all records that digests show.
func (w *watch) operatorIdle(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.FollowsOperator(now) && !w.core.OperatorDue() && (w.proofDue == nil || !w.proofDue())
}

// serversIdle is operatorIdle for the servers' entries. fingerprint is that of this node's entries.
func (w *watch) serversIdle(now time.Time, fingerprint uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.FollowsServers(now) && !w.core.ServersDue(now, fingerprint)
}

// waitToRetry waits after a failed read: for retryPause, and up to followerRetryPause while idle reports that readers show
// nothing new.
func waitToRetry(ctx context.Context, idle func() bool) {
	startedAt := time.Now()
	pause(ctx, retryPause)
	for ctx.Err() == nil && idle() && time.Since(startedAt) < followerRetryPause {
		delay.For(ctx, followerPollPeriod)
	}
}

// waitForServers waits until the servers' entries have to be read again.
func (w *watch) waitForServers(ctx context.Context, fingerprint func() uint64) {
	startedAt := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		w.mu.Lock()
		follows := w.core.FollowsServers(now)
		due := w.core.ServersDue(now, fingerprint())
		w.mu.Unlock()
		if follows && due || !follows && now.Sub(startedAt) >= serversPeriod {
			return
		}
		delay.Until(ctx, followerPollPeriod, w.digestReceived)
	}
}

// checkCurrent reports whether the servers' entries are known, and since when without a long gap. fingerprint is that of
// this node's entries.
func (w *watch) checkCurrent(now time.Time, fingerprint uint64) (since time.Time, current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	boot := bootTime()
	if boot-w.checkedBootTime-now.Sub(w.checkedAt) > storewatch.MaximumGap {
		w.core.Suspended()
	}
	w.checkedAt, w.checkedBootTime = now, boot
	return w.core.CheckCurrent(now, fingerprint)
}

// serversPosition returns the position in the servers' entries up to which this node has read the store.
func (w *watch) serversPosition() serving.Position {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own.ServersPosition()
}

// offsets returns the positions up to which this node has read the operators' records and the servers' entries.
func (w *watch) offsets() (operator, servers int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.own.OperatorNext, w.own.ServersNext
}

// operatorAge returns how long ago this node, or a reader whose digests it gets, last read the operators' records.
func (w *watch) operatorAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return min(now.Sub(w.operatorReadAt), w.core.ReadersOperatorAge(now))
}

// digest returns this node's digest, and whether its latest read of the present era is recent enough to send it.
func (w *watch) digest(now time.Time) (storewatch.Digest, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := w.own
	digest.OperatorAge, digest.ServersAge = now.Sub(w.operatorReadAt), now.Sub(w.readAt)
	return digest, now.Sub(w.readAt) < digestMaxAge
}

// sendDigests sends digests of this node's reads to the other nodes while it's a reader.
func (n *Node) sendDigests(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		delay.Until(ctx, digestPeriod, n.watch.digestChanged)
		// Calls to the store may keep other callers from checking often enough.
		n.watch.checkCurrent(time.Now(), n.view.Fingerprint())
		n.watch.running(time.Now())
		n.notices.checkSuspension(time.Now(), bootTime())
		n.notices.updateGauges(time.Now())
		n.operatorAge.Update(n.watch.operatorAge(time.Now()).Milliseconds())
		if !n.leases.isReader() {
			continue
		}
		now := time.Now()
		if message, fresh := n.digestMessage(now); fresh {
			peers := n.peers.alive(now)
			invited := n.invitations(now, peers)
			message.Owners = n.leases.ownersNotice(now, round, invited)
			n.notices.addTo(now, round, &message)
			n.link.Send(message, peers...)
		}
	}
	return nil
}

// isCurrent reports whether a digest belongs to the present era of the store, or to one that this node doesn't know yet.
func (w *watch) isCurrent(digest storewatch.Digest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return digest.Era >= w.own.Era
}

// digestMessage returns the message with this node's digest, and whether its latest read is recent enough to send it.
func (n *Node) digestMessage(now time.Time) (message peerlink.Message, fresh bool) {
	digest, fresh := n.watch.digest(now)
	message.Digest, message.StoreEra = &digest, n.eras.Current()
	changes := n.view.ChangedSince(now.Add(-storewatch.ChangeRetention), now)
	if changes.Count() <= digestEntries(n.peers.aliveNodes(now)-1) {
		message.Present, message.Removed, message.Gone = changes.Present, changes.Removed, changes.Gone
	}
	if changes := n.watch.recentOperatorChanges(now); len(changes.Versions) > 0 {
		message.Operator = &changes
	}
	return message, fresh
}

// digestEntries returns the largest number of entries in a digest to so many nodes.
func digestEntries(nodes int) int { return min(digestEntryLimit, digestEntriesAtOnce/max(nodes, 1)) }

// applyDigest applies a message with the digest of a reader. What the reader has read in an earlier era of the store than the present
// one counts for nothing, nor does it show that the reader reads the store now.
func (n *Node) applyDigest(now time.Time, message peerlink.Message) {
	n.eras.Told(message.From, message.StoreEra)
	if message.Owners != nil {
		n.leases.applyOwnersNotice(now, n.link.Address(), *message.Owners)
	}
	digest := n.withEra(*message.Digest, message.StoreEra)
	if !n.watch.isCurrent(digest) {
		outdatedDigests.Inc(1)
		return
	}
	n.watch.entriesServed(now, max(digest.ServersAge, 0))
	n.applyDigestServers(message.From, digest, serverview.Changes{
		Present: message.Present, Removed: message.Removed, Gone: message.Gone,
	})
	if message.Operator != nil {
		n.applyDigestOperator(message.From, digest, *message.Operator)
	}
	n.watch.recordDigest(now, message.From, digest)
}
