package serverview

import (
	"maps"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// PublicationKind says what a publication carries of the adapters.
type PublicationKind uint8

// Kinds of publications.
const (
	// Full lists all adapters.
	Full PublicationKind = iota
	// Delta lists what changed since the full publication of the revision Base, so that the loss of a delta does no
	// harm.
	Delta
)

// Published is the state of a model server as its holder sees it.
type Published struct {
	Kind PublicationKind
	// Revision numbers the sets of adapters of one holder and fencing token.
	Revision uint64
	Base     uint64
	Removed  []serving.Adapter
	ServerID string
	Born     int64
	// Holder is the peer address of the node that may give the server orders.
	Holder string
	Fence  int64
	// Sequence orders the states that one holder publishes under one fencing token.
	Sequence uint64
	// Ready is true when the server answers and holds its base models.
	Ready bool
	// Full is true when no adapter can be evicted to make room.
	Full     bool
	Adapters map[serving.Adapter]int
	// Hot is the adapter that all nodes use most there, if it stands out.
	Hot     serving.Adapter
	Waiting int
	Running int
	// Backlog is about how long a prompt would wait to be admitted.
	Backlog time.Duration
}

// Since returns the state as a delta to an earlier full one of the same holder and fencing token.
func (p Published) Since(full Published) Published {
	present := p.Adapters
	p.Kind, p.Base = Delta, full.Revision
	p.Adapters, p.Removed = make(map[serving.Adapter]int), nil
	for adapter, version := range present {
		if before, had := full.Adapters[adapter]; !had || before != version {
			p.Adapters[adapter] = version
		}
	}
	for adapter := range full.Adapters {
		if _, stays := present[adapter]; !stays {
			p.Removed = append(p.Removed, adapter)
		}
	}
	return p
}

// follow fills in the adapters of a delta. One that isn't based on the latest full publication leaves them as they were,
// under the old revision, until the next full one.
func (p *Published) follow(full, last Published) {
	if p.Revision == last.Revision || p.Base != full.Revision || p.Fence != full.Fence || p.Holder != full.Holder {
		p.Revision = last.Revision
		p.Adapters = last.Adapters
		return
	}
	added := p.Adapters
	p.Adapters = copyOf(full.Adapters)
	for _, adapter := range p.Removed {
		delete(p.Adapters, adapter)
	}
	maps.Copy(p.Adapters, added)
}

// copyOf returns a map that may be changed: those of a published state are shared.
func copyOf(adapters map[serving.Adapter]int) map[serving.Adapter]int {
	copied := make(map[serving.Adapter]int, len(adapters))
	maps.Copy(copied, adapters)
	return copied
}
