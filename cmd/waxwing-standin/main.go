// Command waxwing-standin simulates the platform, the model engines and the plain services, for the demo and for tests.
package main

import (
	"context"
	"os"

	"github.com/sirupsen/logrus"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/standin"
)

const name = "waxwing-standin"

func main() {
	options := standin.DefaultSettings()
	short := "Simulate the log service, weight store, VM list, engines and plain services"
	run := func(ctx context.Context) error { return serve(ctx, options) }
	process.Main(process.ServerCommand(name, short, &options, run))
}

func serve(ctx context.Context, options standin.Settings) error {
	level, err := logrus.ParseLevel(options.LogLevel)
	if err != nil {
		return err
	}
	events := event.NewLog(os.Stdout, level, event.Fields{"process": name})
	site, err := standin.New(options, events)
	if err != nil {
		events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	events.Emit(event.ProcessStarted, event.Fields{"version": process.Version(), "admin": site.Address(standin.TargetAdmin)})
	if err := site.Run(ctx); err != nil {
		events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	events.Emit(event.ProcessStopped, nil)
	return nil
}
