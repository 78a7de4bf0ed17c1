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
	contact  = "10.0.0.1:1"
	permitMs = 2500
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

func newTable(contacts ...string) *permits.Table {
	table := permits.NewTable()
	for _, address := range contacts {
		table.AddScheduler(address)
	}
	return table
}

var _ = ginkgo.Describe("Table", func() {
	const resident, closing = peerpb.LoadState_RESIDENT, peerpb.LoadState_CLOSING

	ginkgo.It("counts expiry from when the sync was sent", func() {
		table := newTable(contact)
		table.Apply(contact, start, answerOf("i", 1, 1, loadOf(1, resident)))
		end := start.Add(permitMs * time.Millisecond)
		use, ok := table.Acquire("s", 1, end.Add(-1))
		gomega.Expect(ok).To(gomega.BeTrue())
		gomega.Expect(table.Valid(use, end)).To(gomega.BeFalse(), "a frozen gateway must see the end before it writes")
		_, ok = table.Acquire("s", 1, end)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against a gateway that keeps its first share while the others' is free, and against permits that end
	// because an answer leaves out what hasn't changed.
	ginkgo.It("takes the share and the expiry of an unchanged answer", func() {
		table := newTable(contact)
		first := answerOf("i", 1, 1, loadOf(1, resident))
		first.Servers[0].Concurrent = 1
		table.Apply(contact, start, first)
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeTrue())
		_, ok = table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())

		later := start.Add(time.Second)
		unchanged := answerOf("i", 1, 0)
		unchanged.Unchanged = true
		unchanged.Servers[0].Address = ""
		gomega.Expect(table.Apply(contact, later, unchanged).Changed).To(gomega.BeTrue(), "waiting requests must be looked at")
		_, ok = table.Acquire("s", 1, later.Add(permitMs*time.Millisecond-1))
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against an answer that is taken as complete while the gateway lacks what it builds on.
	ginkgo.It("drops an unchanged answer for a version that it doesn't hold", func() {
		table := newTable(contact)
		table.Apply(contact, start, answerOf("i", 1, 1, loadOf(1, resident)))
		unchanged := answerOf("i", 2, 0)
		unchanged.Unchanged = true
		gomega.Expect(table.Apply(contact, start.Add(1), unchanged).Dropped).To(gomega.BeTrue())
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeTrue())
	})

	// Guards against a late answer that takes back a newer one, or extends its permits.
	ginkgo.It("drops an answer that is older than the one held", func() {
		table := newTable(contact)
		table.Apply(contact, start, answerOf("i", 2, 1))
		late := table.Apply(contact, start.Add(time.Second), answerOf("i", 1, 1, loadOf(1, resident)))
		gomega.Expect(late.Dropped).To(gomega.BeTrue())
		_, ok := table.Acquire("s", 1, start)
		gomega.Expect(ok).To(gomega.BeFalse())
	})

	// Guards against an old owner's permits that reopen a load under its new owner.
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

	// Guards against an acknowledgement that lets the owner evict an adapter in use.
	ginkgo.It("acknowledges a closing only with nothing in flight", func() {
		table := newTable(contact)
		table.Apply(contact, start, answerOf("i", 1, 1, loadOf(1, resident)))
		use, _ := table.Acquire("s", 1, start)
		table.Apply(contact, start, answerOf("i", 2, 1, loadOf(1, closing)))
		request := table.Sync(contact, permits.Identity{}, permits.Report{}, 0)
		gomega.Expect(request.ClosedLoads).To(gomega.BeEmpty())
		gomega.Expect(request.InFlight).To(gomega.HaveLen(1))
		gomega.Expect(table.Valid(use, start)).To(gomega.BeFalse())
		gomega.Expect(table.Release(use)).To(gomega.BeTrue())
		gomega.Expect(table.Sync(contact, permits.Identity{}, permits.Report{}, 0).ClosedLoads).To(gomega.Equal([]uint64{1}))
	})

	// Guards against a scheduler that is shut out because its clock was set back before a restart.
	ginkgo.It("accepts a lower incarnation only for syncs sent after the former's permits ended", func() {
		table := newTable(contact)
		table.Apply(contact, start, answerOf("j", 9, 1, loadOf(1, resident)))
		gomega.Expect(table.Apply(contact, start.Add(time.Second), answerOf("i", 1, 1)).Dropped).To(gomega.BeTrue())
		late := start.Add(permitMs * time.Millisecond)
		gomega.Expect(table.Apply(contact, late, answerOf("i", 1, 1)).Dropped).To(gomega.BeFalse())
	})

	ginkgo.It("reports arrivals once, and again when the sync was not delivered", func() {
		table := newTable(contact)
		target := routing.Target{Adapter: "a", Version: "v"}
		table.Arrived(target, 2)
		waiting := permits.Report{Waiting: []permits.Waiting{{Target: target, Rank: 2, Count: 1, Oldest: time.Second}}}
		request := table.Sync(contact, permits.Identity{}, waiting, 0)
		gomega.Expect(request.Demand).To(gomega.HaveLen(1))
		gomega.Expect(request.Demand[0].Arrived).To(gomega.Equal(uint32(1)))
		gomega.Expect(request.Demand[0].OldestWaitMs).To(gomega.Equal(uint32(1000)))
		gomega.Expect(table.Sync(contact, permits.Identity{}, permits.Report{}, 0).Demand).To(gomega.BeEmpty())
		table.NotDelivered(contact, request)
		gomega.Expect(table.Sync(contact, permits.Identity{}, permits.Report{}, 0).Demand).To(gomega.HaveLen(1))
	})

	// Guards against arrivals that are taken for urgent ones, which made placement keep their loads against all other
	// demand while the engines were idle.
	ginkgo.It("reports arrivals under their own class", func() {
		table := newTable(contact)
		table.Arrived(routing.Target{Adapter: "a", Version: "v"}, 2)
		table.Arrived(routing.Target{Adapter: "a", Version: "v"}, 1)
		demand := table.Sync(contact, permits.Identity{}, permits.Report{}, 0).Demand
		gomega.Expect(demand).To(gomega.HaveLen(2))
		gomega.Expect([]uint32{demand[0].ClassRank, demand[1].ClassRank}).To(gomega.Equal([]uint32{1, 2}))
	})

	// Guards against a scheduler that has just started and whose short table makes the gateway forget the others.
	ginkgo.It("merges node tables and leaves out dead schedulers", func() {
		table := newTable(contact, "10.0.0.2:1")
		node := func(name string, revision uint64, state peerpb.NodeState) *peerpb.NodeEntry {
			return &peerpb.NodeEntry{Name: name, Scheduler: name + ":1", Incarnation: 1, Revision: revision, State: state}
		}
		table.Apply(contact, start, &peerpb.SyncResponse{SchedulerIncarnation: "i", Nodes: []*peerpb.NodeEntry{
			node("a", 2, peerpb.NodeState_ALIVE), node("b", 1, peerpb.NodeState_DEAD), node("c", 1, peerpb.NodeState_LEAVING),
		}})
		table.Apply("10.0.0.2:1", start, &peerpb.SyncResponse{SchedulerIncarnation: "j", Nodes: []*peerpb.NodeEntry{
			node("a", 1, peerpb.NodeState_DEAD),
		}})
		gomega.Expect(table.Schedulers()).To(gomega.Equal([]string{"a:1", "c:1"}))
	})
})

// delivery is an answer under way to the gateway.
type delivery struct {
	sent   time.Time
	answer *peerpb.SyncResponse
}

// world is a model of one scheduler, which restarts now and then, and of what the gateway has told and been told.
type world struct {
	table       *permits.Table
	now         time.Time
	incarnation int
	version     uint64
	fence       uint64
	states      map[uint64]peerpb.LoadState
	nextLoad    uint64
	underWay    []delivery
	// acknowledged holds the loads whose closing the gateway acknowledged under the current incarnation.
	acknowledged map[uint64]bool
	// resident holds, for each load, the latest end of a delivered permit that shows it resident.
	resident map[uint64]time.Time
	uses     []permits.Use
}

func (w *world) name() string { return fmt.Sprintf("incarnation-%06d", w.incarnation) }

// sync lets the gateway send a sync and the scheduler compute its answer, which arrives later, or never.
func (w *world) sync() {
	request := w.table.Sync(contact, permits.Identity{}, permits.Report{}, 0)
	if request.PermitsIncarnation == w.name() {
		for _, load := range request.ClosedLoads {
			w.acknowledged[load] = true
		}
	}
	loads := []*peerpb.LoadPermit{}
	for number, state := range w.states {
		loads = append(loads, loadOf(number, state))
	}
	w.underWay = append(w.underWay, delivery{w.now, answerOf(w.name(), w.version, w.fence, loads...)})
}

// deliver hands over one answer under way; it stays under way when it is duplicated.
func (w *world) deliver(index int, duplicate bool) {
	d := w.underWay[index]
	if !duplicate {
		w.underWay = append(w.underWay[:index], w.underWay[index+1:]...)
	}
	w.table.Apply(contact, d.sent, d.answer)
	for _, load := range d.answer.Servers[0].Loads {
		end := d.sent.Add(permitMs * time.Millisecond)
		if load.State == peerpb.LoadState_RESIDENT && end.After(w.resident[load.Load]) {
			w.resident[load.Load] = end
		}
	}
}

func (w *world) change(load uint64) {
	w.version++
	switch w.states[load] {
	case peerpb.LoadState_RESIDENT:
		w.states[load] = peerpb.LoadState_CLOSING
	case peerpb.LoadState_CLOSING:
		if w.acknowledged[load] {
			delete(w.states, load)
		}
	default:
		w.nextLoad++
		w.states[w.nextLoad] = peerpb.LoadState_RESIDENT
	}
}

// dispatch tries to use a load and checks that it's allowed when the table says so.
func (w *world) dispatch(t *rapid.T, load uint64) bool {
	use, ok := w.table.Acquire("s", load, w.now)
	if !ok {
		return false
	}
	w.uses = append(w.uses, use)
	if w.acknowledged[load] {
		t.Fatalf("load %d was dispatched to after its closing was acknowledged", load)
	}
	if !w.now.Before(w.resident[load]) {
		t.Fatalf("load %d was dispatched to without a valid permit", load)
	}
	return true
}

func (w *world) restart() {
	w.incarnation++
	w.version = 1
	w.fence++
	w.acknowledged = map[uint64]bool{}
}

// TestNoDispatchAfterClosingOrExpiry lets answers be lost, repeated and reordered in any way. It guards P2: after the
// gateway has acknowledged a closing it never uses the load again under that scheduler incarnation, and it never uses
// a load for which no permit is valid.
func TestNoDispatchAfterClosingOrExpiry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			table: newTable(contact), now: start, incarnation: 1, version: 1, fence: 1,
			states: map[uint64]peerpb.LoadState{1: peerpb.LoadState_RESIDENT}, nextLoad: 1,
			acknowledged: map[uint64]bool{}, resident: map[uint64]time.Time{},
		}
		anyLoad := func(t *rapid.T) uint64 { return rapid.Uint64Range(1, w.nextLoad).Draw(t, "load") }
		t.Repeat(map[string]func(*rapid.T){
			"sync": func(*rapid.T) { w.sync() },
			"deliver": func(t *rapid.T) {
				if len(w.underWay) == 0 {
					t.Skip("nothing under way")
				}
				w.deliver(rapid.IntRange(0, len(w.underWay)-1).Draw(t, "index"), rapid.Bool().Draw(t, "duplicate"))
			},
			"lose": func(t *rapid.T) {
				if len(w.underWay) == 0 {
					t.Skip("nothing under way")
				}
				w.underWay = w.underWay[1:]
			},
			"change": func(t *rapid.T) { w.change(anyLoad(t)) },
			"load":   func(*rapid.T) { w.change(0) },
			"restart": func(t *rapid.T) {
				// Restarts are rare, so that most runs stay under one incarnation for long.
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					w.restart()
				}
			},
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"dispatch": func(t *rapid.T) { w.dispatch(t, anyLoad(t)) },
			"finish": func(t *rapid.T) {
				if len(w.uses) == 0 {
					t.Skip("nothing in flight")
				}
				w.table.Release(w.uses[0])
				w.uses = w.uses[1:]
			},
			"": func(t *rapid.T) {
				for load := uint64(1); load <= w.nextLoad; load++ {
					if w.dispatch(t, load) {
						last := len(w.uses) - 1
						w.table.Release(w.uses[last])
						w.uses = w.uses[:last]
					}
				}
				inFlight := map[uint64]bool{}
				for _, use := range w.uses {
					inFlight[use.Load] = true
				}
				for _, load := range w.table.Sync(contact, permits.Identity{}, permits.Report{}, 0).ClosedLoads {
					if inFlight[load] {
						t.Fatalf("closing of load %d was acknowledged with a request in flight", load)
					}
				}
			},
		})
	})
}

// filledTable returns a table in which every adapter is resident on copies of the servers.
func filledTable(adapters, servers, copies int) *permits.Table {
	table := newTable(contact)
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
	table.Apply(contact, start, answer)
	return table
}

// BenchmarkDecision measures one whole decision: gather, decide, acquire and release.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ adapters, servers, copies int }{{3000, 9, 3}, {37000, 600, 3}, {37000, 600, 30}} {
		b.Run(fmt.Sprintf("adapters=%d/servers=%d/copies=%d", size.adapters, size.servers, size.copies), func(b *testing.B) {
			table := filledTable(size.adapters, size.servers, size.copies)
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
				use, ok := table.Acquire(chosen.Server, chosen.Load, start)
				if !ok {
					b.Fatal("the chosen candidate could not be acquired")
				}
				table.Release(use)
			}
		})
	}
}
