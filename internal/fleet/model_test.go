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

var errLost = errors.New("answer lost")

// message is something under way that takes effect at a later time.
type message struct {
	at      time.Time
	deliver func()
}

// request is one request in progress on the engine.
type request struct {
	gateway *gateway
	load    engine.LoadName
}

// modelEngine is an engine that ignores the fencing number unless checks is set. Its reports lag.
type modelEngine struct {
	incarnation int
	booted      time.Time
	checks      bool
	fence       engine.FencingNumber
	slots       int
	loads       []engine.LoadName
	requests    []*request
	history     []engine.Report
}

func (e *modelEngine) clock(now time.Time) time.Duration { return now.Sub(e.booted) }

func (e *modelEngine) snapshot(now time.Time) {
	r := engine.Report{Incarnation: fmt.Sprint(e.incarnation), AsOf: e.clock(now), Slots: e.slots}
	for _, name := range e.loads {
		r.Adapters = append(r.Adapters, engine.LoadedAdapter{Name: name, Running: e.running(name)})
	}
	e.history = append(e.history, r)
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
	e.booted = now
	e.loads, e.requests, e.history, e.fence = nil, nil, nil, 0
	e.snapshot(now)
}

func (e *modelEngine) admit(fence engine.FencingNumber) bool {
	if e.checks && fence < e.fence {
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// gateway obeys permits: it dispatches only to a resident load under an unexpired permit of the highest fence.
type gateway struct {
	id       GatewayID
	runs     int
	frozen   bool
	sequence uint64
	fence    engine.FencingNumber
	version  uint64
	expiry   time.Time
	permits  Permits
	inFlight map[engine.LoadNumber]int
	// closing holds every load that was last seen as closing, whoever said so.
	closing map[engine.LoadNumber]bool
	// cut holds the owners that the gateway can't reach.
	cut map[*owner]bool
}

func (g *gateway) start(name string) {
	*g = gateway{id: GatewayID{name, fmt.Sprint(g.runs)}, runs: g.runs + 1, inFlight: map[engine.LoadNumber]int{},
		closing: map[engine.LoadNumber]bool{}, cut: map[*owner]bool{}}
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
		sync.Held = g.version
	}
	for number := range g.closing {
		if g.inFlight[number] == 0 {
			sync.Closed = append(sync.Closed, number)
		}
	}
	return sync
}

func (g *gateway) take(id GatewayID, fence engine.FencingNumber, version uint64, expiry time.Time, permits Permits) {
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

// owner is one scheduler's aggregate. Its status on the log is kept by the model.
type owner struct {
	server    *Server
	fence     engine.FencingNumber
	leaseFrom time.Time
	intent    engine.LoadName
	paused    bool
	dead      bool
	stopped   bool
}

// model is a zone with one engine, its owners one after another, three gateways, and messages under way.
type model struct {
	t        *rapid.T
	random   *rand.Rand
	now      time.Time
	engine   *modelEngine
	owners   []*owner
	gateways []*gateway
	messages []message
	version  Version
	number   engine.LoadNumber
	names    map[engine.LoadName]bool
	unloads  int
	// lag is how many steps old the engine's reports are.
	lag int
}

func newModel(t *rapid.T) *model {
	seed := rapid.Uint64().Draw(t, "seed")
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), names: map[engine.LoadName]bool{}}
	m.engine = &modelEngine{slots: 2, checks: rapid.Bool().Draw(t, "checks fence")}
	m.engine.restart(m.now)
	for i := range 3 {
		g := &gateway{}
		g.start(fmt.Sprint("g", i))
		m.gateways = append(m.gateways, g)
	}
	m.gain()
	return m
}

// pick returns a number below n. The numbers that rapid draws favour small ones, which makes the histories alike,
// so only the seed is drawn.
func (m *model) pick(n int) int { return m.random.IntN(n) }

func (m *model) owner() *owner { return m.owners[len(m.owners)-1] }

// gain makes a new owner take over, with the intents that former owners have open.
func (m *model) gain() {
	next := &owner{fence: engine.FencingNumber(len(m.owners) + 1), leaseFrom: m.now}
	m.owners = append(m.owners, next)
	spec := Spec{Name: "s", Slots: 2, Concurrency: 8, ChecksFence: m.engine.checks}
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
			status.Barred = append(status.Barred, former.intent)
		}
	}
	return status
}

// later delivers f after a drawn delay, sometimes never and sometimes twice.
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

// syncAll sends one gateway's sync to every owner that lives; answers travel back.
func (m *model) syncAll(g *gateway) {
	sent, id := m.now, g.id
	for _, o := range m.owners {
		if g.cut[o] {
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
					g.take(id, o.fence, version, sent.Add(validity), permits)
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

// finish ends a request at the engine. Its gateway learns of it unless it was restarted.
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
		r := m.engine.history[len(m.engine.history)-1]
		back := min(m.lag+m.pick(4), len(m.engine.history)-1)
		r = m.engine.history[len(m.engine.history)-1-back]
		r.Now = m.engine.clock(m.now)
		m.later(func() {
			if !o.paused {
				o.server.Report(m.now, sent, r)
			}
		})
	})
}

func (m *model) load(o *owner) {
	m.number++
	of := AdapterVersion{fmt.Sprint("a", m.pick(4)), "1"}
	number := m.number
	name, fence, err := o.server.StartLoad(of, number)
	if err != nil {
		return
	}
	if m.names[name] {
		m.t.Fatalf("second load under the name %s", name)
	}
	m.names[name] = true
	lost := m.pick(5) == 0
	m.messages = append(m.messages, message{m.delay(), func() {
		err := errLost
		if !lost || (m.pick(2) == 0) {
			err = m.engineLoad(fence, name)
		}
		if lost {
			err = errLost
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

func (m *model) act(o *owner, a Action) {
	switch a.Kind {
	case OrderRaise:
		err := errLost
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
		m.unload(o, a)
	}
}

func (m *model) unload(o *owner, a Action) {
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
			err = errLost
		}
		m.messages = append(m.messages, message{m.delay(), func() { o.server.UnloadEnded(m.now, a.Number, err) }})
	}})
}

func (m *model) checkIdle(name engine.LoadName, when string) {
	if count := m.engine.running(name); count > 0 {
		m.t.Fatalf("%d requests in progress on %s %s", count, name, when)
	}
}
