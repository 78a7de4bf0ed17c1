package node

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

const (
	// slotUsagePeriod is the time between two log lines about the use of a service's slots.
	slotUsagePeriod = 5 * time.Second
	// slotServersPeriod is the time after which a dispatcher reads the servers of its service again.
	slotServersPeriod = 50 * time.Millisecond
)

// slotDispatcher assigns the slots of one service. slots.mu guards it.
type slotDispatcher struct {
	slots    *slots
	service  string
	instance int64
	core     *slotdispatch.Dispatcher
	// serversAt is when the servers were last read.
	serversAt time.Time
	// timer calls decide when a queued request has to be answered.
	timer *time.Timer
	// assigned, queued, refused and waited count the requests since loggedAt, and sum up the waits of the queued ones.
	assigned, queued, refused int
	waited                    time.Duration
	loggedAt                  time.Time
}

// handleRequest processes a node's message to the dispatcher of a service, if this node is that. Otherwise it says so, and
// the other node chooses by itself at once.
func (s *slots) handleRequest(now time.Time, message peerlink.Message) {
	received := message.Slots
	s.node.tolerances.noteAll(now, message.From, received.Tolerances)
	_, holds := s.node.leases.holds(received.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	var d *slotDispatcher
	if holds {
		d = s.dispatcher(now, received.Service)
	} else {
		s.endDispatcher(now, received.Service, "the lease has ended")
	}
	if d == nil {
		if received.Ask != nil {
			s.answer(message.From, received.Service, 0, received.Ask.ID, slotdispatch.Answer{Unusable: true})
		}
		return
	}
	for _, use := range received.Uses {
		d.core.Report(now, use.Decode(message.From))
	}
	for _, end := range received.Ends {
		d.core.Return(now, message.From, end.ID, end.Decode())
	}
	if received.Ask != nil {
		answer := d.core.Ask(now, received.Ask.Decode(message.From, message.Zone))
		d.count(answer)
		s.answer(message.From, d.service, d.instance, received.Ask.ID, answer)
	}
	d.decide(now)
}

// dispatcher returns this node's dispatcher of a service, or nil if the service has no servers. The caller holds s.mu.
func (s *slots) dispatcher(now time.Time, service string) *slotDispatcher {
	d := s.dispatchers[service]
	if d != nil && now.Sub(d.serversAt) < slotServersPeriod {
		return d
	}
	var servers []slotdispatch.Server
	for _, c := range s.node.view.Candidates(now, service, serving.Adapter{}) {
		if !c.Leaving {
			servers = append(servers, slotdispatch.Server{
				ID: c.ID, Zone: c.Zone, Slots: c.Slots, Room: c.Room, ClosedUntil: c.ClosedUntil,
			})
		}
	}
	switch {
	case d != nil:
		d.core.SetServers(now, servers)
		d.serversAt = now
	case len(servers) > 0:
		// Names of services that don't exist leave no state behind.
		s.lastInstance++
		d = &slotDispatcher{
			slots: s, service: service, instance: s.lastInstance, core: slotdispatch.New(now, servers), serversAt: now,
			loggedAt: now,
		}
		s.dispatchers[service] = d
		s.node.events.Emit(event.SlotDispatcherBegun, event.Fields{
			"service": service, "servers": len(servers), "nodes": s.node.peers.observed(),
		})
	}
	return d
}

// roomChanged makes the dispatchers of this node read the servers again with the next message.
func (s *slots) roomChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.dispatchers {
		d.serversAt = time.Time{}
	}
}

// endDispatcher ends a dispatcher, if there is one. The caller holds s.mu.
func (s *slots) endDispatcher(now time.Time, service, reason string) {
	d := s.dispatchers[service]
	if d == nil {
		return
	}
	d.logUsage(now)
	used, _ := d.core.InUse()
	s.node.events.Emit(event.SlotDispatcherEnded, event.Fields{
		"service": service, "reason": reason, "inUse": used, "waiting": d.core.Waiting(),
	})
	if d.timer != nil {
		d.timer.Stop()
	}
	if gauge := s.gauge(service); gauge != nil {
		gauge.Update(0)
	}
	delete(s.dispatchers, service)
}

// answer answers a request of a node, which may be this one. The caller holds s.mu.
func (s *slots) answer(to, service string, instance int64, id uint64, answer slotdispatch.Answer) {
	if to == s.node.link.Address() {
		if instance != 0 {
			s.confirm(slotPeer{to, service}, instance)
		}
		if s.uses[id] == nil && answer.Server != "" {
			s.giveBack(slotPeer{to, service}, id, slotdispatch.End{})
		}
		s.pending.deliver(id, slotAnswer{answer, to})
		return
	}
	s.node.link.Send(peerlink.Message{Slots: &peerlink.SlotMessage{
		Service: service, Instance: instance, Answers: []peerlink.SlotAnswer{peerlink.NewSlotAnswer(id, answer)},
	}}, to)
}

// count counts an answer.
func (d *slotDispatcher) count(answer slotdispatch.Answer) {
	switch {
	case answer.Server != "":
		d.assigned++
		d.slots.metrics.assigned.Inc(1)
	case answer.Queued:
		d.queued++
		d.slots.metrics.queued.Inc(1)
	case !answer.Unusable:
		d.refused++
		d.slots.metrics.refused.Inc(1)
	}
}

// decide answers the queued requests that got a slot or waited too long. The caller holds slots.mu.
func (d *slotDispatcher) decide(now time.Time) {
	decisions, next := d.core.Next(now)
	for _, decision := range decisions {
		d.count(decision.Answer)
		d.waited += decision.Waited
		d.slots.answer(decision.Request.Node, d.service, d.instance, decision.Request.ID, decision.Answer)
	}
	if expired := d.core.Expired(); expired > 0 {
		d.slots.metrics.expired.Inc(int64(expired))
		d.slots.node.events.Emit(event.SlotsExpired, event.Fields{"service": d.service, "slots": expired})
	}
	if gauge := d.slots.gauge(d.service); gauge != nil {
		used, _ := d.core.InUse()
		gauge.Update(int64(used))
	}
	if next.IsZero() {
		return
	}
	if d.timer == nil {
		d.timer = time.AfterFunc(next.Sub(now), d.wake)
		return
	}
	d.timer.Reset(next.Sub(now))
}

// wake calls decide, unless the dispatcher has ended.
func (d *slotDispatcher) wake() {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	if _, holds := d.slots.node.leases.holds(d.service); holds && d.slots.dispatchers[d.service] == d {
		d.decide(time.Now())
	}
}

// logUsage logs how the slots were used since the last line, if they were. The caller holds slots.mu.
func (d *slotDispatcher) logUsage(now time.Time) {
	if d.assigned+d.queued+d.refused > 0 {
		used, slots := d.core.InUse()
		servers := make(map[string]string)
		for _, state := range d.core.States(now) {
			servers[state.ID] = state.String()
		}
		d.slots.node.events.Emit(event.SlotsUsed, event.Fields{
			"service": d.service, "assigned": d.assigned, "queued": d.queued, "refused": d.refused,
			"waitedMs": d.waited.Milliseconds(), "waiting": d.core.Waiting(), "inUse": used, "slots": slots,
			"servers": servers, "ms": now.Sub(d.loggedAt).Milliseconds(),
		})
	}
	d.assigned, d.queued, d.refused, d.waited, d.loggedAt = 0, 0, 0, 0, now
}
