package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverlease"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

const (
	// connectTimeout bounds one connection to a backend server, which is at most a few milliseconds away.
	connectTimeout = 250 * time.Millisecond
	// headerTimeout, idleTimeout and headerBytes are the limits that operators of both deployments declare. net/http
	// takes them when the server starts, before the configuration is known.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	headerBytes   = 16 << 10
	// stopAnnounced is how long a stopping node goes on taking requests: the load balancer asks each second and needs
	// two refusals, and the platform expects that requests sent over 3 s after the signal end well.
	stopAnnounced = 2400 * time.Millisecond
	// stopMargin is the part of the shutdown timeout that is left for the end of the process.
	stopMargin = 400 * time.Millisecond
	// memoryShare is the part of the VM's memory that the collector keeps the heap within.
	memoryShare = 0.6
	// closePause is the time between two looks for connections that have become idle.
	closePause = 20 * time.Millisecond
	adminPause = 200 * time.Millisecond
)

// Dependencies are what a node needs from outside the package.
type Dependencies struct {
	Store   serving.Store
	Servers serving.ModelServers
	Wire    serving.Wire
	// Connections are those to backend servers.
	Connections *upstream.Pool
	Events      *event.Log
	// LinesDropped returns how many lines of the log were left out since the last call, as nobody read them.
	LinesDropped func() int64
	// Reload reads the settings file again after a SIGHUP.
	Reload func() (Settings, error)
}

// Node is the running process.
type Node struct {
	settings  Settings
	store     serving.Store
	servers   serving.ModelServers
	events    *event.Log
	view      *serverview.View
	usage     *usage.Tracker
	forwarder *forward.Forwarder
	leases    *leases
	holders   *holders
	gates     *gates
	watch     *watch
	peers     *peers
	link      *peerlink.Link
	reload    func() (Settings, error)
	dropped   func() int64

	// callers are the open connections of callers.
	callers *connset.Set

	connections *upstream.Pool
	// publishNow receives when the other nodes are to hear of a server at once.
	publishNow chan struct{}
	startedAt  time.Time
	// ctx ends when the node's duties end.
	ctx       context.Context
	storeLost atomic.Bool
	// entriesOffset is the offset of the servers' log up to which their entries were taken.
	entriesMu     sync.Mutex
	entriesOffset int64
	// entriesChanged is true when the holders are to be brought in line with the entries.
	entriesChanged atomic.Bool
	stopping       atomic.Bool
}

// Run serves until ctx ends and the graceful shutdown is complete.
func Run(ctx context.Context, settings Settings, dependencies Dependencies) error {
	// Without a handler the signal would end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	link, err := peerlink.Listen(settings.PeerListen, dependencies.Events)
	if err != nil {
		return err
	}
	n := newNode(settings, dependencies, link)
	listeners, err := n.listen()
	if err != nil {
		return err
	}
	return n.run(ctx, listeners, reloads)
}

func newNode(settings Settings, d Dependencies, link *peerlink.Link) *Node {
	n := &Node{
		settings: settings, store: d.Store, servers: d.Servers, events: d.Events, reload: d.Reload,
		dropped: d.LinesDropped, link: link, connections: d.Connections, publishNow: make(chan struct{}, 1),
		view: serverview.New(), usage: usage.New(link.Address()), peers: newPeers(), callers: connset.New(),
		watch: newWatch(), startedAt: time.Now(),
	}
	n.leases = newLeases(serverlease.Options{
		Partitions: settings.Store.Partitions, TTL: leaseTTL, Fenced: settings.OrdersFenced,
	})
	n.holders = newHolders(n)
	n.gates = newGates(n)
	n.connections.OnSuspicion(func() { n.events.Emit(event.ConnectionsForgotten, nil) })
	n.forwarder = forward.New(forward.Options{
		Wire: d.Wire, View: n.view, Usage: n.usage, Transport: d.Connections, Gate: n.gates, Zone: settings.Node.Zone, Events: d.Events,
		RetryBudget: retrybudget.Options{
			Ratio: settings.RetryBudget.Ratio, Slack: settings.RetryBudget.Slack, Window: settings.RetryBudget.Window.Std(),
		},
		Nodes: n.peers.count,
	})
	return n
}

// listeners are the node's open sockets.
type listeners struct{ callers, ready, admin, peers net.Listener }

func (n *Node) listen() (l listeners, err error) {
	for _, endpoint := range []struct {
		address string
		to      *net.Listener
	}{
		{n.settings.Listen, &l.callers}, {n.settings.ReadyListen, &l.ready}, {n.settings.AdminListen, &l.admin},
		{n.settings.PeerListen, &l.peers},
	} {
		if *endpoint.to, err = net.Listen("tcp", endpoint.address); err != nil {
			return l, err
		}
	}
	return l, nil
}

