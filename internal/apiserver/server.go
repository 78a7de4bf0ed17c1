package apiserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/configlog"
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// Server is one API server process.
type Server struct {
	settings Settings
	events   *event.Log
	replica  *configlog.Replica
	writer   *configlog.Writer
	nodes    *nodeTable
	watches  atomic.Int64
	bodies   *intake.Bodies
	// decoding is held while a body is being decoded, which takes a multiple of it.
	decoding sync.Mutex
	// stopping is closed when the graceful shutdown begins.
	stopping chan struct{}
}

// New returns a server that stores the configuration in log. Run starts it.
func New(settings Settings, log platform.Log, events *event.Log) *Server {
	s := &Server{settings: settings, events: events, stopping: make(chan struct{})}
	s.bodies = intake.New(intake.Limits{
		Bytes: int64(settings.Limits.BodiesBytes), Copies: bodyCopies, Stall: settings.Limits.BodyTimeout.Std(),
		Timeout: settings.Limits.BodyTimeout.Std(), DelimiterRate: settings.Limits.DelimiterRate, Events: events,
	})
	s.nodes = newNodeTable(s)
	s.replica = configlog.NewReplica(configlog.Options{Log: log, Peers: s.nodes.configPeers, Events: events})
	s.writer = configlog.NewWriter(s.replica, configlog.WriterOptions{RecordBytes: settings.Config.RecordBytes})
	return s
}

// Listen opens the listeners that the settings specify and runs the server on them.
func (s *Server) Listen(ctx context.Context) error {
	listener, err := process.Listen(s.settings.Listen, s.settings.TLS)
	if err != nil {
		return err
	}
	admin, err := process.ListenTCP(s.settings.AdminListen, 0)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	s.events.Emit(event.ProcessStarted, event.Fields{"listen": s.settings.Listen, "admin": s.settings.AdminListen})
	return s.Run(ctx, listener, admin)
}

// Run serves until ctx ends. The graceful shutdown ends watches with a bookmark and completes other requests. The
// replica is kept up to date until they are complete, because writes wait until their records are read back.
func (s *Server) Run(ctx context.Context, listener, admin net.Listener) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(background)
	snapshots := configlog.NewSnapshotWriter(s.replica, s.settings.Config.snapshotOptions())
	group.Go(func() error { return s.replica.Run(groupCtx) })
	group.Go(func() error { return snapshots.Run(groupCtx) })
	group.Go(func() error { return s.nodes.run(groupCtx) })
	group.Go(func() error { return s.serveAdmin(groupCtx, admin) })

	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	context.AfterFunc(groupCtx, stopServing)
	context.AfterFunc(serving, s.beginShutdown)
	err := process.ServeLimited(serving, listener, s.Handler(), s.settings.ShutdownTimeout.Std(), connset.Options{
		Limit: s.settings.Limits.Connections, WriteTimeout: s.settings.Limits.BodyTimeout.Std(),
		Heads: connset.NewHeadBudget(connset.CallersHeads, int64(s.settings.Limits.HeadsBytes)), Events: s.events,
	})
	stopBackground()
	err = errors.Join(err, group.Wait())
	s.events.Emit(event.ProcessStopped, nil)
	return err
}

func (s *Server) beginShutdown() {
	s.events.Emit(event.ProcessStopping, nil)
	close(s.stopping)
}

func (s *Server) serveAdmin(ctx context.Context, listener net.Listener) error {
	admin := process.NewAdmin(s.ready)
	internal := process.NewInternal(s.settings.Internal, s.events)
	return internal.ServeListener(ctx, listener, admin.Mux, s.settings.ShutdownTimeout.Std())
}

func (s *Server) ready() error {
	select {
	case <-s.stopping:
		return errors.New("the process is stopping")
	default:
		return s.replica.Ready()
	}
}

// Handler returns the handler of the resource API and of ConfigFeed.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/v1/{kind}", s.requireConfiguration(s.list))
	mux.HandleFunc("GET /apis/v1/{kind}/{name}", s.requireConfiguration(s.get))
	mux.HandleFunc("PUT /apis/v1/{kind}/{name}", s.requireConfiguration(s.put))
	mux.HandleFunc("DELETE /apis/v1/{kind}/{name}", s.requireConfiguration(s.remove))
	mux.HandleFunc("POST /apis/v1/batch", s.requireConfiguration(s.batch))
	mux.HandleFunc("GET /apis/v1/status", s.requireConfiguration(s.status))
	mux.Handle(peerpb.ConfigFeedPathPrefix, s.bodies.Buffer(feedRequestBytes, s.replica.Feed()))
	mux.HandleFunc("/", func(w http.ResponseWriter, request *http.Request) {
		writeError(w, &apiError{Code: codeNotFound, Message: "no endpoint " + request.Method + " " + request.URL.Path})
	})
	return s.bodies.Handler(mux)
}

// feedRequestBytes bounds a request for the configuration by another process, which holds two numbers.
const feedRequestBytes = 64 << 10

// requireConfiguration wraps a handler to reject requests until the configuration is known.
func (s *Server) requireConfiguration(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if err := s.replica.Ready(); err != nil {
			writeError(w, &apiError{Code: codeNotReady, Message: err.Error()})
			return
		}
		next(w, request)
	}
}
