package scheduler

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/twitchtv/twirp"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// maximumHold limits how long a sync waits for a change. A longer wait would let permits expire meanwhile.
const maximumHold = time.Second

var syncTimer = metrics.GetOrRegisterTimer("scheduler.sync", nil)

// permitsService implements peerpb.Permits.
type permitsService struct {
	scheduler *Scheduler
}

// syncReply is the core's reply to a sync.
type syncReply struct {
	response *peerpb.SyncResponse
	// changed is closed when the permits version changes.
	changed  <-chan struct{}
	outdated bool
}

// syncReceived is a sync received from a process. The flag refresh requests another reply to a sync that was applied
// before.
type syncReceived struct {
	request  *peerpb.SyncRequest
	received time.Time
	refresh  bool
	reply    chan<- syncReply
}

// Sync implements peerpb.Permits.
func (p *permitsService) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	received := time.Now()
	first, err := p.submit(ctx, syncReceived{request: request, received: received})
	if err != nil {
		return nil, err
	}
	if !p.awaitChange(ctx, request, first) {
		return first.response, nil
	}
	second, err := p.submit(ctx, syncReceived{request: request, received: received, refresh: true})
	if err != nil {
		return first.response, nil
	}
	return second.response, nil
}

// submit sends a sync to the core and waits for the reply.
func (p *permitsService) submit(ctx context.Context, message syncReceived) (syncReply, error) {
	reply := make(chan syncReply, 1)
	message.reply = reply
	if !p.scheduler.inbox.TryPush(message) {
		return syncReply{}, twirp.NewError(twirp.ResourceExhausted, "scheduler is overloaded")
	}
	select {
	case a := <-reply:
		if a.outdated {
			return syncReply{}, twirp.NewError(twirp.Aborted, "a newer sync has arrived")
		}
		return a, nil
	case <-ctx.Done():
		return syncReply{}, ctx.Err()
	case <-p.scheduler.done:
		return syncReply{}, twirp.NewError(twirp.Unavailable, "scheduler has stopped")
	}
}

// awaitChange waits until the permits version changes if the sender has the current one, at most for the time that
// the sender requests. It reports whether the version has changed.
func (p *permitsService) awaitChange(ctx context.Context, request *peerpb.SyncRequest, first syncReply) bool {
	current := request.PermitsIncarnation == p.scheduler.self.Incarnation &&
		request.PermitsVersion == first.response.PermitsVersion
	if !current || request.WaitMs == 0 || len(first.response.Nodes) > 0 {
		return false
	}
	timer := time.NewTimer(min(time.Duration(request.WaitMs)*time.Millisecond, maximumHold))
	defer timer.Stop()
	select {
	case <-first.changed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	case <-p.scheduler.done:
	}
	return false
}

