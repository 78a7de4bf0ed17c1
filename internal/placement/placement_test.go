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

func adapterVersion(i int) fleet.AdapterVersion {
	return fleet.AdapterVersion{Adapter: fmt.Sprintf("adapter-%d", i), Version: "1"}
}

// newView returns a view of the given number of servers, of which the first ones are owned and hold the given number of
// loads.
func newView(servers, owned, slots, loads int) *View {
	view := &View{}
	for i := range servers {
		name := fmt.Sprintf("server-%d", i)
		view.All = append(view.All, ServerInfo{Name: name, Zone: "z", BaseModel: "m"})
		if i >= owned {
			continue
		}
		server := Server{Name: name, Zone: "z", BaseModel: "m", Slots: slots, Free: slots - loads, Concurrency: 32}
		for j := range loads {
			server.Loads = append(server.Loads, Slot{LoadView: fleet.LoadView{
				Number: engine.LoadNumber(i*slots + j + 1), AdapterVersion: adapterVersion(10000 + i*slots + j), State: fleet.Resident,
				Evictable: true, Since: start.Add(-time.Hour),
			}})
		}
		view.Owned = append(view.Owned, server)
	}
	return view
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestChoicesAreValid guards against policies that choose a server without room, evict a load that is in use, pinned or
// not evictable, load an adapter on a server that already holds it, or depend on anything but their arguments.
func TestChoicesAreValid(t *testing.T) {
	for _, name := range []string{DefaultName, LeastLoadedName, RendezvousLRUName} {
		rapid.Check(t, func(t *rapid.T) {
			slots := rapid.IntRange(1, 4).Draw(t, "slots")
			view := newView(6, 3, slots, rapid.IntRange(0, slots).Draw(t, "loads"))
			policy, _ := New(name, DefaultOptions())
			for i := range view.Owned {
				for j := range view.Owned[i].Loads {
					slot := &view.Owned[i].Loads[j]
					slot.Pinned = rapid.Bool().Draw(t, "pinned")
					slot.Evictable = rapid.Bool().Draw(t, "evictable")
					slot.InFlight = rapid.Uint32Range(0, 1).Draw(t, "in flight")
					slot.AdapterVersion = adapterVersion(rapid.IntRange(0, 5).Draw(t, "resident"))
					policy.Observe(start, slot.AdapterVersion, 1, rapid.Uint32Range(0, 9).Draw(t, "arrived"))
				}
			}
			demand := Demand{Of: adapterVersion(rapid.IntRange(0, 5).Draw(t, "wanted")), BaseModel: "m", Waiting: 3,
				Rank: rapid.Uint32Range(0, 2).Draw(t, "rank"), OldestWait: time.Minute}
			choice := policy.Choose(start, newRandom(), view, demand)
			again := policy.Choose(start, newRandom(), view, demand)
			if again.Server != choice.Server || again.Evict != choice.Evict {
				t.Fatalf("%s: different choices for the same arguments: %+v and %+v", name, choice, again)
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
			t.Fatalf("%+v has no room for %v or already holds it", server, demand.Of)
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

// TestOneOwnerReactsAtOnce guards against two schedulers that load the same adapter at the same time.
func TestOneOwnerReactsAtOnce(t *testing.T) {
	for i := range 200 {
		all := newView(9, 9, 4, 0)
		reacting := 0
		for firstOwned := 0; firstOwned < 9; firstOwned += 3 {
			view := &View{All: all.All, Owned: all.Owned[firstOwned : firstOwned+3]}
			demand := Demand{Of: adapterVersion(i), BaseModel: "m", Waiting: 1, Rank: 1}
			choice := NewStall(DefaultOptions()).Choose(start, newRandom(), view, demand)
			if choice.Server != "" {
				reacting++
			}
		}
		if reacting != 1 {
			t.Fatalf("%d owners load %v immediately", reacting, adapterVersion(i))
		}
	}
}

// TestUrgentFirst guards against low-priority demand that evicts popular adapters or uses the slot reserved for urgent
// demand, and against urgent demand that finds no slot.
func TestUrgentFirst(t *testing.T) {
	policy := NewStall(DefaultOptions())
	view := newView(1, 1, 4, 3)
	for i := range view.Owned[0].Loads {
		policy.Observe(start, view.Owned[0].Loads[i].AdapterVersion, 1, uint32(100*(i+1)))
	}
	lowPriority := Demand{Of: adapterVersion(1), BaseModel: "m", Waiting: 1, Rank: 2, OldestWait: time.Second}
	if choice := policy.Choose(start, newRandom(), view, lowPriority); choice.Server != "" {
		t.Fatalf("low-priority demand gets %+v", choice)
	}
	urgent := lowPriority
	urgent.Rank = UrgentRank
	if choice := policy.Choose(start, newRandom(), view, urgent); choice.Server == "" || choice.Evict != 0 {
		t.Fatalf("urgent demand gets %+v", choice)
	}
	view.Owned[0].Free = 0
	if choice := policy.Choose(start, newRandom(), view, urgent); choice.Evict != view.Owned[0].Loads[0].Number {
		t.Fatalf("urgent demand evicts %+v instead of the least popular load", choice)
	}
}

// TestDemandedLoadsAreEvictedLast guards against evicting a load while requests for it are held for a batch, and
// against urgent demand that finds no slot because requests wait for all loads.
func TestDemandedLoadsAreEvictedLast(t *testing.T) {
	policy := NewStall(DefaultOptions())
	view := newView(1, 1, 2, 2)
	loads := view.Owned[0].Loads
	policy.Observe(start, loads[1].AdapterVersion, 1, 100)
	loads[0].Demanded = true
	lowPriority := Demand{Of: adapterVersion(1), BaseModel: "m", Waiting: 1, Rank: 2, OldestWait: 15 * time.Second}
	if choice := policy.Choose(start, newRandom(), view, lowPriority); choice.Evict != loads[1].Number {
		t.Fatalf("low-priority demand evicts %+v instead of the load without waiting requests", choice)
	}
	loads[1].Demanded = true
	if choice := policy.Choose(start, newRandom(), view, lowPriority); choice.Server != "" {
		t.Fatalf("low-priority demand gets %+v although requests wait for all loads", choice)
	}
	urgent := lowPriority
	urgent.Rank = UrgentRank
	if choice := policy.Choose(start, newRandom(), view, urgent); choice.Evict != loads[0].Number {
		t.Fatalf("urgent demand evicts %+v instead of the least popular load", choice)
	}
	starved := lowPriority
	starved.Waiting, starved.OldestWait = 4, time.Minute
	if choice := policy.Choose(start, newRandom(), view, starved); choice.Evict != loads[0].Number {
		t.Fatalf("demand that has waited for a long time evicts %+v", choice)
	}
}

func benchmarkChoose(b *testing.B, adapters, servers, owned, slots int, generation uint64) {
	policy := NewStall(DefaultOptions())
	view := newView(servers, owned, slots, slots)
	view.Generation = generation
	random := newRandom()
	for i := range adapters {
		policy.Observe(start, adapterVersion(i), 1, uint32(random.IntN(10)))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		policy.Choose(start, random, view, Demand{
			Of: adapterVersion(i % adapters % 1000), BaseModel: "m", Waiting: 5, Rank: 1, OldestWait: time.Second,
		})
	}
}

// The First benchmarks rank all servers for each demand; the Again benchmarks use cached ranks.
func BenchmarkChooseFirst3000x9(b *testing.B)    { benchmarkChoose(b, 3000, 9, 3, 8, 0) }
func BenchmarkChooseAgain3000x9(b *testing.B)    { benchmarkChoose(b, 3000, 9, 3, 8, 1) }
func BenchmarkChooseFirst37000x600(b *testing.B) { benchmarkChoose(b, 37000, 600, 6, 32, 0) }
func BenchmarkChooseAgain37000x600(b *testing.B) { benchmarkChoose(b, 37000, 600, 6, 32, 1) }
