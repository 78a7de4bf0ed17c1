package policybench

import (
	"container/heap"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// retryInterval is the interval at which a policy is called again while it selects no load for the waiting demand.
const retryInterval = 50 * time.Millisecond

type run struct {
	fleet          Fleet
	policy         Policy
	trace          trace
	view           View
	events         eventQueue
	nextOrder      int
	queueByAdapter map[int]*adapterQueue
	queues         []*adapterQueue
	incarnations   []int
	loading        bool
	// retryScheduled is true while a policyRetry event is in events.
	retryScheduled bool
	loadsStarted   int
	// holds simulates the batches that the gateways gather.
	holds  holds
	result Result
}

// adapterQueue holds the requests that wait for one adapter, by class, in the order of arrival.
type adapterQueue struct {
	demand   Waiting
	requests [3][]int
}

// Run simulates the requests with a policy and returns the figures.
func Run(fleet Fleet, policy Policy, requests trace) Result {
	r := &run{
		fleet: fleet, policy: policy, trace: requests, queueByAdapter: map[int]*adapterQueue{},
		incarnations: make([]int, fleet.Servers),
	}
	r.holds = newHolds(len(requests))
	r.result.UrgentWaits = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
	r.result.Requests = len(requests)
	for range fleet.Servers {
		server := Server{Slots: make([]Slot, fleet.Slots)}
		for i := range server.Slots {
			server.Slots[i].Adapter = -1
		}
		r.view.Servers = append(r.view.Servers, server)
	}
	for i, request := range requests {
		r.push(simEvent{at: request.At, kind: requestArrival, request: i})
	}
	r.pushRestart(0)
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(simEvent)
		if e.kind == serverRestart && r.events.Len() == 0 {
			break
		}
		r.advance(e.at)
		r.handle(e)
		r.startLoad()
	}
	r.abandonRemaining()
	return r.result
}

func (r *run) pushRestart(server int) {
	if r.fleet.RestartEvery == 0 {
		return
	}
	at := r.view.Now + r.fleet.RestartEvery
	if at < r.trace[len(r.trace)-1].At {
		r.push(simEvent{at: at, kind: serverRestart, server: server})
	}
}

// advance moves the clock to now and adds the time since the last event to the batch figures.
func (r *run) advance(now time.Duration) {
	seconds := (now - r.view.Now).Seconds()
	r.view.Now = now
	if seconds == 0 {
		return
	}
	for i := range r.view.Servers {
		server := &r.view.Servers[i]
		if server.Running == 0 {
			continue
		}
		r.result.busySeconds += seconds
		for _, slot := range server.Slots {
			if slot.Running > 1 {
				r.result.sharedRequestSeconds += seconds * float64(slot.Running)
			}
		}
	}
}

func (r *run) handle(e simEvent) {
	switch e.kind {
	case requestArrival:
		request := r.trace[e.request]
		r.policy.ObserveArrival(r.view.Now, request.Adapter, request.Class)
		r.arrive(e.request)
	case requestDone:
		r.finish(e)
	case loadDone:
		r.finishLoad(e)
	case serverRestart:
		r.restart(e.server)
	case policyRetry:
		r.retryScheduled = false
	case windowEnd:
		r.dispatchWaiting()
	}
}

func (r *run) dispatch(index int) bool {
	request := r.trace[index]
	candidates := r.candidates(request.Adapter)
	if len(candidates) == 0 {
		return false
	}
	chosen := r.policy.Route(&r.view, request.Adapter, candidates)
	server := &r.view.Servers[chosen]
	slot := residentSlot(server, request.Adapter)
	server.Running++
	server.Slots[slot].Running++
	r.recordWait(index, r.view.Now-request.At)
	end := r.view.Now + time.Duration(request.Tokens)*r.fleet.Step
	r.push(simEvent{
		at: end, kind: requestDone, request: index, server: chosen, slot: slot, incarnation: r.incarnations[chosen],
	})
	return true
}

// candidates returns the servers that have the adapter resident and capacity for a request.
func (r *run) candidates(adapter int) []int {
	var candidates []int
	for i := range r.view.Servers {
		server := &r.view.Servers[i]
		if server.Running < r.fleet.Concurrency && residentSlot(server, adapter) >= 0 {
			candidates = append(candidates, i)
		}
	}
	return candidates
}

func residentSlot(server *Server, adapter int) int {
	for i, slot := range server.Slots {
		if slot.Adapter == adapter && !slot.Loading {
			return i
		}
	}
	return -1
}

func (r *run) recordStall(class int, waited time.Duration) {
	r.result.Stall += waited
	bucket := int(r.view.Now / StallInterval)
	for len(r.result.StallByTime) <= bucket {
		r.result.StallByTime = append(r.result.StallByTime, 0)
	}
	r.result.StallByTime[bucket] += waited
	if class == 0 {
		r.result.UrgentStall += waited
		_ = r.result.UrgentWaits.RecordValue(max(1, waited.Microseconds()))
	}
}

