package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
)

var start = time.Unix(1000, 0)

func of(i int) fleet.AdapterVersion {
	return fleet.AdapterVersion{Adapter: fmt.Sprintf("adapter-%d", i), Version: "1"}
}

// site returns a view of servers, the first of which are owned and hold the given number of loads.
func site(servers, owned, slots, loads int) *View {
	view := &View{}
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		view.All = append(view.All, Known{Name: name, Zone: "z", BaseModel: "m"})
		if i >= owned {
			continue
		}
		server := Server{Name: name, Zone: "z", BaseModel: "m", Slots: slots, Free: slots - loads, Concurrency: 32}
		for j := range loads {
			server.Loads = append(server.Loads, Slot{LoadView: fleet.LoadView{
				Number: engine.LoadNumber(i*slots + j + 1), Of: of(10000 + i*slots + j), State: fleet.Resident,
				Evictable: true, Since: start.Add(-time.Hour),
			}})
		}
		view.Owned = append(view.Owned, server)
	}
	return view
}

func source() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Guards against a policy that chooses a server that can't take the load, evicts a load in use, pinned or not
// evictable, puts an adapter on a server that holds it, or depends on anything but its arguments.
func TestChoicesAreValid(t *testing.T) {
	for _, name := range []string{DefaultName, LeastLoadedName, RendezvousLRUName} {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 4).Draw(t, "slots")
			view := site(6, 3, slots, rapid.IntRange(0, slots).Draw(t, "loads"))
			policy, _ := New(name, DefaultOptions())
			for i := range view.Owned {
				for j := range view.Owned[i].Loads {
					slot := &view.Owned[i].Loads[j]
					slot.Pinned = rapid.Bool().Draw(t, "pinned")
					slot.Evictable = rapid.Bool().Draw(t, "evictable")
					slot.InFlight = rapid.Uint32Range(0, 1).Draw(t, "in flight")
					slot.Of = of(rapid.IntRange(0, 5).Draw(t, "resident"))
					policy.Observe(start, slot.Of, 1, rapid.Uint32Range(0, 9).Draw(t, "arrived"))
				}
			}
			demand := Demand{Of: of(rapid.IntRange(0, 5).Draw(t, "wanted")), BaseModel: "m", Waiting: 3,
				Rank: rapid.Uint32Range(0, 2).Draw(t, "rank"), OldestWait: time.Minute}
			choice := policy.Choose(start, source(), view, demand)
			if again := policy.Choose(start, source(), view, demand); again.Server != choice.Server || again.Evict != choice.Evict {
				t.Fatalf("%s: two answers to the same question: %+v and %+v", name, choice, again)
			}
			checkChoice(t, view, demand, choice)
		})
	}
}

func checkChoice(t *rapid.T, view *View, demand Demand, choice Choice) {
	for i := range view.Owned {
		server := &view.Owned[i]
		if server.Name != choice.Server {
			continue
		}
		if server.holds(demand.Of) != nil || (choice.Evict == 0 && server.Free == 0) {
			t.Fatalf("%+v can't take %v", server, demand.Of)
		}
		for _, slot := range server.Loads {
			if slot.Number == choice.Evict && (slot.Pinned || !slot.Evictable || slot.InFlight > 0) {
				t.Fatalf("evicts %+v", slot)
			}
		}
		return
	}
	if choice.Server != "" {
		t.Fatalf("chose %s, which isn't owned", choice.Server)
	}
}

// Guards against two schedulers that both load the same adapter at once.
func TestOneOwnerReactsAtOnce(t *testing.T) {
	for i := range 200 {
		all := site(9, 9, 4, 0)
		choosers := 0
		for first := 0; first < 9; first += 3 {
			view := &View{All: all.All, Owned: all.Owned[first : first+3]}
			choice := NewStall(DefaultOptions()).Choose(start, source(), view, Demand{Of: of(i), BaseModel: "m", Waiting: 1, Rank: 1})
			if choice.Server != "" {
				choosers++
			}
		}
		if choosers != 1 {
			t.Fatalf("%d owners load %v at once", choosers, of(i))
		}
	}
}

