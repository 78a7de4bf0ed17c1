// Command waxwing-gateway serves callers' HTTP requests and forwards them to backend servers.
package main

import (
	"context"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/gateway"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/process"
)

const name = "waxwing-gateway"

func main() {
	settings := gateway.DefaultSettings()
	run := func(ctx context.Context) error { return serve(ctx, settings) }
	process.Main(process.ServerCommand(name, "Serve callers", &settings, run))
}

func serve(ctx context.Context, settings gateway.Settings) error {
	events := process.Logger(name, settings.Common)
	log := httplog.New(settings.Platform.LogURL, settings.Platform.VMListURL, settings.Platform.Timeout.Std())
	incarnation := ident.New()
	return gateway.Run(ctx, settings, gateway.Dependencies{
		NewConfig: func(peers func() []string) gateway.Config {
			return configlog.NewReplica(configlog.Options{Log: log, Peers: peers, Events: events})
		},
		Ledger: ledger.NewDriver(ledger.Options{
			Log: log, Incarnation: incarnation, Address: settings.PeerListen, Events: events,
			Retention: settings.ClaimsRetention.Std(),
		}),
		HashKey:      ledger.HashKey,
		ParseKeyTime: ledger.ParseKeyTime,
		Incarnation:  incarnation,
		Events:       events,
	})
}
