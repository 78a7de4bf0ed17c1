package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/standin/engine"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
	"waxwingcleat.example/waxwingcleat/internal/standin/logservice"
	"waxwingcleat.example/waxwingcleat/internal/standin/netfault"
	"waxwingcleat.example/waxwingcleat/internal/standin/service"
	"waxwingcleat.example/waxwingcleat/internal/standin/vmlist"
	"waxwingcleat.example/waxwingcleat/internal/standin/weights"
)

// Targets of faults that aren't the name of an engine, service or VM.
const (
	// TargetLog is the log service for the callers of all zones; TargetLog + "/" + zone is limited to those of one zone.
	TargetLog = "log"
	// TargetPlatform is the set of connections to the platform's endpoint without a zone; TargetPlatform + "/" + zone is
	// the set of one zone, so that freezing it partitions the zone from the platform.
	TargetPlatform = "platform"
	// TargetAdmin is the target of the admin address in Address.
	TargetAdmin = "admin"
)

// shutdownTimeout is short, because open streams and long reads of the stand-ins need no graceful shutdown.
const shutdownTimeout = 500 * time.Millisecond

// server is one listener with the handler that serves it.
type server struct {
	listener *netfault.Listener
	handler  http.Handler
}

// Site runs all stand-ins of one process.
type Site struct {
	Faults   *fault.Registry
	Log      *logservice.Service
	VMs      *vmlist.List
	Weights  *weights.Store
	Engines  map[string]*engine.Engine
	Services map[string]*service.Service

	events  *event.Log
	servers map[string]server
}

// Counters is the answer to GET /counters.
type Counters struct {
	// EvictedInUse is the sum of the engines' counters of that name.
	EvictedInUse int                         `json:"evictedInUse"`
	Log          logservice.Counters         `json:"log"`
	Weights      weights.Counters            `json:"weights"`
	Engines      map[string]engine.Counters  `json:"engines"`
	Services     map[string]service.Counters `json:"services"`
}

// New builds the stand-ins and listens on every address. Port 0 selects a free port; see Address.
func New(options Settings, events *event.Log) (*Site, error) {
	faults := fault.NewRegistry(time.Now, func(order fault.Order) {
		events.Emit(event.FaultSwitched, event.Fields{
			"target": order.Target, "kind": order.Kind, "duration": order.Duration.Std().String(), "count": order.Count,
		})
	})
	site := &Site{
		Faults:   faults,
		Weights:  weights.NewStore(options.Weights.LoadsPerSecond, faults),
		Engines:  make(map[string]*engine.Engine),
		Services: make(map[string]*service.Service),
		events:   events,
		servers:  make(map[string]server),
	}
	if err := site.build(options); err != nil {
		site.Close()
		return nil, err
	}
	return site, nil
}

func (s *Site) build(options Settings) error {
	if err := s.addPlatform(options); err != nil {
		return err
	}
	for _, option := range options.Engines {
		if err := s.addEngine(option.withDefaults()); err != nil {
			return err
		}
	}
	for _, option := range options.Services {
		s.Services[option.Name] = service.New(option.Name, option.Work.Std(), s.Faults)
		if _, err := s.listen(option.Address, option.Name, s.Services[option.Name]); err != nil {
			return err
		}
	}
	_, err := s.listen(options.AdminListen, TargetAdmin, s.adminHandler())
	return err
}

func (s *Site) addPlatform(options Settings) error {
	p := options.Platform
	s.Log = logservice.New(logservice.Options{
		Retention:        logservice.Retention{Age: p.Retention.Std(), Records: p.RetentionRecords},
		AppendsPerSecond: float64(p.AppendsPerSecond),
		Burst:            p.AppendBurst,
		Now:              time.Now,
	}, s.Faults)
	s.VMs = vmlist.New(listedVMs(options), p.VMLag.Std(), s.Faults, time.Now)
	for _, endpoint := range p.Endpoints {
		target, logTargets := TargetPlatform, []string{TargetLog}
		if endpoint.Zone != "" {
			target += "/" + endpoint.Zone
			logTargets = append(logTargets, TargetLog+"/"+endpoint.Zone)
		}
		mux := http.NewServeMux()
		mux.Handle("/log/", s.Log.Handler(logTargets...))
		mux.Handle(httplog.VMsPath, s.VMs)
		if _, err := s.listen(endpoint.Address, target, mux); err != nil {
			return err
		}
	}
	return nil
}

