package serverview

import (
	"maps"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
)

// PublicationKind says whether a publication carries all adapters or a difference.
type PublicationKind uint8

// Kinds of publications.
const (
	// Full lists all adapters.
	Full PublicationKind = iota
	// Delta lists the changes since the full publication with the revision Base. Deltas don't build on each other, so a
	// lost one is harmless.
	Delta
)

// Published is the state of a model server as published by its holder.
type Published struct {
	Kind PublicationKind
	// Revision numbers the sets of adapters of one holder and fencing token.
	Revision uint64
	// Base is the revision of the full publication that a delta refers to.
	Base     uint64
	Removed  []serving.Adapter
	ServerID string
	Born     int64
	// Holder is the peer address of the node that may send orders to the server.
	Holder string
	// Fence is the holder's fencing token.
	Fence int64
	// Sequence orders the states that a holder publishes under one fencing token.
	Sequence uint64
	// Ready is true when the server answers and holds its base models.
	Ready bool
	// Slots describes the adapter slots and the adapters that wait for one.
	Slots    serving.SlotQueue
	Adapters map[serving.Adapter]int
	// Hot is the server's most used adapter over all nodes, if it has a large share of the uses; else zero.
	Hot     serving.Adapter
	Waiting int
	Running int
	// LoadAge is the age of Waiting and Running at the time of the publication, and Asked the number of prompts of all
	// nodes for which the holder was asked since. Both are 0 in publications of older builds.
	LoadAge time.Duration
	Asked   int
	// Arrivals is the rate per second at which the holder is asked to admit prompts of all nodes; 0 means unknown.
	Arrivals float64
	// Step is the time between two events of the server's streams, and LoadTimes the times of its loads, as learned by the
	// holder. They are zero in publications of older builds.
	Step      steptime.Cost
	LoadTimes serving.LoadTimes
	// Backlog estimates how long a prompt would wait for admission.
	Backlog time.Duration
	// Tolerance is what a brittle server names, and ToleranceAge the time since its latest answer that did so.
	Tolerance    serving.NamedRate
	ToleranceAge time.Duration
}

// Since returns the state as a delta to an earlier full state of the same holder and fencing token.
func (p Published) Since(full Published) Published {
	present := p.Adapters
	p.Kind, p.Base = Delta, full.Revision
	p.Adapters, p.Removed = make(map[serving.Adapter]int), nil
	for adapter, version := range present {
		if before, found := full.Adapters[adapter]; !found || before != version {
			p.Adapters[adapter] = version
		}
	}
	for adapter := range full.Adapters {
		if _, found := present[adapter]; !found {
			p.Removed = append(p.Removed, adapter)
		}
	}
	return p
}

// applyDelta sets the adapters of a delta. A delta that isn't based on the latest full publication leaves adapters and
// revision as they were; the next full publication corrects them.
func (p *Published) applyDelta(full, last Published) {
	if p.Revision == last.Revision || p.Base != full.Revision || p.Fence != full.Fence || p.Holder != full.Holder {
		p.Revision = last.Revision
		p.Adapters = last.Adapters
		return
	}
	added := p.Adapters
	p.Adapters = cloneAdapters(full.Adapters)
	for _, adapter := range p.Removed {
		delete(p.Adapters, adapter)
	}
	maps.Copy(p.Adapters, added)
}

// cloneAdapters returns a copy that may be modified; the maps of published states are shared.
func cloneAdapters(adapters map[serving.Adapter]int) map[serving.Adapter]int {
	clone := make(map[serving.Adapter]int, len(adapters))
	maps.Copy(clone, adapters)
	return clone
}
