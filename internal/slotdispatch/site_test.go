package slotdispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/modelpick"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/slotdispatch"
)

// start is the time at which each test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// defaultServerQueue is the number of requests that wait at a server beyond its slots before it rejects others.
	defaultServerQueue = 2
	// silentAfter, resendAfter and retryAfterSilence are those of internal/node.
	silentAfter       = 40 * time.Millisecond
	resendAfter       = 15 * time.Millisecond
	retryAfterSilence = 300 * time.Millisecond
	returnBatch       = 2 * time.Millisecond
	// waitShare is the share of the deadline that a request may wait, as in internal/forward.
	waitShare    = 0.3
	maximumSends = 3
	sameZone     = 200 * time.Microsecond
)

// load describes a plain service and the nodes before it.
type load struct {
	name      string
	nodes     int
	zones     int
	servers   int
	slots     int
	perSecond float64
	work      time.Duration
	deadline  time.Duration
	otherZone time.Duration
	// slowFrom and slowUntil bound a spell in which the first server takes slowFactor times as long.
	slowFrom, slowUntil time.Duration
	slowFactor          float64
	loss                float64
	duration            time.Duration
	serverQueue         int
	// burst is the factor of the rate in a burst of 300 ms every 2 s; the mean rate is perSecond.
	burst float64
	// silent bounds a time in which the dispatcher receives nothing, replaced is when a new one takes its place.
	silentFrom, silentUntil time.Duration
	replacedAt              time.Duration
}

func deploymentA() load {
	return load{
		name: "A", nodes: 80, zones: 4, servers: 4, slots: 6, perSecond: 147, work: 60 * time.Millisecond,
		deadline: 1500 * time.Millisecond, otherZone: 1400 * time.Microsecond, duration: 18 * time.Second,
		serverQueue: defaultServerQueue,
	}
}

func deploymentP() load {
	return load{
		name: "P", nodes: 81, zones: 3, servers: 3, slots: 6, perSecond: 212, work: 15 * time.Millisecond,
		deadline: 600 * time.Millisecond, otherZone: 900 * time.Microsecond, duration: 9 * time.Second,
		serverQueue: defaultServerQueue,
	}
}

// atShare returns the load with the rate at which the given share of the slots is in use.
func (l load) atShare(share float64) load {
	l.name = fmt.Sprintf("%s at %.2f", l.name, share)
	l.perSecond = share * float64(l.servers*l.slots) / l.work.Seconds()
	return l
}

// withSpell returns the load with a server that is 2.5 times as slow for a third of the time.
func (l load) withSpell() load {
	l.name += " with a slow server"
	l.slowFrom, l.slowUntil, l.slowFactor = l.duration/3, 2*l.duration/3, 2.5
	return l
}

// ofNodes returns the load before another number of nodes.
func (l load) ofNodes(nodes int) load {
	l.name += fmt.Sprintf(", %d nodes", nodes)
	l.nodes = nodes
	return l
}

// inBursts returns the load with a rate that is three times the mean for 300 ms every 2 s.
func (l load) inBursts() load {
	l.name += " in bursts"
	l.burst = 3
	return l
}

// rate returns the rate of arrivals at a time.
func (l load) rate(now time.Duration) float64 {
	const period, length = 2 * time.Second, 300 * time.Millisecond
	switch {
	case l.burst == 0:
		return l.perSecond
	case now%period < length:
		return l.burst * l.perSecond
	}
	return l.perSecond * (period.Seconds() - l.burst*length.Seconds()) / (period - length).Seconds()
}