// listedVMs returns the entry VMs and the VMs of the engines and services.
func listedVMs(options Settings) []platform.VM {
	var list []platform.VM
	for _, vm := range options.Platform.VMs {
		setDefault(&vm.State, platform.VMLive)
		list = append(list, vm)
	}
	for _, option := range options.Engines {
		list = append(list, platform.VM{
			Name: option.Name, Zone: option.Zone, Address: option.Address, State: platform.VMLive,
		})
	}
	for _, option := range options.Services {
		list = append(list, platform.VM{
			Name: option.Name, Zone: option.Zone, Address: option.Address, State: platform.VMLive,
		})
	}
	return list
}

func (s *Site) addEngine(option EngineOptions) error {
	handler := &deferredHandler{}
	listener, err := s.listen(option.Address, option.Name, handler)
	if err != nil {
		return err
	}
	built := engine.New(engine.Options{
		Name: option.Name, BaseModel: option.BaseModel, Slots: option.Slots, Concurrency: option.Concurrency,
		ChecksFence: option.ChecksFence, Step: option.Step.Std(), ReportLag: option.ReportLag.Std(), RequestRetention: option.RequestRetention.Std(),
	}, s.Weights, listener, s.Faults, s.events)
	handler.Handler = built.Handler()
	s.Engines[option.Name] = built
	return nil
}

// deferredHandler is a handler that is set after the listener is opened, because an engine needs its listener. It must
// be set before the server starts.
type deferredHandler struct{ http.Handler }

// listen opens an address. The admin address has no faults, because a frozen one could not clear its own fault.
func (s *Site) listen(address, target string, handler http.Handler) (*netfault.Listener, error) {
	listener, err := netfault.Listen(address, target, s.Faults)
	if err != nil {
		return nil, err
	}
	s.servers[target] = server{listener: listener, handler: handler}
	if target != TargetAdmin {
		listener.DeclareFaults()
	}
	return listener, nil
}

// Address returns the address of an engine, a service, the platform (TargetPlatform, with "/" and the zone if it
// has one) or the admin endpoint. It is empty for unknown targets.
func (s *Site) Address(target string) string {
	found, ok := s.servers[target]
	if !ok {
		return ""
	}
	return found.listener.Addr().String()
}

// Close closes all listeners and connections. It is needed only when Run isn't called.
func (s *Site) Close() {
	for _, server := range s.servers {
		_ = server.listener.Close()
		server.listener.Break()
	}
}

// Start serves in the background, for tests. The returned function stops it and returns the error of Run.
func (s *Site) Start() (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- s.Run(ctx) }()
	return func() error {
		cancel()
		return <-result
	}
}

// Run serves until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for target, server := range s.servers {
		s.events.Emit(event.StandinListening, event.Fields{"target": target, "address": s.Address(target)})
		group.Go(func() error { return serve(ctx, server) })
	}
	for _, e := range s.Engines {
		group.Go(func() error { return e.Run(ctx) })
	}
	return group.Wait()
}

func serve(ctx context.Context, s server) error {
	defer s.listener.Break()
	err := process.ServeLimited(ctx, s.listener, s.handler, shutdownTimeout, connset.Options{Limit: process.DefaultConnections})
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// Counters returns the current counters of all stand-ins.
func (s *Site) Counters() Counters {
	counters := Counters{
		Log: s.Log.Counters(), Weights: s.Weights.Counters(),
		Engines: make(map[string]engine.Counters), Services: make(map[string]service.Counters),
	}
	for name, e := range s.Engines {
		counters.Engines[name] = e.Counters()
		counters.EvictedInUse += counters.Engines[name].EvictedInUse
	}
	for name, plain := range s.Services {
		counters.Services[name] = plain.Counters()
	}
	return counters
}

func (s *Site) adminHandler() http.Handler {
	admin := process.NewAdmin(func() error { return nil })
	admin.Mux.Handle("/faults", s.Faults)
	admin.Mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Counters())
	})
	return admin.Mux
}
