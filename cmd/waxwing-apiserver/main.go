// Command waxwing-apiserver serves the operators' resource API with watches.
package main

import (
	"context"

	"waxwingcleat.example/waxwingcleat/internal/apiserver"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/process"
)

const name = "waxwing-apiserver"

func main() {
	settings := apiserver.DefaultSettings()
	command := process.ServerCommand(name, "Serve the operators' resource API", &settings, func(ctx context.Context) error {
		log := httplog.New(settings.Platform.LogURL, settings.Platform.VMListURL, settings.Platform.Timeout.Std())
		return apiserver.New(settings, log, process.Logger(name, settings.Common)).Listen(ctx)
	})
	process.Main(command)
}
