// Package usage counts what the requests of one node want and use of each model server, for the servers' holders.
package usage

import (
	"sync"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decay"
	"waxwingcleat.example/waxwingcleat/internal/residency"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// pulseLifetime is how long a wish for one more copy stands that no request waits for.
const pulseLifetime = 150 * time.Millisecond

type target struct {
	server  string
	adapter serving.Adapter
}

// Tracker counts. Its methods may be called from any goroutine.
type Tracker struct {
	node    string
	mu      sync.Mutex
	waiting map[target]map[int]int
	pulses  map[target]time.Time
	running map[target]int
	sent    map[target]int
	recent  map[serving.Adapter]decay.Count
	urgent  chan struct{}
}

// recentHalfLife is the time in which a request loses half of its weight as a recent one.
const recentHalfLife = 5 * time.Second

// Arrived notes a request for an adapter and returns how many there were lately, this one included.
func (t *Tracker) Arrived(now time.Time, adapter serving.Adapter) (recent float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.recent[adapter].Add(now, recentHalfLife, 1)
	t.recent[adapter] = count
	return count.Value(now, recentHalfLife)
}

// forgetRecent drops the adapters that nothing has asked for lately.
func (t *Tracker) forgetRecent(now time.Time) {
	const negligible = 0.1
	for adapter, count := range t.recent {
		if count.Value(now, recentHalfLife) < negligible {
			delete(t.recent, adapter)
		}
	}
}

// New returns a tracker of the node with that name.
func New(node string) *Tracker {
	return &Tracker{
		node: node, waiting: make(map[target]map[int]int), pulses: make(map[target]time.Time),
		running: make(map[target]int), sent: make(map[target]int),
		recent: make(map[serving.Adapter]decay.Count), urgent: make(chan struct{}, 1),
	}
}

// Urgent receives when a new demand came up that the holder should learn of at once.
func (t *Tracker) Urgent() <-chan struct{} { return t.urgent }

func (t *Tracker) wake() {
	select {
	case t.urgent <- struct{}{}:
	default:
	}
}

// Want notes that a request of a rank waits for an adapter on a server. The returned function ends it.
func (t *Tracker) Want(server string, adapter serving.Adapter, priority int) (end func()) {
	key := target{server, adapter}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting[key] == nil {
		t.waiting[key] = make(map[int]int)
		t.wake()
	}
	t.waiting[key][priority]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.waiting[key][priority]--
		if t.waiting[key][priority] == 0 {
			delete(t.waiting[key], priority)
		}
		if len(t.waiting[key]) == 0 {
			delete(t.waiting, key)
		}
	}
}

// WantCopy notes that one more copy of an adapter would help, though no request waits for it.
func (t *Tracker) WantCopy(now time.Time, server string, adapter serving.Adapter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pulses[target{server, adapter}] = now
	t.wake()
}

// Begin notes that a request is sent to a server. The returned function ends it.
func (t *Tracker) Begin(server string, adapter serving.Adapter) (end func()) {
	key := target{server, adapter}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[key]++
	t.sent[key]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.running[key]--
		if t.running[key] == 0 {
			delete(t.running, key)
		}
	}
}

// Waiting reports whether any request waits for a load.
func (t *Tracker) Waiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.waiting) > 0
}

// collection gathers the usage of each server.
type collection struct {
	node     string
	byServer map[string]residency.Usage
}

func (c *collection) of(server string) residency.Usage {
	if known, found := c.byServer[server]; found {
		return known
	}
	fresh := residency.Usage{
		Node: c.node, Wants: make(map[serving.Adapter]residency.Want),
		Running: make(map[serving.Adapter]int), Sent: make(map[serving.Adapter]int),
	}
	c.byServer[server] = fresh
	return fresh
}

// Collect returns the usage of each server with any, and starts counting their sent requests anew.
func (t *Tracker) Collect(now time.Time) map[string]residency.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collectWants(now)
	t.addUse(c, func(string) bool { return true })
	t.forgetRecent(now)
	return c.byServer
}

// CollectWanted is Collect for the servers that are wanted to load an adapter.
func (t *Tracker) CollectWanted(now time.Time) map[string]residency.Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.collectWants(now)
	t.addUse(c, func(server string) bool {
		_, wanted := c.byServer[server]
		return wanted
	})
	return c.byServer
}

func (t *Tracker) collectWants(now time.Time) *collection {
	c := &collection{node: t.node, byServer: make(map[string]residency.Usage)}
	for key, at := range t.pulses {
		if now.Sub(at) > pulseLifetime {
			delete(t.pulses, key)
			continue
		}
		c.of(key.server).Wants[key.adapter] = residency.Want{Priority: lowestPriority}
	}
	for key, byPriority := range t.waiting {
		c.of(key.server).Wants[key.adapter] = sum(byPriority)
	}
	return c
}

func (t *Tracker) addUse(c *collection, include func(server string) bool) {
	for key, count := range t.running {
		if include(key.server) {
			c.of(key.server).Running[key.adapter] = count
		}
	}
	for key, count := range t.sent {
		if include(key.server) {
			c.of(key.server).Sent[key.adapter] = count
			delete(t.sent, key)
		}
	}
}

// lowestPriority is the rank of a copy that no request waits for.
const lowestPriority = 9

func sum(byPriority map[int]int) residency.Want {
	want := residency.Want{Priority: lowestPriority}
	for priority, count := range byPriority {
		want.Waiting += count
		want.Priority = min(want.Priority, priority)
	}
	return want
}
