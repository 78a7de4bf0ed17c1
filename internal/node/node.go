package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/steptime"
	"waxwingcleat.example/waxwingcleat/internal/storeera"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

const (
	// connectTimeout bounds one connection to a backend server, which is at most a few milliseconds away.
	connectTimeout = 250 * time.Millisecond
	// headerTimeout, idleTimeout and headerBytes are the limits that the operators of both deployments declare. They
	// are constants because net/http needs them when the server starts, before the configuration is known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
	// unreadyPeriod is how long a stopping node accepts connections after it has become unready: the load balancer
	// probes each second and needs two failed probes, and the platform expects that requests sent over 3 s after the
	// signal succeed.
	unreadyPeriod = 2400 * time.Millisecond
	// shutdownMargin is the part of the shutdown timeout that is reserved for ending the process.
	shutdownMargin = 400 * time.Millisecond
	// memoryLimitShare is the Go memory limit as a share of the configured memory.
	memoryLimitShare = 0.6
	// heldAnswersShare is the share of the configured memory for servers' answers that are held, beside heldPerAnswer bytes of each.
	heldAnswersShare = 0.1
	heldPerAnswer    = 16 << 10
	// largeAnswersShare is the share of the network link that large answers may take, assumedLinkMbps the link's bandwidth in
	// Mbit/s if the settings don't say it.
	largeAnswersShare = 0.5
	assumedLinkMbps   = 200
	// endTimeout bounds the time for the answers to requests that are in progress at the end of a shutdown.
	endTimeout = 150 * time.Millisecond
	// idleCloseInterval is the time between two attempts to close idle connections during a shutdown.
	idleCloseInterval = 20 * time.Millisecond
	// auxiliaryShutdownTimeout bounds the shutdown of the HTTP servers for readiness, administration and peers.
	auxiliaryShutdownTimeout = 200 * time.Millisecond
)

// Dependencies are the clients and hooks that a node gets from its caller.
type Dependencies struct {
	Store serving.Store
	// StoreEras holds the eras of the store that its answers name.
	StoreEras *storeera.Tracker
	Servers   serving.ModelServers
	Wire      serving.Wire
	// Connections is the pool of connections to backend servers.
	Connections *upstream.Pool
	Events      *event.Log
	// LinesDropped returns how many log lines were dropped since the last call because the log's reader was too slow.
	LinesDropped func() int64
	// Reloads receives a value when the settings file has to be read again.
	Reloads <-chan os.Signal
	// Reload reads the settings file again.
	Reload func() (Settings, error)
}

// Node is a serving node.
type Node struct {
	settings     Settings
	store        serving.Store
	eras         *storeera.Tracker
	servers      serving.ModelServers
	events       *event.Log
	view         *serverview.View
	usage        *usage.Tracker
	eventGaps    *eventgap.Observer
	stepTimes    *steptime.Observer
	forwarder    *forward.Forwarder
	leases       *leases
	holders      *holders
	admission    *admissionClient
	origins      *origins
	sightings    *sightings
	notices      *notices
	limits       *limits
	slots        *slots
	tolerances   *tolerances
	quotas       *quotas
	crashes      *crashes
	reach        *reach
	keys         *keys
	watch        *watch
	peers        *peers
	link         *peerlink.Link
	reload       func() (Settings, error)
	linesDropped func() int64
	// operatorAge is the age of what this node knows of the operators' records, in milliseconds.
	operatorAge metrics.Gauge

	// callers tracks the open connections of callers.
	callers *connset.Set
	// bodies reads the bodies of the requests of callers and other nodes.
	bodies *intake.Bodies
	// heads bounds the memory of the heads of the requests at all addresses.
	heads *bytelimit.Budget

	connections *upstream.Pool
	// publishNow receives a value when a state has to be published without waiting for the end of the batch period.
	publishNow chan struct{}
	startedAt  time.Time
	// ctx is cancelled when the background tasks have to end.
	ctx              context.Context
	storeUnavailable atomic.Bool
	// storeReturned is true once the store has returned from a copy while this process ran.
	storeReturned atomic.Bool
	entriesMu     sync.Mutex
	// entriesNext is the position in the servers' topic up to which the entries were applied.
	entriesNext serving.Position
	// rewrittenBy is when servers have written again what the store lacks since it returned from a copy.
	rewrittenBy time.Time
	// appliedAhead holds, by server, the position of a digest whose change of the entry was applied while others up to it may be
	// missing.
	appliedAhead map[string]serving.Position
	// reconcilePending is true when entries have changed and the holders have not been reconciled yet.
	reconcilePending atomic.Bool
	stopping         atomic.Bool
}

