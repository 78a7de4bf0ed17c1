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

// core holds the state of the scheduler. It is used by one goroutine only.
type core struct {
	ctx       context.Context
	scheduler *Scheduler
	group     *errgroup.Group
	events    *event.Log
	random    *rand.Rand
	now       func() time.Time

	ownership      *ownership.Core
	servers        map[string]*ownedServer
	serverNames    []string
	superseded     map[string]engine.FencingNumber
	supersedeCalls map[supersedeKey]time.Time
	vms            []platform.VM

	permitsVersion  fleet.Version
	notifiedVersion uint64
	versionChanged  chan struct{}
	syncSequences   sequenceTracker

	policy      placement.Policy
	demand      map[string]gatewayDemand
	config      configIndex
	lastView    viewIdentity
	remoteLoads remoteLoads
	refusals    map[fleet.AdapterVersion]string

	// serverStepDue and placementDue request a step of the servers or a placement pass after the current message.
	serverStepDue    bool
	placementDue     bool
	lastPlacement    time.Time
	lastMinimumCheck time.Time
	draining         bool
	releasing        bool
	lastRelease      time.Time
	surplusSince     time.Time
	surplusReleases  map[string]time.Time
	// schedulerNodes holds for each node with a scheduler whether it is alive, as of schedulerNodesVersion of the node
	// table.
	schedulerNodes        map[string]bool
	schedulerNodesVersion uint64
}

func newCore(ctx context.Context, s *Scheduler, group *errgroup.Group) *core {
	policy, _ := placement.New(s.options.Settings.Policy, s.options.Settings.placementOptions())
	return &core{
		ctx: ctx, scheduler: s, group: group, events: s.options.Events, now: time.Now,
		random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		ownership: ownership.New(ownership.DefaultConfig(s.self)), servers: map[string]*ownedServer{},
		superseded: map[string]engine.FencingNumber{}, supersedeCalls: map[supersedeKey]time.Time{},
		versionChanged: make(chan struct{}), syncSequences: sequenceTracker{sequences: map[fleet.GatewayID]*lastSync{}},
		policy: policy, demand: map[string]gatewayDemand{}, remoteLoads: newRemoteLoads(),
		refusals: map[fleet.AdapterVersion]string{}, surplusReleases: map[string]time.Time{},
	}
}

// run handles messages, configuration changes and ticks until ctx ends.
func (c *core) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		configChanged := c.scheduler.options.Config.Changed()
		c.applyConfig(c.scheduler.options.Config.View())
		select {
		case <-ctx.Done():
			return nil
		case message := <-c.scheduler.inbox.Items():
			message.apply(c)
		case <-configChanged:
		case <-ticker.C:
			c.tick(c.now())
		}
		c.runDueWork(c.now())
	}
}

// tick runs the periodic work of the core.
func (c *core) tick(now time.Time) {
	c.ownership.SetSchedulers(c.liveSchedulers())
	records, events := c.ownership.Tick(now)
	c.queueRecords(now, records)
	c.applyOwnershipEvents(now, events)
	c.supersedeFormerOwners(now)
	c.releaseUndeclared()
	c.releaseSurplus(now)
	c.appendReleases(now)
	c.serverStepDue = true
	c.placementDue = true
}

// runDueWork runs the server step and the placement pass if they are due, and wakes the syncs that wait for a new
// permits version.
func (c *core) runDueWork(now time.Time) {
	if c.serverStepDue {
		c.serverStepDue = false
		c.stepServers(now)
	}
	if c.placementDue && now.Sub(c.lastPlacement) >= placementInterval {
		c.placementDue = false
		c.lastPlacement = now
		c.place(now)
	}
	if current := c.permitsVersion.Current(); current != c.notifiedVersion {
		c.notifiedVersion = current
		close(c.versionChanged)
		c.versionChanged = make(chan struct{})
	}
}

// applyConfig applies a new view of the configuration.
func (c *core) applyConfig(view *resource.View) {
	if view == nil || c.config.view == view {
		return
	}
	c.config = indexConfig(view, c.scheduler.options.Settings.Node.Zone)
	c.ownership.SetServers(c.config.zoneServers)
	for name, owned := range c.servers {
		if declared := view.BackendServers[name]; declared != nil {
			c.applyDeclaration(owned, declared)
		}
	}
	c.updateVMLeaving()
	if c.scheduler.options.OnApplied != nil {
		c.scheduler.options.OnApplied(uint64(view.Applied))
	}
}

