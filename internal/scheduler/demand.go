package scheduler

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// demandTTL is how long the demand of a gateway counts after its last sync. Gateways sync every second.
	demandTTL = 3 * time.Second
	// sequenceTTL is how long the sequence number of a process is stored after its last sync. It is much longer than a
	// sync can be delayed in the network.
	sequenceTTL = time.Minute
)

// sequenceTracker rejects syncs that are older than the last accepted one of the same process incarnation.
type sequenceTracker struct {
	sequences map[fleet.GatewayID]*lastSync
	lastSweep time.Time
}

// lastSync is the last accepted sync of one process incarnation.
type lastSync struct {
	sequence uint64
	received time.Time
}

// accept records a sync and reports whether its sequence number is higher than that of the last accepted one.
func (p *sequenceTracker) accept(now time.Time, id fleet.GatewayID, sequence uint64) bool {
	if now.Sub(p.lastSweep) > sequenceTTL {
		p.lastSweep = now
		for other, last := range p.sequences {
			if now.Sub(last.received) > sequenceTTL {
				delete(p.sequences, other)
			}
		}
	}
	last := p.sequences[id]
	if last == nil {
		last = &lastSync{}
		p.sequences[id] = last
	}
	if sequence <= last.sequence {
		return false
	}
	last.sequence, last.received = sequence, now
	return true
}

// gatewayDemand is the demand reported in the last sync of one gateway.
type gatewayDemand struct {
	received time.Time
	entries  []*peerpb.Demand
}

// applyDemand replaces the demand of a gateway and passes the arrivals to the policy.
func (c *core) applyDemand(now time.Time, request *peerpb.SyncRequest) {
	for _, d := range request.Demand {
		if d.Arrived > 0 {
			c.policy.Observe(now, versionOf(d), d.ClassRank, d.Arrived)
		}
		if d.Waiting > 0 {
			c.placementDue = true
		}
	}
	c.demand[request.Process] = gatewayDemand{received: now, entries: request.Demand}
}

func versionOf(d *peerpb.Demand) fleet.AdapterVersion {
	return fleet.AdapterVersion{Adapter: d.Adapter, Version: d.Version}
}

// collectDemand sums the demand of all gateways, ordered by class rank and then by longest wait.
func (c *core) collectDemand(now time.Time) []placement.Demand {
	sums := map[fleet.AdapterVersion]*placement.Demand{}
	for process, gateway := range c.demand {
		age := now.Sub(gateway.received)
		if age > demandTTL {
			delete(c.demand, process)
			continue
		}
		for _, d := range gateway.entries {
			if d.Waiting > 0 {
				addDemand(sums, d, age)
			}
		}
	}
	list := make([]placement.Demand, 0, len(sums))
	for _, d := range sums {
		list = append(list, *d)
	}
	slices.SortFunc(list, func(a, b placement.Demand) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.OldestWait, a.OldestWait),
			cmp.Compare(a.Of.Adapter, b.Of.Adapter), cmp.Compare(a.Of.Version, b.Of.Version))
	})
	return list
}

func addDemand(sums map[fleet.AdapterVersion]*placement.Demand, d *peerpb.Demand, age time.Duration) {
	version := versionOf(d)
	sum := sums[version]
	if sum == nil {
		sum = &placement.Demand{Of: version, Rank: d.ClassRank}
		sums[version] = sum
	}
	sum.Waiting += d.Waiting
	sum.Rank = min(sum.Rank, d.ClassRank)
	sum.OldestWait = max(sum.OldestWait, time.Duration(d.OldestWaitMs)*time.Millisecond+age)
}
