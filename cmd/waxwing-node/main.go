// Command waxwing-node runs a gateway and a scheduler in one process, for VMs with a fraction of a shared core on the
// users' platform.
package main

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/node"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/platform"
)

const name = "waxwing-node"

func main() {
	config := node.DefaultSettings()
	var command *cobra.Command
	command = process.ServerCommand(name, "Serve callers and send orders to model servers", &config,
		func(ctx context.Context) error { return serve(ctx, config, command.Flag("settings").Value.String()) })
	process.Main(command)
}

func serve(ctx context.Context, config node.Settings, file string) error {
	output := event.NewWriter(os.Stdout)
	defer output.Close()
	events := process.BoundedLogger(output, name, config.Node, config.LogLevel)
	connections := node.NewConnections()
	return node.Run(ctx, config, node.Dependencies{
		Store:       platform.NewStore(config.Store.Address),
		Servers:     platform.NewServers(connections),
		Wire:        platform.Wire{},
		Connections: connections,
		Events:      events,

		LinesDropped: output.TakeDropped,
		Reload: func() (node.Settings, error) {
			fresh := node.DefaultSettings()
			err := settings.Load(file, &fresh)
			return fresh, err
		},
	})
}
