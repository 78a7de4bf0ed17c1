package engine

import (
	"container/heap"
	"sort"
	"time"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// request is one request of a caller. It is retained for some time after its end, so that it can be resumed.
type request struct {
	id       string
	model    api.LoadName
	priority int
	arrival  uint64
	chat     bool
	limit    int
	created  time.Time
	texts    tokens.Sequence
	progress *progress
	endedAt  time.Duration
}

// slot holds one adapter. ready is closed when the load has succeeded or failed.
type slot struct {
	path    string
	loading bool
	ready   chan struct{}
}

// core is the state of one incarnation of an engine. It has no clock and no goroutines: times are passed in, measured
// since the engine's start.
type core struct {
	slots       map[api.LoadName]*slot
	fence       api.FencingNumber
	role        string
	requests    map[string]*request
	running     []*request
	waiting     requestHeap
	finished    []*request
	arrivals    uint64
	concurrency int
	retention   time.Duration
}

func newCore(concurrency int, retention time.Duration) *core {
	return &core{
		slots:       make(map[api.LoadName]*slot),
		role:        defaultRole,
		requests:    make(map[string]*request),
		concurrency: concurrency,
		retention:   retention,
	}
}

// loaded reports whether an adapter is loaded.
func (c *core) loaded(name api.LoadName) bool {
	found := c.slots[name]
	return found != nil && !found.loading
}

// submit adds a request to the waiting ones.
func (c *core) submit(r *request) {
	c.arrivals++
	r.arrival = c.arrivals
	c.requests[r.id] = r
	heap.Push(&c.waiting, r)
}

// busy reports whether any request is running or waiting.
func (c *core) busy() bool { return len(c.running)+len(c.waiting) > 0 }

// step fills the running set with the most urgent waiting requests and generates one token for each running request.
// It returns the number of tokens.
func (c *core) step(now time.Duration) int {
	for len(c.running) < c.concurrency && len(c.waiting) > 0 {
		c.running = append(c.running, heap.Pop(&c.waiting).(*request))
	}
	generated := len(c.running)
	kept := c.running[:0]
	for _, r := range c.running {
		if r.progress.advance(r.limit) {
			c.retire(r, now)
			continue
		}
		kept = append(kept, r)
	}
	clear(c.running[len(kept):])
	c.running = kept
	return generated
}

// end ends the matching requests, with an ending other than endComplete, and returns their number.
func (c *core) end(now time.Duration, reason ending, match func(*request) bool) int {
	ended := 0
	stop := func(list []*request) []*request {
		kept := list[:0]
		for _, r := range list {
			if !match(r) {
				kept = append(kept, r)
				continue
			}
			ended++
			r.progress.finish(reason)
			c.retire(r, now)
		}
		clear(list[len(kept):])
		return kept
	}
	c.running = stop(c.running)
	c.waiting = stop(c.waiting)
	heap.Init(&c.waiting)
	return ended
}

// retire adds a request that has ended to the retained ones.
func (c *core) retire(r *request, now time.Duration) {
	r.endedAt = now
	c.finished = append(c.finished, r)
}

// dropExpired drops ended requests whose retention is over.
func (c *core) dropExpired(now time.Duration) {
	expired := 0
	for expired < len(c.finished) && now-c.finished[expired].endedAt > c.retention {
		delete(c.requests, c.finished[expired].id)
		expired++
	}
	c.finished = c.finished[expired:]
}

// report returns a snapshot of the current state with the time now.
func (c *core) report(now time.Duration) snapshot {
	counts := make(map[api.LoadName]*api.LoadedAdapter, len(c.slots))
	result := snapshot{asOf: now, role: c.role}
	for name, held := range c.slots {
		counts[name] = &api.LoadedAdapter{Name: name, Loading: held.loading}
	}
	for _, r := range c.running {
		if found := counts[r.model]; found != nil {
			found.Running++
		}
	}
	for _, r := range c.waiting {
		if found := counts[r.model]; found != nil {
			found.Waiting++
		}
	}
	for _, adapter := range counts {
		result.adapters = append(result.adapters, *adapter)
	}
	sort.Slice(result.adapters, func(i, j int) bool { return result.adapters[i].Name < result.adapters[j].Name })
	return result
}

// snapshot is the state that a report describes.
type snapshot struct {
	asOf     time.Duration
	role     string
	draining bool
	adapters []api.LoadedAdapter
}

// history holds snapshots, oldest first, so that a report can describe an earlier state.
type history struct {
	snapshots []snapshot
}

func (h *history) add(s snapshot) { h.snapshots = append(h.snapshots, s) }

// at returns the newest snapshot that isn't newer than asOf, or else the oldest one, and drops the snapshots before it.
func (h *history) at(asOf time.Duration) snapshot {
	found := 0
	for i, s := range h.snapshots {
		if s.asOf <= asOf {
			found = i
		}
	}
	h.snapshots = h.snapshots[found:]
	return h.snapshots[0]
}

// requestHeap orders requests by priority, then by arrival.
type requestHeap []*request

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrival < h[j].arrival
}

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestHeap) Push(item any) { *h = append(*h, item.(*request)) }

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
