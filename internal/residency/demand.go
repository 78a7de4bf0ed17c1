package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decay"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// usageHalfLife is the time in which a past use of an adapter loses half of its weight. Popularity shifts within
// seconds to minutes.
const usageHalfLife = 15 * time.Second

// Usage is what one gateway says of its requests to one server.
type Usage struct {
	// Node is the gateway's name.
	Node string
	// Wants counts the requests that wait for an adapter to be loaded here.
	Wants map[serving.Adapter]Want
	// Running counts the requests in progress, Sent those sent since the last message.
	Running map[serving.Adapter]int
	Sent    map[serving.Adapter]int
}

// Want is the demand of one gateway for one adapter.
type Want struct {
	Waiting int
	// Priority is the lowest rank among the waiting requests; 0 is the most urgent.
	Priority int
}

type wantOf struct {
	want  Want
	first time.Time
	at    time.Time
}

type nodeUsage struct {
	running map[serving.Adapter]int
	at      time.Time
}

// demand is what the gateways want of a server.
type demand struct {
	wants map[serving.Adapter]map[string]wantOf
	nodes map[string]nodeUsage
	used  map[serving.Adapter]decay.Count
}

func newDemand() demand {
	return demand{
		wants: make(map[serving.Adapter]map[string]wantOf), nodes: make(map[string]nodeUsage),
		used: make(map[serving.Adapter]decay.Count),
	}
}

func (d *demand) note(now time.Time, usage Usage) {
	for adapter, want := range usage.Wants {
		byNode := d.wants[adapter]
		if byNode == nil {
			byNode = make(map[string]wantOf)
			d.wants[adapter] = byNode
		}
		first := now
		if known, found := byNode[usage.Node]; found {
			first = known.first
		}
		byNode[usage.Node] = wantOf{want: want, first: first, at: now}
	}
	d.nodes[usage.Node] = nodeUsage{running: usage.Running, at: now}
	for adapter, count := range usage.Sent {
		d.used[adapter] = d.used[adapter].Add(now, usageHalfLife, float64(count))
	}
}

// value returns the decayed number of past uses.
func (d *demand) value(now time.Time, adapter serving.Adapter) float64 {
	return d.used[adapter].Value(now, usageHalfLife)
}

const (
	// hotUses is how many decayed uses make an adapter hot, and hotShare which part of all uses of its server.
	hotUses  = 4.0
	hotShare = 0.2
)

// hottest returns the present adapter with the most uses by all gateways, or none if no adapter stands out.
func (d *demand) hottest(now time.Time, present map[serving.Adapter]int) serving.Adapter {
	var hottest serving.Adapter
	most, all := 0.0, 0.0
	for adapter := range present {
		value := d.value(now, adapter)
		all += value
		if value > most || value == most && adapter.Name < hottest.Name {
			hottest, most = adapter, value
		}
	}
	if most < hotUses || most < hotShare*all {
		return serving.Adapter{}
	}
	return hottest
}

// inUse reports whether a gateway has requests for the adapter in progress.
func (d *demand) inUse(now time.Time, adapter serving.Adapter) bool {
	for _, usage := range d.nodes {
		if now.Sub(usage.at) < usageLifetime && usage.running[adapter] > 0 {
			return true
		}
	}
	return false
}

// keeps reports whether the adapter must stay: it's in use, wanted, or was used so lately that a request may be on
// its way.
func (d *demand) keeps(now time.Time, adapter serving.Adapter) bool {
	if now.Sub(d.used[adapter].LastAt()) < evictAfterUse || d.inUse(now, adapter) {
		return true
	}
	for _, want := range d.wants[adapter] {
		if now.Sub(want.at) < wantLifetime {
			return true
		}
	}
	return false
}

// most returns the eligible adapter with the most urgent demand: by rank, then by the age of the demand.
func (d *demand) most(now time.Time, eligible func(serving.Adapter) bool) (serving.Adapter, bool) {
	var best serving.Adapter
	var bestWant wantOf
	found := false
	for adapter, byNode := range d.wants {
		want, alive := merge(now, byNode)
		if !alive {
			delete(d.wants, adapter)
			continue
		}
		if eligible(adapter) && (!found || moreUrgent(adapter, want, best, bestWant)) {
			best, bestWant, found = adapter, want, true
		}
	}
	return best, found
}

func merge(now time.Time, byNode map[string]wantOf) (merged wantOf, alive bool) {
	for node, want := range byNode {
		if now.Sub(want.at) >= wantLifetime {
			delete(byNode, node)
			continue
		}
		if !alive {
			merged, alive = want, true
			continue
		}
		merged.want.Waiting += want.want.Waiting
		merged.want.Priority = min(merged.want.Priority, want.want.Priority)
		merged.first = minTime(merged.first, want.first)
	}
	return merged, alive
}

func moreUrgent(a serving.Adapter, wantA wantOf, b serving.Adapter, wantB wantOf) bool {
	if wantA.want.Priority != wantB.want.Priority {
		return wantA.want.Priority < wantB.want.Priority
	}
	if !wantA.first.Equal(wantB.first) {
		return wantA.first.Before(wantB.first)
	}
	return a.String() < b.String()
}
