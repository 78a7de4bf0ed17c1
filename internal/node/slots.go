package node

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

const (
	// slotBatchDelay is how long the end of a request waits for others to the same dispatcher. A longer delay saves few
	// datagrams, as a node has only a few requests a second, and keeps slots idle.
	slotBatchDelay = 2 * time.Millisecond
	// slotsCheckPeriod is the time between two checks for dispatchers whose lease has ended.
	slotsCheckPeriod = time.Second
	// maximumReportedUses bounds the slots in use in one message, of some 60 B each.
	maximumReportedUses = 100
	// maximumSlotGauges bounds the services that have a gauge of their own.
	maximumSlotGauges = 32
)

// slots assigns the slots of plain services before many nodes. It implements forward.Slots. The owner of the partition of a
// service's name is its dispatcher.
type slots struct {
	node    *Node
	pending *pending[slotAnswer]
	// silence is slotSilence, except in tests.
	silence time.Duration

	mu sync.Mutex
	// dispatchers holds those that this node runs, by service.
	dispatchers map[string]*slotDispatcher
	// lastInstance is the number of the latest dispatcher of this node.
	lastInstance int64
	// uses holds the requests of this node that wait for a slot or use one, by ID.
	uses map[uint64]*slotUse
	// confirmed holds the dispatcher of each service that has answered last; it knows the uses of this node.
	confirmed map[string]dispatcherID
	// silentUntil holds the dispatchers that didn't answer lately, by address.
	silentUntil map[string]time.Time
	// unsent holds the ends and uses that the next message brings.
	unsent  map[slotPeer]*peerlink.SlotMessage
	gauges  map[string]metrics.Gauge
	metrics slotMetrics
}

// slotMetrics counts the decisions of the dispatchers of this node, the slots that weren't given back, and this node's
// requests that found the dispatcher silent or were sent by its own choice.
type slotMetrics struct{ assigned, queued, refused, expired, silent, alone metrics.Counter }

// slotPeer is the dispatcher of a service at an address.
type slotPeer struct{ address, service string }

// dispatcherID tells a dispatcher from the one before at the same address.
type dispatcherID struct {
	address  string
	instance int64
}

// slotAnswer is an answer with the address of the dispatcher.
type slotAnswer struct {
	slotdispatch.Answer
	from string
}

// slotUse is a request of this node that waits for a slot or uses one.
type slotUse struct {
	service string
	// server is the server at which the request is; empty while it waits.
	server string
	// dispatcher is the address of the dispatcher that knows the request; empty if none does.
	dispatcher string
	// deadline is when the request ends; zero without a deadline.
	deadline time.Time
	// reported is true once the dispatcher has assigned the server or was told of it.
	reported bool
	// alone is true when this node has chosen the server by itself.
	alone bool
}

func newSlots(node *Node) *slots {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("slots."+name, nil) }
	return &slots{
		node: node, pending: newPending[slotAnswer](), silence: slotSilence, dispatchers: make(map[string]*slotDispatcher),
		// Instances differ from those of the process before at the same address.
		lastInstance: time.Now().UnixMilli(),
		uses:         make(map[uint64]*slotUse), confirmed: make(map[string]dispatcherID),
		silentUntil: make(map[string]time.Time), unsent: make(map[slotPeer]*peerlink.SlotMessage),
		gauges: make(map[string]metrics.Gauge),
		metrics: slotMetrics{
			assigned: counter("assigned"), queued: counter("queued"), refused: counter("refused"),
			expired: counter("expired"), silent: counter("dispatcherSilent"), alone: counter("alone"),
		},
	}
}

// Acquire implements forward.Slots.
func (s *slots) Acquire(
	ctx context.Context, request forward.SlotRequest,
) (slot forward.Slot, refusal forward.SlotRefusal, ok bool) {
	if !s.active(request.Candidates) {
		return forward.Slot{}, forward.SlotRefusal{}, true
	}
	begun := time.Now()
	use := &slotUse{service: request.Service}
	if request.Lifetime > 0 {
		use.deadline = begun.Add(request.Lifetime)
	}
	id, answers := s.pending.register(unreadSlotAnswers)
	defer s.pending.unregister(id)
	s.mu.Lock()
	s.uses[id] = use
	s.mu.Unlock()
	call := &slotCall{slots: s, id: id, use: use, request: request, answers: answers, begun: begun}
	answer, outcome := call.await(ctx)
	end := func(work time.Duration, full bool) { s.end(id, slotdispatch.End{Work: work, Full: full}) }
	slot = forward.Slot{
		Dispatcher: answer.from, Waited: time.Since(begun), End: end,
		Choose: func(server serverview.Candidate) bool { return s.choose(id, server) },
	}
	switch outcome {
	case slotAssigned:
		slot.Server = answer.Server
		s.mu.Lock()
		use.server, use.reported = answer.Server, true
		s.mu.Unlock()
	case slotRefused:
		end(0, false)
		return forward.Slot{}, forward.SlotRefusal{
			TurnIn: answer.TurnIn, Dispatcher: answer.from, Ahead: answer.Ahead, PerSecond: answer.PerSecond,
		}, false
	case slotAbandoned:
		end(0, false)
		return forward.Slot{}, forward.SlotRefusal{}, false
	}
	return slot, forward.SlotRefusal{}, true
}

