package quota_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/quota"
)

const (
	second = time.Second
	ms     = time.Millisecond
	// leaseTTL, leaseShare, joinPeriod and ownersDelay are those of the nodes: the store reassigns partitions leaseTTL after the
	// last join, an owner relies on leaseShare of it, and other nodes learn of new owners up to ownersDelay later.
	leaseTTL    = 1800 * ms
	leaseShare  = 0.7
	joinPeriod  = 500 * ms
	ownersDelay = 600 * ms
	tickPeriod  = 5 * ms
	tidyPeriod  = 100 * ms
	// inFlight bounds the time from the decision to the arrival at a server.
	inFlight = 5 * ms
)

var bound = quota.Bound{Window: 8 * second, Over: 0.1, Slack: 17_000}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// customerLoad is a customer with its demand, in requests a second.
type customerLoad struct {
	name  string
	quota quota.Quota
	rate  func(at time.Duration) float64
	// node returns the node at which a request arrives.
	node func(at time.Duration) int
	// served holds what ran at servers, due what the quota entitles to.
	served, due []use
	demand      float64
	refused     int
	priority    int
}

type use struct {
	at   time.Duration
	cost float64
	// node is where the request arrived.
	node int
}

func sum(uses []use, from, to time.Duration) float64 {
	total := 0.0
	for _, u := range uses {
		if u.at >= from && u.at < to {
			total += u.cost
		}
	}
	return total
}

// most returns the largest use in any window.
func most(uses []use, window time.Duration) (float64, time.Duration) {
	slices.SortFunc(uses, func(a, b use) int { return int(a.at - b.at) })
	largest, at, total, first := 0.0, time.Duration(0), 0.0, 0
	for _, u := range uses {
		total += u.cost
		for u.at-uses[first].at > window {
			total -= uses[first].cost
			first++
		}
		if total > largest {
			largest, at = total, u.at
		}
	}
	return largest, at
}

type tenure struct {
	coordinator *quota.Coordinator
	generation  int
	// wakeAt is when the coordinator is called next.
	wakeAt time.Duration
}

type simNode struct {
	id      int
	address string
	zone    int
	client  *quota.Client
	// tenures holds the coordinators of this node by customer.
	tenures map[int]*tenure
	// joinedAt is when the last successful join was sent, assigned the generation by customer that it returned.
	joinedAt time.Duration
	assigned map[int]int
	owners   []int
	suspended, dead,
	cutOff bool
	// inbox holds the datagrams that arrived during a suspension.
	inbox  []func()
	acting map[uint64]*simRequest
	epoch  int
	// ticking is true while a tick is scheduled.
	ticking bool
}

type simRequest struct {
	customer int
	cost     float64
	finish   func(d quota.Decision)
}

// simulation runs clients and coordinators on a network with delay, loss and duplication, and a store that assigns customers to
// owners.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	seq       int
	events    eventHeap
	nodes     []*simNode
	customers []*customerLoad
	byName    map[string]int
	byPeer    map[string]*simNode
	// live is the number of nodes that run, which nodes count.
	live int
	// owner and generation are the store's by customer.
	owner, generation []int
	storeDown         bool
	// partitioned is true while zones can't reach each other; the store is in zone 0.
	partitioned bool
	loss        float64
	datagrams   int
	countsBytes bool
	bytes       int
	// kinds counts the datagrams.
	kinds struct{ asks, returns, grants, queued, refusals int }
	end   time.Duration
	// notRun is the share of requests that servers refuse.
	notRun float64
}

func newSimulation(seed uint64, nodes int, customers []*customerLoad) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 17)), customers: customers, byName: make(map[string]int), byPeer: make(map[string]*simNode), loss: 0.01, notRun: 0.01,
	}
	for i, c := range customers {
		s.byName[c.name] = i
		s.owner = append(s.owner, s.random.IntN(min(nodes, 8)))
		s.generation = append(s.generation, 1)
	}
	for i := range nodes {
		n := s.newNode(i)
		s.nodes, s.byPeer[n.address] = append(s.nodes, n), n
	}
	s.live = nodes
	return s
}

