package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

const (
	step     = 100 * time.Millisecond
	validity = 2500 * time.Millisecond
	lease    = 6 * time.Second
)

// delaySteps are the delays of messages, in steps. Most are short.
var delaySteps = []int{0, 0, 0, 1, 1, 2, 5, 12, 40}

var errAnswerLost = errors.New("answer lost")

// message is a message in transit that is delivered at a later time.
type message struct {
	at      time.Time
	deliver func()
}

// request is one request in progress on the engine.
type request struct {
	gateway *gateway
	load    engine.LoadName
}

// modelEngine is an engine that ignores the fencing number unless checksFence is set. Its reports lag.
type modelEngine struct {
	incarnation int
	startedAt   time.Time
	checksFence bool
	fence       engine.FencingNumber
	slots       int
	loads       []engine.LoadName
	requests    []*request
	reports     []engine.Report
}

func (e *modelEngine) clock(now time.Time) time.Duration { return now.Sub(e.startedAt) }

func (e *modelEngine) snapshot(now time.Time) {
	r := engine.Report{Incarnation: fmt.Sprint(e.incarnation), AsOf: e.clock(now), Slots: e.slots}
	for _, name := range e.loads {
		r.Adapters = append(r.Adapters, engine.LoadedAdapter{Name: name, Running: e.running(name)})
	}
	e.reports = append(e.reports, r)
}

func (e *modelEngine) running(name engine.LoadName) int {
	count := 0
	for _, q := range e.requests {
		if q.load == name {
			count++
		}
	}
	return count
}

func (e *modelEngine) restart(now time.Time) {
	e.incarnation++
	e.startedAt = now
	e.loads, e.requests, e.reports, e.fence = nil, nil, nil, 0
	e.snapshot(now)
}

func (e *modelEngine) admit(fence engine.FencingNumber) bool {
	if e.checksFence && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// gateway dispatches only to a resident load under an unexpired permit of the highest fencing number.
type gateway struct {
	id       GatewayID
	starts   int
	frozen   bool
	sequence uint64
	fence    engine.FencingNumber
	version  uint64
	expiry   time.Time
	permits  Permits
	inFlight map[engine.LoadNumber]int
	// closing holds every load that was last seen as closing, in permits of any owner.
	closing map[engine.LoadNumber]bool
	// unreachable holds the owners that the gateway can't reach.
	unreachable map[*owner]bool
}

func (g *gateway) start(name string) {
	*g = gateway{id: GatewayID{name, fmt.Sprint(g.starts)}, starts: g.starts + 1, inFlight: map[engine.LoadNumber]int{},
		closing: map[engine.LoadNumber]bool{}, unreachable: map[*owner]bool{}}
}

func (g *gateway) sync(owner *owner) Sync {
	g.sequence++
	sync := Sync{Gateway: g.id, Sequence: g.sequence, InFlight: map[engine.LoadNumber]uint32{}}
	for number, count := range g.inFlight {
		if count > 0 {
			sync.InFlight[number] = uint32(count)
		}
	}
	if g.fence == owner.fence {
		sync.PermitsVersion = g.version
	}
	for number := range g.closing {
		if g.inFlight[number] == 0 {
			sync.Closed = append(sync.Closed, number)
		}
	}
	return sync
}

func (g *gateway) applyPermits(
	id GatewayID, fence engine.FencingNumber, version uint64, expiry time.Time, permits Permits,
) {
	if g.id != id || fence < g.fence || (fence == g.fence && version < g.version) {
		return
	}
	if fence > g.fence || version > g.version || expiry.After(g.expiry) {
		g.fence, g.version, g.expiry, g.permits = fence, version, expiry, permits
		for _, p := range permits.Loads {
			delete(g.closing, p.Number)
			if p.State == Closing {
				g.closing[p.Number] = true
			}
		}
	}
}

// owner is one scheduler's aggregate. The model holds its state on the log.
type owner struct {
	server    *Server
	fence     engine.FencingNumber
	leaseFrom time.Time
	intent    engine.LoadName
	paused    bool
	dead      bool
	stopped   bool
}

// model simulates a zone with one engine, its successive owners, three gateways, and messages in transit.
type model struct {
	t          *rapid.T
	random     *rand.Rand
	now        time.Time
	engine     *modelEngine
	owners     []*owner
	gateways   []*gateway
	messages   []message
	version    Version
	lastNumber engine.LoadNumber
	usedNames  map[engine.LoadName]bool
	unloads    int
	// reportLag is how many steps old the engine's reports are.
	reportLag int
}

func newModel(t *rapid.T) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), usedNames: map[engine.LoadName]bool{},
	}
	m.engine = &modelEngine{slots: 2, checksFence: rapid.Bool().Draw(t, "checks fence")}
	m.engine.restart(m.now)
	for i := range 3 {
		g := &gateway{}
		g.start(fmt.Sprint("g", i))
		m.gateways = append(m.gateways, g)
	}
	m.addOwner()
	return m
}

