package policybench

import (
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/admission"
)

const (
	// gateways is how many gateways the requests are spread over. Each gateway gathers batches of its own requests only.
	gateways = 4
	// gatewaySeed keeps the spread the same for all policies.
	gatewaySeed = 7
)

// gathered identifies the requests that one gateway gathers.
type gathered struct {
	gateway int
	adapter int
}

// holds applies the gateways' batch windows to the waiting requests.
type holds struct {
	gateway   []int
	gathering *admission.Gathering[gathered]
	// ready is when a held request could first have been dispatched, by request.
	ready map[int]time.Duration
	// releaseAt is when a held request's own window ends, by request.
	releaseAt map[int]time.Duration
}

func newHolds(requests int) holds {
	random := rand.New(rand.NewPCG(gatewaySeed, 0))
	h := holds{gateway: make([]int, requests), gathering: admission.NewGathering[gathered](), ready: map[int]time.Duration{}, releaseAt: map[int]time.Duration{}}
	for i := range h.gateway {
		h.gateway[i] = random.IntN(gateways)
	}
	return h
}

func (r *run) key(index int) gathered {
	return gathered{gateway: r.holds.gateway[index], adapter: r.trace[index].Adapter}
}

// arrive dispatches a request or lets it wait.
func (r *run) arrive(index int) {
	request := r.trace[index]
	window := r.fleet.Windows[request.Class]
	if window.Window == 0 {
		if !r.dispatch(index) {
			r.wait(index)
		}
		return
	}
	arrived := epoch.Add(request.At)
	giveUpAt := arrived.Add(r.fleet.GiveUp)
	phase := admission.Phase(adapterName(request.Adapter), version)
	r.holds.gathering.Add(r.key(index), phase, uint64(index), window, arrived, giveUpAt)
	r.holds.releaseAt[index] = window.ReleaseAt(arrived, giveUpAt, phase).Sub(epoch)
	r.push(simEvent{at: r.holds.releaseAt[index], kind: release})
	r.wait(index)
	r.drain()
}

// held reports whether a waiting request is held for a batch, and notes since when a server could have taken it.
func (r *run) held(index int) bool {
	request := r.trace[index]
	if r.fleet.Windows[request.Class].Window == 0 || !r.holds.gathering.Held(r.key(index), epoch.Add(r.view.Now)) {
		return false
	}
	if _, known := r.holds.ready[index]; !known && len(r.candidates(request.Adapter)) > 0 {
		r.holds.ready[index] = r.view.Now
	}
	return true
}

// drainLine dispatches the requests of one line and class that aren't held, as far as servers can take them.
func (r *run) drainLine(l *line, class int) {
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

// ended counts the wait of a request that is dispatched or given up on. Held time ends at the latest when the request's
// own window ends; what it waits after that is a stall.
func (r *run) ended(index int, waited time.Duration) {
	request := r.trace[index]
	r.holds.gathering.Remove(r.key(index), uint64(index))
	ready, wasHeld := r.holds.ready[index]
	releaseAt := r.holds.releaseAt[index]
	delete(r.holds.ready, index)
	delete(r.holds.releaseAt, index)
	if wasHeld {
		held := min(r.view.Now, releaseAt) - ready
		r.result.Held += held
		waited -= held
	}
	r.record(request.Class, waited)
}