// Run serves until ctx ends, then shuts down gracefully and returns.
func Run(ctx context.Context, settings Settings, dependencies Dependencies) error {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryMB) * (1 << 20)))
	link, err := peerlink.Listen(settings.PeerListen, settings.Node.Zone, dependencies.Events)
	if err != nil {
		return err
	}
	link.SetLinkMbps(settings.LinkMbps)
	n := newNode(settings, dependencies, link)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	return n.run(ctx, listeners, dependencies.Reloads)
}

func newNode(settings Settings, d Dependencies, link *peerlink.Link) *Node {
	n := &Node{
		settings: settings, store: d.Store, eras: d.StoreEras, servers: d.Servers, events: d.Events, reload: d.Reload,
		linesDropped: d.LinesDropped, link: link, connections: d.Connections, publishNow: make(chan struct{}, 1),
		view: serverview.New(), usage: usage.New(link.Address()), peers: newPeers(),
		bodies: intake.New(settings.bodyLimits(d.Events)), heads: settings.headBudget(),
		watch: newWatch(), startedAt: time.Now(), eventGaps: eventgap.New(), stepTimes: steptime.NewObserver(),
		appliedAhead: make(map[string]serving.Position),
		operatorAge:  metrics.GetOrRegisterGauge("watch.operatorAgeMs", nil),
	}
	n.leases = newLeases(serverlease.Options{
		Partitions: settings.Store.Partitions, TTL: leaseTTL, TurnInterval: turnInterval, Fenced: settings.OrdersFenced,
		StartedAt: bootTime(),
	})
	n.callers = connset.New(n.connectionLimits(settings.callerConnections()))
	n.holders = newHolders(n)
	n.admission = newAdmissionClient(n)
	n.origins = newOrigins(n)
	n.sightings = newSightings(n)
	n.notices = newNotices(n)
	n.limits = newLimits(n)
	n.tolerances = newTolerances(n)
	n.slots = newSlots(n)
	n.quotas = newQuotas(n)
	n.crashes = newCrashes(n)
	n.reach = newReach(n)
	n.keys = newKeys(n)
	n.watch.proofDue = n.keys.readDue
	if n.eras == nil {
		n.eras = storeera.NewTracker()
	}
	n.eras.OnChange(n.applyEra)
	pacer := newPacer(settings.LinkMbps)
	n.connections.Pace(pacer)
	n.connections.OnIdleDropsDetected(func() { n.events.Emit(event.IdleConnectionsReset, nil) })
	n.forwarder = forward.New(forward.Options{
		Wire: d.Wire, View: n.view, Usage: n.usage, Transport: d.Connections, Gate: n.admission, EventGaps: n.eventGaps,
		Origins: n.origins, Notices: n.notices, Limits: n.limits, Tolerances: n.tolerances, Slots: n.slots, Crashes: n.crashes,
		Peers: n.reach,
		Keys:  n.keys.forwarderKeys(), StepTimes: n.recordEvent, Bodies: n.bodies,
		Held:          bytelimit.NewBudget("upstream", int64(heldAnswersShare*float64(settings.MemoryMB)*(1<<20)), heldPerAnswer),
		PeerTransport: upstream.NewPacedTransport(connectTimeout, false, pacer), Zone: settings.Node.Zone, Events: d.Events,
		RetryBudget: retrybudget.Options{
			Ratio: settings.RetryBudget.Ratio, Slack: settings.RetryBudget.Slack, Window: settings.RetryBudget.Window.Std(),
		},
		ConfigAge: n.watch.operatorAge, Nodes: n.peers.count, Quotas: n.quotas, BootTime: bootTime,
	})
	return n
}