// pick returns a random number below n. Rapid favours small numbers, which makes the histories too similar, so it only
// draws the seed.
func (m *model) pick(n int) int { return m.random.IntN(n) }

func (m *model) owner() *owner { return m.owners[len(m.owners)-1] }

// addOwner adds an owner that succeeds the present one, with the open intents of former owners.
func (m *model) addOwner() {
	next := &owner{fence: engine.FencingNumber(len(m.owners) + 1), leaseFrom: m.now}
	m.owners = append(m.owners, next)
	spec := Spec{Name: "s", Slots: 2, Concurrency: 8, ChecksFence: m.engine.checksFence}
	next.server = New(m.now, validity, &m.version, spec, m.status(next))
}

func (m *model) status(o *owner) Ownership {
	status := Ownership{Fence: o.fence, LeaseUntil: o.leaseFrom.Add(lease), PredecessorsStopped: true, Intent: o.intent}
	for _, former := range m.owners {
		if former.fence >= o.fence {
			break
		}
		status.PredecessorsStopped = status.PredecessorsStopped && (former.stopped || former.dead)
		if former.intent != "" && !former.dead {
			status.BlockedLoads = append(status.BlockedLoads, former.intent)
		}
	}
	return status
}

// later delivers f after a random delay, sometimes never and sometimes twice.
func (m *model) later(f func()) {
	switch m.pick(10) {
	case 0:
		return
	case 1:
		m.messages = append(m.messages, message{m.delay(), f})
	}
	m.messages = append(m.messages, message{m.delay(), f})
}

func (m *model) delay() time.Time {
	steps := delaySteps[m.pick(len(delaySteps))]
	return m.now.Add(time.Duration(steps) * step)
}

func (m *model) deliver() {
	due := slices.DeleteFunc(slices.Clone(m.messages), func(msg message) bool { return msg.at.After(m.now) })
	m.messages = slices.DeleteFunc(m.messages, func(msg message) bool { return !msg.at.After(m.now) })
	for _, msg := range due {
		msg.deliver()
	}
}

// syncAll sends one gateway's sync to every owner that it can reach, and delivers the answers.
func (m *model) syncAll(g *gateway) {
	sent, id := m.now, g.id
	for _, o := range m.owners {
		if g.unreachable[o] {
			continue
		}
		sync := g.sync(o)
		m.later(func() {
			if o.paused || o.dead || o.stopped {
				return
			}
			received := m.now
			o.server.Sync(m.now, sync)
			permits := o.server.Grant(m.now, id, received)
			version := m.version.Current()
			m.later(func() {
				if !g.frozen {
					g.applyPermits(id, o.fence, version, sent.Add(validity), permits)
				}
			})
		})
	}
}

func (m *model) dispatch(g *gateway) {
	if g.frozen || !m.now.Before(g.expiry) {
		return
	}
	for _, p := range g.permits.Loads {
		if p.State == Resident && slices.Contains(m.engine.loads, p.Name) && m.pick(5) == 0 {
			g.inFlight[p.Number]++
			m.engine.requests = append(m.engine.requests, &request{g, p.Name})
			return
		}
	}
}