func (s *simulation) newNode(i int) *simNode {
	n := s.freshNode(i)
	s.startNode(n)
	return n
}

func (s *simulation) freshNode(i int) *simNode {
	return &simNode{
		id: i, address: fmt.Sprintf("10.77.%d.%d:7946", i/200, i%200+1), zone: i % 3,
		client:  quota.NewClient(bound, uint64(s.random.IntN(1<<24))),
		tenures: make(map[int]*tenure), assigned: make(map[int]int), owners: slices.Clone(s.owner),
		acting: make(map[uint64]*simRequest), joinedAt: -time.Hour,
	}
}

func (s *simulation) startNode(n *simNode) {
	s.after(s.upTo(joinPeriod), func() { s.join(n) })
	s.after(s.upTo(ownersDelay), func() { s.learnOwners(n) })
	s.after(s.upTo(tidyPeriod), func() { s.tidy(n) })
}

func (s *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *simulation) at(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at, s.seq, run})
}

func (s *simulation) after(d time.Duration, run func()) { s.at(s.now+d, run) }

func (s *simulation) run(end time.Duration) {
	s.end = end
	for i := range s.customers {
		s.scheduleArrival(i)
	}
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
}

// reaches reports whether datagrams pass between two nodes.
func (s *simulation) reaches(a, b *simNode) bool {
	if a == b {
		return true
	}
	return !a.cutOff && !b.cutOff && !(s.partitioned && a.zone != b.zone)
}

func (s *simulation) reachesStore(n *simNode) bool {
	return !n.dead && !n.suspended && !s.storeDown && !(s.partitioned && n.zone != 0)
}

func (s *simulation) send(from, to *simNode, m peerlink.Message, handle func()) {
	if from == to {
		handle()
		return
	}
	m.From, m.Zone = from.address, fmt.Sprintf("zone-%d", from.zone)
	s.datagrams++
	if s.countsBytes {
		data, _ := json.Marshal(m)
		s.bytes += len(data)
	}
	switch {
	case len(m.QuotaAsks) > 0:
		s.kinds.asks++
	case len(m.QuotaReturns) > 0:
		s.kinds.returns++
	case m.QuotaAnswers[0].Granted > 0:
		s.kinds.grants++
	case m.QuotaAnswers[0].Queued:
		s.kinds.queued++
	default:
		s.kinds.refusals++
	}
	copies := 1
	if s.random.Float64() < 0.01 {
		copies = 2
	}
	for range copies {
		if s.random.Float64() < s.loss || !s.reaches(from, to) {
			continue
		}
		delay := 200*time.Microsecond + s.upTo(2*ms)
		if s.random.Float64() < 0.01 {
			delay += s.upTo(80 * ms)
		}
		epoch := to.epoch
		s.after(delay, func() {
			switch {
			case to.dead || to.epoch != epoch:
			case to.suspended:
				to.inbox = append(to.inbox, handle)
			default:
				handle()
			}
		})
	}
}

// join renews the node's lease at the store, which reassigns the customers of nodes that are late.
func (s *simulation) join(n *simNode) {
	if n.dead {
		return
	}
	if s.reachesStore(n) {
		s.expireOwners()
		n.joinedAt = s.now
		clear(n.assigned)
		for c, owner := range s.owner {
			if owner == n.id {
				n.assigned[c] = s.generation[c]
			}
		}
		s.syncTenures(n)
	}
	s.after(joinPeriod, func() { s.join(n) })
}

func (s *simulation) expireOwners() {
	for c, owner := range s.owner {
		o := s.nodes[owner]
		if s.now-o.joinedAt > leaseTTL && s.now > 2*second || o.dead {
			s.reassign(c)
		}
	}
}