// Supersede implements peerpb.Permits.
func (p *permitsService) Supersede(
	ctx context.Context, request *peerpb.SupersedeRequest,
) (*peerpb.SupersedeResponse, error) {
	done := make(chan struct{})
	message := supersedeReceived{server: request.Server, fence: engine.FencingNumber(request.Fence), done: done}
	if err := p.scheduler.inbox.Push(ctx, message); err != nil {
		return nil, err
	}
	select {
	case <-done:
		return &peerpb.SupersedeResponse{Incarnation: p.scheduler.self.Incarnation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.scheduler.done:
		// A stopped scheduler grants no permits.
		return &peerpb.SupersedeResponse{Incarnation: p.scheduler.self.Incarnation}, nil
	}
}

// apply applies the sync to the core and replies.
func (m syncReceived) apply(c *core) {
	start := c.now()
	if !m.refresh && !c.applySync(start, m.request) {
		m.reply <- syncReply{outdated: true}
		return
	}
	m.reply <- syncReply{response: c.respond(start, m.request, m.received), changed: c.versionChanged}
	syncTimer.Update(c.now().Sub(start))
}

// applySync returns false for a sync that is older than the last one of the same process incarnation.
func (c *core) applySync(now time.Time, request *peerpb.SyncRequest) bool {
	id := fleet.GatewayID{Process: request.Process, Incarnation: request.Incarnation}
	if !c.syncSequences.accept(now, id, request.Sequence) {
		return false
	}
	c.reportProcess(request)
	if request.Role != gatewayRole {
		return true
	}
	c.applyDemand(now, request)
	inFlight := inFlightByServer(request)
	waiting := waitingByVersion(request)
	sync := fleet.Sync{Gateway: id, Sequence: request.Sequence, Waiting: waiting}
	for _, number := range request.ClosedLoads {
		sync.Closed = append(sync.Closed, engine.LoadNumber(number))
		c.serverStepDue = true
	}
	if request.PermitsIncarnation == c.scheduler.self.Incarnation {
		sync.PermitsVersion = request.PermitsVersion
	}
	for name, owned := range c.servers {
		sync.InFlight = inFlight[name]
		owned.server.Sync(now, sync)
	}
	return true
}

// reportProcess passes the sender's state to membership. A gateway syncs with every scheduler, but only the scheduler
// of its own node reports it. While that node has no scheduler, the others report it without role and address, so that
// a configuration isn't considered applied everywhere before the gateway has applied it.
func (c *core) reportProcess(request *peerpb.SyncRequest) {
	report := membership.ProcessReport{
		Process: request.Process, Role: request.Role, Address: request.Address,
		Applied: request.AppliedConfig, Leaving: request.Leaving,
	}
	if request.Node != "" && request.Node != c.scheduler.self.Node {
		if request.Role == gatewayRole && c.hasScheduler(request.Node) {
			return
		}
		report.Role, report.Address = "", ""
	}
	c.scheduler.options.Table.Report(report)
}

// hasScheduler reports whether the node table has a running scheduler on the node.
func (c *core) hasScheduler(node string) bool {
	nodes, version := c.scheduler.options.Table.Nodes()
	if c.schedulerNodes == nil || version != c.schedulerNodesVersion {
		c.schedulerNodes = map[string]bool{}
		for _, entry := range nodes {
			c.schedulerNodes[entry.Name] = entry.State != peerpb.NodeState_DEAD
		}
		c.schedulerNodesVersion = version
	}
	return c.schedulerNodes[node]
}

const gatewayRole = "gateway"

// inFlightByServer returns the requests in flight by server and load.
func inFlightByServer(request *peerpb.SyncRequest) map[string]map[engine.LoadNumber]uint32 {
	byServer := map[string]map[engine.LoadNumber]uint32{}
	for _, entry := range request.InFlight {
		counts := byServer[entry.Server]
		if counts == nil {
			counts = map[engine.LoadNumber]uint32{}
			byServer[entry.Server] = counts
		}
		counts[engine.LoadNumber(entry.Load)] += entry.Count
	}
	return byServer
}

// waitingByVersion returns the number of waiting requests by adapter version.
func waitingByVersion(request *peerpb.SyncRequest) map[fleet.AdapterVersion]uint32 {
	waiting := make(map[fleet.AdapterVersion]uint32, len(request.Demand))
	for _, d := range request.Demand {
		waiting[fleet.AdapterVersion{Adapter: d.Adapter, Version: d.Version}] += d.Waiting
	}
	return waiting
}

// respond returns the response to a sync that arrived at time received.
func (c *core) respond(now time.Time, request *peerpb.SyncRequest, received time.Time) *peerpb.SyncResponse {
	response := &peerpb.SyncResponse{
		SchedulerIncarnation: c.scheduler.self.Incarnation,
		PermitMs:             uint32(c.scheduler.options.Settings.PermitValidity.Std().Milliseconds()),
		PermitsVersion:       c.permitsVersion.Current(),
	}
	nodes, version := c.scheduler.options.Table.Nodes()
	response.NodeTableVersion = version
	if version != request.NodeTableVersion || request.PermitsIncarnation != c.scheduler.self.Incarnation {
		response.Nodes = nodes
	}
	if request.Role != gatewayRole || c.releasing {
		return response
	}
	id := fleet.GatewayID{Process: request.Process, Incarnation: request.Incarnation}
	response.Unchanged = request.PermitsIncarnation == c.scheduler.self.Incarnation &&
		request.PermitsVersion == response.PermitsVersion
	for _, name := range c.serverNames {
		server := c.servers[name].server
		granted := server.Grant(now, id, received)
		if response.Unchanged {
			response.Servers = append(response.Servers, permitShares(server, granted))
			continue
		}
		response.Servers = append(response.Servers, serverPermits(server, granted))
	}
	return response
}

// permitShares returns the fields that may change without a new permits version.
func permitShares(server *fleet.Server, granted fleet.Permits) *peerpb.ServerPermits {
	return &peerpb.ServerPermits{Server: server.Spec().Name, Concurrent: granted.Concurrent, Running: granted.Running}
}

// serverPermits returns the permits for one server in full.
func serverPermits(server *fleet.Server, granted fleet.Permits) *peerpb.ServerPermits {
	spec := server.Spec()
	out := permitShares(server, granted)
	out.Address, out.Zone, out.BaseModel = spec.Address, spec.Zone, spec.BaseModel
	out.Leaving, out.Fence = granted.Leaving, uint64(server.Fence())
	for _, p := range granted.Loads {
		out.Loads = append(out.Loads, &peerpb.LoadPermit{
			Load: uint64(p.Number), Name: string(p.Name), Adapter: p.AdapterVersion.Adapter, Version: p.AdapterVersion.Version,
			State: loadState(p.State),
		})
	}
	return out
}

func loadState(state fleet.LoadState) peerpb.LoadState {
	switch state {
	case fleet.Loading:
		return peerpb.LoadState_LOADING
	case fleet.Resident:
		return peerpb.LoadState_RESIDENT
	case fleet.Closing:
		return peerpb.LoadState_CLOSING
	}
	return peerpb.LoadState_LOAD_STATE_UNSPECIFIED
}

// supersedeReceived reports that a server has a newer owner.
type supersedeReceived struct {
	server string
	fence  engine.FencingNumber
	done   chan<- struct{}
}

func (m supersedeReceived) apply(c *core) {
	c.superseded[m.server] = max(c.superseded[m.server], m.fence)
	if owned := c.servers[m.server]; owned != nil && owned.server.Fence() < m.fence {
		owned.server.Supersede()
	}
	close(m.done)
}
