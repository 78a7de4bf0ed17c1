package permits

import (
	"sort"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// Identity identifies the gateway in each sync.
type Identity struct {
	// Process is unique, such as "vm-3/gateway".
	Process     string
	Incarnation string
	// Node is the name of the VM.
	Node string
	// Address is the ip:port at which other processes reach this one.
	Address string
}

// Waiting summarises the requests of one class that wait in the gateway's queues for one target.
type Waiting struct {
	Target routing.Target
	Rank   int
	Count  int
	Oldest time.Duration
}

// Report holds the variable parts of a sync that are not stored in the table.
type Report struct {
	AppliedConfig uint64
	Waiting       []Waiting
	Leaving       bool
}

// arrivalKey is the key by which arrivals are counted. It includes the rank because placement gives urgent requests a
// higher weight.
type arrivalKey struct {
	target routing.Target
	rank   int
}

// Arrived counts the arrival of a request of a class. The count is reported to every scheduler.
func (t *Table) Arrived(target routing.Target, rank int) {
	key := arrivalKey{target: target, rank: rank}
	for _, s := range t.schedulers {
		if _, known := s.arrived[key]; known || len(s.arrived) < maximumArrivals {
			s.arrived[key]++
		}
	}
}

// Sync returns the next sync request for the scheduler at address, or nil if the scheduler is unknown. It resets the
// arrival counters that the request reports; NotDelivered restores them.
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
	s.arrived = map[arrivalKey]uint32{}
	return request
}

// NotDelivered restores the arrival counters of a sync that was not answered. If only the answer was lost, an arrival
// is reported twice, which is acceptable because demand is an estimate.
func (t *Table) NotDelivered(address string, request *peerpb.SyncRequest) {
	s := t.schedulers[address]
	if s == nil {
		return
	}
	for _, d := range request.Demand {
		if d.Arrived > 0 && len(s.arrived) < maximumArrivals {
			target := routing.Target{Adapter: d.Adapter, Version: d.Version}
			s.arrived[arrivalKey{target: target, rank: int(d.ClassRank)}] += d.Arrived
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

// closedLoads returns the loads that the scheduler's latest answer lists as closing and that have no requests in
// flight. Servers with a newer owner are skipped because their loads may be in use under the newer owner's permits.
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

// demand combines waiting requests and arrivals. Arrivals are reported in the entry of the waiting requests of the same
// target and class, or in a separate entry if none are waiting.
func demand(waiting []Waiting, arrived map[arrivalKey]uint32) []*peerpb.Demand {
	reported := make(map[arrivalKey]bool, len(waiting))
	all := make([]*peerpb.Demand, 0, len(waiting)+len(arrived))
	for _, w := range waiting {
		if w.Target.Service != "" {
			continue
		}
		d := &peerpb.Demand{
			Adapter: w.Target.Adapter, Version: w.Target.Version, ClassRank: uint32(w.Rank),
			Waiting: uint32(w.Count), OldestWaitMs: uint32(w.Oldest.Milliseconds()),
		}
		key := arrivalKey{target: w.Target, rank: w.Rank}
		if !reported[key] {
			d.Arrived = arrived[key]
			reported[key] = true
		}
		all = append(all, d)
	}
	withWaiting := len(all)
	for key, count := range arrived {
		if !reported[key] && key.target.Service == "" {
			all = append(all, &peerpb.Demand{
				Adapter: key.target.Adapter, Version: key.target.Version, ClassRank: uint32(key.rank), Arrived: count,
			})
		}
	}
	arrivalsOnly := all[withWaiting:]
	sort.Slice(arrivalsOnly, func(i, j int) bool {
		if arrivalsOnly[i].Adapter != arrivalsOnly[j].Adapter {
			return arrivalsOnly[i].Adapter < arrivalsOnly[j].Adapter
		}
		if arrivalsOnly[i].Version != arrivalsOnly[j].Version {
			return arrivalsOnly[i].Version < arrivalsOnly[j].Version
		}
		return arrivalsOnly[i].ClassRank < arrivalsOnly[j].ClassRank
	})
	return all
}
