package scheduler

import (
	"context"
	"errors"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/loadqueue"
)

// demandGracePeriod is how long a load still waits for its turn after its demand has ended.
const demandGracePeriod = 2 * time.Second

// pendingLoad is a load that was decided and has not completed.
type pendingLoad struct {
	request loadqueue.Request
	version fleet.AdapterVersion
	path    string
	// minimum is true for a declared copy, which is loaded without demand.
	minimum bool
	// awaitingTurn is set when the load starts to wait for its turn, ordered when its turn came and the order was
	// created.
	awaitingTurn bool
	ordered      bool
	// lastDemand is the last time at which there was demand for the load.
	lastDemand time.Time
	cancel     context.CancelFunc
}

// addPendingLoad adds a load that starts when a slot is free.
func (c *core) addPendingLoad(
	now time.Time, owned *ownedServer, version fleet.AdapterVersion, rank uint32, path string, minimum bool,
) {
	owned.pendingLoads = append(owned.pendingLoads, &pendingLoad{
		request: loadqueue.Request{
			ID: ident.New(), Class: rank, Adapter: version.Adapter, Version: version.Version, Server: owned.name,
			AppliedOffset: c.scheduler.options.Queue.AppliedOffset(),
		},
		version: version, path: path, minimum: minimum, lastDemand: now, cancel: func() {},
	})
	c.serverStepDue = true
}

// startPendingLoads requests turns for loads for which a slot is free, and withdraws loads whose demand has ended.
func (c *core) startPendingLoads(now time.Time, owned *ownedServer) {
	free := owned.server.FreeSlots()
	for _, load := range owned.pendingLoads {
		if load.awaitingTurn && !load.ordered {
			free--
		}
	}
	kept := owned.pendingLoads[:0]
	for _, load := range owned.pendingLoads {
		stale := !load.minimum && now.Sub(load.lastDemand) > demandGracePeriod
		switch {
		case load.awaitingTurn && !load.ordered && (stale || owned.server.Leaving()):
			load.cancel()
		case !load.awaitingTurn && (stale || c.draining || owned.server.Leaving()):
			c.events.Emit(event.LoadWithdrawn, event.Fields{"server": owned.name, "load": load.version.String()})
			continue
		case !load.awaitingTurn && free > 0:
			free--
			c.acquireTurn(owned, load)
		}
		kept = append(kept, load)
	}
	owned.pendingLoads = kept
}

// acquireTurn starts a goroutine that waits for the load's turn and runs the load.
func (c *core) acquireTurn(owned *ownedServer, load *pendingLoad) {
	ctx, cancel := context.WithCancel(owned.ctx)
	load.awaitingTurn = true
	load.cancel = cancel
	c.group.Go(func() error {
		defer cancel()
		return c.scheduler.runLoad(ctx, owned, load.request, load.path)
	})
}

// cancelPendingLoads cancels the loads that have not been ordered yet.
func (o *ownedServer) cancelPendingLoads() {
	for _, load := range o.pendingLoads {
		if !load.ordered {
			load.cancel()
		}
	}
}

// runLoad waits for the load's turn, sends the load order, and finishes the turn.
func (s *Scheduler) runLoad(ctx context.Context, owned *ownedServer, request loadqueue.Request, path string) error {
	turn, err := s.options.Queue.Acquire(ctx, request)
	if err != nil {
		_ = s.inbox.Push(owned.ctx, loadWithdrawn{owned, request.ID, err})
		return nil
	}
	reply := make(chan turnReply, 1)
	if s.inbox.Push(owned.ctx, turnGranted{owned, request.ID, turn, reply}) != nil {
		s.options.Queue.Finish(turn, false)
		return nil
	}
	select {
	case answer := <-reply:
		s.orderLoad(owned, request, turn, answer, path)
	case <-owned.ctx.Done():
		s.options.Queue.Finish(turn, false)
	}
	return nil
}

// orderLoad sends the load order to the engine and reports the result to the core.
func (s *Scheduler) orderLoad(
	owned *ownedServer, request loadqueue.Request, turn loadqueue.Turn, answer turnReply, path string,
) {
	if answer.err != nil {
		s.options.Queue.Finish(turn, false)
		_ = s.inbox.Push(owned.ctx, loadWithdrawn{owned, request.ID, answer.err})
		return
	}
	// The order is not cancelled if the ownership of the server ends meanwhile: the engine would load anyway, and the
	// turn must be held while the weight store is busy.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(owned.ctx), s.options.Settings.LoadTimeout.Std())
	defer cancel()
	start := time.Now()
	s.options.Events.Emit(event.LoadStarted, event.Fields{"server": owned.name, "load": answer.name, "local": turn.Local})
	err := owned.control.Load(ctx, engine.Order{Fence: answer.fence}, answer.name, path)
	s.options.Queue.Finish(turn, err == nil)
	fields := event.Fields{"server": owned.name, "load": answer.name, "ms": time.Since(start).Milliseconds()}
	if err != nil {
		s.options.Events.EmitError(event.LoadFailed, failure.Wrap(err, failure.Unavailable, "load", owned.name), fields)
	} else {
		s.options.Events.Emit(event.LoadEnded, fields)
	}
	_ = s.inbox.Push(owned.ctx, loadCompleted{owned, request.ID, turn.Number, err})
}

// turnGranted reports that a load may run now. The core replies with the order to send.
type turnGranted struct {
	owned *ownedServer
	id    string
	turn  loadqueue.Turn
	reply chan<- turnReply
}

// turnReply holds the order to send, or an error if the load is not to be ordered.
type turnReply struct {
	name  engine.LoadName
	fence engine.FencingNumber
	err   error
}

var errLoadNotNeeded = errors.New("load is no longer needed")

func (m turnGranted) apply(c *core) {
	load := m.owned.findPendingLoad(m.id)
	if load == nil || c.draining || !c.isCurrent(m.owned) {
		m.reply <- turnReply{err: errLoadNotNeeded}
		return
	}
	name, fence, err := m.owned.server.StartLoad(load.version, m.turn.Number)
	load.ordered = err == nil
	m.reply <- turnReply{name: name, fence: fence, err: err}
}

// loadWithdrawn reports that a load ended before it was ordered.
type loadWithdrawn struct {
	owned *ownedServer
	id    string
	err   error
}

func (m loadWithdrawn) apply(c *core) {
	load := m.owned.removePendingLoad(m.id)
	if load == nil {
		return
	}
	c.serverStepDue = true
	fields := event.Fields{"server": m.owned.name, "load": load.version.String(), "reason": m.err.Error()}
	c.events.Emit(event.LoadWithdrawn, fields)
	if errors.Is(m.err, loadqueue.ErrSuperseded) {
		c.remoteLoads.record(c.now(), load.version)
	}
}

// loadCompleted is the result of a load order.
type loadCompleted struct {
	owned  *ownedServer
	id     string
	number engine.LoadNumber
	err    error
}

func (m loadCompleted) apply(c *core) {
	m.owned.removePendingLoad(m.id)
	if !c.isCurrent(m.owned) {
		return
	}
	m.owned.server.LoadEnded(c.now(), m.number, m.err)
	c.serverStepDue = true
}

func (o *ownedServer) findPendingLoad(id string) *pendingLoad {
	for _, load := range o.pendingLoads {
		if load.request.ID == id {
			return load
		}
	}
	return nil
}

func (o *ownedServer) removePendingLoad(id string) *pendingLoad {
	for i, load := range o.pendingLoads {
		if load.request.ID == id {
			o.pendingLoads = append(o.pendingLoads[:i], o.pendingLoads[i+1:]...)
			return load
		}
	}
	return nil
}