// active reports whether a service has a dispatcher: there are more nodes than slots, so that even one request at each node
// is more than the servers process at once, or a server is brittle. Else each node sees enough by its own requests.
func (s *slots) active(candidates []serverview.Candidate) bool {
	slots := 0
	for _, c := range candidates {
		if c.Brittle {
			return true
		}
		if !c.Leaving {
			slots += c.Slots
		}
	}
	return s.node.peers.observed() > slots
}

// choose records a server that this node has chosen by itself, unless the server is brittle and has no room for another
// request of this node. The dispatcher is told with the next message.
func (s *slots) choose(id uint64, server serverview.Candidate) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.uses[id]
	if use == nil {
		return true
	}
	if !s.node.tolerances.mayChoose(now, server, s.usesOf(server.ID, id)) {
		return false
	}
	s.metrics.alone.Inc(1)
	use.server, use.reported, use.alone = server.ID, false, true
	if peer := s.confirmed[use.service]; peer.address != "" && !now.Before(s.silentUntil[peer.address]) {
		s.schedule(slotPeer{peer.address, use.service})
	}
	return true
}

// usesOf counts this node's requests at a server besides the given one. The caller holds s.mu.
func (s *slots) usesOf(server string, except uint64) (count int) {
	for id, use := range s.uses {
		if use.server == server && id != except {
			count++
		}
	}
	return count
}

// end ends a request. A dispatcher that doesn't know it isn't told.
func (s *slots) end(id uint64, end slotdispatch.End) {
	s.mu.Lock()
	defer s.mu.Unlock()
	use := s.uses[id]
	if use == nil {
		return
	}
	delete(s.uses, id)
	if use.alone && end.Work > 0 {
		s.node.tolerances.ended(time.Now(), use.server)
	}
	if use.dispatcher != "" {
		s.giveBack(slotPeer{use.dispatcher, use.service}, id, end)
	}
}

// giveBack tells a dispatcher that a request has ended. The caller holds s.mu.
func (s *slots) giveBack(peer slotPeer, id uint64, end slotdispatch.End) {
	message := s.schedule(peer)
	message.Ends = append(message.Ends, peerlink.SlotEnd{ID: id, WorkUs: end.Work.Microseconds(), Full: end.Full})
}

// schedule returns the message to a dispatcher that is sent soon. The caller holds s.mu.
func (s *slots) schedule(peer slotPeer) *peerlink.SlotMessage {
	message := s.unsent[peer]
	if message == nil {
		message = &peerlink.SlotMessage{Service: peer.service}
		s.unsent[peer] = message
		time.AfterFunc(slotBatchDelay, func() { s.flush(peer) })
	}
	return message
}

// flush sends what is scheduled for a dispatcher, unless a request has taken it along.
func (s *slots) flush(peer slotPeer) {
	s.mu.Lock()
	if s.unsent[peer] == nil {
		s.mu.Unlock()
		return
	}
	message := s.takeUnsent(peer)
	if s.confirmed[peer.service].address == peer.address {
		s.addUses(time.Now(), peer, message)
	}
	s.mu.Unlock()
	if len(message.Ends)+len(message.Uses) > 0 {
		s.send(message, peer.address)
	}
}

// takeUnsent returns what is scheduled for a dispatcher. The caller holds s.mu.
func (s *slots) takeUnsent(peer slotPeer) *peerlink.SlotMessage {
	message := s.unsent[peer]
	delete(s.unsent, peer)
	if message == nil {
		message = &peerlink.SlotMessage{Service: peer.service}
	}
	return message
}

