package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

var (
	storeEraGauge = metrics.GetOrRegisterGauge("store.era", nil)
	storeReturns  = metrics.GetOrRegisterCounter("store.returns", nil)
	// outdatedDigests counts the digests of readers that had not read the store in its present era.
	outdatedDigests = metrics.GetOrRegisterCounter("store.outdatedDigests", nil)
)

// rewriteTime is how long after a return of the store entries may be older than what is known, those that another node tells too; the
// platform promises that they are written again within about two seconds.
const rewriteTime = 3 * time.Second

// applyEra applies a new era of the store, in which the store may hold less than before.
func (n *Node) applyEra(change storeera.Change) {
	storeEraGauge.Update(int64(n.eras.Current()))
	operator, servers := n.watch.offsets()
	n.watch.eraBegun(change.Now)
	n.leases.noteEra(change.Now)
	if !change.Returned {
		return
	}
	storeReturns.Inc(1)
	n.entriesMu.Lock()
	n.rewrittenBy = time.Now().Add(rewriteTime)
	n.entriesMu.Unlock()
	n.storeReturned.Store(true)
	n.watch.storeReturned(time.Now())
	n.events.Emit(event.StoreReturned, event.Fields{
		"before": change.Before, "era": change.Now, "peer": change.Source, "operatorOffset": operator, "serversOffset": servers,
	})
}

// withEra returns the digest of a reader with the era that the reader knows, if it's a build that names none in digests. Once this process
// has seen a return, such a reader may have read what it tells before it.
func (n *Node) withEra(digest storewatch.Digest, known serving.StoreEra) storewatch.Digest {
	if digest.Era == 0 && !n.storeReturned.Load() {
		digest.Era = known
	}
	return digest
}
