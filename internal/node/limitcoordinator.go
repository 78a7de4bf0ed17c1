package node

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
)

// limitUsagePeriod is the time between two log lines about the use of a limit.
const limitUsagePeriod = 5 * time.Second

// limitCoordinator admits the requests of all nodes to one server with a limit. limits.mu guards it.
type limitCoordinator struct {
	limits    *limits
	server    limitedServer
	allocator *requestlimit.Allocator
	// timer calls grantQueued when the next queued request can be granted.
	timer *time.Timer
	// granted, refused and calls count the requests since loggedAt by their answer, and this node's own calls.
	granted, refused, calls int
	loggedAt                time.Time
}

// coordinator returns the coordinator of a server with the current limit, or nil if it has none. The caller holds l.mu.
func (l *limits) coordinator(now time.Time, id string) *limitCoordinator {
	notice, known := l.node.view.LimitNotice(id)
	if !known || !notice.Limited {
		return nil
	}
	server := limitedServer{id, notice.Born}
	_, holds := l.node.leases.holds(id)
	c := l.coordinators[server]
	if c == nil {
		c = &limitCoordinator{
			limits: l, server: server, allocator: requestlimit.NewAllocator(now, notice.PerSecond, holds), loggedAt: now,
		}
		l.coordinators[server] = c
	}
	c.allocator.SetLimit(now, notice.PerSecond, holds)
	return c
}

// handleRequest answers a node's request if this node is the server's coordinator.
func (l *limits) handleRequest(now time.Time, from string, request peerlink.LimitRequest) {
	if !l.coordinates(request.ServerID) {
		return
	}
	l.mu.Lock()
	answer := requestlimit.Answer{Granted: true}
	if c := l.coordinator(now, request.ServerID); c != nil {
		answer = c.allocator.Ask(now, request.Decode(from))
		c.count(answer)
		c.grantQueued(now)
	}
	l.mu.Unlock()
	l.answer(from, peerlink.NewLimitAnswer(request.ID, answer))
}

func (l *limits) handleReturn(now time.Time, from string, unused peerlink.LimitReturn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.coordinator(now, unused.ServerID); c != nil {
		c.allocator.Return(now, from, unused.ID)
		c.grantQueued(now)
	}
}

// charge accounts for a report or an order to a server with a limit.
func (l *limits) charge(id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.coordinator(now, id); c != nil {
		c.allocator.Charge(now)
		c.calls++
	}
}

func (l *limits) answer(to string, answer peerlink.LimitAnswer) {
	if to == l.node.link.Address() {
		l.pending.deliver(answer.ID, answer.Decode())
		return
	}
	l.node.link.Send(peerlink.Message{LimitAnswers: []peerlink.LimitAnswer{answer}}, to)
}

func (c *limitCoordinator) count(answer requestlimit.Answer) {
	switch {
	case answer.Granted:
		c.granted++
	case !answer.Queued:
		c.refused++
	}
}

// grantQueued grants the queued requests for which there is room. The caller holds limits.mu.
func (c *limitCoordinator) grantQueued(now time.Time) {
	granted, next := c.allocator.Next(now)
	for _, request := range granted {
		c.granted++
		c.limits.answer(request.Node, peerlink.NewLimitAnswer(request.ID, requestlimit.Answer{Granted: true}))
	}
	if next.IsZero() {
		return
	}
	if c.timer == nil {
		c.timer = time.AfterFunc(next.Sub(now), func() {
			c.limits.mu.Lock()
			defer c.limits.mu.Unlock()
			c.grantQueued(time.Now())
		})
		return
	}
	c.timer.Reset(next.Sub(now))
}

// logUsage logs how the limit was used since the last line, if it was. The caller holds limits.mu.
func (c *limitCoordinator) logUsage(now time.Time) {
	if c.granted+c.refused+c.calls > 0 {
		perSecond, _ := c.limits.node.view.Limit(c.server.id)
		c.limits.node.events.Emit(event.LimitUsage, event.Fields{
			"server": c.server.id, "perSecond": perSecond, "granted": c.granted, "refused": c.refused, "calls": c.calls,
			"waiting": c.allocator.Waiting(), "ms": now.Sub(c.loggedAt).Milliseconds(),
		})
	}
	c.granted, c.refused, c.calls, c.loggedAt = 0, 0, 0, now
}
