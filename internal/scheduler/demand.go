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
	// demandLife is how long the demand of a silent gateway counts. Gateways sync every second.
	demandLife = 3 * time.Second
	// processLife is how long the sequence of a silent process is remembered. Syncs don't travel that long.
	processLife = time.Minute
)

// processes orders the syncs of each run of a process.
type processes struct {
	sequences map[fleet.GatewayID]*lastSync
	swept     time.Time
}

type lastSync struct {
	sequence uint64
	at       time.Time
}

func (p *processes) accept(now time.Time, id fleet.GatewayID, sequence uint64) bool {
	if now.Sub(p.swept) > processLife {
		p.swept = now
		for other, last := range p.sequences {
			if now.Sub(last.at) > processLife {
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
	last.sequence, last.at = sequence, now
	return true
}

// gatewayDemand is the demand in one gateway's last sync.
type gatewayDemand struct {
	at    time.Time
	wants []*peerpb.Demand
}

// takeDemand replaces a gateway's demand and feeds the policy with what arrived.
func (c *core) takeDemand(now time.Time, request *peerpb.SyncRequest) {
	for _, d := range request.Demand {
		if d.Arrived > 0 {
			c.policy.Observe(now, versionOf(d), d.ClassRank, d.Arrived)
		}
		if d.Waiting > 0 {
			c.placeSoon = true
		}
	}
	c.demand[request.Process] = gatewayDemand{at: now, wants: request.Demand}
}

func versionOf(d *peerpb.Demand) fleet.AdapterVersion {
	return fleet.AdapterVersion{Adapter: d.Adapter, Version: d.Version}
}

// collectDemand adds up the demand of all gateways: urgent first, then what waits longest.
func (c *core) collectDemand(now time.Time) []placement.Demand {
	sums := map[fleet.AdapterVersion]*placement.Demand{}
	for process, gateway := range c.demand {
		age := now.Sub(gateway.at)
		if age > demandLife {
			delete(c.demand, process)
			continue
		}
		for _, d := range gateway.wants {
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
	of := versionOf(d)
	sum := sums[of]
	if sum == nil {
		sum = &placement.Demand{Of: of, Rank: d.ClassRank}
		sums[of] = sum
	}
	sum.Waiting += d.Waiting
	sum.Rank = min(sum.Rank, d.ClassRank)
	sum.OldestWait = max(sum.OldestWait, time.Duration(d.OldestWaitMs)*time.Millisecond+age)
}
