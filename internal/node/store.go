package node

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

const (
	// operatorWait is how long one read waits for a change of the configuration. It's short because a lost read is only
	// detected when it times out, and the change has to be in force within 2 s.
	operatorWait = 600 * time.Millisecond
	// minimumPatience and maximumPatience bound how long a read of the operators' records may take beyond its wait. A slow
	// store answers within some 340 ms; each failure doubles the patience, for a store that is even slower.
	minimumPatience = 600 * time.Millisecond
	maximumPatience = 1200 * time.Millisecond
	// serversPeriod is the time between two reads of the servers' entries by a node that doesn't follow readers. A
	// server that leaves must get no requests after 2 s.
	serversPeriod = 600 * time.Millisecond
	// retryPause is the time between two attempts while the store is unavailable, before jitter.
	retryPause = 300 * time.Millisecond
	// followerRetryPause is retryPause for a node that gets all changes from readers meanwhile.
	followerRetryPause = 1500 * time.Millisecond
	// removedEntryRetention is how long a server is kept in the view after its entry was removed.
	removedEntryRetention = time.Minute
)

// pauseJitter is the largest deviation of a pause as a share of it; it keeps nodes from calling the store in step.
const pauseJitter = 0.25

// pause waits for d with jitter or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	delay.For(ctx, time.Duration(float64(d)*(1-pauseJitter+2*pauseJitter*rand.Float64())))
}

// syncOperator keeps the configuration and the declared versions in sync with the store until ctx ends.
func (n *Node) syncOperator(ctx context.Context) error {
	var cursor serving.Cursor
	patience := minimumPatience
	for ctx.Err() == nil {
		startedAt, sentAt := time.Now(), bootTime()
		batch, err := n.readOperator(ctx, cursor, patience)
		if !n.recordStoreCall(ctx, startedAt, err) {
			n.logFailedOperatorRead(ctx, err, startedAt)
			patience = min(2*patience, maximumPatience)
			waitToRetry(ctx, func() bool { return n.watch.operatorIdle(time.Now()) })
			continue
		}
		patience = minimumPatience
		contiguous := cursor.Known && cursor.Era == batch.Next.Era
		cursor = batch.Next
		for _, invalid := range batch.Invalid {
			n.events.EmitError(event.ConfigRefused, invalid, nil)
		}
		n.applyOperator(provenance{source: sourceStore, position: batch.Next.Position()}, batch)
		n.keys.readOperator(sentAt, batch.Next)
		n.watch.recordOperatorRead(time.Now(), batch, contiguous)
		n.watch.waitForOperator(ctx)
	}
	return nil
}

// readOperator reads the operators' records after the cursor. A node that doesn't follow readers waits for a change.
func (n *Node) readOperator(
	ctx context.Context, cursor serving.Cursor, patience time.Duration,
) (serving.OperatorBatch, error) {
	wait := operatorWait
	if n.watch.followsOperator(time.Now()) {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+patience)
	defer cancel()
	return n.store.ReadOperator(ctx, cursor, wait)
}

func (n *Node) logFailedOperatorRead(ctx context.Context, err error, startedAt time.Time) {
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	n.events.EmitError(event.OperatorReadFailed, err, event.Fields{
		"ms": now.Sub(startedAt).Milliseconds(), "follows": n.watch.followsOperator(now),
	})
}

// sourceStore is the source in the log of what was read from the store itself. Other sources are addresses of peers.
const sourceStore = "store"

// provenance says where records were read, for the log.
type provenance struct {
	source string
	// position is the position up to which the source had read.
	position serving.Position
}

func (p provenance) addTo(fields event.Fields) event.Fields {
	fields["source"], fields["era"], fields["offset"] = p.source, p.position.Era, p.position.Offset
	return fields
}

func (n *Node) applyOperator(from provenance, batch serving.OperatorBatch) {
	for _, config := range batch.Configurations {
		if n.forwarder.SetConfig(config) {
			n.events.Emit(event.ConfigInForce, from.addTo(event.Fields{
				"version": config.Version, "routes": len(config.Routes), "services": len(config.Services),
			}))
		}
	}
	for _, version := range batch.Versions {
		if n.view.Declare(time.Now(), version) {
			n.events.Emit(event.VersionDeclared, from.addTo(event.Fields{
				"adapter": version.Adapter.String(), "version": version.Version,
			}))
			n.holders.declare(version)
		}
	}
}

