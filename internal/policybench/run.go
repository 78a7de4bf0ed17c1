package policybench

import (
	"container/heap"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// retryInterval is how often a policy is asked while it lets all demand wait.
const retryInterval = 50 * time.Millisecond

type run struct {
	fleet   Fleet
	policy  Policy
	trace   trace
	view    View
	queue   eventQueue
	order   int
	waiting map[int]*line
	lines   []*line
	epochs  []int
	loading bool
	// retrying is true while a retry event is in the queue.
	retrying bool
	started  int
	// holds are the batches that the gateways gather.
	holds  holds
	result Result
}

// line holds the requests that wait for one adapter, by class, in the order of arrival.
type line struct {
	demand   Waiting
	requests [3][]int
}

// Run drives policy by trace and returns the figures.
func Run(fleet Fleet, policy Policy, requests trace) Result {
	r := &run{fleet: fleet, policy: policy, trace: requests, waiting: map[int]*line{}, epochs: make([]int, fleet.Servers)}
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
		r.push(simEvent{at: request.At, kind: arrival, request: i})
	}
	r.pushRestart(0)
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(simEvent)
		if e.kind == restart && r.queue.Len() == 0 {
			break
		}
		r.advance(e.at)
		r.handle(e)
		r.startLoad()
	}
	r.giveUpAll()
	return r.result
}

func (r *run) pushRestart(server int) {
	if r.fleet.RestartEvery == 0 {
		return
	}
	at := r.view.Now + r.fleet.RestartEvery
	if at < r.trace[len(r.trace)-1].At {
		r.push(simEvent{at: at, kind: restart, server: server})
	}
}

// advance adds the time since the last event to the batch figures.
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
		r.result.batchSeconds += seconds
		for _, slot := range server.Slots {
			if slot.Running > 1 {
				r.result.batchShared += seconds * float64(slot.Running)
			}
		}
	}
}

func (r *run) handle(e simEvent) {
	switch e.kind {
	case arrival:
		request := r.trace[e.request]
		r.policy.Arrived(r.view.Now, request.Adapter, request.Class)
		r.arrive(e.request)
	case finished:
		r.finish(e)
	case loaded:
		r.finishLoad(e)
	case restart:
		r.restart(e.server)
	case retry:
		r.retrying = false
	case release:
		r.drain()
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
	r.ended(index, r.view.Now-request.At)
	end := r.view.Now + time.Duration(request.Tokens)*r.fleet.Step
	r.push(simEvent{at: end, kind: finished, request: index, server: chosen, slot: slot, epoch: r.epochs[chosen]})
	return true
}

// candidates returns the servers that could run a request for the adapter now.
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

func (r *run) record(class int, waited time.Duration) {
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

func (r *run) wait(index int) {
	request := r.trace[index]
	l := r.waiting[request.Adapter]
	if l == nil {
		l = &line{demand: Waiting{Adapter: request.Adapter, Oldest: request.At}}
		r.waiting[request.Adapter] = l
		r.lines = append(r.lines, l)
	}
	l.requests[request.Class] = append(l.requests[request.Class], index)
	l.demand.ByClass[request.Class]++
}

func (r *run) finish(e simEvent) {
	if e.epoch != r.epochs[e.server] {
		return
	}
	r.result.Completed++
	server := &r.view.Servers[e.server]
	server.Running--
	slot := &server.Slots[e.slot]
	slot.Running--
	r.drain()
}

// drain dispatches waiting requests of resident adapters, the most urgent class first.
func (r *run) drain() {
	for class := range 3 {
		for _, l := range r.lines {
			r.drainLine(l, class)
		}
	}
	r.dropEmpty()
}

func (r *run) dropEmpty() {
	r.lines = slices.DeleteFunc(r.lines, func(l *line) bool {
		if l.demand.Total() > 0 {
			return false
		}
		delete(r.waiting, l.demand.Adapter)
		return true
	})
}

func (r *run) finishLoad(e simEvent) {
	r.loading = false
	if e.epoch != r.epochs[e.server] {
		return
	}
	slot := &r.view.Servers[e.server].Slots[e.slot]
	slot.Loading = false
	slot.Since = r.view.Now
	if r.fleet.FailEvery > 0 && r.started%r.fleet.FailEvery == 0 {
		slot.Adapter = -1
		return
	}
	r.drain()
}

// restart empties a server. The fake doesn't send its running requests again; that's the same for all policies.
func (r *run) restart(index int) {
	r.epochs[index]++
	server := &r.view.Servers[index]
	server.Running = 0
	for i := range server.Slots {
		server.Slots[i] = Slot{Adapter: -1}
	}
	r.pushRestart((index + 1) % r.fleet.Servers)
}

// startLoad asks the policy for the next load while the store is free.
func (r *run) startLoad() {
	r.giveUpOld()
	if r.loading || r.retrying {
		return
	}
	r.view.Waiting = r.view.Waiting[:0]
	for _, l := range r.lines {
		r.view.Waiting = append(r.view.Waiting, &l.demand)
	}
	choice, ok := r.policy.Load(&r.view)
	if !ok {
		r.retryLater()
		return
	}
	slot := &r.view.Servers[choice.Server].Slots[choice.Slot]
	if slot.Running > 0 || slot.Loading {
		panic("policy evicted an adapter in use")
	}
	*slot = Slot{Adapter: choice.Adapter, Loading: true, Since: r.view.Now}
	r.loading = true
	r.started++
	r.result.Loads++
	r.push(simEvent{at: r.view.Now + r.fleet.LoadTime, kind: loaded, server: choice.Server, slot: choice.Slot, epoch: r.epochs[choice.Server]})
}

// retryLater asks the policy again soon, since some policies let demand wait before they act on it.
func (r *run) retryLater() {
	if r.retrying || len(r.lines) == 0 {
		return
	}
	r.retrying = true
	r.push(simEvent{at: r.view.Now + retryInterval, kind: retry})
}

func (r *run) giveUpOld() {
	changed := false
	for _, l := range r.lines {
		for class := range l.requests {
			for len(l.requests[class]) > 0 && r.view.Now-r.trace[l.requests[class][0]].At >= r.fleet.GiveUp {
				r.ended(l.requests[class][0], r.fleet.GiveUp)
				r.result.GivenUp++
				l.requests[class] = l.requests[class][1:]
				l.demand.ByClass[class]--
				changed = true
			}
		}
		l.demand.Oldest = r.oldest(l)
	}
	if changed {
		r.dropEmpty()
	}
}

func (r *run) oldest(l *line) time.Duration {
	oldest := r.view.Now
	for _, requests := range l.requests {
		if len(requests) > 0 {
			oldest = min(oldest, r.trace[requests[0]].At)
		}
	}
	return oldest
}

func (r *run) giveUpAll() {
	for _, l := range r.lines {
		for _, requests := range l.requests {
			for _, index := range requests {
				r.ended(index, r.view.Now-r.trace[index].At)
				r.result.GivenUp++
			}
		}
	}
}