type timed struct {
	at  time.Duration
	seq int
	do  func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type siteServer struct {
	number  int
	id      string
	zone    int
	running int
	waiting []func()
}

type siteNode struct {
	name        string
	zone        int
	inFlight    map[string]int
	silentUntil time.Duration
	// rejectedAt holds when a server last rejected a request of the node.
	rejectedAt map[string]time.Duration
}

// site plays the nodes and servers of a load. Without a dispatcher the nodes choose by modelpick.Plain.
type site struct {
	load
	random     *rand.Rand
	agenda     agenda
	seq        int
	now        time.Duration
	nodes      []*siteNode
	servers    []*siteServer
	dispatcher *slotdispatch.Dispatcher
	dispatched bool
	// bestOfTwo makes the nodes choose the better of two random servers instead, and avoid those that rejected a request.
	bestOfTwo bool
	// answers holds the requests that wait for the dispatcher, by ID.
	answers map[uint64]func(slotdispatch.Answer)
	inUse   map[uint64]slotdispatch.Use
	nextID  uint64
	wake    time.Duration

	requests, arrivals, rejected, refused, silent, messages int
	latencies                                               []time.Duration
	refusedAt                                               []time.Duration
}

func (s *site) entries() []slotdispatch.Server {
	var entries []slotdispatch.Server
	for _, server := range s.servers {
		entries = append(entries, slotdispatch.Server{ID: server.id, Zone: zoneName(server.zone), Slots: s.slots})
	}
	return entries
}

func zoneName(zone int) string { return "z" + strconv.Itoa(zone) }

func newSite(l load, seed uint64, dispatched bool) *site {
	s := &site{
		load: l, random: rand.New(rand.NewPCG(seed, 1)), dispatched: dispatched,
		answers: make(map[uint64]func(slotdispatch.Answer)), inUse: make(map[uint64]slotdispatch.Use),
	}
	for i := range l.nodes {
		s.nodes = append(s.nodes, &siteNode{
			name: "n" + strconv.Itoa(i), zone: i % l.zones, inFlight: make(map[string]int), rejectedAt: make(map[string]time.Duration),
			silentUntil: -1,
		})
	}
	for i := range l.servers {
		s.servers = append(s.servers, &siteServer{number: i, id: "s" + strconv.Itoa(i), zone: i % l.zones})
	}
	s.dispatcher = slotdispatch.New(start, s.entries())
	return s
}

func (s *site) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.agenda, timed{s.now + d, s.seq, do})
}

// latency draws the time of a message: the link, and the time until the receiver has processed it.
func (s *site) latency(from, to int) time.Duration {
	link := sameZone
	if from != to {
		link = s.otherZone
	}
	processing := time.Duration(s.random.ExpFloat64() * float64(500*time.Microsecond))
	if s.random.IntN(100) == 0 {
		processing += 10 * time.Millisecond
	}
	return link + processing
}

// message delivers a datagram, unless it's lost.
func (s *site) message(from, to int, do func()) {
	s.messages++
	if s.random.Float64() < s.loss {
		return
	}
	s.after(s.latency(from, to), do)
}