// applyDeclaration applies the current declaration of an owned server. A new address means another engine, so the
// server's state and its goroutines are created again.
func (c *core) applyDeclaration(owned *ownedServer, declared *resource.BackendServer) {
	if declared.Spec.Address == owned.server.Spec().Address {
		owned.server.SetSpec(specOf(declared))
		return
	}
	c.addServer(c.now(), ownership.Event{Kind: ownership.Gained, Server: owned.name, Fence: owned.server.Fence()})
}

// drain stops claims, new loads and new evictions, and reports whether those in progress have ended.
func (c *core) drain() bool {
	if !c.draining {
		c.draining = true
		c.ownership.StopClaims()
		for _, owned := range c.servers {
			owned.cancelPendingLoads()
		}
	}
	for _, owned := range c.servers {
		if c.hasWorkInProgress(c.now(), owned) {
			return false
		}
	}
	return true
}

// release stops granting permits and releases all servers. It reports whether all releases were read back.
func (c *core) release() bool {
	now := c.now()
	c.releasing = true
	for _, owned := range c.servers {
		owned.server.Supersede()
	}
	if now.Sub(c.lastRelease) >= releaseRetryInterval {
		c.lastRelease = now
		c.queueRecords(now, c.ownership.ReleaseAll())
	}
	return len(c.ownership.Owned()) == 0
}

// releaseUndeclared starts the release of owned servers that are no longer declared in the zone.
func (c *core) releaseUndeclared() {
	if c.config.view == nil {
		return
	}
	for name, owned := range c.servers {
		if _, found := slices.BinarySearch(c.config.zoneServers, name); !found {
			owned.startRelease()
		}
	}
}

// releaseSurplus releases at most one idle server per surplusReleaseInterval while this scheduler owns more than its
// share. Gateways may use their permits until those of the new owner replace them. A server that this scheduler owns
// again is not released for surplusReleaseCooldown: the intended owner may be partitioned from the log.
func (c *core) releaseSurplus(now time.Time) {
	surplus := c.ownership.Surplus()
	if len(surplus) == 0 || c.draining {
		c.surplusSince = time.Time{}
		return
	}
	if c.surplusSince.IsZero() {
		c.surplusSince = now
	}
	if now.Sub(c.surplusSince) < surplusReleaseInterval {
		return
	}
	for _, name := range surplus {
		owned := c.servers[name]
		if owned == nil || now.Sub(c.surplusReleases[name]) < surplusReleaseCooldown ||
			owned.server.Busy() || c.hasWorkInProgress(now, owned) {
			continue
		}
		// An expired lease means that the log is unavailable, so that no other scheduler could claim the server.
		if owned.server.LeaseValid(now) {
			c.surplusSince, c.surplusReleases[name] = now, now
			owned.startRelease()
			return
		}
	}
}

// hasWorkInProgress reports whether a load or an eviction of the server is in progress or waits for its turn.
func (c *core) hasWorkInProgress(now time.Time, owned *ownedServer) bool {
	status, ok := c.ownership.Status(now, owned.name)
	openIntent := ok && status.Intent != "" && owned.server.LeaseValid(now)
	return openIntent || owned.hasLoadOrEviction(now)
}

// appendReleases appends release records for the servers that are being released until the records are read back.
func (c *core) appendReleases(now time.Time) {
	if c.releasing || now.Sub(c.lastRelease) < releaseRetryInterval {
		return
	}
	for _, name := range c.serverNames {
		if c.servers[name].releasing {
			c.lastRelease = now
			c.queueRecords(now, []ownership.Record{c.ownership.Release(name)})
		}
	}
}

// queueRecords queues records for appending. Records are dropped if the queue is full; the core creates them again
// later.
func (c *core) queueRecords(now time.Time, records []ownership.Record) {
	for _, record := range records {
		c.scheduler.appends.TryPush(pendingAppend{record: record, created: now})
	}
}

// liveSchedulers returns the nodes of the zone whose scheduler is alive according to the node table.
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
