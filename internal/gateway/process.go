package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

const (
	headerTimeout     = 5 * time.Second
	idleTimeout       = 90 * time.Second
	callerHeaderBytes = 32 << 10
	// idleSchedulerConnections is the number of idle connections per scheduler: one for the long-poll sync and one for
	// additional syncs.
	idleSchedulerConnections = 2
	// peerShutdownTimeout bounds the shutdown of the admin and peer endpoints, whose requests are short.
	peerShutdownTimeout = 2 * time.Second
	// queueTimeoutShare is the share of the shutdown timeout after which queued requests are rejected. The rest is left
	// for sending their answers and finishing running requests.
	queueTimeoutShare = 0.8
	// lastSyncTimeout bounds the last sync, which reports to the schedulers that the gateway is leaving.
	lastSyncTimeout = time.Second
)

// Config is the gateway's replica of the configuration.
type Config interface {
	resource.Source
	Run(ctx context.Context) error
	Ready() error
	Feed() http.Handler
}

// Ledger is the at-most-once ledger.
type Ledger interface {
	ledger.Claims
	Run(ctx context.Context) error
	// Handler is mounted at peerpb.ClaimsPathPrefix.
	Handler() http.Handler
	Ready() error
	// Drain waits until all completed outcomes are written to the log.
	Drain(ctx context.Context) error
}

