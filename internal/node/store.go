package node

import (
	"context"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

const (
	// operatorWait is how long one read waits for a change of the configuration. It's short, as a connection that
	// went silent is only found when it ends.
	operatorWait = 2 * time.Second
	// serversPeriod is the time between two reads of the servers' entries by a node that doesn't rely on others; a
	// leaving server must get no requests after 2 s.
	serversPeriod = 600 * time.Millisecond
	// retryPause is the time between two tries while the store is out of reach, before it's spread.
	retryPause = 300 * time.Millisecond
	// informedRetryPause is the same while readers tell this node what they read, so that it misses nothing.
	informedRetryPause = 1500 * time.Millisecond
	// forgetAfter is how long a server without an entry is remembered.
	forgetAfter = time.Minute
)

// pauseSpread is how much a pause may be longer or shorter, so that nodes don't call in step.
const pauseSpread = 0.25

// pause waits for about d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	delay.For(ctx, time.Duration(float64(d)*(1-pauseSpread+2*pauseSpread*rand.Float64())))
}

// followOperator keeps the configuration and the declared versions.
func (n *Node) followOperator(ctx context.Context) error {
	var cursor serving.Cursor
	for ctx.Err() == nil {
		atMost := operatorWait
		if n.watch.follows(time.Now()) {
			atMost = 0
		}
		batch, err := n.store.ReadOperator(ctx, cursor, atMost)
		if !n.noteStore(ctx, err) {
			pause(ctx, n.watch.retryPause(time.Now()))
			continue
		}
		whole := cursor.Known
		cursor = batch.Next
		for _, invalid := range batch.Invalid {
			n.events.EmitError(event.ConfigRefused, invalid, nil)
		}
		n.takeOperator(batch)
		n.watch.readOperator(time.Now(), batch, whole)
		n.watch.awaitOperator(ctx)
	}
	return nil
}

func (n *Node) takeOperator(batch serving.OperatorBatch) {
	for _, config := range batch.Configurations {
		if n.forwarder.SetConfig(config) {
			n.events.Emit(event.ConfigInForce, event.Fields{
				"version": config.Version, "routes": len(config.Routes), "services": len(config.Services),
			})
		}
	}
	for _, version := range batch.Versions {
		if n.view.Declare(time.Now(), version) {
			n.events.Emit(event.VersionDeclared, event.Fields{"adapter": version.Adapter.String(), "version": version.Version})
			n.holders.declare(version)
		}
	}
}

// followServers keeps the servers' entries.
func (n *Node) followServers(ctx context.Context) error {
	var cursor serving.Cursor
	for ctx.Err() == nil {
		batch, err := n.store.ReadServers(ctx, cursor)
		if !n.noteStore(ctx, err) {
			pause(ctx, n.watch.retryPause(time.Now()))
			continue
		}
		cursor = batch.Next
		n.takeStoreServers(batch)
		n.view.Forget(time.Now(), forgetAfter)
		n.holders.reconcile()
		n.watch.readServers(time.Now(), cursor.Offset, n.view.Fingerprint())
		n.watch.awaitServers(ctx, n.view.Fingerprint)
	}
	return nil
}

// takeStoreServers takes a batch from the store, unless a peer has told of a later state. A complete one always counts,
// as the log may have begun anew.
func (n *Node) takeStoreServers(batch serving.ServerBatch) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	if batch.Next.Offset >= n.entriesOffset || batch.Complete {
		n.entriesOffset = batch.Next.Offset
		n.takeServers(batch)
	}
}

// takeNews takes the entries that came with a reader's digest. If the node then has the same entries as the reader, it
// needn't read the store.
func (n *Node) takeNews(digest storewatch.Digest, news serving.ServerBatch) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	if digest.ServersNext <= n.entriesOffset || len(news.Present)+len(news.Gone) == 0 {
		return
	}
	n.takeServers(news)
	if n.view.Fingerprint() == digest.Servers {
		n.entriesOffset = digest.ServersNext
		n.watch.learned(storewatch.Digest{ServersNext: digest.ServersNext})
	}
	n.entriesChanged.Store(true)
}

// takeOperatorNews takes the versions that came with a reader's digest, if this node has read all that was before.
func (n *Node) takeOperatorNews(digest storewatch.Digest, news storewatch.OperatorNews) {
	if !n.watch.hasReadOperator(news.From) {
		return
	}
	n.takeOperator(serving.OperatorBatch{Versions: news.Versions})
	n.watch.learned(storewatch.Digest{OperatorNext: digest.OperatorNext})
}

// takePeerServers takes all entries as a peer read them up to an offset of the store's log, if that's later than what
// this node has read.
func (n *Node) takePeerServers(offset int64, servers []serving.Server) {
	n.entriesMu.Lock()
	defer n.entriesMu.Unlock()
	if offset > n.entriesOffset {
		n.entriesOffset = offset
		n.takeServers(serving.ServerBatch{Complete: true, Present: servers})
	}
}

func (n *Node) takeServers(batch serving.ServerBatch) {
	now := time.Now()
	present := make(map[string]bool, len(batch.Present))
	for _, server := range batch.Present {
		present[server.ID] = true
		if n.view.PutEntry(now, server) {
			n.events.Emit(event.ServerEntryChanged, event.Fields{
				"server": server.ID, "service": server.Service, "address": server.Address, "zone": server.Zone,
				"draining": server.Draining, "leavesInMs": server.LeavesIn.Milliseconds(), "born": server.Born,
			})
		}
	}
	gone := batch.Gone
	for id, err := range batch.Invalid {
		n.events.EmitError(event.ServerEntryInvalid, err, event.Fields{"server": id})
		gone = append(gone, id)
	}
	for _, id := range gone {
		if n.view.RemoveEntry(now, id) {
			n.logRemoved(id)
		}
	}
	if batch.Complete {
		for _, id := range n.view.KeepOnly(now, present) {
			n.logRemoved(id)
		}
	}
}

func (n *Node) logRemoved(id string) {
	n.events.Emit(event.ServerEntryChanged, event.Fields{"server": id, "removed": true})
}

// noteStore notes whether a call to the store succeeded, and logs a change.
func (n *Node) noteStore(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		if n.storeLost.CompareAndSwap(true, false) {
			n.events.Emit(event.StoreRegained, nil)
		}
		return true
	}
	n.view.StoreFailed(time.Now())
	if n.storeLost.CompareAndSwap(false, true) {
		n.events.EmitError(event.StoreLost, err, nil)
	}
	return false
}
