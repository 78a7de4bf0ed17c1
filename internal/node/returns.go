package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
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
	n.watch.storeReturned(time.Now())
	n.events.Emit(event.StoreReturned, event.Fields{
		"before": change.Before, "era": change.Now, "peer": change.Source, "operatorOffset": operator, "serversOffset": servers,
	})
}
