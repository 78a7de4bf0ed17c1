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

// supersedeEvery is the time between two Supersede calls to a former owner that doesn't answer.
const supersedeEvery = time.Second

type supersedeKey struct {
	server      string
	incarnation string
}

// recordsRead are records of the zone's ownership stream.
type recordsRead struct {
	records  []platform.Record
	caughtUp bool
}

func (m recordsRead) apply(c *core) {
	now := c.now()
	c.takeEvents(now, c.own.Observe(now, m.records, m.caughtUp))
	if len(m.records) > 0 {
		c.serversDirty = true
	}
}

// recordsTrimmed says that ownership records passed their retention unread.
type recordsTrimmed struct {
	earliest platform.Offset
}

func (m recordsTrimmed) apply(c *core) {
	c.events.Emit(event.OwnershipTrim, event.Fields{"earliest": m.earliest})
	c.own.Trimmed(c.now(), m.earliest)
}

// vmsRead is one reading of the platform's list of VMs.
type vmsRead struct {
	list []platform.VM
}

func (m vmsRead) apply(c *core) {
	names := make([]string, len(m.list))
	for i, vm := range m.list {
		names[i] = vm.Name
	}
	c.own.SetVMs(c.now(), names)
	c.vms = m.list
	c.setVMLeaving()
}

// setVMLeaving tells the servers whether their VMs are leaving.
func (c *core) setVMLeaving() {
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

// runsOn reports whether a backend server runs on a VM, by name or address. A loopback address without a port is
// shared by everything on a developer's machine and matches nothing.
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

// takeEvents starts and ends the duties of servers that were gained or lost.
func (c *core) takeEvents(now time.Time, events []ownership.Event) {
	for _, e := range events {
		fields := event.Fields{"server": e.Server, "fence": e.Fence, "owner": e.Holder.Node}
		switch e.Kind {
		case ownership.Gained:
			c.events.Emit(event.ServerGained, fields)
			c.gain(now, e)
		case ownership.Lost:
			c.events.Emit(event.ServerLost, fields)
			c.lose(e.Server)
		case ownership.Lapsed:
			c.events.Emit(event.LeaseLapsed, fields)
		case ownership.Renewed:
			c.events.Emit(event.LeaseRenewed, fields)
		}
	}
	ownedGauge.Update(int64(len(c.servers)))
}

func (c *core) gain(now time.Time, e ownership.Event) {
	c.lose(e.Server)
	if c.releasing {
		c.append(now, c.own.ReleaseAll())
		return
	}
	if c.config.view == nil {
		return
	}
	declared := c.config.view.BackendServers[e.Server]
	status, ok := c.own.Status(now, e.Server)
	if declared == nil || !ok {
		return
	}
	spec := specOf(declared)
	server := fleet.New(now, c.scheduler.options.Settings.PermitValidity.Std()+dispatchMargin, &c.version, spec, fleetOwnership(status))
	if c.superseded[e.Server] > e.Fence {
		server.Supersede()
	}
	server.SetVMLeaving(c.vmLeaving(spec))
	c.servers[e.Server] = c.startServer(e.Server, server)
	c.serverNames = sortedNames(c.servers)
	c.serversDirty = true
}

func (c *core) lose(name string) {
	owned := c.servers[name]
	if owned == nil {
		return
	}
	owned.stop()
	delete(c.servers, name)
	c.serverNames = sortedNames(c.servers)
	c.version.Advance()
}

func fleetOwnership(status ownership.Status) fleet.Ownership {
	out := fleet.Ownership{
		Fence: status.Fence, LeaseUntil: status.LeaseUntil,
		PredecessorsStopped: len(status.Former) == 0, Intent: status.Intent,
	}
	for _, intent := range status.Barred {
		out.Barred = append(out.Barred, intent.Load)
	}
	return out
}

// askFormerOwners asks former owners of owned servers to confirm that they grant no more permits.
func (c *core) askFormerOwners(now time.Time) {
	for _, name := range c.serverNames {
		status, ok := c.own.Status(now, name)
		if !ok {
			continue
		}
		for _, former := range status.Former {
			key := supersedeKey{name, former.Incarnation}
			if former.Address == "" || now.Sub(c.asked[key]) < supersedeEvery {
				continue
			}
			c.asked[key] = now
			c.group.Go(func() error { return c.scheduler.askSupersede(c.ctx, name, status.Fence, former) })
		}
	}
}

// askSupersede calls one former owner. Its answer, or that of a later incarnation, is proof.
func (s *Scheduler) askSupersede(ctx context.Context, server string, fence engine.FencingNumber, former ownership.Holder) error {
	client := peerpb.NewPermitsProtobufClient("http://"+former.Address, s.peers)
	response, err := client.Supersede(ctx, &peerpb.SupersedeRequest{
		Server: server, Fence: uint64(fence), FormerIncarnation: former.Incarnation,
	})
	if err != nil {
		err = failure.Wrap(err, failure.Unavailable, "supersede", former.Address)
		s.options.Events.EmitError(event.SupersedeFailed, err, event.Fields{"server": server})
		return nil
	}
	_ = s.inbox.Push(ctx, supersedeAnswered{server: server, former: former, by: response.Incarnation})
	return nil
}

// supersedeAnswered is the answer to a Supersede call.
type supersedeAnswered struct {
	server string
	former ownership.Holder
	by     string
}

func (m supersedeAnswered) apply(c *core) {
	c.events.Emit(event.SupersedeSent, event.Fields{"server": m.server, "former": m.former.Node})
	c.own.Superseded(m.server, m.former, m.by)
	delete(c.asked, supersedeKey{m.server, m.former.Incarnation})
	c.serversDirty = true
}
