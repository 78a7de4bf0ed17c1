// Package permits manages the permits that schedulers grant to a gateway. A request may be sent to a (server, load)
// pair only under a permit, which expires unless a sync renews it. Table is the deterministic core; Client performs the
// syncs with every known scheduler.
package permits

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// maximumClosed limits the number of loads recorded as closing per scheduler. At 3 evictions per second it covers
	// more than an hour, whereas a delayed answer that could reopen a load is at most seconds old.
	maximumClosed = 1 << 14
	// maximumFences is the number of recorded fencing numbers from which those of servers without a current permit are
	// discarded.
	maximumFences = 1 << 13
	// maximumArrivals limits the number of targets whose arrivals are counted between two syncs with the same scheduler.
	maximumArrivals = 1 << 12
)

type loadKey struct {
	server string
	load   uint64
}

// grantedLoad is one load in a scheduler's answer.
type grantedLoad struct {
	server *grantedServer
	number uint64
	name   string
	target routing.Target
	state  routing.State
}

// grantedServer is one server in a scheduler's answer.
type grantedServer struct {
	scheduler  *scheduler
	name       string
	address    string
	zone       string
	baseModel  string
	concurrent int
	running    int
	leaving    bool
	fence      uint64
	loads      []*grantedLoad
}

// scheduler is the table's state for one scheduler, which is identified by its address.
type scheduler struct {
	address     string
	incarnation string
	version     uint64
	expires     time.Time
	servers     []*grantedServer
	// closed holds the loads that were reported as closing under incarnation, and closedOrder the order of the reports.
	closed           map[loadKey]struct{}
	closedOrder      []loadKey
	sequence         uint64
	nodeTableVersion uint64
	arrived          map[arrivalKey]uint32
}

// Table is the deterministic core of the package. It is not safe for concurrent use.
type Table struct {
	schedulers map[string]*scheduler
	// fences is the highest fencing number seen for each server.
	fences map[string]uint64
	// grants holds the current grants for each server. There is more than one while the owner changes.
	grants map[string][]*grantedServer
	// copies holds the loads of each target on all servers.
	copies         map[routing.Target][]*grantedLoad
	inFlight       map[loadKey]int
	serverInFlight map[string]int
	nodes          nodeTable
}

// NewTable returns a table without permits.
func NewTable() *Table {
	return &Table{
		schedulers:     map[string]*scheduler{},
		fences:         map[string]uint64{},
		grants:         map[string][]*grantedServer{},
		copies:         map[routing.Target][]*grantedLoad{},
		inFlight:       map[loadKey]int{},
		serverInFlight: map[string]int{},
		nodes:          nodeTable{},
	}
}

// AddScheduler adds a scheduler. It does nothing if the scheduler is already in the table.
func (t *Table) AddScheduler(address string) {
	if t.schedulers[address] != nil {
		return
	}
	t.schedulers[address] = &scheduler{
		address: address,
		closed:  map[loadKey]struct{}{},
		arrived: map[arrivalKey]uint32{},
	}
}

// RemoveScheduler removes a scheduler and the permits that it granted.
func (t *Table) RemoveScheduler(address string) {
	s := t.schedulers[address]
	if s == nil {
		return
	}
	t.dropServers(s)
	delete(t.schedulers, address)
}

// Applied describes the effect of Apply.
type Applied struct {
	// Dropped is true when the answer was outdated, incomplete or from an unknown scheduler and was ignored.
	Dropped bool
	// Changed is true when the set of permits changed or a share increased, as opposed to a mere renewal.
	Changed bool
	// Closing is true when a load was reported as closing for the first time, so that an acknowledgement is due.
	Closing bool
	// Nodes is true when the node table changed.
	Nodes bool
}

// Apply applies the answer of the scheduler at address to a sync that was sent at time sent.
func (t *Table) Apply(address string, sent time.Time, answer *peerpb.SyncResponse) Applied {
	s := t.schedulers[address]
	if s == nil || s.isOlder(sent, answer) || s.missesBase(answer) {
		return Applied{Dropped: true}
	}
	expires := sent.Add(time.Duration(answer.PermitMs) * time.Millisecond)
	applied := Applied{}
	sameIncarnation := s.incarnation == answer.SchedulerIncarnation
	if !sameIncarnation {
		s.startIncarnation(answer.SchedulerIncarnation)
	}
	applied.Changed = !sameIncarnation || s.version != answer.PermitsVersion
	applied.Nodes = t.mergeNodes(s, answer)
	if !applied.Changed {
		// Answers of the same version differ in expiry and shares only. They may arrive out of order.
		if expires.After(s.expires) {
			s.expires = expires
			applied.Changed = s.updateShares(answer.Servers)
		}
		return applied
	}
	s.expires = expires
	s.version = answer.PermitsVersion
	t.dropServers(s)
	applied.Closing = t.addServers(s, answer.Servers)
	return applied
}