// addUses adds the uses of which the current dispatcher may not know to a message to it. One that has not answered yet gets
// all of them. Their ends go to this dispatcher from then on, so a previous one must not get them. The caller holds s.mu.
func (s *slots) addUses(now time.Time, peer slotPeer, message *peerlink.SlotMessage) {
	isNew := s.confirmed[peer.service].address != peer.address
	for id, use := range s.uses {
		known := use.reported && !isNew
		if use.service != peer.service || use.server == "" || known || len(message.Uses) >= maximumReportedUses {
			continue
		}
		use.reported, use.dispatcher = true, peer.address
		message.Uses = append(message.Uses, peerlink.SlotUse{
			ID: id, Server: use.server, LifetimeMs: untilDeadline(now, use.deadline).Milliseconds(),
		})
	}
}

// untilDeadline returns the time until a deadline, or 0 without one.
func untilDeadline(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	return max(deadline.Sub(now), time.Millisecond)
}

// send sends a message to a dispatcher, which may be this node's own.
func (s *slots) send(message *peerlink.SlotMessage, address string) {
	if address == s.node.link.Address() {
		s.handleMessage(time.Now(), peerlink.Message{From: address, Zone: s.node.settings.Node.Zone, Slots: message})
		return
	}
	s.node.link.Send(peerlink.Message{Slots: message}, address)
}

// dispatcherOf returns the peer address of a service's dispatcher, empty without one, and whether it didn't answer lately.
func (s *slots) dispatcherOf(now time.Time, service string) (dispatcher string, silent bool) {
	if _, holds := s.node.leases.holds(service); holds {
		return s.node.link.Address(), false
	}
	owner := s.node.leases.owner(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner == s.node.link.Address() {
		return "", false
	}
	return owner, now.Before(s.silentUntil[owner])
}

// noteSilence records that a dispatcher didn't answer.
func (s *slots) noteSilence(service, dispatcher string, waited time.Duration) {
	s.metrics.silent.Inc(1)
	s.node.events.Emit(event.SlotDispatcherSilent, event.Fields{
		"service": service, "dispatcher": dispatcher, "waitedMs": waited.Milliseconds(),
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil[dispatcher] = time.Now().Add(silencePeriod)
}

// handleMessage processes the part of a peer's message about slots.
func (s *slots) handleMessage(now time.Time, message peerlink.Message) {
	if message.Slots == nil {
		return
	}
	s.handleAnswers(message.From, message.Slots)
	if message.Slots.Ask != nil || len(message.Slots.Uses)+len(message.Slots.Ends) > 0 {
		s.handleRequest(now, message)
	}
}

// handleAnswers passes the answers of a dispatcher on. Slots for requests that have ended are given back.
func (s *slots) handleAnswers(from string, message *peerlink.SlotMessage) {
	if len(message.Answers) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if message.Instance != 0 {
		s.confirm(slotPeer{from, message.Service}, message.Instance)
	}
	for _, answer := range message.Answers {
		use := s.uses[answer.ID]
		if use == nil && answer.Server != "" {
			s.giveBack(slotPeer{from, message.Service}, answer.ID, slotdispatch.End{})
		}
		s.pending.deliver(answer.ID, slotAnswer{answer.Decode(), from})
	}
}

// confirm records that a dispatcher has answered. A new one at the same address is told of the uses. The caller holds s.mu.
func (s *slots) confirm(peer slotPeer, instance int64) {
	last := s.confirmed[peer.service]
	s.confirmed[peer.service] = dispatcherID{peer.address, instance}
	if last.address != peer.address || last.instance == instance {
		return
	}
	for _, use := range s.uses {
		if use.service == peer.service && use.server != "" {
			use.reported = false
			s.schedule(peer)
		}
	}
}

// run ends dispatchers whose lease has ended, and logs how the others used the slots, until ctx ends.
func (s *slots) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, slotsCheckPeriod)
		now := time.Now()
		s.node.tolerances.prune(now)
		s.mu.Lock()
		for service, dispatcher := range s.dispatchers {
			if _, holds := s.node.leases.holds(service); !holds {
				s.endDispatcher(now, service, "the lease has ended")
			} else if now.Sub(dispatcher.loggedAt) >= slotUsagePeriod {
				dispatcher.logUsage(now)
			}
		}
		for address, until := range s.silentUntil {
			if now.After(until) {
				delete(s.silentUntil, address)
			}
		}
		s.mu.Unlock()
	}
	return nil
}

// gauge returns the gauge of a service's slots in use, or nil above the bound. The caller holds s.mu.
func (s *slots) gauge(service string) metrics.Gauge {
	if s.gauges[service] == nil && len(s.gauges) < maximumSlotGauges {
		s.gauges[service] = metrics.GetOrRegisterGauge("slots.inUse."+service, nil)
	}
	return s.gauges[service]
}
