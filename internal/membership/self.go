package membership

import (
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// Roles of processes that report to the scheduler of their VM.
const (
	roleGateway   = "gateway"
	roleAPIServer = "apiserver"
)

// takeReport takes a process's report.
func (c *core) takeReport(now time.Time, report ProcessReport) {
	if _, known := c.processes[report.Process]; !known {
		c.do(noteAction{kind: noteProcess, name: report.Process})
	}
	c.processes[report.Process] = processState{report: report, at: now}
	c.refreshSelf(now)
}

// setApplied takes the offset of the last configuration record that this scheduler has applied.
func (c *core) setApplied(now time.Time, applied uint64) {
	c.applied = applied
	c.refreshSelf(now)
}

// leave starts a planned stop: some peers are told at once, the others by gossip.
func (c *core) leave(now time.Time) {
	if c.self.State == peerpb.NodeState_LEAVING {
		return
	}
	c.changeSelf(now, func(e *peerpb.NodeEntry) {
		e.State = peerpb.NodeState_LEAVING
		e.Incarnation++
	})
	peers := c.peers()
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, name := range peers[:min(len(peers), leaveTargets)] {
		c.send(now, &exchange{kind: plainExchange, name: name}, c.members[name].entry.Scheduler, nil, probeTimeout)
	}
}

// setVMs takes the platform's list of VMs.
func (c *core) setVMs(now time.Time, vms []platform.VM) {
	c.vms = vms
	leaving := map[string]bool{}
	for _, vm := range vms {
		if vm.State == platform.VMLeaving {
			leaving[vm.Name] = true
		}
	}
	changed := len(leaving) != len(c.vmLeaving)
	for name := range leaving {
		changed = changed || !c.vmLeaving[name]
	}
	c.vmLeaving = leaving
	if changed {
		c.version++
	}
	if leaving[c.self.Name] {
		c.leave(now)
	}
}

func (c *core) expireProcesses(now time.Time) {
	for process, state := range c.processes {
		if now.Sub(state.at) >= reportLifetime {
			delete(c.processes, process)
			c.do(noteAction{kind: noteSilent, name: process})
		}
	}
}

// refreshSelf brings this node's entry up to date with its processes. Changes of addresses are gossiped at once,
// those of the applied offset together.
func (c *core) refreshSelf(now time.Time) {
	gateway, apiserver, applied := c.summary()
	moved := gateway != c.self.Gateway || apiserver != c.self.Apiserver
	pause := max(appliedInterval, time.Duration(len(c.members))*appliedIntervalPerNode)
	advanced := applied != c.self.AppliedConfig && now.Sub(c.lastApplied) >= pause
	if !moved && !advanced {
		return
	}
	c.lastApplied = now
	c.changeSelf(now, func(e *peerpb.NodeEntry) {
		e.Gateway, e.Apiserver, e.AppliedConfig = gateway, apiserver, applied
		if moved {
			// Within one incarnation only the offset changes, so that it can be gossiped without the addresses.
			e.Incarnation++
		}
	})
}

// summary returns the addresses of the processes that report and the lowest applied offset. A process that is
// leaving takes no new work, so its address is not given, but its offset counts while it serves.
func (c *core) summary() (gateway, apiserver string, applied uint64) {
	applied = c.applied
	names := make([]string, 0, len(c.processes))
	for process := range c.processes {
		names = append(names, process)
	}
	slices.Sort(names)
	for _, process := range names {
		report := c.processes[process].report
		applied = min(applied, report.Applied)
		switch {
		case report.Leaving:
		case report.Role == roleGateway:
			gateway = report.Address
		case report.Role == roleAPIServer:
			apiserver = report.Address
		}
	}
	return gateway, apiserver, applied
}
