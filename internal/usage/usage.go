// Package usage tracks which adapters the requests of one node wait for and use on each model server, for the holders
// of the servers.
package usage

import (
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decay"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// copyDemandLifetime is how long a demand for one more copy, which no request waits for, remains valid.
const copyDemandLifetime = 150 * time.Millisecond

// copyPatience is the time within which a copy is worth loading.
const copyPatience = time.Second

// wait is a request that waits for an adapter on a server.
type wait struct {
	priority int
	// until is when the request gives up.
	until time.Time
}

// target is an adapter on a server.
type target struct {
	server  string
	adapter serving.Adapter
}

// Tracker tracks the demand and usage of one node. It's safe for concurrent use.
type Tracker struct {
	node string
	mu   sync.Mutex
	// waiting holds the waiting requests.
	waiting map[target]map[*wait]struct{}
	// copyDemands holds the time of the latest demand for one more copy.
	copyDemands map[target]time.Time
	// running counts the requests in progress.
	running map[target]int
	// sent counts the requests sent since the last collection.
	sent map[target]int
	// changed holds the servers where the first request for an adapter has begun or the last one has ended since the last
	// collection.
	changed map[string]bool
	// recent counts the requests for each adapter, with exponential decay.
	recent map[serving.Adapter]decay.Count
	urgent chan struct{}
}

// recentHalfLife is the half-life of a request's weight in the count of recent requests.
const recentHalfLife = 5 * time.Second

// leastRecent is the count of recent requests from which an adapter counts as recently used: one request in a half-life.
const leastRecent = 0.5

// Arrived records a request for an adapter and returns the decayed count of recent requests, including this one.
func (t *Tracker) Arrived(now time.Time, adapter serving.Adapter) (recent float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.recent[adapter].Add(now, recentHalfLife, 1)
	t.recent[adapter] = count
	return count.Value(now, recentHalfLife)
}

// Recent returns the adapters with at least one recent request, in no particular order.
func (t *Tracker) Recent(now time.Time) (adapters []serving.Adapter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for adapter, count := range t.recent {
		if adapter.Name != "" && count.Value(now, recentHalfLife) >= leastRecent {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}

// dropNegligible removes the adapters whose count of recent requests has decayed to almost zero.
func (t *Tracker) dropNegligible(now time.Time) {
	const negligible = 0.1
	for adapter, count := range t.recent {
		if count.Value(now, recentHalfLife) < negligible {
			delete(t.recent, adapter)
		}
	}
}

// New returns a tracker for the node with the given name.
func New(node string) *Tracker {
	return &Tracker{
		node: node, waiting: make(map[target]map[*wait]struct{}), copyDemands: make(map[target]time.Time),
		running: make(map[target]int), sent: make(map[target]int), changed: make(map[string]bool),
		recent: make(map[serving.Adapter]decay.Count), urgent: make(chan struct{}, 1),
	}
}

// Urgent returns a channel that receives a value when there is a new demand that should be sent to the holder
// immediately.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

func (t *Tracker) signalUrgent() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// BeginWait records that a request of the given priority waits for an adapter on a server, until the given time at most.
// The returned function ends the wait.
func (t *Tracker) BeginWait(server string, adapter serving.Adapter, priority int, until time.Time) (end func()) {
	key := target{server, adapter}
	w := &wait{priority: priority, until: until}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[key] == nil {
		t.waiting[key] = make(map[*wait]struct{})
		t.signalUrgent()
	}
	t.waiting[key][w] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.waiting[key], w)
		if len(t.waiting[key]) == 0 {
			delete(t.waiting, key)
			t.markChanged(server)
		}
	}
}

// RequestCopy records a demand for one more copy of an adapter, which no request waits for.
func (t *Tracker) RequestCopy(now time.Time, server string, adapter serving.Adapter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copyDemands[target{server, adapter}] = now
	t.signalUrgent()
}

// Begin records that a request is sent to a server. The returned function records its end.
func (t *Tracker) Begin(server string, adapter serving.Adapter) (end func()) {
	key := target{server, adapter}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[key] == 0 {
		t.markChanged(server)
	}
	t.running[key]++
	t.sent[key]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running[key]--
		if t.running[key] == 0 {
			delete(t.running, key)
			t.markChanged(server)
		}
	}
}

// Changed makes the usage of a server urgent, as its holder has to learn something else with it.
func (t *Tracker) Changed(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markChanged(server)
}

// markChanged makes the usage of a server urgent: its holder evicts adapters that are not in use.
func (t *Tracker) markChanged(server string) {
	t.changed[server] = true
	t.signalUrgent()
}

// Waiting reports whether any request waits for a load.
func (t *Tracker) Waiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) > 0
}

// collection accumulates the usage of each server.
type collection struct {
	node     string
	byServer map[string]residency.Usage
}

// usageOf returns the usage of a server. It adds an empty one if there is none.
func (c *collection) usageOf(server string) residency.Usage {
	if existing, found := c.byServer[server]; found {
		return existing
	}
	created := residency.Usage{
		Node: c.node, Wants: make(map[serving.Adapter]residency.AdapterDemand),
		Running: make(map[serving.Adapter]int), Sent: make(map[serving.Adapter]int),
	}
	c.byServer[server] = created
	return created
}

// Collect returns the usage of each server that has any, and resets the counts of sent requests.
func (t *Tracker) Collect(now time.Time) map[string]residency.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collectDemand(now)
	t.addRequests(c, func(string) bool { return true })
	clear(t.changed)
	t.dropNegligible(now)
	return c.byServer
}

// CollectUrgent is like Collect, but only for the servers with a demand to load an adapter or with changed usage.
func (t *Tracker) CollectUrgent(now time.Time) map[string]residency.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collectDemand(now)
	for server := range t.changed {
		c.usageOf(server)
	}
	clear(t.changed)
	t.addRequests(c, func(server string) bool {
		_, included := c.byServer[server]
		return included
	})
	return c.byServer
}

// collectDemand starts a collection with the demand of all servers, and removes expired demands for copies.
func (t *Tracker) collectDemand(now time.Time) *collection {
	c := &collection{node: t.node, byServer: make(map[string]residency.Usage)}
	for key, at := range t.copyDemands {
		if now.Sub(at) > copyDemandLifetime {
			delete(t.copyDemands, key)
			continue
		}
		c.usageOf(key.server).Wants[key.adapter] = residency.AdapterDemand{
			Priority: lowestPriority, Patience: copyPatience,
		}
	}
	for key, waits := range t.waiting {
		c.usageOf(key.server).Wants[key.adapter] = totalDemand(now, waits)
	}
	return c
}

// addRequests adds the running and sent requests of the included servers, and resets their counts of sent requests.
func (t *Tracker) addRequests(c *collection, include func(server string) bool) {
	for key, count := range t.running {
		if include(key.server) {
			c.usageOf(key.server).Running[key.adapter] = count
		}
	}
	for key, count := range t.sent {
		if include(key.server) {
			c.usageOf(key.server).Sent[key.adapter] = count
			delete(t.sent, key)
		}
	}
}

// lowestPriority is the priority of a copy that no request waits for.
const lowestPriority = 9

// totalDemand returns the number of waiting requests, the most urgent of their priorities and the longest time that one
// of them still waits.
func totalDemand(now time.Time, waits map[*wait]struct{}) residency.AdapterDemand {
	total := residency.AdapterDemand{Priority: lowestPriority, Waiting: len(waits)}
	for w := range waits {
		total.Priority = min(total.Priority, w.priority)
		total.Patience = max(total.Patience, w.until.Sub(now))
	}
	return total
}
