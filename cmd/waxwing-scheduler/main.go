// Command waxwing-scheduler owns backend servers of its zone, grants permits to gateways and maintains the node table.
package main

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/scheduler"
)

const name = "waxwing-scheduler"

func main() {
	settings := scheduler.DefaultSettings()
	command := process.ServerCommand(name, "Own backend servers of a zone and grant permits to gateways", &settings,
		func(ctx context.Context) error { return run(ctx, settings) })
	process.Main(command)
}

// run serves until ctx ends and the scheduler has released its servers. The other tasks continue until then.
func run(ctx context.Context, settings scheduler.Settings) error {
	events := process.Logger(name, settings.Common)
	client := httplog.New(settings.Platform.LogURL, settings.Platform.VMListURL, settings.Platform.Timeout.Std())
	coordination := newCoordination(settings, client, events)
	replica := configlog.NewReplica(configlog.Options{Log: client, Peers: coordination.peers, Events: events})
	driver := scheduler.New(scheduler.Options{
		Settings: settings, Incarnation: ident.New(), Log: client, VMs: client, Config: replica,
		Table: coordination.table, Queue: coordination.queue, OnApplied: coordination.applied, Events: events,
		Control: func(address string) engine.Control { return vllm.NewControl(address, settings.EngineTimeout.Std()) },
	})

	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(inner)
	group.Go(func() error { return replica.Run(groupCtx) })
	for _, task := range coordination.tasks {
		group.Go(func() error { return task(groupCtx) })
	}
	internal := process.NewInternal(settings.Internal, events)
	group.Go(func() error {
		return internal.Serve(groupCtx, settings.Listen, rpcHandler(driver, replica, coordination), settings.ShutdownTimeout.Std())
	})
	group.Go(func() error {
		return internal.Serve(groupCtx, settings.AdminListen, adminHandler(driver, replica), settings.ShutdownTimeout.Std())
	})
	group.Go(func() error {
		defer stop()
		defer coordination.leave()
		return driver.Run(mergeContexts(ctx, groupCtx))
	})
	events.Emit(event.ProcessStarted, event.Fields{"listen": settings.Listen, "admin": settings.AdminListen})
	err := group.Wait()
	if err != nil {
		events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	events.Emit(event.ProcessStopped, nil)
	return nil
}

// mergeContexts returns a context that ends when ctx or other ends.
func mergeContexts(ctx, other context.Context) context.Context {
	joined, cancel := context.WithCancel(ctx)
	context.AfterFunc(other, cancel)
	return joined
}

// rpcHandler returns the handler of the calls of other processes.
func rpcHandler(driver *scheduler.Scheduler, replica *configlog.Replica, coordination *coordination) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpb.PermitsPathPrefix, driver.Handler())
	if feed := replica.Feed(); feed != nil {
		mux.Handle(peerpb.ConfigFeedPathPrefix, feed)
	}
	if coordination.membership != nil {
		mux.Handle(peerpb.MembershipPathPrefix, coordination.membership)
	}
	return mux
}

func adminHandler(driver *scheduler.Scheduler, replica *configlog.Replica) http.Handler {
	admin := process.NewAdmin(replica.Ready)
	admin.Mux.Handle("GET /debug/decisions", driver.Decisions())
	return admin.Mux
}