func (r *run) enqueue(index int) {
	request := r.trace[index]
	l := r.queueByAdapter[request.Adapter]
	if l == nil {
		l = &adapterQueue{demand: Waiting{Adapter: request.Adapter, Oldest: request.At}}
		r.queueByAdapter[request.Adapter] = l
		r.queues = append(r.queues, l)
	}
	l.requests[request.Class] = append(l.requests[request.Class], index)
	l.demand.ByClass[request.Class]++
}

func (r *run) finish(e simEvent) {
	if e.incarnation != r.incarnations[e.server] {
		return
	}
	r.result.Completed++
	server := &r.view.Servers[e.server]
	server.Running--
	slot := &server.Slots[e.slot]
	slot.Running--
	r.dispatchWaiting()
}

// dispatchWaiting dispatches waiting requests of resident adapters, the most urgent class first.
func (r *run) dispatchWaiting() {
	for class := range 3 {
		for _, l := range r.queues {
			r.dispatchQueue(l, class)
		}
	}
	r.removeEmptyQueues()
}

func (r *run) removeEmptyQueues() {
	r.queues = slices.DeleteFunc(r.queues, func(l *adapterQueue) bool {
		if l.demand.Total() > 0 {
			return false
		}
		delete(r.queueByAdapter, l.demand.Adapter)
		return true
	})
}

func (r *run) finishLoad(e simEvent) {
	r.loading = false
	if e.incarnation != r.incarnations[e.server] {
		return
	}
	slot := &r.view.Servers[e.server].Slots[e.slot]
	slot.Loading = false
	slot.StateSince = r.view.Now
	if r.fleet.FailEvery > 0 && r.loadsStarted%r.fleet.FailEvery == 0 {
		slot.Adapter = -1
		return
	}
	r.dispatchWaiting()
}

// restart removes all adapters and requests of a server. The simulation doesn't retry these requests, which is the same
// for all policies.
func (r *run) restart(index int) {
	r.incarnations[index]++
	server := &r.view.Servers[index]
	server.Running = 0
	for i := range server.Slots {
		server.Slots[i] = Slot{Adapter: -1}
	}
	r.pushRestart((index + 1) % r.fleet.Servers)
}

// startLoad starts the load that the policy selects, if the weight store is idle.
func (r *run) startLoad() {
	r.abandonExpired()
	if r.loading || r.retryScheduled {
		return
	}
	r.view.Waiting = r.view.Waiting[:0]
	for _, l := range r.queues {
		r.view.Waiting = append(r.view.Waiting, &l.demand)
	}
	choice, ok := r.policy.NextLoad(&r.view)
	if !ok {
		r.schedulePolicyRetry()
		return
	}
	slot := &r.view.Servers[choice.Server].Slots[choice.Slot]
	if slot.Running > 0 || slot.Loading {
		panic("policy evicts an adapter that is in use or loading")
	}
	*slot = Slot{Adapter: choice.Adapter, Loading: true, StateSince: r.view.Now}
	r.loading = true
	r.loadsStarted++
	r.result.Loads++
	r.push(simEvent{
		at: r.view.Now + r.fleet.LoadTime, kind: loadDone, server: choice.Server, slot: choice.Slot,
		incarnation: r.incarnations[choice.Server],
	})
}

// schedulePolicyRetry schedules another call of the policy, since some policies act on demand only after it has waited.
func (r *run) schedulePolicyRetry() {
	if r.retryScheduled || len(r.queues) == 0 {
		return
	}
	r.retryScheduled = true
	r.push(simEvent{at: r.view.Now + retryInterval, kind: policyRetry})
}

func (r *run) abandonExpired() {
	changed := false
	for _, l := range r.queues {
		for class := range l.requests {
			for len(l.requests[class]) > 0 && r.view.Now-r.trace[l.requests[class][0]].At >= r.fleet.WaitLimit {
				r.recordWait(l.requests[class][0], r.fleet.WaitLimit)
				r.result.Abandoned++
				l.requests[class] = l.requests[class][1:]
				l.demand.ByClass[class]--
				changed = true
			}
		}
		l.demand.Oldest = r.oldest(l)
	}
	if changed {
		r.removeEmptyQueues()
	}
}

func (r *run) oldest(l *adapterQueue) time.Duration {
	oldest := r.view.Now
	for _, requests := range l.requests {
		if len(requests) > 0 {
			oldest = min(oldest, r.trace[requests[0]].At)
		}
	}
	return oldest
}

func (r *run) abandonRemaining() {
	for _, l := range r.queues {
		for _, requests := range l.requests {
			for _, index := range requests {
				r.recordWait(index, r.view.Now-r.trace[index].At)
				r.result.Abandoned++
			}
		}
	}
}