func (s *site) run() *site {
	var arrive func()
	arrive = func() {
		s.requests++
		s.begin(s.nodes[s.random.IntN(len(s.nodes))])
		s.after(time.Duration(s.random.ExpFloat64()/s.rate(s.now)*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	if s.replacedAt > 0 {
		s.after(s.replacedAt, s.replaceDispatcher)
	}
	for len(s.agenda) > 0 {
		next := heap.Pop(&s.agenda).(timed)
		if s.now = next.at; s.now > s.duration {
			break
		}
		next.do()
	}
	return s
}

// replaceDispatcher begins a dispatcher that learns the slots in use from the nodes within some milliseconds.
func (s *site) replaceDispatcher() {
	s.dispatcher = slotdispatch.New(start.Add(s.now), s.entries())
	for id, use := range s.inUse {
		s.after(time.Duration(s.random.Float64()*float64(100*time.Millisecond)), func() {
			if _, still := s.inUse[id]; still {
				s.dispatcher.Report(start.Add(s.now), use)
				s.drain()
			}
		})
	}
}

// request is one request of a caller at a node.
type request struct {
	node     *siteNode
	id       uint64
	arrived  time.Duration
	excluded []string
	sends    int
}

func (s *site) begin(node *siteNode) { s.choose(&request{node: node, arrived: s.now}) }

func (s *site) dispatcherDeaf() bool { return s.now >= s.silentFrom && s.now < s.silentUntil }

func (s *site) choose(r *request) {
	s.nextID++
	r.id = s.nextID
	if !s.dispatched || s.now < r.node.silentUntil {
		s.chooseAlone(r)
		return
	}
	patience := max(time.Duration(waitShare*float64(s.deadline))-(s.now-r.arrived), 0)
	ask := slotdispatch.Request{
		Node: r.node.name, ID: r.id, Zone: zoneName(r.node.zone), Patience: patience,
		Lifetime: s.deadline - (s.now - r.arrived), Excluded: r.excluded,
	}
	heard, id, asked := false, r.id, s.now
	s.answers[id] = func(answer slotdispatch.Answer) {
		heard = true
		if answer.Queued {
			return
		}
		delete(s.answers, id)
		switch {
		case answer.Server != "":
			s.send(r, answer.Server)
		case answer.Unusable:
			s.chooseAlone(r)
		default:
			s.refused++
			s.refusedAt = append(s.refusedAt, s.now+answer.TurnIn)
		}
	}
	send := func() {
		s.message(r.node.zone, 0, func() {
			if s.dispatcherDeaf() {
				return
			}
			answer := s.dispatcher.Ask(start.Add(s.now), ask)
			s.message(0, r.node.zone, func() { s.deliver(id, r.node, answer) })
			s.drain()
		})
	}
	send()
	var check func()
	check = func() {
		if _, waits := s.answers[id]; !waits {
			return
		}
		if s.now-asked >= silentAfter && !heard {
			s.silent++
			delete(s.answers, id)
			r.node.silentUntil = s.now + retryAfterSilence
			s.chooseAlone(r)
			return
		}
		if heard {
			heard, asked = false, s.now
			s.after(silentAfter, check)
		} else {
			s.after(min(resendAfter, asked+silentAfter-s.now), check)
		}
		send()
	}
	s.after(resendAfter, check)
}

func (s *site) deliver(id uint64, node *siteNode, answer slotdispatch.Answer) {
	if deliver := s.answers[id]; deliver != nil {
		deliver(answer)
	} else if _, used := s.inUse[id]; !used && answer.Server != "" {
		s.giveBack(id, node, slotdispatch.End{})
	}
}

// drain passes on the dispatcher's decisions about queued requests.
func (s *site) drain() {
	decisions, next := s.dispatcher.Next(start.Add(s.now))
	for _, decision := range decisions {
		number, _ := strconv.Atoi(decision.Request.Node[1:])
		node := s.nodes[number]
		s.message(0, node.zone, func() { s.deliver(decision.Request.ID, node, decision.Answer) })
	}
	if at := next.Sub(start); !next.IsZero() && (s.wake <= s.now || at < s.wake) {
		s.wake = at
		s.after(at-s.now, s.drain)
	}
}

func (s *site) chooseAlone(r *request) {
	var candidates []serverview.Candidate
	for _, server := range s.servers {
		candidates = append(candidates, serverview.Candidate{
			ID: server.id, Zone: zoneName(server.zone), Slots: s.slots, InFlight: r.node.inFlight[server.id], Connected: true,
		})
	}
	tried := make(map[string]bool)
	for _, id := range r.excluded {
		tried[id] = true
	}
	if s.bestOfTwo {
		s.chooseOfTwo(r, candidates, tried)
		return
	}
	chosen, found := modelpick.Plain(candidates, modelpick.Query{Zone: zoneName(r.node.zone), Tried: tried}, s.random)
	if !found {
		s.refused++
		return
	}
	s.send(r, chosen.ID)
}

// rejectionMemory is how long a node that chooses the better of two servers avoids one that has rejected a request.
const rejectionMemory = 100 * time.Millisecond

func (s *site) chooseOfTwo(r *request, candidates []serverview.Candidate, tried map[string]bool) {
	usable := slices.DeleteFunc(candidates, func(c serverview.Candidate) bool { return tried[c.ID] })
	if len(usable) == 0 {
		s.refused++
		return
	}
	avoided := func(c serverview.Candidate) bool {
		at, found := r.node.rejectedAt[c.ID]
		return found && s.now-at < rejectionMemory
	}
	first, second := usable[s.random.IntN(len(usable))], usable[s.random.IntN(len(usable))]
	if avoided(first) && !avoided(second) || avoided(first) == avoided(second) && second.InFlight < first.InFlight {
		first = second
	}
	s.send(r, first.ID)
}

func (s *site) send(r *request, id string) {
	number, _ := strconv.Atoi(id[1:])
	server, node := s.servers[number], r.node
	r.sends++
	sentAt, slotID := s.now, r.id
	node.inFlight[id]++
	s.inUse[slotID] = slotdispatch.Use{Node: node.name, ID: slotID, Server: id, Lifetime: s.deadline}
	finish := func(full bool) {
		s.after(s.latency(server.zone, node.zone), func() {
			node.inFlight[id]--
			delete(s.inUse, slotID)
			if s.dispatched {
				s.after(returnBatch, func() { s.giveBack(slotID, node, slotdispatch.End{Work: s.now - returnBatch - sentAt, Full: full}) })
			}
			switch {
			case !full:
				delete(node.rejectedAt, id)
				s.latencies = append(s.latencies, s.now-r.arrived)
			case r.sends < maximumSends:
				node.rejectedAt[id] = s.now
				r.excluded = append(r.excluded, id)
				s.choose(r)
			default:
				s.refused++
			}
		})
	}
	s.after(s.latency(node.zone, server.zone), func() {
		s.arrivals++
		if server.running >= s.slots && len(server.waiting) >= s.serverQueue {
			s.rejected++
			finish(true)
			return
		}
		serve := func() {
			server.running++
			work := time.Duration((0.7 + 0.6*s.random.Float64()) * float64(s.work))
			if server.number == 0 && s.now >= s.slowFrom && s.now < s.slowUntil {
				work = time.Duration(s.slowFactor * float64(work))
			}
			s.after(work, func() {
				server.running--
				if len(server.waiting) > 0 {
					next := server.waiting[0]
					server.waiting = server.waiting[1:]
					next()
				}
				finish(false)
			})
		}
		if server.running >= s.slots {
			server.waiting = append(server.waiting, serve)
		} else {
			serve()
		}
	})
}

func (s *site) giveBack(id uint64, node *siteNode, end slotdispatch.End) {
	s.message(node.zone, 0, func() {
		if !s.dispatcherDeaf() {
			s.dispatcher.Return(start.Add(s.now), node.name, id, end)
			s.drain()
		}
	})
}

// turnedAway returns the share of the arrivals at servers that they reject, and of requests that are refused.
func (s *site) turnedAway() (byServers, refused float64) {
	return float64(s.rejected) / float64(max(s.arrivals, 1)), float64(s.refused) / float64(s.requests)
}

func (s *site) percentile(p float64) time.Duration {
	slices.Sort(s.latencies)
	return s.latencies[int(p*float64(len(s.latencies)-1))]
}

func (s *site) report(t *testing.T, policy string) {
	t.Helper()
	rejected, refused := s.turnedAway()
	t.Logf("%-28s %-10s %4.0f/s: %.2f%% of arrivals rejected, %.2f%% of requests refused, p50 %v, p99 %v, %.2f datagrams per request, %d silent",
		s.name, policy, s.perSecond, 100*rejected, 100*refused, s.percentile(0.5).Round(time.Millisecond),
		s.percentile(0.99).Round(time.Millisecond), float64(s.messages)/float64(s.requests), s.silent)
}

// bound is the largest share of the arrivals that may be turned away at a load of 0.8 of the slots.
const bound = 0.01

// Guards against servers that reject requests while others have free slots, because no node sees the requests of the
// others. modelpick.Plain, the choice without a dispatcher, is reported for comparison.
func TestServersTurnAwayAtMostOneInAHundred(t *testing.T) {
	for _, l := range []load{
		deploymentA(), deploymentP(), deploymentA().withSpell(), deploymentP().withSpell(),
		deploymentA().inBursts(), deploymentP().inBursts(), deploymentA().inBursts().withSpell(),
		deploymentA().atShare(0.8), deploymentP().atShare(0.8), deploymentA().atShare(0.8).withSpell(),
		deploymentA().atShare(0.8).ofNodes(195), deploymentA().atShare(0.8).ofNodes(390),
	} {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			newSite(l, 1, false).run().report(t, "alone")
			bestOfTwo := newSite(l, 1, false)
			bestOfTwo.bestOfTwo = true
			bestOfTwo.run().report(t, "best of 2")
			for seed := range uint64(3) {
				s := newSite(l, seed, true).run()
				s.report(t, "dispatched")
				if rejected, refused := s.turnedAway(); rejected+refused > bound {
					t.Errorf("seed %d: %.4f of the arrivals rejected and %.4f of the requests refused", seed, rejected, refused)
				}
			}
		})
	}
}

// Guards against a dispatcher that relies on a queue at the servers, whose length isn't known, and so makes them reject
// requests. Without such a queue slots are idle while messages pass; the dispatcher then refuses what it can't place.
func TestServersWithShortQueuesRejectAtMostOneInAHundred(t *testing.T) {
	for _, l := range []load{deploymentA().atShare(0.8), deploymentP().atShare(0.8), deploymentA().atShare(0.8).withSpell()} {
		for queue := range defaultServerQueue {
			l := l
			l.serverQueue = queue
			t.Run(fmt.Sprintf("%s, queue of %d", l.name, queue), func(t *testing.T) {
				t.Parallel()
				newSite(l, 1, false).run().report(t, "alone")
				s := newSite(l, 1, true).run()
				s.report(t, "dispatched")
				if rejected, _ := s.turnedAway(); rejected > bound {
					t.Errorf("%.4f of the arrivals rejected", rejected)
				}
			})
		}
	}
}

// Guards against more rejections than without a dispatcher while it is silent, and against slots that are lost for good
// when messages are: the bound holds again afterwards.
func TestSilentOrReplacedDispatcherCostsLittle(t *testing.T) {
	silent, replaced, lossy := deploymentA(), deploymentA(), deploymentA()
	silent.name, silent.silentFrom, silent.silentUntil = "A, silent for 3 s", 10*time.Second, 13*time.Second
	replaced.name, replaced.replacedAt = "A, new dispatcher", 10*time.Second
	lossy.name, lossy.loss = "A, 1% of the datagrams lost", 0.01
	for _, l := range []load{silent, replaced, lossy} {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(l, 1, true).run()
			s.report(t, "dispatched")
			if rejected, refused := s.turnedAway(); rejected+refused > bound {
				t.Errorf("%.4f of the arrivals rejected and %.4f of the requests refused", rejected, refused)
			}
			if used, slots := s.dispatcher.InUse(); used > slots {
				t.Errorf("%d of %d slots are in use at the end", used, slots)
			}
		})
	}
}

// Guards against turns that are named to rejected requests all for the same time, so that their retries form another
// burst.
func TestTurnsOfRejectedRequestsAreSpread(t *testing.T) {
	l := deploymentA().atShare(2)
	l.duration = 3 * time.Second
	s := newSite(l, 1, true).run()
	if len(s.refusedAt) < 100 {
		t.Fatalf("only %d requests were refused at twice the load that the slots bear", len(s.refusedAt))
	}
	slices.Sort(s.refusedAt)
	const window = 20 * time.Millisecond
	// The slots that return in the window at most, and as many again for the named turns that were moved by later requests.
	most := 2 * int(float64(l.servers*l.slots)/l.work.Seconds()*window.Seconds())
	first := 0
	for last, at := range s.refusedAt {
		for at-s.refusedAt[first] > window {
			first++
		}
		if last-first+1 > 2*most {
			t.Fatalf("%d turns within %v around %v", last-first+1, window, at)
		}
	}
}
