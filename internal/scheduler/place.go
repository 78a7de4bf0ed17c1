package scheduler

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

const (
	// placeEvery is the least time between two placement passes.
	placeEvery = 20 * time.Millisecond
	// placeLimit bounds the demands looked at in one pass. The weight store runs about 3 loads a second.
	placeLimit = 64
	// maximumRefusals bounds the memory of refusals that were recorded already.
	maximumRefusals = 10000
	// minimumEvery is the time between two looks for missing declared copies.
	minimumEvery = time.Second
	// elsewhereLife is how long a load on another scheduler's server is assumed to stay there.
	elsewhereLife = 30 * time.Second
)

// configIndex is the configuration in the form that placement needs.
type configIndex struct {
	view        *resource.View
	zoneServers []string
	known       []placement.Known
	placements  map[string]*resource.Placement
	// minimum lists the declared copies by server.
	minimum map[string][]fleet.AdapterVersion
}

func indexConfig(view *resource.View, zone string) configIndex {
	index := configIndex{view: view, placements: map[string]*resource.Placement{}, minimum: map[string][]fleet.AdapterVersion{}}
	for name, server := range view.BackendServers {
		if server.Spec.Zone == zone {
			index.zoneServers = append(index.zoneServers, name)
		}
		if !server.Spec.Drain {
			index.known = append(index.known, placement.Known{Name: name, Zone: server.Spec.Zone, BaseModel: server.Spec.BaseModel})
		}
	}
	slices.Sort(index.zoneServers)
	slices.SortFunc(index.known, func(a, b placement.Known) int { return cmp.Compare(a.Name, b.Name) })
	names := make([]string, 0, len(view.Placements))
	for name := range view.Placements {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		index.addPlacement(view.Placements[name])
	}
	return index
}

// addPlacement spreads the declared copies over the first servers of the rendezvous order.
func (x *configIndex) addPlacement(p *resource.Placement) {
	x.placements[p.Spec.Adapter] = p
	adapter := x.view.Adapters[p.Spec.Adapter]
	if adapter == nil || p.Spec.MinimumCopies == 0 {
		return
	}
	of := fleet.AdapterVersion{Adapter: p.Spec.Adapter, Version: adapter.Spec.DefaultVersion}
	var eligible []placement.Known
	for _, known := range x.known {
		if known.BaseModel == adapter.Spec.BaseModel && (len(p.Spec.Zones) == 0 || slices.Contains(p.Spec.Zones, known.Zone)) {
			eligible = append(eligible, known)
		}
	}
	slices.SortFunc(eligible, func(a, b placement.Known) int {
		return cmp.Compare(placement.Score(of, b.Name), placement.Score(of, a.Name))
	})
	for _, known := range eligible[:min(p.Spec.MinimumCopies, len(eligible))] {
		x.minimum[known.Name] = append(x.minimum[known.Name], of)
	}
}

// complete fills in what the configuration says of a demand. It returns the path of the weights, or false when the
// adapter version isn't declared.
func (x *configIndex) complete(d *placement.Demand) (string, bool) {
	adapter := x.view.Adapters[d.Of.Adapter]
	if adapter == nil {
		return "", false
	}
	version, ok := adapter.Version(d.Of.Version)
	if !ok || version.Name != d.Of.Version {
		return "", false
	}
	d.BaseModel = adapter.Spec.BaseModel
	if p := x.placements[d.Of.Adapter]; p != nil {
		d.Zones = p.Spec.Zones
	}
	return version.Path, true
}

// elsewhere remembers adapter versions that other schedulers have loaded lately.
type elsewhere struct {
	seen map[fleet.AdapterVersion]time.Time
}

func newElsewhere() elsewhere { return elsewhere{seen: map[fleet.AdapterVersion]time.Time{}} }

func (e *elsewhere) note(now time.Time, of fleet.AdapterVersion) { e.seen[of] = now }

func (e *elsewhere) has(now time.Time, of fleet.AdapterVersion) bool {
	at, ok := e.seen[of]
	if ok && now.Sub(at) > elsewhereLife {
		delete(e.seen, of)
		return false
	}
	return ok
}

// place decides on the demand that waits.
func (c *core) place(now time.Time) {
	if c.config.view == nil || c.draining || len(c.servers) == 0 {
		return
	}
	pending := c.pendingLoads(now)
	demands := c.collectDemand(now)
	if len(demands) == 0 {
		clear(c.refusals)
	}
	demanded := map[fleet.AdapterVersion]bool{}
	for i := range demands {
		demanded[demands[i].Of] = true
	}
	view := c.placementView(now, demanded)
	for i := range demands[:min(len(demands), placeLimit)] {
		if pending[demands[i].Of] {
			continue
		}
		if c.placeOne(now, view, demands[i]) {
			view = c.placementView(now, demanded)
		}
	}
	if now.Sub(c.lastMinimum) >= minimumEvery {
		c.lastMinimum = now
		c.placeMinimum(now, view, pending)
	}
}

// pendingLoads returns the adapter versions that wait for a load on any scheduler's server, and keeps own loads
// wanted while their demand lasts.
func (c *core) pendingLoads(now time.Time) map[fleet.AdapterVersion]bool {
	pending := map[fleet.AdapterVersion]bool{}
	for _, p := range c.scheduler.options.Queue.Pending() {
		of := fleet.AdapterVersion{Adapter: p.Request.Adapter, Version: p.Request.Version}
		pending[of] = true
		if c.servers[p.Request.Server] == nil {
			c.elsewhere.note(now, of)
		}
	}
	for _, owned := range c.servers {
		for _, w := range owned.waiting {
			pending[w.of] = true
			if c.demanded(w.of) {
				w.wanted = now
			}
		}
	}
	return pending
}

