// Package permits holds the permits that schedulers grant to a gateway. A request may be sent to a (server, load)
// pair only under a permit, which expires unless a sync renews it. Table is the deterministic core; Client is
// the driver that syncs with every known scheduler.
package permits

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// maximumClosed bounds the loads remembered as closing for one scheduler. At 3 evictions a second it
	// covers hours, while an answer that could reopen a load is at most seconds old.
	maximumClosed = 1 << 14
	// maximumFences bounds the servers whose highest fencing number is remembered without a current permit.
	maximumFences = 1 << 13
	// maximumArrivals bounds the targets whose arrivals are counted between two syncs with one scheduler.
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

// scheduler is what the table holds of one scheduler, known by its address.
type scheduler struct {
	address     string
	incarnation string
	version     uint64
	expires     time.Time
	servers     []*grantedServer
	// closed holds the loads seen closing under incarnation, and closedOrder the order in which they were seen.
	closed           map[loadKey]struct{}
	closedOrder      []loadKey
	sequence         uint64
	nodeTableVersion uint64
	arrived          map[arrival]uint32
}

// Table is the deterministic core. It must be used by one goroutine at a time.
type Table struct {
	schedulers map[string]*scheduler
	// fences is the highest fencing number seen for each server.
	fences map[string]uint64
	// grants are the current answers for each server; more than one while the owner changes.
	grants map[string][]*grantedServer
	// copies are the loads of each target over all servers.
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

// AddScheduler makes a scheduler known. It does nothing for a known one.
func (t *Table) AddScheduler(address string) {
	if t.schedulers[address] != nil {
		return
	}
	t.schedulers[address] = &scheduler{
		address: address,
		closed:  map[loadKey]struct{}{},
		arrived: map[arrival]uint32{},
	}
}

// RemoveScheduler drops a scheduler and the permits that it granted.
func (t *Table) RemoveScheduler(address string) {
	s := t.schedulers[address]
	if s == nil {
		return
	}
	t.dropServers(s)
	delete(t.schedulers, address)
}

// Applied says what Apply did with an answer.
type Applied struct {
	// Dropped is true when the answer was older than the state held; nothing changed.
	Dropped bool
	// Changed is true when the set of permits changed or a share has grown, and not only their expiry.
	Changed bool
	// Closing is true when a closing was seen for the first time, so that it is to be acknowledged.
	Closing bool
	// Nodes is true when the node table changed.
	Nodes bool
}

// Apply takes the answer of the scheduler at address to a sync that was sent at sent.
func (t *Table) Apply(address string, sent time.Time, answer *peerpb.SyncResponse) Applied {
	s := t.schedulers[address]
	if s == nil || s.isOlder(sent, answer) || s.lacks(answer) {
		return Applied{Dropped: true}
	}
	expires := sent.Add(time.Duration(answer.PermitMs) * time.Millisecond)
	applied := Applied{}
	sameIncarnation := s.incarnation == answer.SchedulerIncarnation
	if !sameIncarnation {
		s.begin(answer.SchedulerIncarnation)
	}
	applied.Changed = !sameIncarnation || s.version != answer.PermitsVersion
	applied.Nodes = t.takeNodes(s, answer)
	if !applied.Changed {
		// Answers of one version differ in their time of sending only, and may arrive in either order.
		if expires.After(s.expires) {
			s.expires = expires
			applied.Changed = s.takeShares(answer.Servers)
		}
		return applied
	}
	s.expires = expires
	s.version = answer.PermitsVersion
	t.dropServers(s)
	applied.Closing = t.takeServers(s, answer.Servers)
	return applied
}

// isOlder reports whether an answer was computed before the state held. Incarnations are time-ordered identifiers. A
// scheduler that restarts with its clock set back has a lower one; it's accepted for syncs sent after the permits of
// the former have expired, so that a wrong clock can't shut a scheduler out.
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

// lacks reports whether the answer builds on permits that the table doesn't hold.
func (s *scheduler) lacks(answer *peerpb.SyncResponse) bool {
	return answer.Unchanged && (s.incarnation != answer.SchedulerIncarnation || s.version != answer.PermitsVersion)
}

// takeShares takes the figures that change without a new version, and reports whether a share has grown. A gateway
// that kept its first share couldn't use what the others leave free.
func (s *scheduler) takeShares(servers []*peerpb.ServerPermits) bool {
	grown := false
	for _, p := range servers {
		for _, server := range s.servers {
			if server.name != p.Server {
				continue
			}
			grown = grown || int(p.Concurrent) > server.concurrent
			server.concurrent = int(p.Concurrent)
			server.running = int(p.Running)
		}
	}
	return grown
}

func (s *scheduler) begin(incarnation string) {
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

// remove keeps the order of the others, so that decisions don't depend on the order of removals.
func remove[T comparable](items []T, item T) []T {
	for i := range items {
		if items[i] == item {
			return append(items[:i], items[i+1:]...)
		}
	}
	return items
}

// takeServers adds the servers of an answer and reports whether it shows a new closing. Permits under a lower fencing
// number than the highest seen are dropped here; those that a later number overtakes are found by superseded.
func (t *Table) takeServers(s *scheduler, servers []*peerpb.ServerPermits) bool {
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
			if load.state == routing.Closing && s.close(loadKey{p.Server, l.Load}) {
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

// close remembers that a load was seen closing and reports whether that is new.
func (s *scheduler) close(key loadKey) bool {
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

// stateNow returns the load's state, which is Closing for good once it was seen closing under the incarnation.
func (l *grantedLoad) stateNow() routing.State {
	if _, closed := l.server.scheduler.closed[loadKey{l.server.name, l.number}]; closed {
		return routing.Closing
	}
	return l.state
}

func (t *Table) superseded(server *grantedServer) bool { return server.fence < t.fences[server.name] }
