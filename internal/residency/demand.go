package residency

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decay"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// usageHalfLife is the half-life of the weight of past uses of an adapter. Popularity shifts within seconds to minutes.
const usageHalfLife = 15 * time.Second

// Usage is one gateway's message about its requests to one server.
type Usage struct {
	// Node is the gateway's name.
	Node string
	// Wants holds the demand for adapters that requests wait for on this server.
	Wants map[serving.Adapter]AdapterDemand
	// Running counts the requests in progress, and Sent those sent since the last message.
	Running map[serving.Adapter]int
	Sent    map[serving.Adapter]int
	// EventGap is the time between two events of the gateway's streams, Events the number of events that it stands on, and
	// EventsBorn the start time of the server that sent them. The core doesn't use them.
	EventGap   time.Duration
	Events     int
	EventsBorn int64
}

// AdapterDemand is the demand of one gateway for one adapter.
type AdapterDemand struct {
	// Waiting is the number of waiting requests.
	Waiting int
	// Priority is the lowest rank among the waiting requests; 0 is the most urgent.
	Priority int
	// Patience is the longest time that one of the requests still waits.
	Patience time.Duration
}

type demandEntry struct {
	demand AdapterDemand
	// firstAt is when the demand was first received, and at when it was last repeated.
	firstAt time.Time
	at      time.Time
}

type nodeUsage struct {
	running map[serving.Adapter]int
	at      time.Time
}

// demand is the state of all gateways' usage messages for a server.
type demand struct {
	// pending holds the demand for adapters by the name of the gateway.
	pending map[serving.Adapter]map[string]demandEntry
	nodes   map[string]nodeUsage
	uses    map[serving.Adapter]decay.Count
}

func newDemand() demand {
	return demand{
		pending: make(map[serving.Adapter]map[string]demandEntry), nodes: make(map[string]nodeUsage),
		uses: make(map[serving.Adapter]decay.Count),
	}
}

// record applies a gateway's message, which lists all its demand.
func (d *demand) record(now time.Time, usage Usage) {
	for adapter, byNode := range d.pending {
		if _, demanded := usage.Wants[adapter]; !demanded {
			delete(byNode, usage.Node)
		}
	}
	for adapter, latest := range usage.Wants {
		byNode := d.pending[adapter]
		if byNode == nil {
			byNode = make(map[string]demandEntry)
			d.pending[adapter] = byNode
		}
		firstAt := now
		if earlier, found := byNode[usage.Node]; found {
			firstAt = earlier.firstAt
		}
		byNode[usage.Node] = demandEntry{demand: latest, firstAt: firstAt, at: now}
	}
	d.nodes[usage.Node] = nodeUsage{running: usage.Running, at: now}
	for adapter, count := range usage.Sent {
		d.uses[adapter] = d.uses[adapter].Add(now, usageHalfLife, float64(count))
	}
}

// value returns the decayed number of past uses.
func (d *demand) value(now time.Time, adapter serving.Adapter) float64 {
	return d.uses[adapter].Value(now, usageHalfLife)
}

const (
	// hotUses is the decayed number of uses from which an adapter is hot, and hotShare the share of all uses of its
	// server that it needs as well.
	hotUses  = 4.0
	hotShare = 0.2
)

// hottest returns the present adapter with the most uses by all gateways, or the zero adapter if it doesn't count as
// hot.
func (d *demand) hottest(now time.Time, present map[serving.Adapter]int) serving.Adapter {
	var hottest serving.Adapter
	highest, total := 0.0, 0.0
	for adapter := range present {
		value := d.value(now, adapter)
		total += value
		if value > highest || value == highest && adapter.Name < hottest.Name {
			hottest, highest = adapter, value
		}
	}
	if highest < hotUses || highest < hotShare*total {
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

// protects reports whether the adapter must not be evicted: it's in use, in demand, or was used so recently that a
// request may be on its way.
func (d *demand) protects(now time.Time, adapter serving.Adapter) bool {
	if now.Sub(d.uses[adapter].LastAt()) < evictionDelay || d.inUse(now, adapter) {
		return true
	}
	for _, entry := range d.pending[adapter] {
		if now.Sub(entry.at) < demandLifetime {
			return true
		}
	}
	return false
}

// mostUrgent returns the eligible adapter with the most urgent demand: by rank, then by the age of the demand. It
// deletes expired demand.
func (d *demand) mostUrgent(
	now time.Time, eligible func(serving.Adapter, AdapterDemand) bool,
) (serving.Adapter, demandEntry, bool) {
	var best serving.Adapter
	var bestEntry demandEntry
	found := false
	for adapter, byNode := range d.pending {
		entry, valid := merge(now, byNode)
		if !valid {
			delete(d.pending, adapter)
			continue
		}
		if eligible(adapter, entry.demand) && (!found || moreUrgent(adapter, entry, best, bestEntry)) {
			best, bestEntry, found = adapter, entry, true
		}
	}
	return best, bestEntry, found
}

// merge combines the gateways' demand for one adapter and deletes what has expired. It returns false when nothing is
// left.
func merge(now time.Time, byNode map[string]demandEntry) (merged demandEntry, valid bool) {
	for node, entry := range byNode {
		if now.Sub(entry.at) >= demandLifetime {
			delete(byNode, node)
			continue
		}
		if !valid {
			merged, valid = entry, true
			merged.demand.Patience -= now.Sub(entry.at)
			continue
		}
		merged.demand.Waiting += entry.demand.Waiting
		merged.demand.Priority = min(merged.demand.Priority, entry.demand.Priority)
		merged.demand.Patience = max(merged.demand.Patience, entry.demand.Patience-now.Sub(entry.at))
		merged.firstAt = minTime(merged.firstAt, entry.firstAt)
	}
	return merged, valid
}

func moreUrgent(a serving.Adapter, entryA demandEntry, b serving.Adapter, entryB demandEntry) bool {
	if entryA.demand.Priority != entryB.demand.Priority {
		return entryA.demand.Priority < entryB.demand.Priority
	}
	if !entryA.firstAt.Equal(entryB.firstAt) {
		return entryA.firstAt.Before(entryB.firstAt)
	}
	return a.String() < b.String()
}