// Guards against drafts that evict popular adapters or take the slot kept for urgent demand, and against urgent
// demand that finds no slot.
func TestUrgentFirst(t *testing.T) {
	policy := NewStall(DefaultOptions())
	view := site(1, 1, 4, 3)
	for i := range view.Owned[0].Loads {
		policy.Observe(start, view.Owned[0].Loads[i].Of, 1, uint32(100*(i+1)))
	}
	draft := Demand{Of: of(1), BaseModel: "m", Waiting: 1, Rank: 2, OldestWait: time.Second}
	if choice := policy.Choose(start, source(), view, draft); choice.Server != "" {
		t.Fatalf("a draft gets %+v", choice)
	}
	urgent := draft
	urgent.Rank = UrgentRank
	if choice := policy.Choose(start, source(), view, urgent); choice.Server == "" || choice.Evict != 0 {
		t.Fatalf("urgent demand gets %+v", choice)
	}
	view.Owned[0].Free = 0
	if choice := policy.Choose(start, source(), view, urgent); choice.Evict != view.Owned[0].Loads[0].Number {
		t.Fatalf("urgent demand evicts %+v, not the least popular load", choice)
	}
}

// Guards against a load that is evicted while requests for it are held for a batch, and against urgent demand that finds
// no slot because requests wait for all loads.
func TestDemandedLoadsAreEvictedLast(t *testing.T) {
	policy := NewStall(DefaultOptions())
	view := site(1, 1, 2, 2)
	loads := view.Owned[0].Loads
	policy.Observe(start, loads[1].Of, 1, 100)
	loads[0].Demanded = true
	draft := Demand{Of: of(1), BaseModel: "m", Waiting: 1, Rank: 2, OldestWait: 15 * time.Second}
	if choice := policy.Choose(start, source(), view, draft); choice.Evict != loads[1].Number {
		t.Fatalf("a draft evicts %+v, not the load without waiting requests", choice)
	}
	loads[1].Demanded = true
	if choice := policy.Choose(start, source(), view, draft); choice.Server != "" {
		t.Fatalf("a draft gets %+v while requests wait for all loads", choice)
	}
	urgent := draft
	urgent.Rank = UrgentRank
	if choice := policy.Choose(start, source(), view, urgent); choice.Evict != loads[0].Number {
		t.Fatalf("urgent demand evicts %+v, not the least popular load", choice)
	}
	starved := draft
	starved.Waiting, starved.OldestWait = 4, time.Minute
	if choice := policy.Choose(start, source(), view, starved); choice.Evict != loads[0].Number {
		t.Fatalf("demand that has waited for long evicts %+v", choice)
	}
}

func benchmarkChoose(b *testing.B, adapters, servers, owned, slots int, generation uint64) {
	policy := NewStall(DefaultOptions())
	view := site(servers, owned, slots, slots)
	view.Generation = generation
	random := source()
	for i := range adapters {
		policy.Observe(start, of(i), 1, uint32(random.IntN(10)))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		policy.Choose(start, random, view, Demand{Of: of(i % adapters % 1000), BaseModel: "m", Waiting: 5, Rank: 1, OldestWait: time.Second})
	}
}

// The first look at a demand ranks all servers; later looks use the remembered ranks.
func BenchmarkChooseFirst3000x9(b *testing.B)    { benchmarkChoose(b, 3000, 9, 3, 8, 0) }
func BenchmarkChooseAgain3000x9(b *testing.B)    { benchmarkChoose(b, 3000, 9, 3, 8, 1) }
func BenchmarkChooseFirst37000x600(b *testing.B) { benchmarkChoose(b, 37000, 600, 6, 32, 0) }
func BenchmarkChooseAgain37000x600(b *testing.B) { benchmarkChoose(b, 37000, 600, 6, 32, 1) }
