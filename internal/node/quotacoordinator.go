package node

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/quota"
)

// quotaCoordinator grants the credit of one customer to all nodes. quotas.mu guards it.
type quotaCoordinator struct {
	quotas   *quotas
	customer string
	core     *quota.Coordinator
	fence    int64
	// granted counts the units, refused the requests since loggedAt.
	granted  float64
	refused  int
	loggedAt time.Duration
}

// coordinator returns the coordinator of a customer, or nil if this node may not act as such. The caller holds q.mu.
func (q *quotas) coordinator(now time.Duration, customer string) *quotaCoordinator {
	fence, partition, owns := q.node.leases.owns(customer)
	limit, known := q.customers[customer]
	if !owns || !known {
		return nil
	}
	c := q.coordinators[customer]
	if c == nil || c.fence != fence {
		since := now
		if held := q.held[partition]; held.fence == fence && held.since > 0 {
			since = held.since
		}
		settings := q.node.settings.Quota
		bound := quota.Bound{Window: settings.Window.Std(), Over: settings.Over, Slack: settings.Slack}
		c = &quotaCoordinator{
			quotas: q, customer: customer, core: quota.NewCoordinator(now, since, limit, bound), fence: fence, loggedAt: now,
		}
		q.coordinators[customer] = c
		q.node.events.Emit(event.QuotaCoordinated, event.Fields{
			"customer": customer, "perSecond": limit.PerSecond, "burst": limit.Burst, "fence": fence,
			"heldMs": (now - since).Milliseconds(), "inherits": c.core.State(now).Inherits,
		})
	}
	c.core.SetQuota(now, limit)
	return c
}

// handleAsk answers a node's request for credit. A customer without a quota here has none in the newer configuration, or
// will have one in the next that this node gets; nodes may take 3 s to apply it.
func (q *quotas) handleAsk(from string, ask quota.Ask) {
	now := bootTime()
	q.noteConfig()
	if _, _, owns := q.node.leases.owns(ask.Customer); !owns || q.config == nil {
		return
	}
	c := q.coordinator(now, ask.Customer)
	if c == nil {
		q.answer(from, quota.Answer{ID: ask.ID, Granted: ask.Cost})
		return
	}
	answer := c.core.Ask(now, from, ask)
	c.count(answer)
	q.answer(from, answer)
	c.grantQueued(now)
}

func (q *quotas) handleReturn(from string, unused quota.Return) {
	now := bootTime()
	if c := q.coordinator(now, unused.Customer); c != nil {
		c.core.Return(now, from, unused)
		c.grantQueued(now)
	}
}

func (q *quotas) answer(to string, answer quota.Answer) {
	switch {
	case to == q.node.link.Address():
		q.client.Answer(bootTime(), to, answer)
	case !answer.Soon:
		q.node.link.Send(peerlink.Message{QuotaAnswers: []peerlink.QuotaAnswer{peerlink.NewQuotaAnswer(answer)}}, to)
	}
}

func (c *quotaCoordinator) count(answer quota.Answer) {
	switch {
	case answer.Granted > 0:
		c.granted += answer.Granted
		c.quotas.metricsOf(c.customer).granted.Inc(int64(answer.Granted))
	case !answer.Queued:
		c.refused++
	}
}

// grantQueued grants the queued requests for which there is credit. The caller holds quotas.mu.
func (c *quotaCoordinator) grantQueued(now time.Duration) {
	answers, next := c.core.Next(now)
	for _, a := range answers {
		c.count(a.Answer)
		c.quotas.answer(a.Node, a.Answer)
	}
	if q := c.quotas; next >= 0 && (q.nextGrant < 0 || next < q.nextGrant) {
		q.nextGrant = next
	}
}

// logUsage logs how the quota was used since the last line, if it was. The caller holds quotas.mu.
func (c *quotaCoordinator) logUsage(now time.Duration) {
	if now-c.loggedAt < quotaUsagePeriod {
		return
	}
	if c.granted > 0 || c.refused > 0 {
		limit, state := c.quotas.customers[c.customer], c.core.State(now)
		c.quotas.node.events.Emit(event.QuotaUsage, event.Fields{
			"customer": c.customer, "perSecond": limit.PerSecond, "burst": limit.Burst, "granted": c.granted,
			"refused": c.refused, "available": state.Available, "ahead": state.Outstanding, "nodes": state.Nodes,
			"waiting": state.Waiting, "inherits": state.Inherits, "ms": (now - c.loggedAt).Milliseconds(),
		})
	}
	c.granted, c.refused, c.loggedAt = 0, 0, now
}
