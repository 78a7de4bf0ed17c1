package scheduler

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

var (
	ownedGauge     = metrics.GetOrRegisterGauge("scheduler.owned", nil)
	violationCount = metrics.GetOrRegisterCounter("fleet.eviction_violations", nil)
)

// core holds the aggregates and is used by one goroutine only.
type core struct {
	ctx       context.Context
	scheduler *Scheduler
	group     *errgroup.Group
	events    *event.Log
	random    *rand.Rand
	now       func() time.Time

	own         *ownership.Core
	servers     map[string]*ownedServer
	serverNames []string
	superseded  map[string]engine.FencingNumber
	asked       map[supersedeKey]time.Time
	vms         []platform.VM

	version     fleet.Version
	lastVersion uint64
	changed     chan struct{}
	processes   processes

	policy    placement.Policy
	demand    map[string]gatewayDemand
	config    configIndex
	viewOf    viewKey
	elsewhere elsewhere
	refusals  map[fleet.AdapterVersion]string

	// serversDirty and placeSoon ask for a step of the servers or the placement after the present message.
	serversDirty bool
	placeSoon    bool
	lastPlaced   time.Time
	lastMinimum  time.Time
	draining     bool
	releasing    bool
	lastRelease  time.Time
	surplusSince time.Time
	gaveUp       map[string]time.Time
	// running holds the nodes that have a scheduler, as of the node table's runningVersion.
	running        map[string]bool
	runningVersion uint64
}

func newCore(ctx context.Context, s *Scheduler, group *errgroup.Group) *core {
	policy, _ := placement.New(s.options.Settings.Policy, s.options.Settings.placementOptions())
	return &core{
		ctx: ctx, scheduler: s, group: group, events: s.options.Events, now: time.Now,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		own:    ownership.New(ownership.DefaultConfig(s.self)), servers: map[string]*ownedServer{},
		superseded: map[string]engine.FencingNumber{}, asked: map[supersedeKey]time.Time{},
		changed: make(chan struct{}), processes: processes{sequences: map[fleet.GatewayID]*lastSync{}},
		policy: policy, demand: map[string]gatewayDemand{}, elsewhere: newElsewhere(),
		refusals: map[fleet.AdapterVersion]string{}, gaveUp: map[string]time.Time{},
	}
}

// run handles messages, changes of the configuration and the ticks until ctx ends.
func (c *core) run(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		configChanged := c.scheduler.options.Config.Changed()
		c.takeConfig(c.scheduler.options.Config.View())
		select {
		case <-ctx.Done():
			return nil
		case message := <-c.scheduler.inbox.Items():
			message.apply(c)
		case <-configChanged:
		case <-ticker.C:
			c.tick(c.now())
		}
		c.after(c.now())
	}
}

// tick lets time pass for the aggregates.
func (c *core) tick(now time.Time) {
	c.own.SetSchedulers(c.liveSchedulers())
	records, events := c.own.Tick(now)
	c.append(now, records)
	c.takeEvents(now, events)
	c.askFormerOwners(now)
	c.releaseUndeclared()
	c.releaseSurplus(now)
	c.appendReleases(now)
	c.serversDirty = true
	c.placeSoon = true
}

// after does what the last message made necessary, and wakes held syncs.
func (c *core) after(now time.Time) {
	if c.serversDirty {
		c.serversDirty = false
		c.stepServers(now)
	}
	if c.placeSoon && now.Sub(c.lastPlaced) >= placeEvery {
		c.placeSoon = false
		c.lastPlaced = now
		c.place(now)
	}
	if current := c.version.Current(); current != c.lastVersion {
		c.lastVersion = current
		close(c.changed)
		c.changed = make(chan struct{})
	}
}

// takeConfig takes a changed view.
func (c *core) takeConfig(view *resource.View) {
	if view == nil || c.config.view == view {
		return
	}
	c.config = indexConfig(view, c.scheduler.options.Settings.Node.Zone)
	c.own.SetServers(c.config.zoneServers)
	for name, owned := range c.servers {
		if declared := view.BackendServers[name]; declared != nil {
			c.redeclare(owned, declared)
		}
	}
	c.setVMLeaving()
	if c.scheduler.options.Applied != nil {
		c.scheduler.options.Applied(uint64(view.Applied))
	}
}

