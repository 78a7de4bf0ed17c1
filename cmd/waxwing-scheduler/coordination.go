package main

import (
	"context"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
	"waxwingcleat.example/waxwingcleat/internal/membership"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/scheduler"
)

// coordination holds the components through which a scheduler coordinates with the schedulers of all zones.
type coordination struct {
	table membership.Table
	queue loadqueue.Queue
	// membership is the handler of the Membership service.
	membership http.Handler
	// tasks run in the background until the scheduler has released its servers.
	tasks []func(ctx context.Context) error
	// peers returns the RPC addresses of live and configured schedulers.
	peers func() []string
	// applied sets the configuration offset in this node's entry of the node table.
	applied func(offset uint64)
	// leave announces to the other schedulers that this one stops.
	leave func()
}

func newCoordination(settings scheduler.Settings, client *httplog.Client, events *event.Log) *coordination {
	self := &peerpb.NodeEntry{
		Name: settings.Node.Name, Zone: settings.Node.Zone, Scheduler: settings.Listen,
		// VMs have no persistent state, so the start time serves as an incarnation that increases with each restart.
		Incarnation: uint64(time.Now().UnixMilli()), State: peerpb.NodeState_ALIVE,
	}
	members := membership.NewDriver(membership.Options{Self: self, Seeds: settings.Schedulers, VMs: client, Events: events})
	loads := loadqueue.NewDriver(loadqueue.Options{
		Log: client, Holder: settings.Node.Name, Events: events,
		Schedulers: func() int { return len(liveSchedulers(members)) },
	})
	return &coordination{
		table: members, queue: loads, membership: members.Handler(),
		tasks:   []func(context.Context) error{members.Run, loads.Run},
		peers:   func() []string { return append(liveSchedulers(members), settings.Schedulers...) },
		applied: members.SetApplied, leave: members.Leave,
	}
}

// liveSchedulers returns the addresses of the schedulers in the node table that aren't known to be dead.
func liveSchedulers(table membership.Table) []string {
	nodes, _ := table.Nodes()
	var addresses []string
	for _, node := range nodes {
		if node.Scheduler != "" && node.State != peerpb.NodeState_DEAD {
			addresses = append(addresses, node.Scheduler)
		}
	}
	return addresses
}