// reassign assigns a customer to a random node that reaches the store.
func (s *simulation) reassign(c int) {
	for range 100 {
		next := s.nodes[s.random.IntN(len(s.nodes))]
		if s.reachesStore(next) && next.id != s.owner[c] {
			s.owner[c] = next.id
			s.generation[c]++
			return
		}
	}
}

// owns reports whether the node may act as the coordinator of a customer.
func (s *simulation) owns(n *simNode, c int) bool {
	_, assigned := n.assigned[c]
	return assigned && s.now-n.joinedAt < time.Duration(leaseShare*float64(leaseTTL))
}

func (s *simulation) syncTenures(n *simNode) {
	for c := range s.customers {
		s.coordinator(n, c)
	}
}

func (s *simulation) coordinator(n *simNode, c int) *quota.Coordinator {
	generation, assigned := n.assigned[c]
	if !assigned {
		delete(n.tenures, c)
		return nil
	}
	if !s.owns(n, c) {
		return nil
	}
	t := n.tenures[c]
	if t == nil || t.generation != generation {
		t = &tenure{coordinator: quota.NewCoordinator(s.now, s.now, s.customers[c].quota, bound), generation: generation}
		n.tenures[c] = t
	}
	t.coordinator.SetQuota(s.now, s.customers[c].quota)
	return t.coordinator
}

func (s *simulation) learnOwners(n *simNode) {
	if n.dead {
		return
	}
	if s.reachesStore(n) {
		s.expireOwners()
		copy(n.owners, s.owner)
	}
	s.after(ownersDelay/2+s.upTo(ownersDelay/2), func() { s.learnOwners(n) })
}

func (s *simulation) tidy(n *simNode) {
	if n.dead {
		return
	}
	if !n.suspended {
		n.client.Tick(s.now)
		s.flush(n)
		for c := range n.tenures {
			s.next(n, c)
		}
	}
	s.after(tidyPeriod, func() { s.tidy(n) })
}

// flush sends the client's messages and applies its decisions.
func (s *simulation) flush(n *simNode) {
	for {
		messages, decisions := n.client.Take()
		if len(messages)+len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			if r := n.acting[d.ID]; r != nil {
				delete(n.acting, d.ID)
				r.finish(d)
			}
		}
		for _, m := range messages {
			to := s.byAddress(m.To)
			if m.Ask != nil {
				ask := *m.Ask
				s.send(n, to, peerlink.Message{QuotaAsks: []peerlink.QuotaAsk{peerlink.NewQuotaAsk(ask)}}, func() { s.ask(n, to, ask) })
			} else {
				unused := *m.Return
				s.send(n, to, peerlink.Message{QuotaReturns: []peerlink.QuotaReturn{peerlink.NewQuotaReturn(unused)}}, func() {
					c := s.byName[unused.Customer]
					if coordinator := s.coordinator(to, c); coordinator != nil {
						coordinator.Return(s.now, n.address, unused)
						s.next(to, c)
					}
				})
			}
		}
	}
}

func (s *simulation) byAddress(address string) *simNode {
	return s.byPeer[address]
}

func (s *simulation) ask(from, to *simNode, ask quota.Ask) {
	c := s.byName[ask.Customer]
	if coordinator := s.coordinator(to, c); coordinator != nil {
		s.answer(to, from, coordinator.Ask(s.now, from.address, ask))
		s.next(to, c)
	}
}

func (s *simulation) answer(from, to *simNode, answer quota.Answer) {
	if answer.Soon {
		return
	}
	s.send(from, to, peerlink.Message{QuotaAnswers: []peerlink.QuotaAnswer{peerlink.NewQuotaAnswer(answer)}}, func() {
		to.client.Answer(s.now, from.address, peerlink.NewQuotaAnswer(answer).Decode())
		s.flush(to)
	})
}