func (c *core) demanded(of fleet.AdapterVersion) bool {
	for _, gateway := range c.demand {
		for _, d := range gateway.wants {
			if d.Waiting > 0 && d.Adapter == of.Adapter && d.Version == of.Version {
				return true
			}
		}
	}
	return false
}

// placeOne decides on one demand and reports whether something was begun.
func (c *core) placeOne(now time.Time, view *placement.View, demand placement.Demand) bool {
	path, ok := c.config.complete(&demand)
	if !ok {
		c.recordRefusal(now, demand.Of, placement.Choice{Reason: "not declared"})
		return false
	}
	demand.Elsewhere = c.elsewhere.has(now, demand.Of)
	choice := c.policy.Choose(now, c.random, view, demand)
	if choice.Deferred {
		return false
	}
	if choice.Server == "" {
		c.recordRefusal(now, demand.Of, choice)
		return false
	}
	return c.carryOut(now, demand, choice, path)
}

func (c *core) carryOut(now time.Time, demand placement.Demand, choice placement.Choice, path string) bool {
	owned := c.servers[choice.Server]
	if choice.Evict != 0 {
		if err := owned.server.Close(now, choice.Evict); err != nil {
			choice.Reason += ": " + err.Error()
			c.recordRefusal(now, demand.Of, choice)
			return false
		}
	}
	delete(c.refusals, demand.Of)
	c.record(now, demand.Of, choice)
	c.want(now, owned, demand.Of, demand.Rank, path, demand.Minimum)
	return true
}

// recordRefusal records that a demand isn't placed, once for each reason.
func (c *core) recordRefusal(now time.Time, of fleet.AdapterVersion, choice placement.Choice) {
	if c.refusals[of] == choice.Reason {
		return
	}
	if len(c.refusals) >= maximumRefusals {
		clear(c.refusals)
	}
	c.refusals[of] = choice.Reason
	choice.Server = ""
	c.record(now, of, choice)
}

func (c *core) record(now time.Time, of fleet.AdapterVersion, choice placement.Choice) {
	c.scheduler.decisions.Record(decision.Decision{
		Time: now, Subject: of.String(), Adapter: of.Adapter, Candidates: choice.Candidates,
		Choice: choice.Server, Reason: choice.Reason,
	})
}

// placementView returns the owned servers that take loads. Demanded holds the adapter versions that requests wait for.
func (c *core) placementView(now time.Time, demanded map[fleet.AdapterVersion]bool) *placement.View {
	view := &placement.View{All: c.config.known}
	for _, name := range c.serverNames {
		owned := c.servers[name]
		if owned.server.Leaving() || !owned.server.Ready() || !c.config.declared(name) {
			continue
		}
		view.Owned = append(view.Owned, c.placementServer(now, owned, demanded))
	}
	view.Generation = c.generation(view)
	return view
}

// viewKey tells whether the servers in a placement view are the same as in the last.
type viewKey struct {
	config     *resource.View
	owned      []string
	generation uint64
}

// generation grows when the servers of the view differ from those of the last.
func (c *core) generation(view *placement.View) uint64 {
	names := make([]string, len(view.Owned))
	for i := range view.Owned {
		names[i] = view.Owned[i].Name
	}
	if c.viewOf.config != c.config.view || !slices.Equal(names, c.viewOf.owned) {
		c.viewOf = viewKey{config: c.config.view, owned: names, generation: c.viewOf.generation + 1}
	}
	return c.viewOf.generation
}

func (x *configIndex) declared(name string) bool { return x.view.BackendServers[name] != nil }

func (c *core) placementServer(now time.Time, owned *ownedServer, demanded map[fleet.AdapterVersion]bool) placement.Server {
	spec := owned.server.Spec()
	server := placement.Server{
		Name: owned.name, Zone: spec.Zone, BaseModel: spec.BaseModel, Slots: spec.Slots,
		Free: owned.server.FreeSlots(), Concurrency: spec.Concurrency,
	}
	for _, l := range owned.server.Loads(now) {
		server.Running += l.InFlight
		if l.State == fleet.Closing {
			server.Free++ // The slot is about to be free; loads that wait for it are taken off below.
		}
		pinned := slices.Contains(c.config.minimum[owned.name], l.Of)
		server.Loads = append(server.Loads, placement.Slot{LoadView: l, Pinned: pinned, Demanded: demanded[l.Of]})
	}
	for _, w := range owned.waiting {
		if w.ordered {
			continue
		}
		server.Free--
		server.Loads = append(server.Loads, placement.Slot{LoadView: fleet.LoadView{Of: w.of, State: fleet.Loading}})
	}
	server.Free = max(server.Free, 0)
	return server
}

// placeMinimum begins loads of declared copies that are missing on owned servers.
func (c *core) placeMinimum(now time.Time, view *placement.View, pending map[fleet.AdapterVersion]bool) {
	for i := range view.Owned {
		server := view.Owned[i]
		for _, of := range c.config.minimum[server.Name] {
			if pending[of] || c.servers[server.Name].server.Has(of) {
				continue
			}
			only := &placement.View{Owned: view.Owned[i : i+1], All: []placement.Known{{Name: server.Name, Zone: server.Zone, BaseModel: server.BaseModel}}}
			if c.placeOne(now, only, placement.Demand{Of: of, Rank: loadqueue.PrefetchClass, Minimum: true}) {
				break // The view is out of date for this server; the next pass goes on.
			}
		}
	}
}
