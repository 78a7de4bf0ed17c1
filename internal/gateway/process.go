package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

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
	// idleSchedulerConnections is per scheduler: one for the long sync and one for extra ones.
	idleSchedulerConnections = 2
	// peerShutdown bounds the end of the admin and peer endpoints, whose requests are short.
	peerShutdown = 2 * time.Second
	// queueShare is the part of the shutdown timeout after which queued requests are given up on, so that their
	// answers and the running requests still end within it.
	queueShare = 0.8
	// lastSyncTimeout bounds the last sync, which says that the gateway leaves.
	lastSyncTimeout = time.Second
)

// Config is the process's replica of the configuration.
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
	// Drain waits until the outcomes that were handed over are on the log.
	Drain(ctx context.Context) error
}

// Dependencies are what the process needs from outside the package.
type Dependencies struct {
	// NewConfig returns the replica; peers gives the RPC addresses from which it may fetch records.
	NewConfig    func(peers func() []string) Config
	Ledger       Ledger
	HashKey      func(key, target string) ledger.KeyHash
	ParseKeyTime func(key, header string) (time.Time, error)
	Incarnation  string
	Events       *event.Log
	// Now is the clock; nil means the system's.
	Now func() time.Time
}

// server is the running process.
type server struct {
	settings     Settings
	dependencies Dependencies
	config       Config
	permits      *permits.Client
	gateway      *Gateway
	recorder     *decision.Recorder
	callers      *http.Server
}

// Run serves until ctx ends and the graceful shutdown is complete.
func Run(ctx context.Context, settings Settings, dependencies Dependencies) error {
	listeners, err := listen(settings)
	if err != nil {
		return err
	}
	return newServer(settings, dependencies).run(ctx, listeners)
}

// run serves on the listeners for callers, peers and operators.
func (s *server) run(ctx context.Context, listeners []net.Listener) error {
	events := s.dependencies.Events
	events.Emit(event.ProcessStarted, event.Fields{
		"listen": listeners[0].Addr().String(), "version": process.Version(),
	})
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, duties := errgroup.WithContext(duties)
	s.start(duties, group, listeners)
	select {
	case <-ctx.Done():
		s.shutDown(duties)
	case <-duties.Done():
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

// listen opens the listeners for callers, peers and operators. TLS is for callers only.
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
	s.gateway = New(settings, Parts{
		Config: s.config, Permits: s.permits, Claims: dependencies.Ledger,
		HashKey: dependencies.HashKey, ParseKeyTime: dependencies.ParseKeyTime,
		Recorder: s.recorder, Events: dependencies.Events, Now: dependencies.Now,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	s.callers = &http.Server{
		Handler: s.gateway.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: callerHeaderBytes,
	}
	return s
}

// start starts the duties.
func (s *server) start(ctx context.Context, group *errgroup.Group, listeners []net.Listener) {
	group.Go(func() error { return s.config.Run(ctx) })
	group.Go(func() error { return s.dependencies.Ledger.Run(ctx) })
	group.Go(func() error { return s.permits.Run(ctx) })
	group.Go(func() error { return s.gateway.Dispatch(ctx) })
	group.Go(func() error { return process.ServeListener(ctx, listeners[1], s.peerHandler(), peerShutdown) })
	group.Go(func() error { return process.ServeListener(ctx, listeners[2], s.adminHandler(), peerShutdown) })
	group.Go(func() error {
		err := s.callers.Serve(listeners[0])
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

// ready leaves the ledger out: while the log is down, idempotent requests are served and others are refused as not run.
func (s *server) ready() error {
	if err := s.config.Ready(); err != nil {
		return err
	}
	return s.gateway.Ready()
}

// shutDown serves on for the announced period, and then finishes the requests in progress, the ledger and the syncs.
func (s *server) shutDown(duties context.Context) {
	s.dependencies.Events.Emit(event.ProcessStopping, event.Fields{"announcePeriod": s.settings.AnnouncePeriod.Std().String()})
	s.gateway.AnnounceStop()
	delay.For(duties, s.settings.AnnouncePeriod.Std())
	timeout := s.settings.ShutdownTimeout.Std()
	bounded, cancel := context.WithTimeout(duties, timeout)
	defer cancel()
	giveUp := time.AfterFunc(time.Duration(float64(timeout)*queueShare), s.gateway.GiveUpQueued)
	defer giveUp.Stop()
	if err := s.callers.Shutdown(bounded); err != nil {
		s.dependencies.Events.EmitError(event.ProcessFailed, err, event.Fields{"duty": "finish requests in progress"})
		_ = s.callers.Close()
	}
	if err := s.dependencies.Ledger.Drain(bounded); err != nil {
		s.dependencies.Events.EmitError(event.ProcessFailed, err, event.Fields{"duty": "drain the ledger"})
	}
	last, done := context.WithTimeout(duties, lastSyncTimeout)
	defer done()
	s.permits.Leave(last)
}
