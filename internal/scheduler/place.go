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
	// placementInterval is the minimum interval between placement passes.
	placementInterval = 20 * time.Millisecond
	// maximumDemandsPerPass limits the demands evaluated in one pass. The weight store allows about 3 loads per second.
	maximumDemandsPerPass = 64
	// maximumRefusals limits the refusals stored to avoid recording the same one again.
	maximumRefusals = 10000
	// minimumCheckInterval is the interval between checks for missing declared copies.
	minimumCheckInterval = time.Second
	// remoteLoadTTL is how long a load on another scheduler's server is assumed to remain there.
	remoteLoadTTL = 30 * time.Second
)

// configIndex holds the configuration indexed for placement.
type configIndex struct {
	view             *resource.View
	zoneServers      []string
	acceptingServers []placement.ServerInfo
	placements       map[string]*resource.Placement
	// minimumCopies lists the declared copies by server.
	minimumCopies map[string][]fleet.AdapterVersion
}

func indexConfig(view *resource.View, zone string) configIndex {
	index := configIndex{
		view: view, placements: map[string]*resource.Placement{}, minimumCopies: map[string][]fleet.AdapterVersion{},
	}
	for name, server := range view.BackendServers {
		if server.Spec.Zone == zone {
			index.zoneServers = append(index.zoneServers, name)
		}
		if !server.Spec.Drain {
			info := placement.ServerInfo{Name: name, Zone: server.Spec.Zone, BaseModel: server.Spec.BaseModel}
			index.acceptingServers = append(index.acceptingServers, info)
		}
	}
	slices.Sort(index.zoneServers)
	slices.SortFunc(index.acceptingServers, func(a, b placement.ServerInfo) int { return cmp.Compare(a.Name, b.Name) })
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

// addPlacement assigns the declared minimum copies to the first servers of the rendezvous order.
func (x *configIndex) addPlacement(p *resource.Placement) {
	x.placements[p.Spec.Adapter] = p
	adapter := x.view.Adapters[p.Spec.Adapter]
	if adapter == nil || p.Spec.MinimumCopies == 0 {
		return
	}
	version := fleet.AdapterVersion{Adapter: p.Spec.Adapter, Version: adapter.Spec.DefaultVersion}
	var eligible []placement.ServerInfo
	for _, info := range x.acceptingServers {
		if info.BaseModel == adapter.Spec.BaseModel &&
			(len(p.Spec.Zones) == 0 || slices.Contains(p.Spec.Zones, info.Zone)) {
			eligible = append(eligible, info)
		}
	}
	slices.SortFunc(eligible, func(a, b placement.ServerInfo) int {
		return cmp.Compare(placement.Score(version, b.Name), placement.Score(version, a.Name))
	})
	for _, info := range eligible[:min(p.Spec.MinimumCopies, len(eligible))] {
		x.minimumCopies[info.Name] = append(x.minimumCopies[info.Name], version)
	}
}

// resolve sets the base model and the zones of a demand according to the configuration. It returns the path of the
// weights, or false if the adapter version isn't declared.
func (x *configIndex) resolve(d *placement.Demand) (string, bool) {
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

// remoteLoads holds the adapter versions recently loaded by other schedulers.
type remoteLoads struct {
	lastSeen map[fleet.AdapterVersion]time.Time
}

func newRemoteLoads() remoteLoads { return remoteLoads{lastSeen: map[fleet.AdapterVersion]time.Time{}} }

func (r *remoteLoads) record(now time.Time, version fleet.AdapterVersion) { r.lastSeen[version] = now }

// contains reports whether the adapter version was recorded within remoteLoadTTL.
func (r *remoteLoads) contains(now time.Time, version fleet.AdapterVersion) bool {
	at, ok := r.lastSeen[version]
	if ok && now.Sub(at) > remoteLoadTTL {
		delete(r.lastSeen, version)
		return false
	}
	return ok
}

// place runs a placement pass over the waiting demand.
func (c *core) place(now time.Time) {
	if c.config.view == nil || c.draining || len(c.servers) == 0 {
		return
	}
	pending := c.pendingVersions(now)
	demands := c.collectDemand(now)
	if len(demands) == 0 {
		clear(c.refusals)
	}
	demanded := map[fleet.AdapterVersion]bool{}
	for i := range demands {
		demanded[demands[i].Of] = true
	}
	view := c.placementView(now, demanded)
	for i := range demands[:min(len(demands), maximumDemandsPerPass)] {
		if pending[demands[i].Of] {
			continue
		}
		if c.placeDemand(now, view, demands[i]) {
			view = c.placementView(now, demanded)
		}
	}
	if now.Sub(c.lastMinimumCheck) >= minimumCheckInterval {
		c.lastMinimumCheck = now
		c.placeMinimumCopies(now, view, pending)
	}
}

// pendingVersions returns the adapter versions with a pending load on any scheduler's server. It also updates the last
// demand of this scheduler's pending loads.
func (c *core) pendingVersions(now time.Time) map[fleet.AdapterVersion]bool {
	pending := map[fleet.AdapterVersion]bool{}
	for _, p := range c.scheduler.options.Queue.Pending() {
		version := fleet.AdapterVersion{Adapter: p.Request.Adapter, Version: p.Request.Version}
		pending[version] = true
		if c.servers[p.Request.Server] == nil {
			c.remoteLoads.record(now, version)
		}
	}
	for _, owned := range c.servers {
		for _, load := range owned.pendingLoads {
			pending[load.version] = true
			if c.hasDemand(load.version) {
				load.lastDemand = now
			}
		}
	}
	return pending
}

// hasDemand reports whether any gateway has requests waiting for the adapter version.
func (c *core) hasDemand(version fleet.AdapterVersion) bool {
	for _, gateway := range c.demand {
		for _, d := range gateway.entries {
			if d.Waiting > 0 && d.Adapter == version.Adapter && d.Version == version.Version {
				return true
			}
		}
	}
	return false
}

// placeDemand decides on one demand and reports whether a load was added.
func (c *core) placeDemand(now time.Time, view *placement.View, demand placement.Demand) bool {
	path, ok := c.config.resolve(&demand)
	if !ok {
		c.recordRefusal(now, demand.Of, placement.Choice{Reason: "not declared"})
		return false
	}
	demand.LoadedElsewhere = c.remoteLoads.contains(now, demand.Of)
	choice := c.policy.Choose(now, c.random, view, demand)
	if choice.Deferred {
		return false
	}
	if choice.Server == "" {
		c.recordRefusal(now, demand.Of, choice)
		return false
	}
	return c.startPlacement(now, demand, choice, path)
}

// startPlacement starts the eviction of a choice, if any, and adds its load. It reports whether the load was added.
func (c *core) startPlacement(now time.Time, demand placement.Demand, choice placement.Choice, path string) bool {
	owned := c.servers[choice.Server]
	if choice.Evict != 0 {
		if err := owned.server.Close(now, choice.Evict); err != nil {
			choice.Reason += ": " + err.Error()
			c.recordRefusal(now, demand.Of, choice)
			return false
		}
	}
	delete(c.refusals, demand.Of)
	c.recordDecision(now, demand.Of, choice)
	c.addPendingLoad(now, owned, demand.Of, demand.Rank, path, demand.Minimum)
	return true
}

// recordRefusal records that a demand isn't placed, unless the last refusal had the same reason.
func (c *core) recordRefusal(now time.Time, version fleet.AdapterVersion, choice placement.Choice) {
	if c.refusals[version] == choice.Reason {
		return
	}
	if len(c.refusals) >= maximumRefusals {
		clear(c.refusals)
	}
	c.refusals[version] = choice.Reason
	choice.Server = ""
	c.recordDecision(now, version, choice)
}

// recordDecision records a placement decision for /debug/decisions.
func (c *core) recordDecision(now time.Time, version fleet.AdapterVersion, choice placement.Choice) {
	c.scheduler.decisions.Record(decision.Decision{
		Time: now, Subject: version.String(), Adapter: version.Adapter, Candidates: choice.Candidates,
		Choice: choice.Server, Reason: choice.Reason,
	})
}

// placementView returns the view of the owned servers that accept loads. The adapter versions in demanded are those
// that requests wait for.
func (c *core) placementView(now time.Time, demanded map[fleet.AdapterVersion]bool) *placement.View {
	view := &placement.View{All: c.config.acceptingServers}
	for _, name := range c.serverNames {
		owned := c.servers[name]
		if owned.server.Leaving() || !owned.server.Ready() || !c.config.declared(name) {
			continue
		}
		view.Owned = append(view.Owned, c.placementServer(now, owned, demanded))
	}
	view.Generation = c.viewGeneration(view)
	return view
}

// viewIdentity identifies the set of servers in a placement view.
type viewIdentity struct {
	config     *resource.View
	owned      []string
	generation uint64
}

// viewGeneration returns the generation of the view. It increases when the servers differ from those of the last view.
func (c *core) viewGeneration(view *placement.View) uint64 {
	names := make([]string, len(view.Owned))
	for i := range view.Owned {
		names[i] = view.Owned[i].Name
	}
	if c.lastView.config != c.config.view || !slices.Equal(names, c.lastView.owned) {
		c.lastView = viewIdentity{config: c.config.view, owned: names, generation: c.lastView.generation + 1}
	}
	return c.lastView.generation
}

func (x *configIndex) declared(name string) bool { return x.view.BackendServers[name] != nil }

// placementServer returns an owned server as an input of placement, with its pending loads counted as loading.
func (c *core) placementServer(
	now time.Time, owned *ownedServer, demanded map[fleet.AdapterVersion]bool,
) placement.Server {
	spec := owned.server.Spec()
	server := placement.Server{
		Name: owned.name, Zone: spec.Zone, BaseModel: spec.BaseModel, Slots: spec.Slots,
		Free: owned.server.FreeSlots(), Concurrency: spec.Concurrency,
	}
	for _, l := range owned.server.Loads(now) {
		server.Running += l.InFlight
		if l.State == fleet.Closing {
			server.Free++ // The slot will be free soon; pending loads are subtracted below.
		}
		pinned := slices.Contains(c.config.minimumCopies[owned.name], l.AdapterVersion)
		server.Loads = append(server.Loads, placement.Slot{LoadView: l, Pinned: pinned, Demanded: demanded[l.AdapterVersion]})
	}
	for _, load := range owned.pendingLoads {
		if load.ordered {
			continue
		}
		server.Free--
		server.Loads = append(server.Loads, placement.Slot{LoadView: fleet.LoadView{AdapterVersion: load.version, State: fleet.Loading}})
	}
	server.Free = max(server.Free, 0)
	return server
}

// placeMinimumCopies adds loads of declared copies that are missing on owned servers.
func (c *core) placeMinimumCopies(now time.Time, view *placement.View, pending map[fleet.AdapterVersion]bool) {
	for i := range view.Owned {
		server := view.Owned[i]
		for _, version := range c.config.minimumCopies[server.Name] {
			if pending[version] || c.servers[server.Name].server.Has(version) {
				continue
			}
			only := &placement.View{
				Owned: view.Owned[i : i+1],
				All:   []placement.ServerInfo{{Name: server.Name, Zone: server.Zone, BaseModel: server.BaseModel}},
			}
			if c.placeDemand(now, only, placement.Demand{Of: version, Rank: loadqueue.PrefetchClass, Minimum: true}) {
				break // The view of this server is outdated; the next pass continues.
			}
		}
	}
}
