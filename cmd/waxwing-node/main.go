// Command waxwing-node runs a gateway and a scheduler in one process, for VMs with a fraction of a shared core on the
// users' platform.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/node"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
	"waxwingcleat.example/waxwingcleat/platform"
)

const name = "waxwing-node"

func main() {
	// Registered before anything else, as SIGHUP ends a process without a handler.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	config := node.DefaultSettings()
	var command *cobra.Command
	command = process.ServerCommand(name, "Serve callers and send orders to model servers", &config,
		func(ctx context.Context) error {
			return serve(ctx, config, command.Flag("settings").Value.String(), reloads)
		})
	process.Main(command)
}

func serve(ctx context.Context, config node.Settings, file string, reloads <-chan os.Signal) error {
	output := event.NewWriter(os.Stdout)
	defer output.Close()
	events := process.BoundedLogger(output, name, config.Node, config.LogLevel)
	connections, eras := node.NewConnections(), storeera.NewTracker()
	return node.Run(ctx, config, node.Dependencies{
		Store:       platform.NewStore(config.Store.Address, eras),
		StoreEras:   eras,
		Servers:     platform.NewServers(connections),
		Wire:        platform.Wire{},
		Connections: connections,
		Events:      events,

		LinesDropped: output.TakeDropped,
		Reloads:      reloads,
		Reload: func() (node.Settings, error) {
			fresh := node.DefaultSettings()
			err := settings.Load(file, &fresh)
			return fresh, err
		},
	})
}
