package permits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

func TestPermits(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "permits")
}

const (
	schedulerAddress = "10.0.0.1:1"
	permitMs         = 2500
)

var start = time.Unix(1_000_000, 0)

func loadOf(number uint64, state peerpb.LoadState) *peerpb.LoadPermit {
	return &peerpb.LoadPermit{
		Load: number, Name: fmt.Sprintf("a@v#%d", number), Adapter: "a", Version: "v", State: state,
	}
}

func answerOf(incarnation string, version, fence uint64, loads ...*peerpb.LoadPermit) *peerpb.SyncResponse {
	return &peerpb.SyncResponse{
		SchedulerIncarnation: incarnation, PermitsVersion: version, PermitMs: permitMs,
		Servers: []*peerpb.ServerPermits{{Server: "s", Address: "10.0.0.9:1", Concurrent: 100, Fence: fence, Loads: loads}},
	}
}

func newTable(addresses ...string) *permits.Table {
	table := permits.NewTable()
	for _, address := range addresses {
		table.AddScheduler(address)
	}
	return table
}

var _ = ginkgo.Describe("Table", func() {
	const resident, closing = peerpb.LoadState_RESIDENT, peerpb.LoadState_CLOSING

	ginkgo.It("counts expiry from when the sync was sent", func() {
		table := newTable(schedulerAddress)
		table.Apply(schedulerAddress, start, answerOf("i", 1, 1, loadOf(1, resident)))
		end := start.Add(permitMs * time.Millisecond)
		reservation, ok := table.Acquire("s", 1, end.Add(-1))
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(table.Valid(reservation, end)).To(gomega.BeFalse(),
			"a paused gateway must detect the expiry before it writes")
		_, ok = table.Acquire("s", 1, end)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against a gateway that stays limited to its initial share while other gateways' shares are unused, and
	// against permits that expire because an answer omits unchanged data.
	ginkgo.It("applies the share and the expiry of an unchanged answer", func() {
		table := newTable(schedulerAddress)
		first := answerOf("i", 1, 1, loadOf(1, resident))
		first.Servers[0].Concurrent = 1
		table.Apply(schedulerAddress, start, first)
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeTrue())
		_, ok = table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())

		later := start.Add(time.Second)
		unchanged := answerOf("i", 1, 0)
		unchanged.Unchanged = true
		unchanged.Servers[0].Address = ""
		applied := table.Apply(schedulerAddress, later, unchanged)
		gomega.Expect(applied.Changed).To(gomega.BeTrue(), "waiting requests must be reconsidered")
		_, ok = table.Acquire("s", 1, later.Add(permitMs*time.Millisecond-1))
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against applying an incremental answer whose base version the gateway doesn't hold.
	ginkgo.It("drops an unchanged answer for a version that it doesn't hold", func() {
		table := newTable(schedulerAddress)
		table.Apply(schedulerAddress, start, answerOf("i", 1, 1, loadOf(1, resident)))
		unchanged := answerOf("i", 2, 0)
		unchanged.Unchanged = true
		gomega.Expect(table.Apply(schedulerAddress, start.Add(1), unchanged).Dropped).To(gomega.BeTrue())
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against a delayed answer that reverts a newer one or extends its permits.
	ginkgo.It("drops an answer that is older than the one held", func() {
		table := newTable(schedulerAddress)
		table.Apply(schedulerAddress, start, answerOf("i", 2, 1))
		delayed := table.Apply(schedulerAddress, start.Add(time.Second), answerOf("i", 1, 1, loadOf(1, resident)))
		gomega.Expect(delayed.Dropped).To(gomega.BeTrue())
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against a former owner's permits that make a load usable again under its new owner.
	ginkgo.It("drops permits under a lower fence, in either order of arrival", func() {
		table := newTable("old:1", "new:1")
		table.Apply("old:1", start, answerOf("i", 1, 1, loadOf(1, resident)))
		table.Apply("new:1", start, answerOf("j", 1, 2))
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())
		table.Apply("old:1", start, answerOf("i", 2, 1, loadOf(1, resident)))
		_, ok = table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against an early acknowledgement that lets the owner evict an adapter that is in use.
	ginkgo.It("acknowledges a closing only if no request is in flight", func() {
		table := newTable(schedulerAddress)
		table.Apply(schedulerAddress, start, answerOf("i", 1, 1, loadOf(1, resident)))
		reservation, _ := table.Acquire("s", 1, start)
		table.Apply(schedulerAddress, start, answerOf("i", 2, 1, loadOf(1, closing)))
		request := table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0)
		gomega.Expect(request.ClosedLoads).To(gomega.BeEmpty())
		gomega.Expect(request.InFlight).To(gomega.HaveLen(1))
		gomega.Expect(table.Valid(reservation, start)).To(gomega.BeFalse())
		gomega.Expect(table.Release(reservation)).To(gomega.BeTrue())
		request = table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0)
		gomega.Expect(request.ClosedLoads).To(gomega.Equal([]uint64{1}))
	})

	// Guards against locking out a scheduler whose clock was set back before a restart.
	ginkgo.It("accepts a lower incarnation only for syncs sent after the previous permits expired", func() {
		table := newTable(schedulerAddress)
		table.Apply(schedulerAddress, start, answerOf("j", 9, 1, loadOf(1, resident)))
		gomega.Expect(table.Apply(schedulerAddress, start.Add(time.Second), answerOf("i", 1, 1)).Dropped).To(gomega.BeTrue())
		afterExpiry := start.Add(permitMs * time.Millisecond)
		gomega.Expect(table.Apply(schedulerAddress, afterExpiry, answerOf("i", 1, 1)).Dropped).To(gomega.BeFalse())
	})

	ginkgo.It("reports arrivals once, and again if the sync was not delivered", func() {
		table := newTable(schedulerAddress)
		target := routing.Target{Adapter: "a", Version: "v"}
		table.Arrived(target, 2)
		waiting := permits.Report{Waiting: []permits.Waiting{{Target: target, Rank: 2, Count: 1, Oldest: time.Second}}}
		request := table.Sync(schedulerAddress, permits.Identity{}, waiting, 0)
		gomega.Expect(request.Demand).To(gomega.HaveLen(1))
		gomega.Expect(request.Demand[0].Arrived).To(gomega.Equal(uint32(1)))
		gomega.Expect(request.Demand[0].OldestWaitMs).To(gomega.Equal(uint32(1000)))
		gomega.Expect(table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0).Demand).To(gomega.BeEmpty())
		table.NotDelivered(schedulerAddress, request)
		gomega.Expect(table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0).Demand).To(gomega.HaveLen(1))
	})

	// Guards against counting arrivals of other classes as urgent, which made placement retain their loads against all
	// other demand while the engines were idle.
	ginkgo.It("reports arrivals under their own class", func() {
		table := newTable(schedulerAddress)
		table.Arrived(routing.Target{Adapter: "a", Version: "v"}, 2)
		table.Arrived(routing.Target{Adapter: "a", Version: "v"}, 1)
		demand := table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0).Demand
		gomega.Expect(demand).To(gomega.HaveLen(2))
		gomega.Expect([]uint32{demand[0].ClassRank, demand[1].ClassRank}).To(gomega.Equal([]uint32{1, 2}))
	})

	// Guards against dropping schedulers because one that has just started sends an incomplete node table.
	ginkgo.It("merges node tables and excludes dead schedulers", func() {
		table := newTable(schedulerAddress, "10.0.0.2:1")
		node := func(name string, revision uint64, state peerpb.NodeState) *peerpb.NodeEntry {
			return &peerpb.NodeEntry{Name: name, Scheduler: name + ":1", Incarnation: 1, Revision: revision, State: state}
		}
		table.Apply(schedulerAddress, start, &peerpb.SyncResponse{SchedulerIncarnation: "i", Nodes: []*peerpb.NodeEntry{
			node("a", 2, peerpb.NodeState_ALIVE), node("b", 1, peerpb.NodeState_DEAD), node("c", 1, peerpb.NodeState_LEAVING),
		}})
		table.Apply("10.0.0.2:1", start, &peerpb.SyncResponse{SchedulerIncarnation: "j", Nodes: []*peerpb.NodeEntry{
			node("a", 1, peerpb.NodeState_DEAD),
		}})
		gomega.Expect(table.Schedulers()).To(gomega.Equal([]string{"a:1", "c:1"}))
	})
})

// delivery is an answer in transit to the gateway.
type delivery struct {
	sent   time.Time
	answer *peerpb.SyncResponse
}

// model simulates one scheduler that occasionally restarts, and tracks what the gateway has acknowledged and received.
type model struct {
	table       *permits.Table
	now         time.Time
	incarnation int
	version     uint64
	fence       uint64
	states      map[uint64]peerpb.LoadState
	nextLoad    uint64
	inTransit   []delivery
	// acknowledged holds the loads whose closing the gateway has acknowledged under the current incarnation.
	acknowledged map[uint64]bool
	// resident holds, for each load, the latest expiry of a delivered permit that lists it as resident.
	resident     map[uint64]time.Time
	reservations []permits.Reservation
}

func (m *model) name() string { return fmt.Sprintf("incarnation-%06d", m.incarnation) }

// sync sends a sync and computes the scheduler's answer, which is delivered later or never.
func (m *model) sync() {
	request := m.table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0)
	if request.PermitsIncarnation == m.name() {
		for _, load := range request.ClosedLoads {
			m.acknowledged[load] = true
		}
	}
	loads := []*peerpb.LoadPermit{}
	for number, state := range m.states {
		loads = append(loads, loadOf(number, state))
	}
	m.inTransit = append(m.inTransit, delivery{m.now, answerOf(m.name(), m.version, m.fence, loads...)})
}

// deliver applies one answer in transit. A duplicated answer stays in transit to be delivered again.
func (m *model) deliver(index int, duplicate bool) {
	d := m.inTransit[index]
	if !duplicate {
		m.inTransit = append(m.inTransit[:index], m.inTransit[index+1:]...)
	}
	m.table.Apply(schedulerAddress, d.sent, d.answer)
	for _, load := range d.answer.Servers[0].Loads {
		end := d.sent.Add(permitMs * time.Millisecond)
		if load.State == peerpb.LoadState_RESIDENT && end.After(m.resident[load.Load]) {
			m.resident[load.Load] = end
		}
	}
}

func (m *model) change(load uint64) {
	m.version++
	switch m.states[load] {
	case peerpb.LoadState_RESIDENT:
		m.states[load] = peerpb.LoadState_CLOSING
	case peerpb.LoadState_CLOSING:
		if m.acknowledged[load] {
			delete(m.states, load)
		}
	default:
		m.nextLoad++
		m.states[m.nextLoad] = peerpb.LoadState_RESIDENT
	}
}

// dispatch tries to acquire a load and checks that the acquisition is legal if it succeeds.
func (m *model) dispatch(t *rapid.T, load uint64) bool {
	reservation, ok := m.table.Acquire("s", load, m.now)
	if !ok {
		return false
	}
	m.reservations = append(m.reservations, reservation)
	if m.acknowledged[load] {
		t.Fatalf("load %d was acquired after its closing was acknowledged", load)
	}
	if !m.now.Before(m.resident[load]) {
		t.Fatalf("load %d was acquired without a valid permit", load)
	}
	return true
}

func (m *model) restart() {
	m.incarnation++
	m.version = 1
	m.fence++
	m.acknowledged = map[uint64]bool{}
}

// TestNoDispatchAfterClosingOrExpiry drops, duplicates and reorders answers arbitrarily. It checks that a gateway that
// has acknowledged a closing never uses the load again under the same scheduler incarnation, and that it never uses a
// load without a valid permit.
func TestNoDispatchAfterClosingOrExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			table: newTable(schedulerAddress), now: start, incarnation: 1, version: 1, fence: 1,
			states: map[uint64]peerpb.LoadState{1: peerpb.LoadState_RESIDENT}, nextLoad: 1,
			acknowledged: map[uint64]bool{}, resident: map[uint64]time.Time{},
		}
		anyLoad := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, m.nextLoad).Draw(t, "load") }
		t.Repeat(map[string]func(*rapid.T){
			"sync": func(*rapid.T) { m.sync() },
			"deliver": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					t.Skip("no answer in transit")
				}
				m.deliver(rapid.IntRange(0, len(m.inTransit)-1).Draw(t, "index"), rapid.Bool().Draw(t, "duplicate"))
			},
			"loseAnswer": func(t *rapid.T) {
				if len(m.inTransit) == 0 {
					t.Skip("no answer in transit")
				}
				m.inTransit = m.inTransit[1:]
			},
			"change": func(t *rapid.T) { m.change(anyLoad(t)) },
			"load":   func(*rapid.T) { m.change(0) },
			"restart": func(t *rapid.T) {
				// Restarts are rare, so that most sequences contain many steps under the same incarnation.
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					m.restart()
				}
			},
			"passTime": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"dispatch": func(t *rapid.T) { m.dispatch(t, anyLoad(t)) },
			"finish": func(t *rapid.T) {
				if len(m.reservations) == 0 {
					t.Skip("no request in flight")
				}
				m.table.Release(m.reservations[0])
				m.reservations = m.reservations[1:]
			},
			"": func(t *rapid.T) {
				for load := uint64(1); load <= m.nextLoad; load++ {
					if m.dispatch(t, load) {
						last := len(m.reservations) - 1
						m.table.Release(m.reservations[last])
						m.reservations = m.reservations[:last]
					}
				}
				inFlight := map[uint64]bool{}
				for _, reservation := range m.reservations {
					inFlight[reservation.Load] = true
				}
				for _, load := range m.table.Sync(schedulerAddress, permits.Identity{}, permits.Report{}, 0).ClosedLoads {
					if inFlight[load] {
						t.Fatalf("closing of load %d was acknowledged with a request in flight", load)
					}
				}
			},
		})
	})
}