// syncServers keeps the servers' entries in sync with the store until ctx ends.
func (n *Node) syncServers(ctx context.Context) error {
	var cursor serving.Cursor
	for ctx.Err() == nil {
		sentAt := time.Now()
		batch, err := n.store.ReadServers(ctx, cursor)
		if !n.recordStoreCall(ctx, sentAt, err) {
			waitToRetry(ctx, func() bool { return n.watch.serversIdle(time.Now(), n.view.Fingerprint()) })
			continue
		}
		cursor = batch.Next
		n.watch.entriesServed(time.Now(), 0)
		n.applyStoreServers(batch)
		n.view.Prune(time.Now(), removedEntryRetention)
		n.holders.reconcile()
		n.watch.recordServersRead(time.Now(), cursor.Position(), n.view.Fingerprint())
		if batch.Complete {
			notify(n.sightings.changed)
		}
		n.watch.waitForServers(ctx, n.view.Fingerprint)
	}
	return nil
}

// applyStoreServers applies a batch from the store, unless a peer has already sent a later state. A complete batch of a store that names
// no eras is always applied, as the log may have been replaced by one with lower offsets.
func (n *Node) applyStoreServers(batch serving.ServerBatch) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	next := batch.Next.Position()
	replaced := batch.Complete && next.Era == 0 && n.entriesNext.Era == 0
	if !n.entriesNext.After(next) || replaced {
		n.applyAllServers(provenance{source: sourceStore, position: next}, batch)
	}
}

// applyAllServers applies a batch that holds all changes up to the position of its source. The caller holds n.entriesMu.
func (n *Node) applyAllServers(from provenance, batch serving.ServerBatch) {
	n.applyServers(from, batch)
	n.noteApplied(from.position)
}

// noteApplied records that all changes up to a position are applied. The caller holds n.entriesMu.
func (n *Node) noteApplied(next serving.Position) {
	n.entriesNext = next
	maps.DeleteFunc(n.appliedAhead, func(_ string, at serving.Position) bool { return !at.After(next) })
}

const (
	// entriesReadInterval is the least time between two reads of the servers' entries for requests.
	entriesReadInterval = 100 * time.Millisecond
	// entriesReadTimeout bounds such a read. A slow store answers within some 340 ms.
	entriesReadTimeout = 400 * time.Millisecond
	// maximumEntryPages bounds the calls of such a read.
	maximumEntryPages = 8
)

var errEntriesUnread = errors.New("more entries of servers have changed than one read takes")

// readEntries reads what has changed in the servers' entries since this node last applied them.
func (n *Node) readEntries() error {
	ctx, cancel := context.WithTimeout(n.ctx, entriesReadTimeout)
	defer cancel()
	applied := n.appliedEntries()
	cursor := serving.Cursor{Known: applied.Offset > 0, Era: applied.Era, Offset: applied.Offset}
	for range maximumEntryPages {
		batch, err := n.store.ReadServers(ctx, cursor)
		if err != nil {
			n.events.EmitError(event.StoreLost, err, nil)
			return err
		}
		n.watch.entriesServed(time.Now(), 0)
		n.applyStoreServers(batch)
		n.reconcilePending.Store(true)
		if cursor = batch.Next; !cursor.More {
			return nil
		}
	}
	return errEntriesUnread
}

// appliedEntries returns the position in the servers' entries up to which this node has applied them.
func (n *Node) appliedEntries() serving.Position {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	return n.entriesNext
}

// applyDigestServers applies the entries that came with a reader's digest. If this node then has the same entries as
// the reader, it needn't read the store. The reader's word that a server is gone counts besides what this node knows of outages: it may
// have lost the store alone.
func (n *Node) applyDigestServers(reader string, digest storewatch.Digest, changes serverview.Changes) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	next := digest.ServersPosition()
	if n.entriesNext.After(next) {
		return
	}
	// A server counts as gone only once the removal of its entry is applied.
	defer n.view.Gone(time.Now(), changes.Gone)
	if next == n.entriesNext || len(changes.Present)+len(changes.Removed) == 0 {
		return
	}
	batch := serving.ServerBatch{Present: changes.Present, Gone: changes.Removed}
	from := provenance{source: reader, position: next}
	n.applyServers(from, batch)
	for _, server := range batch.Present {
		n.appliedAhead[server.ID] = next
	}
	for _, id := range batch.Gone {
		n.appliedAhead[id] = next
	}
	if n.view.Fingerprint() == digest.Servers {
		n.noteApplied(next)
		n.watch.advance(storewatch.Digest{Era: digest.Era, ServersNext: digest.ServersNext})
	}
	n.reconcilePending.Store(true)
}