// Dependencies are the components that the caller of Run provides.
type Dependencies struct {
	// NewConfig returns the replica; peers returns the RPC addresses from which it may fetch records.
	NewConfig    func(peers func() []string) Config
	Ledger       Ledger
	HashKey      func(key, target string) ledger.KeyHash
	ParseKeyTime func(key, header string) (time.Time, error)
	Incarnation  string
	Events       *event.Log
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// server holds the components of a running gateway process.
type server struct {
	settings     Settings
	dependencies Dependencies
	config       Config
	permits      *permits.Client
	gateway      *Gateway
	recorder     *decision.Recorder
	callers      *http.Server
	connections  *connset.Set
}

// Run serves until ctx ends, and then shuts down gracefully.
func Run(ctx context.Context, settings Settings, dependencies Dependencies) error {
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	return newServer(settings, dependencies).run(ctx, listeners)
}

// run serves on the listeners for callers, peers and operators, in this order.
func (s *server) run(ctx context.Context, listeners []net.Listener) error {
	events := s.dependencies.Events
	events.Emit(event.ProcessStarted, event.Fields{
		"listen": listeners[0].Addr().String(), "version": process.Version(),
	})
	taskCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, taskCtx := errgroup.WithContext(taskCtx)
	s.start(taskCtx, group, listeners)
	select {
	case <-ctx.Done():
		s.shutDown(taskCtx)
	case <-taskCtx.Done():
		_ = s.callers.Close()
	}
	stop()
	if err := group.Wait(); err != nil {
		events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	events.Emit(event.ProcessStopped, nil)
	return nil
}

// listen opens the listeners for callers, peers and operators, in this order. Only the listener for callers uses TLS.
func listen(s Settings) ([]net.Listener, error) {
	endpoints := []struct {
		address string
		tls     settings.TLS
	}{{address: s.Listen, tls: s.TLS}, {address: s.PeerListen}, {address: s.AdminListen}}
	var listeners []net.Listener
	for _, endpoint := range endpoints {
		listener, err := process.Listen(endpoint.address, endpoint.tls)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func newServer(settings Settings, dependencies Dependencies) *server {
	if dependencies.Now == nil {
		dependencies.Now = time.Now
	}
	s := &server{settings: settings, dependencies: dependencies}
	s.recorder = decision.NewRecorder(dependencies.Events, event.RoutingDecided, settings.DecisionsKept)
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleSchedulerConnections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: settings.SyncTimeout.Std()}).DialContext,
	}
	s.permits = permits.NewClient(permits.Options{
		Identity: permits.Identity{
			Process: settings.Node.Name + "/gateway", Incarnation: dependencies.Incarnation,
			Node: settings.Node.Name, Address: settings.PeerListen,
		},
		Schedulers: settings.Schedulers,
		Timeout:    settings.SyncTimeout.Std(),
		Report:     func(now time.Time) permits.Report { return s.gateway.Report(now) },
		Dial:       permits.DialHTTP(&http.Client{Transport: transport}),
		Events:     dependencies.Events,
		Now:        dependencies.Now,
	})
	s.config = dependencies.NewConfig(s.permits.Peers)
	s.gateway = New(settings, Components{
		Config: s.config, Permits: s.permits, Claims: dependencies.Ledger,
		HashKey: dependencies.HashKey, ParseKeyTime: dependencies.ParseKeyTime,
		Recorder: s.recorder, Events: dependencies.Events, Now: dependencies.Now,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	s.callers = &http.Server{
		Handler: s.gateway.bodies.Handler(process.ResetOnAbort(s.gateway.Handler())), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: callerHeaderBytes,
	}
	s.connections = connset.New(connset.Options{
		Limit: settings.MaximumConnections, WriteTimeout: settings.CallerWriteTimeout.Std(),
		Heads: connset.NewHeadBudget(connset.CallersHeads, int64(settings.MaximumHeadsBytes)), Events: dependencies.Events,
	})
	s.connections.Attach(s.callers)
	return s
}

// start starts the background goroutines and the HTTP servers.
func (s *server) start(ctx context.Context, group *errgroup.Group, listeners []net.Listener) {
	group.Go(func() error { return s.config.Run(ctx) })
	group.Go(func() error { return s.dependencies.Ledger.Run(ctx) })
	group.Go(func() error { return s.permits.Run(ctx) })
	group.Go(func() error { return s.gateway.Dispatch(ctx) })
	internal := process.NewInternal(s.settings.Internal, s.dependencies.Events)
	group.Go(func() error { return internal.ServeListener(ctx, listeners[1], s.peerHandler(), peerShutdownTimeout) })
	group.Go(func() error { return internal.ServeListener(ctx, listeners[2], s.adminHandler(), peerShutdownTimeout) })
	group.Go(func() error {
		err := s.callers.Serve(s.connections.Listener(listeners[0]))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
}

func (s *server) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpb.ConfigFeedPathPrefix, s.config.Feed())
	mux.Handle(peerpb.ClaimsPathPrefix, s.dependencies.Ledger.Handler())
	return mux
}

func (s *server) adminHandler() http.Handler {
	admin := process.NewAdmin(s.ready)
	admin.Mux.Handle("GET /debug/decisions", s.recorder)
	return admin.Mux
}

// ready ignores the ledger's readiness: while the log service is down, idempotent requests are still served, and
// non-idempotent ones are rejected as not run.
func (s *server) ready() error {
	if err := s.config.Ready(); err != nil {
		return err
	}
	return s.gateway.Ready()
}

// shutDown continues to serve for the announce period, finishes the requests in progress, drains the ledger and reports
// to the schedulers that the gateway is leaving.
func (s *server) shutDown(taskCtx context.Context) {
	s.dependencies.Events.Emit(event.ProcessStopping, event.Fields{"announcePeriod": s.settings.AnnouncePeriod.Std().String()})
	s.gateway.BeginShutdown()
	delay.For(taskCtx, s.settings.AnnouncePeriod.Std())
	timeout := s.settings.ShutdownTimeout.Std()
	shutdownCtx, cancel := context.WithTimeout(taskCtx, timeout)
	defer cancel()
	rejectTimer := time.AfterFunc(time.Duration(float64(timeout)*queueTimeoutShare), s.gateway.RejectQueued)
	defer rejectTimer.Stop()
	if err := s.callers.Shutdown(shutdownCtx); err != nil {
		s.dependencies.Events.EmitError(event.ProcessFailed, err, event.Fields{"duty": "finish requests in progress"})
		_ = s.callers.Close()
	}
	if err := s.dependencies.Ledger.Drain(shutdownCtx); err != nil {
		s.dependencies.Events.EmitError(event.ProcessFailed, err, event.Fields{"duty": "drain the ledger"})
	}
	leaveCtx, done := context.WithTimeout(taskCtx, lastSyncTimeout)
	defer done()
	s.permits.Leave(leaveCtx)
}
