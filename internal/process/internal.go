package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// internalName begins the names of the metrics of internal requests.
const internalName = "internal"

// Internal serves the addresses of a process that other processes of the site, operators and monitoring use. What their requests can
// make the process hold is bounded over all these addresses.
type Internal struct {
	limits settings.InternalLimits
	bodies *intake.Bodies
	heads  *bytelimit.Budget
	events *event.Log
}

// NewInternal returns a server of internal addresses.
func NewInternal(limits settings.InternalLimits, events *event.Log) *Internal {
	return &Internal{
		limits: limits, events: events, heads: connset.NewHeadBudget(internalName+".heads", int64(limits.HeadsBytes)),
		bodies: intake.New(intake.Limits{
			Name: internalName, Bytes: int64(limits.BodiesBytes), Stall: limits.BodyTimeout.Std(), Timeout: limits.BodyTimeout.Std(),
			DelimiterRate: limits.DelimiterRate, Events: events,
		}),
	}
}

// Serve serves HTTP on address until ctx ends. Then it waits up to the duration shutdown for the requests in progress.
func (i *Internal) Serve(ctx context.Context, address string, handler http.Handler, shutdown time.Duration) error {
	listener, err := ListenTCP(address, 0)
	if err != nil {
		return err
	}
	return i.ServeListener(ctx, listener, handler, shutdown)
}

// ServeListener is like Serve, but uses an open listener. It serves DefaultConnections at the same time.
func (i *Internal) ServeListener(ctx context.Context, listener net.Listener, handler http.Handler, shutdown time.Duration) error {
	bounded := i.bodies.Handler(i.bodies.Buffer(int64(i.limits.BodyBytes), handler))
	return ServeLimited(ctx, listener, bounded, shutdown, connset.Options{
		Limit: DefaultConnections, WriteTimeout: i.limits.BodyTimeout.Std(), Heads: i.heads, Events: i.events,
	})
}