func (s *simulation) next(n *simNode, c int) {
	coordinator := s.coordinator(n, c)
	if coordinator == nil {
		return
	}
	answers, next := coordinator.Next(s.now)
	for _, a := range answers {
		s.answer(n, s.byAddress(a.Node), a.Answer)
	}
	t := n.tenures[c]
	if next >= 0 && t.wakeAt <= s.now {
		t.wakeAt = max(next, s.now+ms)
		s.at(t.wakeAt, func() {
			if !n.suspended && !n.dead {
				s.next(n, c)
			}
		})
	}
}

func (s *simulation) scheduleArrival(c int) {
	load := s.customers[c]
	rate := load.rate(s.now)
	if rate <= 0 {
		s.after(50*ms, func() { s.scheduleArrival(c) })
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(second))
	if gap > 200*ms {
		// The rate may change meanwhile.
		s.after(200*ms, func() { s.scheduleArrival(c) })
		return
	}
	s.after(gap, func() {
		s.arrive(c)
		s.scheduleArrival(c)
	})
}

func (s *simulation) arrive(c int) {
	load := s.customers[c]
	n := s.nodes[load.node(s.now)%len(s.nodes)]
	cost := float64(826 + s.random.IntN(1775))
	if n.dead || n.suspended {
		return
	}
	load.demand += cost
	arrived := s.now
	load.due = append(load.due, use{arrived, cost, n.id})
	var epoch = n.epoch
	finish := func(d quota.Decision) {
		if !d.OK {
			load.refused++
			return
		}
		charge := d.Charge
		s.after(s.upTo(inFlight), func() {
			if n.dead || n.epoch != epoch {
				return
			}
			if n.suspended {
				// The check before the write refuses the request when the node resumes.
				return
			}
			if s.random.Float64() < s.notRun {
				n.client.GiveBack(s.now, load.name, charge)
				s.flush(n)
				load.due = append(load.due, use{arrived, -cost, n.id})
				return
			}
			load.served = append(load.served, use{s.now, cost, n.id})
		})
	}
	id, d, decided := n.client.Acquire(s.now, quota.Request{
		Customer: load.name, Quota: load.quota, Coordinator: s.nodes[n.owners[c]].address, Nodes: s.live,
		Cost: cost, Priority: load.priority, Patience: 100 * ms,
	})
	if decided {
		finish(d)
		s.flush(n)
		return
	}
	n.acting[id] = &simRequest{c, cost, finish}
	s.flush(n)
	s.tick(n)
}

func (s *simulation) tick(n *simNode) {
	if n.ticking {
		return
	}
	n.ticking = true
	s.after(tickPeriod, func() {
		n.ticking = false
		if n.dead || n.suspended || !n.client.Busy() {
			return
		}
		n.client.Tick(s.now)
		s.flush(n)
		if n.client.Busy() {
			s.tick(n)
		}
	})
}

func (s *simulation) suspend(n *simNode, d time.Duration) {
	if n.suspended || n.dead {
		return
	}
	n.suspended = true
	s.after(d, func() {
		n.suspended = false
		inbox := n.inbox
		n.inbox = nil
		for _, handle := range inbox {
			handle()
		}
		n.client.Tick(s.now)
		s.flush(n)
	})
}

func (s *simulation) restart(n *simNode, down time.Duration) {
	if n.dead {
		return
	}
	n.dead = true
	n.epoch++
	s.live--
	s.after(down, func() {
		s.live++
		fresh := s.freshNode(n.id)
		fresh.epoch = n.epoch
		*n = *fresh
		s.startNode(n)
	})
}

// entitled returns what a bucket with the quota admits of a demand.
func entitled(q quota.Quota, demand []use, from, to time.Duration) float64 {
	total, tokens, at := 0.0, q.Burst, time.Duration(0)
	slices.SortStableFunc(demand, func(a, b use) int { return int(a.at - b.at) })
	for _, u := range demand {
		tokens = min(tokens+(u.at-at).Seconds()*q.PerSecond, q.Burst)
		at = u.at
		admitted := min(u.cost, math.Max(tokens, 0))
		tokens -= admitted
		if u.at >= from && u.at < to {
			total += admitted
		}
	}
	return total
}
