package policybench

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
)

const (
	// gateways is the number of gateways that share the requests. Each gateway batches only its own requests.
	gateways = 4
	// gatewaySeed makes the assignment of requests to gateways the same for all policies.
	gatewaySeed = 7
)

// batchKey identifies the requests that one gateway gathers into batches.
type batchKey struct {
	gateway int
	adapter int
}

// holds simulates the gateways' batch windows for the waiting requests.
type holds struct {
	gateway   []int
	gathering *admission.Batcher[batchKey]
	// dispatchableAt is the first time at which a held request could have been dispatched, by request.
	dispatchableAt map[int]time.Duration
	// releaseAt is the end of a held request's own window, by request.
	releaseAt map[int]time.Duration
}

func newHolds(requests int) holds {
	random := rand.New(rand.NewPCG(gatewaySeed, 0))
	h := holds{
		gateway: make([]int, requests), gathering: admission.NewBatcher[batchKey](),
		dispatchableAt: map[int]time.Duration{}, releaseAt: map[int]time.Duration{},
	}
	for i := range h.gateway {
		h.gateway[i] = random.IntN(gateways)
	}
	return h
}

func (r *run) batchKeyOf(index int) batchKey {
	return batchKey{gateway: r.holds.gateway[index], adapter: r.trace[index].Adapter}
}

// arrive dispatches a request or enqueues it.
func (r *run) arrive(index int) {
	request := r.trace[index]
	window := r.fleet.Windows[request.Class]
	if window.Window == 0 {
		if !r.dispatch(index) {
			r.enqueue(index)
		}
		return
	}
	arrivedAt := clockStart.Add(request.At)
	abandonAt := arrivedAt.Add(r.fleet.WaitLimit)
	phase := admission.Phase(adapterName(request.Adapter), version)
	r.holds.gathering.Add(r.batchKeyOf(index), phase, uint64(index), window, arrivedAt, abandonAt)
	r.holds.releaseAt[index] = window.ReleaseAt(arrivedAt, abandonAt, phase).Sub(clockStart)
	r.push(simEvent{at: r.holds.releaseAt[index], kind: windowEnd})
	r.enqueue(index)
	r.dispatchWaiting()
}

// held reports whether a waiting request is held for a batch, and records when a server first had capacity for it.
func (r *run) held(index int) bool {
	request := r.trace[index]
	if r.fleet.Windows[request.Class].Window == 0 || !r.holds.gathering.Held(r.batchKeyOf(index), clockStart.Add(r.view.Now)) {
		return false
	}
	if _, known := r.holds.dispatchableAt[index]; !known && len(r.candidates(request.Adapter)) > 0 {
		r.holds.dispatchableAt[index] = r.view.Now
	}
	return true
}

// dispatchQueue dispatches the requests of one queue and class that aren't held, as long as a server has capacity.
func (r *run) dispatchQueue(l *adapterQueue, class int) {
	blocked := false
	l.requests[class] = slices.DeleteFunc(l.requests[class], func(index int) bool {
		if blocked || r.held(index) {
			return false
		}
		blocked = !r.dispatch(index)
		if !blocked {
			l.demand.ByClass[class]--
		}
		return !blocked
	})
}

// recordWait records the wait of a request that is dispatched or abandoned. Held time ends no later than the request's
// own window; any wait after that counts as a stall.
func (r *run) recordWait(index int, waited time.Duration) {
	request := r.trace[index]
	r.holds.gathering.Remove(r.batchKeyOf(index), uint64(index))
	dispatchableAt, wasHeld := r.holds.dispatchableAt[index]
	releaseAt := r.holds.releaseAt[index]
	delete(r.holds.dispatchableAt, index)
	delete(r.holds.releaseAt, index)
	if wasHeld {
		held := min(r.view.Now, releaseAt) - dispatchableAt
		r.result.Held += held
		waited -= held
	}
	r.recordStall(request.Class, waited)
}
