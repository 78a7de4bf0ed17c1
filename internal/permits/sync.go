package permits

import (
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// Identity is what a gateway says of itself in each sync.
type Identity struct {
	// Process is unique, such as "vm-3/gateway".
	Process     string
	Incarnation string
	// Node is the name of the VM.
	Node string
	// Address is ip:port at which other processes reach this one.
	Address string
}

// Waiting is what waits in the gateway's queues for one target in one class.
type Waiting struct {
	Target routing.Target
	Rank   int
	Count  int
	Oldest time.Duration
}

// Report is what changes from sync to sync and isn't kept by the table.
type Report struct {
	AppliedConfig uint64
	Waiting       []Waiting
	Leaving       bool
}

// arrival is what arrivals are counted by. Placement weighs urgent requests more, so that the rank belongs to it.
type arrival struct {
	target routing.Target
	rank   int
}

// Arrived counts the arrival of a request of a class, to be reported to every scheduler.
func (t *Table) Arrived(target routing.Target, rank int) {
	key := arrival{target: target, rank: rank}
	for _, s := range t.schedulers {
		if _, known := s.arrived[key]; known || len(s.arrived) < maximumArrivals {
			s.arrived[key]++
		}
	}
}

// Sync returns the next sync for the scheduler at address, or nil when it isn't known. The arrivals that it reports
// are no longer counted; NotDelivered restores them.
func (t *Table) Sync(address string, identity Identity, report Report, wait time.Duration) *peerpb.SyncRequest {
	s := t.schedulers[address]
	if s == nil {
		return nil
	}
	s.sequence++
	request := &peerpb.SyncRequest{
		Process: identity.Process, Incarnation: identity.Incarnation, Role: "gateway",
		Node: identity.Node, Address: identity.Address, Sequence: s.sequence,
		AppliedConfig: report.AppliedConfig, Leaving: report.Leaving,
		NodeTableVersion: s.nodeTableVersion, WaitMs: uint32(wait.Milliseconds()),
		PermitsVersion: s.version, PermitsIncarnation: s.incarnation,
		InFlight: t.inFlightReport(), ClosedLoads: t.closedLoads(s),
		Demand: demand(report.Waiting, s.arrived),
	}
	s.arrived = map[arrival]uint32{}
	return request
}

// NotDelivered restores the arrivals of a sync that got no answer. An arrival may be reported twice when only the
// answer was lost; demand is an estimate, so that this does no harm.
func (t *Table) NotDelivered(address string, request *peerpb.SyncRequest) {
	s := t.schedulers[address]
	if s == nil {
		return
	}
	for _, d := range request.Demand {
		if d.Arrived > 0 && len(s.arrived) < maximumArrivals {
			target := routing.Target{Adapter: d.Adapter, Version: d.Version}
			s.arrived[arrival{target: target, rank: int(d.ClassRank)}] += d.Arrived
		}
	}
}

func (t *Table) inFlightReport() []*peerpb.InFlight {
	report := make([]*peerpb.InFlight, 0, len(t.inFlight))
	for key, count := range t.inFlight {
		report = append(report, &peerpb.InFlight{Server: key.server, Load: key.load, Count: uint32(count)})
	}
	sort.Slice(report, func(i, j int) bool {
		if report[i].Server != report[j].Server {
			return report[i].Server < report[j].Server
		}
		return report[i].Load < report[j].Load
	})
	return report
}

// closedLoads returns the loads that the scheduler's current answer shows as closing and that have no request in
// flight. A server with a newer owner is left out: its loads may be in use under the newer owner's permits.
func (t *Table) closedLoads(s *scheduler) []uint64 {
	var closed []uint64
	for _, server := range s.servers {
		if t.superseded(server) {
			continue
		}
		for _, load := range server.loads {
			if load.state == routing.Closing && t.inFlight[loadKey{server.name, load.number}] == 0 {
				closed = append(closed, load.number)
			}
		}
	}
	return closed
}

// demand joins what waits and what has arrived. Arrivals are reported in the waiting entry of their target and class,
// or in an entry with nothing waiting.
func demand(waiting []Waiting, arrived map[arrival]uint32) []*peerpb.Demand {
	reported := make(map[arrival]bool, len(waiting))
	all := make([]*peerpb.Demand, 0, len(waiting)+len(arrived))
	for _, w := range waiting {
		if w.Target.Service != "" {
			continue
		}
		d := &peerpb.Demand{
			Adapter: w.Target.Adapter, Version: w.Target.Version, ClassRank: uint32(w.Rank),
			Waiting: uint32(w.Count), OldestWaitMs: uint32(w.Oldest.Milliseconds()),
		}
		key := arrival{target: w.Target, rank: w.Rank}
		if !reported[key] {
			d.Arrived = arrived[key]
			reported[key] = true
		}
		all = append(all, d)
	}
	idle := len(all)
	for key, count := range arrived {
		if !reported[key] && key.target.Service == "" {
			all = append(all, &peerpb.Demand{
				Adapter: key.target.Adapter, Version: key.target.Version, ClassRank: uint32(key.rank), Arrived: count,
			})
		}
	}
	rest := all[idle:]
	sort.Slice(rest, func(i, j int) bool {
		if rest[i].Adapter != rest[j].Adapter {
			return rest[i].Adapter < rest[j].Adapter
		}
		if rest[i].Version != rest[j].Version {
			return rest[i].Version < rest[j].Version
		}
		return rest[i].ClassRank < rest[j].ClassRank
	})
	return all
}