// isOlder reports whether an answer is older than the current state. Incarnations are time-ordered identifiers. A
// scheduler that restarts after its clock was set back has a lower incarnation. Its answers are accepted for syncs sent
// after the permits of the previous incarnation have expired, so that a wrong clock can't lock out a scheduler.
func (s *scheduler) isOlder(sent time.Time, answer *peerpb.SyncResponse) bool {
	switch {
	case s.incarnation == "" || answer.SchedulerIncarnation > s.incarnation:
		return false
	case answer.SchedulerIncarnation < s.incarnation:
		return sent.Before(s.expires)
	default:
		return answer.PermitsVersion < s.version
	}
}

// missesBase reports whether the answer is incremental to a permits version that the table doesn't hold.
func (s *scheduler) missesBase(answer *peerpb.SyncResponse) bool {
	return answer.Unchanged && (s.incarnation != answer.SchedulerIncarnation || s.version != answer.PermitsVersion)
}

// updateShares updates the values that change without a new version, and reports whether a share increased. Without the
// update, a gateway could not use capacity that other gateways have freed.
func (s *scheduler) updateShares(servers []*peerpb.ServerPermits) bool {
	increased := false
	for _, p := range servers {
		for _, server := range s.servers {
			if server.name != p.Server {
				continue
			}
			increased = increased || int(p.Concurrent) > server.concurrent
			server.concurrent = int(p.Concurrent)
			server.running = int(p.Running)
		}
	}
	return increased
}

// startIncarnation resets the state that depends on the scheduler's incarnation.
func (s *scheduler) startIncarnation(incarnation string) {
	s.incarnation = incarnation
	s.version = 0
	s.closed = map[loadKey]struct{}{}
	s.closedOrder = nil
}

func (t *Table) dropServers(s *scheduler) {
	for _, server := range s.servers {
		t.grants[server.name] = remove(t.grants[server.name], server)
		if len(t.grants[server.name]) == 0 {
			delete(t.grants, server.name)
		}
		for _, load := range server.loads {
			t.copies[load.target] = remove(t.copies[load.target], load)
			if len(t.copies[load.target]) == 0 {
				delete(t.copies, load.target)
			}
		}
	}
	s.servers = nil
}

// remove deletes item and preserves the order of the other items, so that decisions don't depend on the order of
// removals.
func remove[T comparable](items []T, item T) []T {
	for i := range items {
		if items[i] == item {
			return append(items[:i], items[i+1:]...)
		}
	}
	return items
}

// addServers adds the servers of an answer and reports whether any load is newly closing. Permits with a fencing number
// below the highest one seen are dropped here. Permits that become outdated later, when a higher number is seen, are
// detected by superseded.
func (t *Table) addServers(s *scheduler, servers []*peerpb.ServerPermits) bool {
	closing := false
	for _, p := range servers {
		if p.Fence < t.fences[p.Server] {
			continue
		}
		t.raiseFence(p.Server, p.Fence)
		server := &grantedServer{
			scheduler: s, name: p.Server, address: p.Address, zone: p.Zone, baseModel: p.BaseModel,
			concurrent: int(p.Concurrent), running: int(p.Running), leaving: p.Leaving, fence: p.Fence,
		}
		for _, l := range p.Loads {
			load := &grantedLoad{
				server: server, number: l.Load, name: l.Name, state: stateOf(l.State),
				target: routing.Target{Adapter: l.Adapter, Version: l.Version},
			}
			if load.state == routing.Closing && s.markClosing(loadKey{p.Server, l.Load}) {
				closing = true
			}
			server.loads = append(server.loads, load)
			t.copies[load.target] = append(t.copies[load.target], load)
		}
		s.servers = append(s.servers, server)
		t.grants[p.Server] = append(t.grants[p.Server], server)
	}
	return closing
}

func (t *Table) raiseFence(server string, fence uint64) {
	if len(t.fences) >= maximumFences {
		for name := range t.fences {
			if len(t.grants[name]) == 0 {
				delete(t.fences, name)
			}
		}
	}
	t.fences[server] = fence
}

func stateOf(state peerpb.LoadState) routing.State {
	switch state {
	case peerpb.LoadState_RESIDENT:
		return routing.Resident
	case peerpb.LoadState_CLOSING:
		return routing.Closing
	default:
		return routing.Loading
	}
}

// markClosing records that a load was reported as closing and reports whether this is the first time.
func (s *scheduler) markClosing(key loadKey) bool {
	if _, known := s.closed[key]; known {
		return false
	}
	if len(s.closedOrder) >= maximumClosed {
		delete(s.closed, s.closedOrder[0])
		s.closedOrder = s.closedOrder[1:]
	}
	s.closed[key] = struct{}{}
	s.closedOrder = append(s.closedOrder, key)
	return true
}

// effectiveState returns the load's state. A load that was once reported as closing stays Closing until the scheduler's
// incarnation changes.
func (l *grantedLoad) effectiveState() routing.State {
	if _, closed := l.server.scheduler.closed[loadKey{l.server.name, l.number}]; closed {
		return routing.Closing
	}
	return l.state
}

func (t *Table) superseded(server *grantedServer) bool { return server.fence < t.fences[server.name] }