// finish ends a request at the engine. Its gateway is notified unless it has restarted.
func (m *model) finish() {
	if len(m.engine.requests) == 0 {
		return
	}
	i := m.pick(len(m.engine.requests))
	q := m.engine.requests[i]
	m.engine.requests = slices.Delete(m.engine.requests, i, i+1)
	_, number, _ := parseName(q.load)
	if q.gateway.inFlight[number] > 0 {
		q.gateway.inFlight[number]--
	}
}

func (m *model) poll(o *owner) {
	sent := m.now
	m.later(func() {
		r := m.engine.reports[len(m.engine.reports)-1]
		back := min(m.reportLag+m.pick(4), len(m.engine.reports)-1)
		r = m.engine.reports[len(m.engine.reports)-1-back]
		r.Now = m.engine.clock(m.now)
		m.later(func() {
			if !o.paused {
				o.server.Report(m.now, sent, r)
			}
		})
	})
}

func (m *model) startLoad(o *owner) {
	m.lastNumber++
	adapter := AdapterVersion{fmt.Sprint("a", m.pick(4)), "1"}
	number := m.lastNumber
	name, fence, err := o.server.StartLoad(adapter, number)
	if err != nil {
		return
	}
	if m.usedNames[name] {
		m.t.Fatalf("second load under the name %s", name)
	}
	m.usedNames[name] = true
	answerLost := m.pick(5) == 0
	m.messages = append(m.messages, message{m.delay(), func() {
		err := errAnswerLost
		if !answerLost || (m.pick(2) == 0) {
			err = m.engineLoad(fence, name)
		}
		if answerLost {
			err = errAnswerLost
		}
		m.messages = append(m.messages, message{m.delay(), func() { o.server.LoadEnded(m.now, number, err) }})
	}})
}

func (m *model) engineLoad(fence engine.FencingNumber, name engine.LoadName) error {
	if !m.engine.admit(fence) {
		return engine.ErrFenced
	}
	if len(m.engine.loads) < m.engine.slots {
		m.engine.loads = append(m.engine.loads, name)
		return nil
	}
	if len(m.owners) == 1 {
		m.t.Fatalf("the owner's own orders exceed the slots: %v and %s", m.engine.loads, name)
	}
	return engine.ErrNoSlot
}

func (m *model) perform(o *owner, a Action) {
	switch a.Kind {
	case OrderRaiseFence:
		err := errAnswerLost
		if m.engine.admit(a.Fence) {
			err = nil
		}
		o.server.FenceRaised(err)
	case WriteIntent:
		m.messages = append(m.messages, message{m.delay(), func() {
			if o == m.owner() && o.intent == "" {
				o.intent = a.Name
			}
		}})
	case EndIntentDone, EndIntentWithdrawn:
		m.messages = append(m.messages, message{m.delay(), func() {
			if o.intent == a.Name {
				o.intent = ""
			}
		}})
	case OrderUnload:
		m.sendUnload(o, a)
	}
}

func (m *model) sendUnload(o *owner, a Action) {
	m.unloads++
	m.checkIdle(a.Name, "when the unload was ordered")
	arrival := m.delay()
	if m.pick(6) == 0 {
		arrival = m.now.Add(time.Duration(m.pick(200)) * step) // The owner is paused between its checks and the write.
	}
	m.messages = append(m.messages, message{arrival, func() {
		if o.dead {
			return
		}
		err := engine.ErrFenced
		if m.engine.admit(a.Fence) {
			m.checkIdle(a.Name, "when the unload arrived")
			m.engine.loads = slices.DeleteFunc(m.engine.loads, func(name engine.LoadName) bool { return name == a.Name })
			err = nil
		}
		if m.pick(5) == 0 {
			err = errAnswerLost
		}
		m.messages = append(m.messages, message{m.delay(), func() { o.server.UnloadEnded(m.now, a.Number, err) }})
	}})
}

func (m *model) checkIdle(name engine.LoadName, when string) {
	if count := m.engine.running(name); count > 0 {
		m.t.Fatalf("%d requests in progress on %s %s", count, name, when)
	}
}