// newPacer returns the pacer of large answers for a network link of such a bandwidth, 0 if it isn't known.
func newPacer(linkMbps float64) *bytelimit.Pacer {
	const bitsPerByte = 8
	if linkMbps <= 0 {
		linkMbps = assumedLinkMbps
	}
	return bytelimit.NewPacer("upstream", largeAnswersShare*linkMbps*1e6/bitsPerByte)
}

// listeners are the node's listening TCP sockets.
type listeners struct{ callers, ready, admin, peers net.Listener }

func (n *Node) listen() (l listeners, err error) {
	for _, endpoint := range []struct {
		address  string
		listener *net.Listener
	}{
		{n.settings.Listen, &l.callers}, {n.settings.ReadyListen, &l.ready}, {n.settings.AdminListen, &l.admin},
		{n.settings.PeerListen, &l.peers},
	} {
		if *endpoint.listener, err = process.ListenTCP(endpoint.address, n.settings.Callers.BufferKB*kilobyte); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (n *Node) run(ctx context.Context, l listeners, reloads <-chan os.Signal) error {
	n.events.Emit(event.ProcessStarted, event.Fields{"listen": n.settings.Listen, "version": process.Version()})
	tasks, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, tasks := errgroup.WithContext(tasks)
	n.ctx = tasks
	callers := &http.Server{
		Handler: n.bodies.Handler(process.ResetOnAbort(n.forwarder)), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes,
	}
	n.callers.Attach(callers)
	n.start(group, callers, l)
	group.Go(func() error { return n.watchSettings(n.ctx, reloads) })
	select {
	case <-ctx.Done():
		n.shutDown(callers, l.callers)
	case <-tasks.Done():
	}
	stop()
	if err := group.Wait(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	n.events.Emit(event.ProcessStopped, nil)
	return nil
}

// start starts one goroutine for each background task and each listener.
func (n *Node) start(group *errgroup.Group, callers *http.Server, l listeners) {
	group.Go(func() error { return n.link.Run(n.ctx, n.handleMessage) })
	group.Go(func() error { return n.syncOperator(n.ctx) })
	group.Go(func() error { return n.syncServers(n.ctx) })
	group.Go(func() error { return n.renewLeases(n.ctx) })
	group.Go(func() error { return n.sendUsage(n.ctx) })
	group.Go(func() error { return n.origins.send(n.ctx) })
	group.Go(func() error { return n.origins.log.run(n.ctx) })
	group.Go(func() error { return n.sightings.run(n.ctx) })
	group.Go(func() error { return n.notices.run(n.ctx) })
	group.Go(func() error { return n.limits.run(n.ctx) })
	group.Go(func() error { return n.slots.run(n.ctx) })
	group.Go(func() error { return n.quotas.run(n.ctx) })
	group.Go(func() error { return n.crashes.run(n.ctx) })
	group.Go(func() error { return n.reach.run(n.ctx) })
	group.Go(func() error { return n.keys.run(n.ctx) })
	group.Go(func() error { return n.publishStates(n.ctx) })
	group.Go(func() error { return n.sendDigests(n.ctx) })
	group.Go(func() error { return n.fetchFromPeers(n.ctx) })
	group.Go(func() error {
		peers := n.bodies.Handler(process.ResetOnAbort(n.servePeer(n.peerSnapshotHandler())))
		return process.ServeLimited(n.ctx, l.peers, peers, auxiliaryShutdownTimeout, n.connectionLimits(n.settings.peerConnections()))
	})
	group.Go(func() error { return n.reportDropped(n.ctx) })
	group.Go(func() error {
		err := callers.Serve(n.callers.Listener(l.callers))
		if n.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error { return n.serveAuxiliary(l.ready, http.HandlerFunc(n.serveReady)) })
	group.Go(func() error { return n.serveAuxiliary(l.admin, n.adminHandler()) })
}

// serveAuxiliary serves the platform's probes or operators.
func (n *Node) serveAuxiliary(listener net.Listener, handler http.Handler) error {
	return process.ServeLimited(n.ctx, listener, n.bodies.Handler(handler), auxiliaryShutdownTimeout, n.connectionLimits(auxiliaryConnections))
}

// connectionLimits returns the limits of a listener with so many connections.
func (n *Node) connectionLimits(connections int) connset.Options {
	return n.settings.connectionLimits(connections, n.heads, n.events)
}

// adminHandler returns the handler of the admin address.
func (n *Node) adminHandler() http.Handler {
	admin := process.NewAdmin(n.ready)
	n.crashes.handle(admin.Mux)
	n.handleWhere(admin.Mux)
	return admin.Mux
}

var (
	errStopping = errors.New("the node is stopping")
	errNoConfig = errors.New("no configuration is known yet")
	errNoServer = errors.New("the servers are not known yet")
)

func (n *Node) ready() error {
	switch {
	case n.stopping.Load():
		return errStopping
	case n.forwarder.Config() == nil:
		return errNoConfig
	case !n.watch.serversKnown():
		return errNoServer
	}
	return nil
}

// serveReady answers the readiness probe of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown stops accepting callers, finishes the requests in progress and releases the leases.
func (n *Node) shutDown(callers *http.Server, listener net.Listener) {
	deadline := time.Now().Add(n.settings.ShutdownTimeout.Std() - shutdownMargin)
	n.stopping.Store(true)
	n.events.Emit(event.ProcessStopping, nil)
	n.forwarder.Drain()
	n.callers.Drain()
	delay.For(n.ctx, unreadyPeriod)
	if err := listener.Close(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
	}
	n.forwarder.Close()
	for n.callers.CloseIdle() > 0 && time.Now().Before(deadline) {
		delay.For(n.ctx, idleCloseInterval)
	}
	if open := n.callers.CloseIdle(); open > 0 {
		n.events.Emit(event.AnswerBroken, event.Fields{
			"reason": "requests were in progress at the end of the shutdown", "open": open,
		})
	}
	for n.forwarder.Taken() > 0 && time.Now().Before(deadline) {
		delay.For(n.ctx, idleCloseInterval)
	}
	var left sync.WaitGroup
	defer left.Wait()
	if n.leases.isMember() {
		left.Go(n.leaveGroup)
	}
	n.endRequests()
	if err := callers.Close(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
	}
}

// endRequests answers the requests that are still in progress, whose outcome is unknown.
func (n *Node) endRequests() {
	n.forwarder.End()
	for end := time.Now().Add(endTimeout); time.Now().Before(end) && n.callers.CloseIdle()+int(n.forwarder.Taken()) > 0; {
		delay.For(n.ctx, idleCloseInterval)
	}
}

// leaveTimeout bounds the call that releases the leases.
const leaveTimeout = 200 * time.Millisecond

func (n *Node) leaveGroup() {
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	if err := n.store.Leave(ctx, n.link.Address()); err != nil {
		n.events.EmitError(event.StoreLost, err, nil)
	}
}

// droppedPeriod is the time between two checks for dropped log lines.
const droppedPeriod = 5 * time.Second

// reportDropped logs how many log lines were dropped.
func (n *Node) reportDropped(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, droppedPeriod)
		if dropped := n.linesDropped(); dropped > 0 {
			n.events.Emit(event.LinesDropped, event.Fields{"unread": dropped})
		}
	}
	return nil
}

// watchSettings reloads the settings on each signal.
func (n *Node) watchSettings(ctx context.Context, signals <-chan os.Signal) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			n.reloadSettings()
		}
	}
}

func (n *Node) reloadSettings() {
	reloaded, err := n.reload()
	if err != nil {
		n.events.EmitError(event.SettingsNotReloaded, err, nil)
		return
	}
	// The log level is the only setting that takes effect without a restart.
	atRestart := reloaded
	atRestart.LogLevel = n.settings.LogLevel
	n.events.SetLevel(reloaded.LogLevel)
	n.events.Emit(event.SettingsReloaded, event.Fields{
		"logLevel": reloaded.LogLevel, "needsRestart": atRestart != n.settings,
	})
}

// NewConnections returns a pool of connections to backend servers.
func NewConnections() *upstream.Pool { return upstream.NewPool(upstream.NewDial(connectTimeout)) }
