package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/quota"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

const (
	// quotaTick is the time between two checks for repeated requests while some wait, and quotaTidy otherwise.
	quotaTick = 5 * time.Millisecond
	quotaTidy = 100 * time.Millisecond
	// quotaUsagePeriod is the time between two log lines about the use of a quota.
	quotaUsagePeriod = 5 * time.Second
	// quotaMetricCustomers bounds the customers with metrics of their own.
	quotaMetricCustomers = 64
)

// quotas keeps this node's requests within the quotas of customers, and coordinates the customers whose partitions this node
// owns. It implements forward.Quotas.
type quotas struct {
	node *Node
	// wake receives a value when the next check is due earlier.
	wake chan struct{}

	mu     sync.Mutex
	client *quota.Client
	// waiting holds the requests that wait for their decision.
	waiting      map[uint64]chan quota.Decision
	coordinators map[string]*quotaCoordinator
	// held holds since when this node has held each partition.
	held map[int]heldPartition
	// config is the configuration to which customers belongs.
	config    *serving.Configuration
	customers map[string]quota.Quota
	metrics   map[string]quotaMetrics
	// nextGrant is when a coordinator can grant a queued request; negative if none waits.
	nextGrant time.Duration
}

// heldPartition is a partition that this node holds.
type heldPartition struct {
	fence int64
	since time.Duration
}

// quotaMetrics counts the use of one customer: units that this node granted as the coordinator, units and requests that it
// admitted, and requests that it refused.
type quotaMetrics struct{ granted, used, admitted, refused metrics.Counter }

func newQuotas(node *Node) *quotas {
	settings := node.settings.Quota
	bound := quota.Bound{Window: settings.Window.Std(), Over: settings.Over, Slack: settings.Slack}
	return &quotas{
		node: node, wake: make(chan struct{}, 1), client: quota.NewClient(bound, uint64(rand.N[uint32](1<<24))),
		waiting: make(map[uint64]chan quota.Decision), coordinators: make(map[string]*quotaCoordinator),
		held: make(map[int]heldPartition), metrics: make(map[string]quotaMetrics), nextGrant: -1,
	}
}

// Acquire implements forward.Quotas.
func (q *quotas) Acquire(
	ctx context.Context, customer *serving.Customer, cost float64, priority int, patience time.Duration,
) (giveBack func(), retryAfter time.Duration, ok bool) {
	q.mu.Lock()
	q.noteConfig()
	if !q.limited(customer.Name) {
		// The request came under an earlier configuration. State of its customer would never be removed.
		q.mu.Unlock()
		return func() {}, 0, true
	}
	id, decision, decided := q.client.Acquire(bootTime(), quota.Request{
		Customer: customer.Name, Quota: q.customers[customer.Name], Coordinator: q.coordinatorOf(customer.Name),
		Nodes: q.node.peers.count(), Cost: cost, Priority: priority, Patience: patience,
	})
	decisions := make(chan quota.Decision, 1)
	if !decided {
		q.waiting[id] = decisions
	}
	q.flush()
	q.mu.Unlock()
	if !decided {
		notify(q.wake)
		select {
		case decision = <-decisions:
		case <-ctx.Done():
			q.abandon(customer.Name, id, decisions)
			return nil, 0, false
		}
	}
	q.count(customer.Name, cost, decision.OK)
	if !decision.OK {
		return nil, decision.RetryAfter, false
	}
	return q.giveBack(customer.Name, decision.Charge), 0, true
}

func quotaOf(customer *serving.Customer) quota.Quota {
	return quota.Quota{PerSecond: customer.Quota.PerSecond, Burst: customer.Quota.Burst}
}

// giveBack returns the function that gives back a charge once.
func (q *quotas) giveBack(customer string, charge quota.Charge) func() {
	return sync.OnceFunc(func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.client.GiveBack(bootTime(), customer, charge)
		q.flush()
	})
}

// abandon ends a request whose caller has left. A charge that was decided meanwhile, or is later, is given back.
func (q *quotas) abandon(customer string, id uint64, decisions <-chan quota.Decision) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
	select {
	case decision := <-decisions:
		if decision.OK {
			q.client.GiveBack(bootTime(), customer, decision.Charge)
			q.flush()
		}
	default:
		q.client.Abandon(customer, id)
	}
}

// coordinatorOf returns the peer address of a customer's coordinator, or an empty string if there is none.
func (q *quotas) coordinatorOf(customer string) string {
	self := q.node.link.Address()
	if _, _, owns := q.node.leases.owns(customer); owns {
		return self
	}
	if owner := q.node.leases.owner(customer); owner != self {
		return owner
	}
	return ""
}

// flush sends the client's messages and passes on its decisions. The caller holds q.mu.
func (q *quotas) flush() {
	outgoing := make(map[string]*peerlink.Message)
	for {
		messages, decisions := q.client.Take()
		if len(messages)+len(decisions) == 0 {
			break
		}
		for _, decision := range decisions {
			q.decide(decision)
		}
		for _, message := range messages {
			q.dispatch(outgoing, message)
		}
	}
	for peer, message := range outgoing {
		q.node.link.Send(*message, peer)
	}
}

