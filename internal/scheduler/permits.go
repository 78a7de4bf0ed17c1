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

// maximumHold bounds how long an answer is held back. A longer hold would let permits run out meanwhile.
const maximumHold = time.Second

var syncTimer = metrics.GetOrRegisterTimer("scheduler.sync", nil)

// permits implements peerpb.Permits.
type permits struct {
	scheduler *Scheduler
}

// answer is the core's answer to a sync.
type answer struct {
	response *peerpb.SyncResponse
	// changed is closed at the next change of the permits version.
	changed <-chan struct{}
	refused bool
}

// synced is a sync that has arrived. A repeated question about the same sync carries refresh.
type synced struct {
	request  *peerpb.SyncRequest
	received time.Time
	refresh  bool
	reply    chan<- answer
}

// Sync implements peerpb.Permits.
func (p *permits) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	received := time.Now()
	first, err := p.ask(ctx, synced{request: request, received: received})
	if err != nil {
		return nil, err
	}
	if !p.hold(ctx, request, first) {
		return first.response, nil
	}
	second, err := p.ask(ctx, synced{request: request, received: received, refresh: true})
	if err != nil {
		return first.response, nil
	}
	return second.response, nil
}

func (p *permits) ask(ctx context.Context, message synced) (answer, error) {
	reply := make(chan answer, 1)
	message.reply = reply
	if !p.scheduler.inbox.TryPush(message) {
		return answer{}, twirp.NewError(twirp.ResourceExhausted, "scheduler is overloaded")
	}
	select {
	case a := <-reply:
		if a.refused {
			return answer{}, twirp.NewError(twirp.Aborted, "a newer sync has arrived")
		}
		return a, nil
	case <-ctx.Done():
		return answer{}, ctx.Err()
	case <-p.scheduler.done:
		return answer{}, twirp.NewError(twirp.Unavailable, "scheduler has stopped")
	}
}

// hold waits while nothing changes, and reports whether something has changed.
func (p *permits) hold(ctx context.Context, request *peerpb.SyncRequest, first answer) bool {
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
func (p *permits) Supersede(ctx context.Context, request *peerpb.SupersedeRequest) (*peerpb.SupersedeResponse, error) {
	done := make(chan struct{})
	message := supersede{server: request.Server, fence: engine.FencingNumber(request.Fence), done: done}
	if err := p.scheduler.inbox.Push(ctx, message); err != nil {
		return nil, err
	}
	select {
	case <-done:
		return &peerpb.SupersedeResponse{Incarnation: p.scheduler.self.Incarnation}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-p.scheduler.done:
		return &peerpb.SupersedeResponse{Incarnation: p.scheduler.self.Incarnation}, nil // It grants nothing any more.
	}
}

// apply takes the sync into the core and answers it.
func (m synced) apply(c *core) {
	start := c.now()
	if !m.refresh && !c.takeSync(start, m.request) {
		m.reply <- answer{refused: true}
		return
	}
	m.reply <- answer{response: c.respond(start, m.request, m.received), changed: c.changed}
	syncTimer.Update(c.now().Sub(start))
}

// takeSync returns false for a sync that is older than the last of the same run of the process.
func (c *core) takeSync(now time.Time, request *peerpb.SyncRequest) bool {
	id := fleet.GatewayID{Process: request.Process, Incarnation: request.Incarnation}
	if !c.processes.accept(now, id, request.Sequence) {
		return false
	}
	c.report(request)
	if request.Role != gatewayRole {
		return true
	}
	c.takeDemand(now, request)
	inFlight := inFlightByServer(request)
	waiting := waitingOf(request)
	sync := fleet.Sync{Gateway: id, Sequence: request.Sequence, Waiting: waiting}
	for _, number := range request.ClosedLoads {
		sync.Closed = append(sync.Closed, engine.LoadNumber(number))
		c.serversDirty = true
	}
	if request.PermitsIncarnation == c.scheduler.self.Incarnation {
		sync.Held = request.PermitsVersion
	}
	for name, owned := range c.servers {
		sync.InFlight = inFlight[name]
		owned.server.Sync(now, sync)
	}
	return true
}

// report hands the sender's report to membership. A gateway syncs with every scheduler but counts only at the node that
// it runs on; only while that node has no scheduler does it count elsewhere, so that a configuration isn't called in
// force without it. Its address belongs to its own node alone.
func (c *core) report(request *peerpb.SyncRequest) {
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
	if c.running == nil || version != c.runningVersion {
		c.running = map[string]bool{}
		for _, entry := range nodes {
			c.running[entry.Name] = entry.State != peerpb.NodeState_DEAD
		}
		c.runningVersion = version
	}
	return c.running[node]
}

const gatewayRole = "gateway"

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

func waitingOf(request *peerpb.SyncRequest) map[fleet.AdapterVersion]uint32 {
	waiting := make(map[fleet.AdapterVersion]uint32, len(request.Demand))
	for _, d := range request.Demand {
		waiting[fleet.AdapterVersion{Adapter: d.Adapter, Version: d.Version}] += d.Waiting
	}
	return waiting
}

// respond computes the answer to a sync that arrived at received.
func (c *core) respond(now time.Time, request *peerpb.SyncRequest, received time.Time) *peerpb.SyncResponse {
	response := &peerpb.SyncResponse{
		SchedulerIncarnation: c.scheduler.self.Incarnation,
		PermitMs:             uint32(c.scheduler.options.Settings.PermitValidity.Std().Milliseconds()),
		PermitsVersion:       c.version.Current(),
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
			response.Servers = append(response.Servers, sharesOf(server, granted))
			continue
		}
		response.Servers = append(response.Servers, permitsOf(server, granted))
	}
	return response
}

// sharesOf returns what changes without a new permits version.
func sharesOf(server *fleet.Server, granted fleet.Permits) *peerpb.ServerPermits {
	return &peerpb.ServerPermits{Server: server.Spec().Name, Concurrent: granted.Concurrent, Running: granted.Running}
}

func permitsOf(server *fleet.Server, granted fleet.Permits) *peerpb.ServerPermits {
	spec := server.Spec()
	out := sharesOf(server, granted)
	out.Address, out.Zone, out.BaseModel = spec.Address, spec.Zone, spec.BaseModel
	out.Leaving, out.Fence = granted.Leaving, uint64(server.Fence())
	for _, p := range granted.Loads {
		out.Loads = append(out.Loads, &peerpb.LoadPermit{
			Load: uint64(p.Number), Name: string(p.Name), Adapter: p.Of.Adapter, Version: p.Of.Version, State: loadState(p.State),
		})
	}
	return out
}

func loadState(state fleet.State) peerpb.LoadState {
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

// supersede says that a newer owner exists.
type supersede struct {
	server string
	fence  engine.FencingNumber
	done   chan<- struct{}
}

func (m supersede) apply(c *core) {
	c.superseded[m.server] = max(c.superseded[m.server], m.fence)
	if owned := c.servers[m.server]; owned != nil && owned.server.Fence() < m.fence {
		owned.server.Supersede()
	}
	close(m.done)
}
