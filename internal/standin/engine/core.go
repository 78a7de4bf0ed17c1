package engine

import (
	"container/heap"
	"sort"
	"time"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// request is one request of a caller. It stays known for a while after its end, so that it can be resumed.
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

// slot holds one adapter. ready is closed when the load ends, well or not.
type slot struct {
	path    string
	loading bool
	ready   chan struct{}
}

// core is the state of one incarnation of an engine. It has no clock and no goroutine: times are readings of the
// engine's clock since its start.
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
	keep        time.Duration
}

func newCore(concurrency int, keep time.Duration) *core {
	return &core{
		slots:       make(map[api.LoadName]*slot),
		role:        defaultRole,
		requests:    make(map[string]*request),
		concurrency: concurrency,
		keep:        keep,
	}
}

// loaded reports whether an adapter is in place.
func (c *core) loaded(name api.LoadName) bool {
	found := c.slots[name]
	return found != nil && !found.loading
}

func (c *core) submit(r *request) {
	c.arrivals++
	r.arrival = c.arrivals
	c.requests[r.id] = r
	heap.Push(&c.waiting, r)
}

// busy reports whether a step has anything to do.
func (c *core) busy() bool { return len(c.running)+len(c.waiting) > 0 }

// step fills the running set with the most urgent waiting requests and gives each running one a token.
// It returns the number of tokens.
func (c *core) step(now time.Duration) int {
	for len(c.running) < c.concurrency && len(c.waiting) > 0 {
		c.running = append(c.running, heap.Pop(&c.waiting).(*request))
	}
	given := len(c.running)
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
	return given
}

// end ends the requests that match, with an ending other than whole, and returns their number.
func (c *core) end(now time.Duration, how ending, match func(*request) bool) int {
	ended := 0
	stop := func(list []*request) []*request {
		kept := list[:0]
		for _, r := range list {
			if !match(r) {
				kept = append(kept, r)
				continue
			}
			ended++
			r.progress.finish(how)
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

func (c *core) retire(r *request, now time.Duration) {
	r.endedAt = now
	c.finished = append(c.finished, r)
}

// forget drops ended requests that have been kept long enough.
func (c *core) forget(now time.Duration) {
	drop := 0
	for drop < len(c.finished) && now-c.finished[drop].endedAt > c.keep {
		delete(c.requests, c.finished[drop].id)
		drop++
	}
	c.finished = c.finished[drop:]
}

// report returns the state at a time.
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

// history keeps snapshots, oldest first, so that a report can describe the past.
type history struct {
	snapshots []snapshot
}

func (h *history) add(s snapshot) { h.snapshots = append(h.snapshots, s) }

// at returns the newest snapshot that isn't newer than asOf, or the oldest one, and drops what lies before it.
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