func (q *quotas) decide(decision quota.Decision) {
	if decision.Silent != "" {
		q.node.events.Emit(event.QuotaCoordinatorSilent, event.Fields{
			"customer": decision.Customer, "coordinator": decision.Silent, "admitted": decision.OK, "roomInMs": decision.RetryAfter.Milliseconds(),
		})
	}
	if decisions := q.waiting[decision.ID]; decisions != nil {
		delete(q.waiting, decision.ID)
		decisions <- decision
	} else if decision.OK {
		// The caller has left.
		q.client.GiveBack(bootTime(), decision.Customer, decision.Charge)
	}
}

func (q *quotas) dispatch(outgoing map[string]*peerlink.Message, message quota.Message) {
	if message.To == q.node.link.Address() {
		if message.Ask != nil {
			q.handleAsk(message.To, *message.Ask)
		} else {
			q.handleReturn(message.To, *message.Return)
		}
		return
	}
	if outgoing[message.To] == nil {
		outgoing[message.To] = &peerlink.Message{}
	}
	out := outgoing[message.To]
	if message.Ask != nil {
		out.QuotaAsks = append(out.QuotaAsks, peerlink.NewQuotaAsk(*message.Ask))
	} else {
		out.QuotaReturns = append(out.QuotaReturns, peerlink.NewQuotaReturn(*message.Return))
	}
}

// handleMessage processes the parts of a peer's message about quotas.
func (q *quotas) handleMessage(message peerlink.Message) {
	if len(message.QuotaAsks)+len(message.QuotaReturns)+len(message.QuotaAnswers) == 0 {
		return
	}
	q.mu.Lock()
	for _, answer := range message.QuotaAnswers {
		q.client.Answer(bootTime(), message.From, answer.Decode())
	}
	for _, unused := range message.QuotaReturns {
		q.handleReturn(message.From, unused.Decode())
	}
	for _, ask := range message.QuotaAsks {
		q.handleAsk(message.From, ask.Decode())
	}
	q.flush()
	due := q.nextGrant >= 0
	q.mu.Unlock()
	if due {
		notify(q.wake)
	}
}

// run repeats requests, grants queued ones, and forgets customers without a quota until ctx ends.
func (q *quotas) run(ctx context.Context) error {
	period := quotaTidy
	for ctx.Err() == nil {
		delay.Until(ctx, period, q.wake)
		period = q.tick()
	}
	return nil
}

// tick returns the time until the next one.
func (q *quotas) tick() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := bootTime()
	q.noteConfig()
	q.noteHeld(now)
	q.client.Tick(now)
	q.flush()
	q.nextGrant = -1
	for name := range q.customers {
		if c := q.coordinator(now, name); c != nil {
			c.grantQueued(now)
			c.logUsage(now)
		}
	}
	q.flush()
	period := quotaTidy
	if q.client.Busy() {
		period = quotaTick
	}
	if q.nextGrant >= 0 {
		period = min(period, max(q.nextGrant-bootTime(), time.Millisecond))
	}
	return period
}

// noteConfig applies the quotas of the configuration in force, and removes the state of customers that have none.
func (q *quotas) noteConfig() {
	config := q.node.forwarder.Config()
	if config == q.config || config == nil {
		return
	}
	q.config, q.customers = config, make(map[string]quota.Quota)
	for i := range config.Customers {
		if customer := &config.Customers[i]; customer.Quota.Limited() {
			q.customers[customer.Name] = quotaOf(customer)
		}
	}
	q.client.Keep(q.limited)
	for name := range q.coordinators {
		if !q.limited(name) {
			delete(q.coordinators, name)
		}
	}
	for name, m := range q.metrics {
		if !q.limited(name) && name != otherCustomers {
			delete(q.metrics, name)
			m.unregister(name)
		}
	}
}

func (q *quotas) limited(customer string) bool { return q.customers[customer].PerSecond > 0 }

// noteHeld notes since when this node has held the partitions of customers.
func (q *quotas) noteHeld(now time.Duration) {
	for partition := range q.node.settings.Store.Partitions {
		fence, held := q.node.leases.heldPartition(partition)
		if !held {
			delete(q.held, partition)
		} else if q.held[partition].fence != fence || q.held[partition].since == 0 {
			q.held[partition] = heldPartition{fence, now}
		}
	}
}

// otherCustomers is the name in the metrics of all customers beyond the bound.
const otherCustomers = "other"

// metricsOf returns the metrics of a customer. The caller holds q.mu.
func (q *quotas) metricsOf(customer string) quotaMetrics {
	if m, found := q.metrics[customer]; found {
		return m
	}
	if len(q.metrics) >= quotaMetricCustomers {
		customer = otherCustomers
	}
	m := quotaMetrics{}
	for suffix, counter := range m.counters() {
		*counter = metrics.GetOrRegisterCounter("quotas."+customer+"."+suffix, nil)
	}
	q.metrics[customer] = m
	return m
}

func (m *quotaMetrics) counters() map[string]*metrics.Counter {
	return map[string]*metrics.Counter{
		"granted": &m.granted, "used": &m.used, "admitted": &m.admitted, "refused": &m.refused,
	}
}

func (m *quotaMetrics) unregister(customer string) {
	for suffix := range m.counters() {
		metrics.Unregister("quotas." + customer + "." + suffix)
	}
}

func (q *quotas) count(customer string, cost float64, admitted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.limited(customer) {
		return
	}
	m := q.metricsOf(customer)
	if !admitted {
		m.refused.Inc(1)
		return
	}
	m.admitted.Inc(1)
	m.used.Inc(int64(cost))
}