func (n *Node) run(ctx context.Context, l listeners, reloads <-chan os.Signal) error {
	n.events.Emit(event.ProcessStarted, event.Fields{"listen": n.settings.Listen, "version": process.Version()})
	duties, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, duties := errgroup.WithContext(duties)
	n.ctx = duties
	callers := &http.Server{
		Handler: n.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: headerBytes, ConnState: n.callers.NoteState,
	}
	n.start(group, callers, l)
	group.Go(func() error { return n.watchSettings(n.ctx, reloads) })
	select {
	case <-ctx.Done():
		n.shutDown(callers, l.callers)
	case <-duties.Done():
	}
	stop()
	if err := group.Wait(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
		return err
	}
	n.events.Emit(event.ProcessStopped, nil)
	return nil
}

// start starts one goroutine for each duty.
func (n *Node) start(group *errgroup.Group, callers *http.Server, l listeners) {
	group.Go(func() error { return n.link.Run(n.ctx, n.takeMessage) })
	group.Go(func() error { return n.followOperator(n.ctx) })
	group.Go(func() error { return n.followServers(n.ctx) })
	group.Go(func() error { return n.keepLeases(n.ctx) })
	group.Go(func() error { return n.sendUsage(n.ctx) })
	group.Go(func() error { return n.publishStates(n.ctx) })
	group.Go(func() error { return n.sendDigests(n.ctx) })
	group.Go(func() error { return n.learnFromPeers(n.ctx) })
	group.Go(func() error { return process.ServeListener(n.ctx, l.peers, n.knowledgeHandler(), adminPause) })
	group.Go(func() error { return n.reportDropped(n.ctx) })
	group.Go(func() error {
		err := callers.Serve(n.callers.Listener(l.callers))
		if n.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	ready := http.HandlerFunc(n.answerReady)
	group.Go(func() error { return process.ServeListener(n.ctx, l.ready, ready, adminPause) })
	admin := process.NewAdmin(n.ready)
	group.Go(func() error { return process.ServeListener(n.ctx, l.admin, admin.Mux, adminPause) })
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

// answerReady tells the load balancer whether to send new connections here.
func (n *Node) answerReady(w http.ResponseWriter, _ *http.Request) {
	if err := n.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutDown stops taking callers, finishes the requests in progress, and gives the leases back.
func (n *Node) shutDown(callers *http.Server, listener net.Listener) {
	giveUpAt := time.Now().Add(n.settings.ShutdownTimeout.Std() - stopMargin)
	n.stopping.Store(true)
	n.events.Emit(event.ProcessStopping, nil)
	n.forwarder.Drain()
	n.callers.Drain()
	delay.For(n.ctx, stopAnnounced)
	if err := listener.Close(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
	}
	for n.callers.CloseIdle() > 0 && time.Now().Before(giveUpAt) {
		delay.For(n.ctx, closePause)
	}
	if open := n.callers.CloseIdle(); open > 0 {
		n.events.Emit(event.AnswerBroken, event.Fields{"reason": "requests were in progress at the end of the shutdown", "open": open})
	}
	n.leave()
	if err := callers.Close(); err != nil {
		n.events.EmitError(event.ProcessFailed, err, nil)
	}
}

// leaveTimeout bounds the call that gives the leases back.
const leaveTimeout = 200 * time.Millisecond

func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
	defer cancel()
	if err := n.store.Leave(ctx, n.link.Address()); err != nil {
		n.events.EmitError(event.StoreLost, err, nil)
	}
}

// droppedPeriod is the time between two looks for lines of the log that were left out.
const droppedPeriod = 5 * time.Second

// reportDropped writes how many lines of the log were left out.
func (n *Node) reportDropped(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, droppedPeriod)
		if dropped := n.dropped(); dropped > 0 {
			n.events.Emit(event.LinesLeftOut, event.Fields{"unread": dropped})
		}
	}
	return nil
}

// watchSettings reads the settings again at each SIGHUP.
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
	fresh, err := n.reload()
	if err != nil {
		n.events.EmitError(event.SettingsNotReloaded, err, nil)
		return
	}
	needsRestart := fresh
	needsRestart.LogLevel = n.settings.LogLevel
	n.events.SetLevel(fresh.LogLevel)
	n.events.Emit(event.SettingsReloaded, event.Fields{
		"logLevel": fresh.LogLevel, "needsRestart": needsRestart != n.settings,
	})
}

// NewConnections returns the connections to backend servers.
func NewConnections() *upstream.Pool { return upstream.NewPool(connectTimeout) }