// applyDigestOperator applies the versions that came with a reader's digest, if this node has read everything before
// them.
func (n *Node) applyDigestOperator(
	reader string, digest storewatch.Digest, changes storewatch.OperatorChanges,
) {
	if !n.watch.hasReadOperator(serving.Position{Era: digest.Era, Offset: changes.From}) {
		return
	}
	next := digest.OperatorPosition()
	n.applyOperator(provenance{source: reader, position: next}, serving.OperatorBatch{Versions: changes.Versions})
	n.watch.advance(storewatch.Digest{Era: digest.Era, OperatorNext: digest.OperatorNext})
	n.keys.applied(next)
}

// applyPeerServers replaces the entries by those that a reader read up to a position of the store's log, if that's later
// than what this node has applied.
func (n *Node) applyPeerServers(reader string, next serving.Position, servers []serving.Server) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	if next.After(n.entriesNext) {
		n.applyAllServers(provenance{source: reader, position: next}, serving.ServerBatch{Complete: true, Present: servers})
	}
}

// applyServers applies a batch. The caller holds n.entriesMu.
func (n *Node) applyServers(from provenance, batch serving.ServerBatch) {
	now := time.Now()
	goneAt := n.watch.goneAt(now)
	present := make(map[string]bool, len(batch.Present))
	// isOutdated reports whether a later change of an entry has been applied before.
	isOutdated := func(id string) bool { return n.appliedAhead[id].After(from.position) }
	put := n.view.PutEntry
	if now.Before(n.rewrittenBy) {
		put = n.view.PutCopiedEntry
	}
	for id := range n.appliedAhead {
		present[id] = present[id] || isOutdated(id)
	}
	for _, server := range batch.Present {
		present[server.ID] = true
		if !isOutdated(server.ID) && put(now, server) {
			notify(n.sightings.changed)
			n.crashes.registered(server)
			n.events.Emit(event.ServerEntryChanged, from.addTo(event.Fields{
				"server": server.ID, "service": server.Service, "address": server.Address, "zone": server.Zone,
				"softwareVersion": server.SoftwareVersion, "draining": server.Draining,
				"leavesInMs": server.LeavesIn.Milliseconds(), "born": server.Born,
			}))
		}
	}
	removed := batch.Gone
	for id, err := range batch.Invalid {
		n.events.EmitError(event.ServerEntryInvalid, err, event.Fields{"server": id})
		removed = append(removed, id)
	}
	for _, id := range removed {
		if !isOutdated(id) && n.view.RemoveEntry(now, id, goneAt) {
			n.logRemovedEntry(from, id, goneAt.Sub(now))
		}
	}
	if batch.Complete {
		for _, id := range n.view.KeepOnly(now, present, goneAt) {
			n.logRemovedEntry(from, id, goneAt.Sub(now))
		}
	}
}

// logRemovedEntry logs that an entry is missing, and how long the server may get requests nevertheless.
func (n *Node) logRemovedEntry(from provenance, id string, goneIn time.Duration) {
	n.events.Emit(event.ServerEntryChanged, from.addTo(event.Fields{
		"server": id, "removed": true, "goneInMs": max(goneIn, 0).Milliseconds(),
	}))
}

// recordStoreCall records whether a call to the store that was sent at a time succeeded, and logs when the store becomes unavailable
// or available again. It returns true on success, and false when the call failed or ctx has ended.
func (n *Node) recordStoreCall(ctx context.Context, sentAt time.Time, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		if n.storeUnavailable.CompareAndSwap(true, false) {
			n.events.Emit(event.StoreRegained, nil)
		}
		return true
	}
	n.watch.storeFailed(sentAt)
	if n.storeUnavailable.CompareAndSwap(false, true) {
		n.events.EmitError(event.StoreLost, err, nil)
	}
	return false
}
