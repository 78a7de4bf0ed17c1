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

// vacantDemand is how long a load waits for its turn after its demand has ended.
const vacantDemand = 2 * time.Second

// waitingLoad is a load that was decided on and hasn't ended.
type waitingLoad struct {
	request loadqueue.Request
	of      fleet.AdapterVersion
	path    string
	minimum bool
	// queued is true once its turn is awaited, ordered once the engine has the order.
	queued  bool
	ordered bool
	// wanted is when demand for it was last seen.
	wanted time.Time
	cancel context.CancelFunc
}

// want adds a load that starts when a slot is free.
func (c *core) want(now time.Time, owned *ownedServer, of fleet.AdapterVersion, rank uint32, path string, minimum bool) {
	owned.waiting = append(owned.waiting, &waitingLoad{
		request: loadqueue.Request{
			ID: ident.New(), Class: rank, Adapter: of.Adapter, Version: of.Version, Server: owned.name,
			Seen: c.scheduler.options.Queue.Seen(),
		},
		of: of, path: path, minimum: minimum, wanted: now, cancel: func() {},
	})
	c.serversDirty = true
}

// startWaiting queues loads for which a slot is free, and gives up loads whose demand has ended.
func (c *core) startWaiting(now time.Time, owned *ownedServer) {
	free := owned.server.FreeSlots()
	for _, w := range owned.waiting {
		if w.queued && !w.ordered {
			free--
		}
	}
	kept := owned.waiting[:0]
	for _, w := range owned.waiting {
		stale := !w.minimum && now.Sub(w.wanted) > vacantDemand
		switch {
		case w.queued && !w.ordered && (stale || owned.server.Leaving()):
			w.cancel()
		case !w.queued && (stale || c.draining || owned.server.Leaving()):
			c.events.Emit(event.LoadWithdrawn, event.Fields{"server": owned.name, "load": w.of.String()})
			continue
		case !w.queued && free > 0:
			free--
			c.queue(owned, w)
		}
		kept = append(kept, w)
	}
	owned.waiting = kept
}

func (c *core) queue(owned *ownedServer, w *waitingLoad) {
	ctx, cancel := context.WithCancel(owned.ctx)
	w.queued = true
	w.cancel = cancel
	c.group.Go(func() error {
		defer cancel()
		return c.scheduler.runLoad(ctx, owned, w.request, w.path)
	})
}

// cancelWaiting gives up the loads that aren't ordered yet.
func (o *ownedServer) cancelWaiting() {
	for _, w := range o.waiting {
		if !w.ordered {
			w.cancel()
		}
	}
}

// runLoad waits for the load's turn, orders it, and ends the turn.
func (s *Scheduler) runLoad(ctx context.Context, owned *ownedServer, request loadqueue.Request, path string) error {
	turn, err := s.options.Queue.Acquire(ctx, request)
	if err != nil {
		_ = s.inbox.Push(owned.ctx, loadGivenUp{owned, request.ID, err})
		return nil
	}
	reply := make(chan turnAnswer, 1)
	if s.inbox.Push(owned.ctx, turnCame{owned, request.ID, turn, reply}) != nil {
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

func (s *Scheduler) orderLoad(owned *ownedServer, request loadqueue.Request, turn loadqueue.Turn, answer turnAnswer, path string) {
	if answer.err != nil {
		s.options.Queue.Finish(turn, false)
		_ = s.inbox.Push(owned.ctx, loadGivenUp{owned, request.ID, answer.err})
		return
	}
	// The order goes on when the server is lost meanwhile: the engine would load anyway, and the turn must be
	// held while the weight store is busy.
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
	_ = s.inbox.Push(owned.ctx, loadEnded{owned, request.ID, turn.Number, err})
}

// turnCame says that a load may run now. The core answers with the order to send.
type turnCame struct {
	owned *ownedServer
	id    string
	turn  loadqueue.Turn
	reply chan<- turnAnswer
}

type turnAnswer struct {
	name  engine.LoadName
	fence engine.FencingNumber
	err   error
}

var errNotWanted = errors.New("the load is no longer wanted")

func (m turnCame) apply(c *core) {
	w := m.owned.find(m.id)
	if w == nil || c.draining || !c.current(m.owned) {
		m.reply <- turnAnswer{err: errNotWanted}
		return
	}
	name, fence, err := m.owned.server.StartLoad(w.of, m.turn.Number)
	w.ordered = err == nil
	m.reply <- turnAnswer{name: name, fence: fence, err: err}
}

// loadGivenUp says that a load ended before it was ordered.
type loadGivenUp struct {
	owned *ownedServer
	id    string
	err   error
}

func (m loadGivenUp) apply(c *core) {
	w := m.owned.take(m.id)
	if w == nil {
		return
	}
	c.serversDirty = true
	c.events.Emit(event.LoadWithdrawn, event.Fields{"server": m.owned.name, "load": w.of.String(), "reason": m.err.Error()})
	if errors.Is(m.err, loadqueue.ErrSuperseded) {
		c.elsewhere.note(c.now(), w.of)
	}
}

// loadEnded is the result of a load order.
type loadEnded struct {
	owned  *ownedServer
	id     string
	number engine.LoadNumber
	err    error
}

func (m loadEnded) apply(c *core) {
	m.owned.take(m.id)
	if !c.current(m.owned) {
		return
	}
	m.owned.server.LoadEnded(c.now(), m.number, m.err)
	c.serversDirty = true
}

func (o *ownedServer) find(id string) *waitingLoad {
	for _, w := range o.waiting {
		if w.request.ID == id {
			return w
		}
	}
	return nil
}

func (o *ownedServer) take(id string) *waitingLoad {
	for i, w := range o.waiting {
		if w.request.ID == id {
			o.waiting = append(o.waiting[:i], o.waiting[i+1:]...)
			return w
		}
	}
	return nil
}
