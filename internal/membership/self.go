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

// recordReport records a process's report.
func (c *core) recordReport(now time.Time, report ProcessReport) {
	if _, known := c.processes[report.Process]; !known {
		c.addAction(eventAction{kind: eventProcessReported, name: report.Process})
	}
	c.processes[report.Process] = processState{report: report, reportedAt: now}
	c.refreshSelf(now)
}

// setApplied records the offset of the last configuration record that this scheduler has applied.
func (c *core) setApplied(now time.Time, applied uint64) {
	c.applied = applied
	c.refreshSelf(now)
}

// leave announces a planned stop: to some peers at once, to the others by gossip.
func (c *core) leave(now time.Time) {
	if c.self.State == peerpb.NodeState_LEAVING {
		return
	}
	c.updateSelf(now, func(e *peerpb.NodeEntry) {
		e.State = peerpb.NodeState_LEAVING
		e.Incarnation++
	})
	peers := c.peers()
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, name := range peers[:min(len(peers), leaveTargets)] {
		c.send(now, &exchange{kind: plainExchange, name: name}, c.members[name].entry.Scheduler, nil, probeTimeout)
	}
}

// setVMs replaces the platform's list of VMs.
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
		if now.Sub(state.reportedAt) >= reportLifetime {
			delete(c.processes, process)
			c.addAction(eventAction{kind: eventProcessSilent, name: process})
		}
	}
}

// refreshSelf updates this node's entry from its processes. Changes of addresses are gossiped at once, changes of only
// the applied offset at a bounded rate.
func (c *core) refreshSelf(now time.Time) {
	gateway, apiserver, applied := c.processSummary()
	addressesChanged := gateway != c.self.Gateway || apiserver != c.self.Apiserver
	interval := max(appliedInterval, time.Duration(len(c.members))*appliedIntervalPerNode)
	appliedDue := applied != c.self.AppliedConfig && now.Sub(c.lastApplied) >= interval
	if !addressesChanged && !appliedDue {
		return
	}
	c.lastApplied = now
	c.updateSelf(now, func(e *peerpb.NodeEntry) {
		e.Gateway, e.Apiserver, e.AppliedConfig = gateway, apiserver, applied
		if addressesChanged {
			// Within one incarnation only the offset changes, so that it can be gossiped without the addresses.
			e.Incarnation++
		}
	})
}

// processSummary returns the addresses of the reporting processes and the lowest applied offset. A process that is
// leaving accepts no new work, so its address is omitted, but its offset counts as long as it reports.
func (c *core) processSummary() (gateway, apiserver string, applied uint64) {
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
