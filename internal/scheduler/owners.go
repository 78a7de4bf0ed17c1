package scheduler

import (
	"context"
	"net"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// supersedeRetryInterval is the interval between Supersede calls to a former owner that doesn't answer.
const supersedeRetryInterval = time.Second

// supersedeKey identifies a former owner of a server.
type supersedeKey struct {
	server      string
	incarnation string
}

// recordsRead holds records read from the zone's ownership stream.
type recordsRead struct {
	records  []platform.Record
	caughtUp bool
}

func (m recordsRead) apply(c *core) {
	now := c.now()
	c.applyOwnershipEvents(now, c.ownership.Observe(now, m.records, m.caughtUp))
	if len(m.records) > 0 {
		c.serverStepDue = true
	}
}

// recordsTrimmed reports that ownership records exceeded their retention before they were read.
type recordsTrimmed struct {
	earliest platform.Offset
}

func (m recordsTrimmed) apply(c *core) {
	c.events.Emit(event.OwnershipTrim, event.Fields{"earliest": m.earliest})
	c.ownership.Trimmed(c.now(), m.earliest)
}

// vmsRead is the result of one read of the platform's list of VMs.
type vmsRead struct {
	list []platform.VM
}

func (m vmsRead) apply(c *core) {
	names := make([]string, len(m.list))
	for i, vm := range m.list {
		names[i] = vm.Name
	}
	c.ownership.SetVMs(c.now(), names)
	c.vms = m.list
	c.updateVMLeaving()
}

// updateVMLeaving updates whether the VMs of the owned servers are leaving.
func (c *core) updateVMLeaving() {
	for _, owned := range c.servers {
		leaving := owned.server.Leaving()
		owned.server.SetVMLeaving(c.vmLeaving(owned.server.Spec()))
		if now := owned.server.Leaving(); now != leaving {
			c.events.Emit(event.ServerLeaving, event.Fields{"server": owned.name, "leaving": now})
		}
	}
}

func (c *core) vmLeaving(spec fleet.Spec) bool {
	for _, vm := range c.vms {
		if vm.State == platform.VMLeaving && runsOn(spec, vm) {
			return true
		}
	}
	return false
}

// runsOn reports whether a backend server runs on a VM, by name or address. A loopback address without a port matches
// no server, because all processes on a developer's machine share it.
func runsOn(spec fleet.Spec, vm platform.VM) bool {
	if vm.Name == spec.Name || vm.Address == spec.Address {
		return true
	}
	host, _, err := net.SplitHostPort(spec.Address)
	if err != nil || vm.Address != host {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && !ip.IsLoopback()
}

func isLive(state peerpb.NodeState) bool {
	return state == peerpb.NodeState_ALIVE || state == peerpb.NodeState_SUSPECT
}

// applyOwnershipEvents adds servers that this scheduler now owns and removes those that it no longer owns.
func (c *core) applyOwnershipEvents(now time.Time, events []ownership.Event) {
	for _, e := range events {
		fields := event.Fields{"server": e.Server, "fence": e.Fence, "owner": e.Holder.Node}
		switch e.Kind {
		case ownership.Gained:
			c.events.Emit(event.ServerGained, fields)
			c.addServer(now, e)
		case ownership.Lost:
			c.events.Emit(event.ServerLost, fields)
			c.removeServer(e.Server)
		case ownership.LeaseExpired:
			c.events.Emit(event.LeaseLapsed, fields)
		case ownership.LeaseRestored:
			c.events.Emit(event.LeaseRenewed, fields)
		}
	}
	ownedGauge.Update(int64(len(c.servers)))
}

// addServer creates the state of an owned server and starts its goroutines.
func (c *core) addServer(now time.Time, e ownership.Event) {
	c.removeServer(e.Server)
	if c.releasing {
		c.queueRecords(now, c.ownership.ReleaseAll())
		return
	}
	if c.config.view == nil {
		return
	}
	declared := c.config.view.BackendServers[e.Server]
	status, ok := c.ownership.Status(now, e.Server)
	if declared == nil || !ok {
		return
	}
	spec := specOf(declared)
	validity := c.scheduler.options.Settings.PermitValidity.Std() + dispatchMargin
	server := fleet.New(now, validity, &c.permitsVersion, spec, fleetOwnership(status))
	if c.superseded[e.Server] > e.Fence {
		server.Supersede()
	}
	server.SetVMLeaving(c.vmLeaving(spec))
	c.servers[e.Server] = c.startServer(e.Server, server)
	c.serverNames = sortedNames(c.servers)
	c.serverStepDue = true
}

// removeServer stops the goroutines of a server and drops its state.
func (c *core) removeServer(name string) {
	owned := c.servers[name]
	if owned == nil {
		return
	}
	owned.stop()
	delete(c.servers, name)
	c.serverNames = sortedNames(c.servers)
	c.permitsVersion.Advance()
}

func fleetOwnership(status ownership.Status) fleet.Ownership {
	out := fleet.Ownership{
		Fence: status.Fence, LeaseUntil: status.LeaseUntil,
		PredecessorsStopped: len(status.Former) == 0, Intent: status.Intent,
	}
	for _, intent := range status.BlockedIntents {
		out.BlockedLoads = append(out.BlockedLoads, intent.Load)
	}
	return out
}

// supersedeFormerOwners requests from former owners of owned servers a confirmation that they grant no more permits.
func (c *core) supersedeFormerOwners(now time.Time) {
	for _, name := range c.serverNames {
		status, ok := c.ownership.Status(now, name)
		if !ok {
			continue
		}
		for _, former := range status.Former {
			key := supersedeKey{name, former.Incarnation}
			if former.Address == "" || now.Sub(c.supersedeCalls[key]) < supersedeRetryInterval {
				continue
			}
			c.supersedeCalls[key] = now
			c.group.Go(func() error { return c.scheduler.callSupersede(c.ctx, name, status.Fence, former) })
		}
	}
}

// callSupersede calls one former owner. An answer from it or from a later incarnation proves that it grants no more
// permits.
func (s *Scheduler) callSupersede(
	ctx context.Context, server string, fence engine.FencingNumber, former ownership.Holder,
) error {
	client := peerpb.NewPermitsProtobufClient("http://"+former.Address, s.peerClient)
	response, err := client.Supersede(ctx, &peerpb.SupersedeRequest{
		Server: server, Fence: uint64(fence), FormerIncarnation: former.Incarnation,
	})
	if err != nil {
		err = failure.Wrap(err, failure.Unavailable, "supersede", former.Address)
		s.options.Events.EmitError(event.SupersedeFailed, err, event.Fields{"server": server})
		return nil
	}
	_ = s.inbox.Push(ctx, supersedeConfirmed{server: server, former: former, answeredBy: response.Incarnation})
	return nil
}

// supersedeConfirmed is the answer to a Supersede call.
type supersedeConfirmed struct {
	server     string
	former     ownership.Holder
	answeredBy string
}

func (m supersedeConfirmed) apply(c *core) {
	c.events.Emit(event.SupersedeSent, event.Fields{"server": m.server, "former": m.former.Node})
	c.ownership.Superseded(m.server, m.former, m.answeredBy)
	delete(c.supersedeCalls, supersedeKey{m.server, m.former.Incarnation})
	c.serverStepDue = true
}