// redeclare takes a changed declaration of an owned server. A new address means another engine, so the aggregate
// and its duties start afresh.
func (c *core) redeclare(owned *ownedServer, declared *resource.BackendServer) {
	if declared.Spec.Address == owned.server.Spec().Address {
		owned.server.SetSpec(specOf(declared))
		return
	}
	c.gain(c.now(), ownership.Event{Kind: ownership.Gained, Server: owned.name, Fence: owned.server.Fence()})
}

// drain stops claims, new loads and new evictions, and reports whether those under way have ended.
func (c *core) drain() bool {
	if !c.draining {
		c.draining = true
		c.own.StopClaims()
		for _, owned := range c.servers {
			owned.cancelWaiting()
		}
	}
	for _, owned := range c.servers {
		if c.working(c.now(), owned) {
			return false
		}
	}
	return true
}

// release stops all grants and releases the servers. It reports whether the releases were read back.
func (c *core) release() bool {
	now := c.now()
	c.releasing = true
	for _, owned := range c.servers {
		owned.server.Supersede()
	}
	if now.Sub(c.lastRelease) >= releaseRetry {
		c.lastRelease = now
		c.append(now, c.own.ReleaseAll())
	}
	return len(c.own.Owned()) == 0
}

// releaseUndeclared gives up owned servers that are no longer declared in the zone.
func (c *core) releaseUndeclared() {
	if c.config.view == nil {
		return
	}
	for name, owned := range c.servers {
		if _, found := slices.BinarySearch(c.config.zoneServers, name); !found {
			owned.giveUp()
		}
	}
}

// releaseSurplus gives up one idle server of more than this scheduler's share, once in a while. Gateways keep their
// permits until the successor's replace them. A server that came back isn't given up again for some time: the
// scheduler that was to have it may be cut off.
func (c *core) releaseSurplus(now time.Time) {
	surplus := c.own.Surplus()
	if len(surplus) == 0 || c.draining {
		c.surplusSince = time.Time{}
		return
	}
	if c.surplusSince.IsZero() {
		c.surplusSince = now
	}
	if now.Sub(c.surplusSince) < surplusEvery {
		return
	}
	for _, name := range surplus {
		owned := c.servers[name]
		if owned == nil || now.Sub(c.gaveUp[name]) < giveUpAgain || owned.server.Busy() || c.working(now, owned) {
			continue
		}
		if owned.server.LeaseValid(now) { // Else the log is down and nobody could take over.
			c.surplusSince, c.gaveUp[name] = now, now
			owned.giveUp()
			return
		}
	}
}

// working reports whether an order, a load's turn or an eviction of a server is under way.
func (c *core) working(now time.Time, owned *ownedServer) bool {
	status, ok := c.own.Status(now, owned.name)
	openIntent := ok && status.Intent != "" && owned.server.LeaseValid(now)
	return openIntent || owned.working(now)
}

// appendReleases appends the releases of servers that were given up, until they are read back.
func (c *core) appendReleases(now time.Time) {
	if c.releasing || now.Sub(c.lastRelease) < releaseRetry {
		return
	}
	for _, name := range c.serverNames {
		if c.servers[name].givenUp {
			c.lastRelease = now
			c.append(now, []ownership.Record{c.own.Release(name)})
		}
	}
}

// append hands records to the append duty. A full ring drops them; the core makes them again when they are due.
func (c *core) append(now time.Time, records []ownership.Record) {
	for _, record := range records {
		c.scheduler.appends.TryPush(pendingAppend{record: record, made: now})
	}
}

// liveSchedulers returns the nodes of the zone whose scheduler is alive as far as membership knows.
func (c *core) liveSchedulers() []string {
	nodes, _ := c.scheduler.options.Table.Nodes()
	var live []string
	for _, node := range nodes {
		if node.Zone == c.scheduler.options.Settings.Node.Zone && node.Scheduler != "" && isLive(node.State) {
			live = append(live, node.Name)
		}
	}
	return live
}
