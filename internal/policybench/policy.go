package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/placement"
)

// clockStart is the start time of the virtual clock.
var clockStart = time.Unix(1_000_000, 0)

const (
	baseModel = "base"
	version   = "v1"
	// slotBits is the number of bits of a load number that hold the slot's index; the server's index is in the higher
	// bits.
	slotBits = 16
)

// PlacementPolicy adapts a policy of package placement to the simulation, in which one scheduler owns all servers.
type PlacementPolicy struct {
	policy  placement.Policy
	random  *rand.Rand
	fleet   Fleet
	names   []string
	indexes map[fleet.AdapterVersion]int
	view    placement.View
}

// NewPlacementPolicy returns the named policy of package placement.
func NewPlacementPolicy(name string, options placement.Options, size Fleet, seed uint64) (*PlacementPolicy, error) {
	policy, ok := placement.New(name, options)
	if !ok {
		return nil, fmt.Errorf("unknown placement policy %q", name)
	}
	p := &PlacementPolicy{
		policy: policy, view: placement.View{Generation: 1}, random: rand.New(rand.NewPCG(seed, 0)), fleet: size, indexes: map[fleet.AdapterVersion]int{},
	}
	for i := range size.Servers {
		name := fmt.Sprintf("server-%d", i)
		p.names = append(p.names, name)
		p.view.All = append(p.view.All, placement.ServerInfo{Name: name, BaseModel: baseModel})
		p.view.Owned = append(p.view.Owned, placement.Server{
			Name: name, BaseModel: baseModel, Slots: size.Slots, Concurrency: size.Concurrency,
		})
	}
	return p, nil
}

// Name implements Policy.
func (p *PlacementPolicy) Name() string { return p.policy.Name() }

// ObserveArrival implements Policy.
func (p *PlacementPolicy) ObserveArrival(now time.Duration, adapter, class int) {
	p.policy.Observe(clockStart.Add(now), p.adapterVersion(adapter), uint32(class), 1)
}

func adapterName(adapter int) string { return fmt.Sprintf("adapter-%d", adapter) }

func (p *PlacementPolicy) adapterVersion(adapter int) fleet.AdapterVersion {
	of := fleet.AdapterVersion{Adapter: adapterName(adapter), Version: version}
	p.indexes[of] = adapter
	return of
}

// NextLoad implements Policy. Like the load queue, it serves the most urgent class first, then the oldest demand, and ages
// waiting demand. The baselines serve in the order of arrival, since class order is part of what is compared.
func (p *PlacementPolicy) NextLoad(view *View) (Choice, bool) {
	if len(view.Waiting) == 0 {
		return Choice{}, false
	}
	p.updateView(view)
	waiting := slices.Clone(view.Waiting)
	if p.policy.Name() != placement.DefaultName {
		return p.firstLoad(view, waiting)
	}
	slices.SortStableFunc(waiting, func(a, b *Waiting) int {
		if x, y := rankInQueue(view, a), rankInQueue(view, b); x != y {
			return x - y
		}
		return int(a.Oldest - b.Oldest)
	})
	return p.firstLoad(view, waiting)
}

// firstLoad returns the load for the first demand for which the policy chooses a server.
func (p *PlacementPolicy) firstLoad(view *View, waiting []*Waiting) (Choice, bool) {
	for _, w := range waiting {
		demand := placement.Demand{
			Of: p.adapterVersion(w.Adapter), BaseModel: baseModel, Rank: uint32(w.MostUrgentRank()), Waiting: uint32(w.Total()),
			OldestWait: view.Now - w.Oldest,
		}
		choice := p.policy.Choose(clockStart.Add(view.Now), p.random, &p.view, demand)
		if choice.Server != "" {
			return p.translate(view, w.Adapter, choice), true
		}
	}
	return Choice{}, false
}

// updateView copies the state of the simulation to the policy's view.
func (p *PlacementPolicy) updateView(view *View) {
	demanded := map[int]bool{}
	for _, w := range view.Waiting {
		demanded[w.Adapter] = true
	}
	for i := range view.Servers {
		server := &view.Servers[i]
		target := &p.view.Owned[i]
		target.Running = uint32(server.Running)
		target.Free = 0
		target.Loads = target.Loads[:0]
		for j := range server.Slots {
			slot := &server.Slots[j]
			if slot.Adapter < 0 {
				target.Free++
				continue
			}
			load := p.slotView(i, j, slot)
			load.Demanded = demanded[slot.Adapter]
			target.Loads = append(target.Loads, load)
		}
	}
}

func (p *PlacementPolicy) slotView(server, index int, slot *Slot) placement.Slot {
	state := fleet.Resident
	if slot.Loading {
		state = fleet.Loading
	}
	return placement.Slot{LoadView: fleet.LoadView{
		Number: engine.LoadNumber((server+1)<<slotBits | index), AdapterVersion: p.adapterVersion(slot.Adapter), State: state,
		Since: clockStart.Add(slot.StateSince), InFlight: uint32(slot.Running), Evictable: !slot.Loading && slot.Running == 0,
		Granted: !slot.Loading,
	}}
}

func (p *PlacementPolicy) translate(view *View, adapter int, choice placement.Choice) Choice {
	server := slices.Index(p.names, choice.Server)
	if choice.Evict != 0 {
		return Choice{Adapter: adapter, Server: server, Slot: int(choice.Evict) & (1<<slotBits - 1)}
	}
	empty := func(slot Slot) bool { return slot.Adapter < 0 }
	return Choice{Adapter: adapter, Server: server, Slot: slices.IndexFunc(view.Servers[server].Slots, empty)}
}

// Route implements Policy. It selects the server with the fewest running requests.
func (p *PlacementPolicy) Route(view *View, _ int, candidates []int) int {
	return slices.MinFunc(candidates, func(a, b int) int { return view.Servers[a].Running - view.Servers[b].Running })
}

// The load queue ranks a request as agedRank after agedRecords further records in the stream. With a busy weight store
// that takes about agingTime.
const (
	agingTime = 20 * time.Second
	agedRank  = 1
)

// rankInQueue returns the effective rank of the demand, including aging.
func rankInQueue(view *View, w *Waiting) int {
	if rank := w.MostUrgentRank(); rank <= agedRank || view.Now-w.Oldest < agingTime {
		return rank
	}
	return agedRank
}