// newFilledTable returns a table in which every adapter is resident on the given number of servers.
func newFilledTable(adapters, servers, copies int) *permits.Table {
	table := newTable(schedulerAddress)
	answer := &peerpb.SyncResponse{SchedulerIncarnation: "i", PermitsVersion: 1, PermitMs: permitMs}
	for s := range servers {
		answer.Servers = append(answer.Servers, &peerpb.ServerPermits{
			Server: fmt.Sprintf("s%d", s), Zone: fmt.Sprintf("z%d", s%3), BaseModel: "base", Concurrent: 64, Fence: 1,
		})
	}
	for a := range adapters {
		for c := range copies {
			server := answer.Servers[(a*7+c)%servers]
			server.Loads = append(server.Loads, &peerpb.LoadPermit{
				Load: uint64(a*copies + c + 1), Name: fmt.Sprintf("a%d@v#%d", a, a*copies+c+1),
				Adapter: fmt.Sprintf("a%d", a), Version: "v", State: peerpb.LoadState_RESIDENT,
			})
		}
	}
	table.Apply(schedulerAddress, start, answer)
	return table
}

// BenchmarkDecision measures a complete decision: gather, decide, acquire and release.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ adapters, servers, copies int }{{3000, 9, 3}, {37000, 600, 3}, {37000, 600, 30}} {
		b.Run(fmt.Sprintf("adapters=%d/servers=%d/copies=%d", size.adapters, size.servers, size.copies), func(b *testing.B) {
			table := newFilledTable(size.adapters, size.servers, size.copies)
			policy := routing.Policy{Weights: routing.Weights{Load: 1, Zone: 0.2, Batch: 0.3}, Pick: routing.PickTwoChoices}
			random := rand.New(rand.NewPCG(1, 2))
			requests := make([]routing.Request, 1024)
			for i := range requests {
				target := routing.Target{Adapter: fmt.Sprintf("a%d", random.IntN(size.adapters)), Version: "v"}
				requests[i] = routing.Request{Target: target, BaseModel: "base", Zone: "z1"}
			}
			var candidates []routing.Candidate
			var verdicts []routing.Verdict
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request := &requests[i%len(requests)]
				candidates = table.Gather(request.Target, candidates)
				choice := policy.Decide(request, &routing.Snapshot{Now: start, Candidates: candidates}, random, verdicts)
				verdicts = choice.Verdicts
				chosen := candidates[choice.Index]
				reservation, ok := table.Acquire(chosen.Server, chosen.Load, start)
				if !ok {
					b.Fatal("the chosen candidate could not be acquired")
				}
				table.Release(reservation)
			}
		})
	}
}
