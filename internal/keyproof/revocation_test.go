package keyproof_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/keyproof"
)

// revocation is the platform's bound on the time from the acknowledgement of a configuration without a key until no request
// with the key runs that was sent later.
const revocation = 5 * time.Second

const (
	modelNodes  = 4
	modelStep   = 50 * time.Millisecond
	modelLength = 40 * time.Second
)

// model is a store, nodes with clocks of their own, and messages that are delayed, lost and duplicated. Times are global.
type model struct {
	t      *rapid.T
	random *rand.Rand
	now    time.Duration
	// acked holds when the store acknowledged each version, from 1; version 1 is there from the beginning.
	acked []time.Duration
	// offset is the end of the log.
	offset int64
	nodes  [modelNodes]*modelNode
	// pending holds what arrives at nodes.
	pending []arrival
	// accepted counts the steps in which a node accepted keys.
	accepted int
}

// arrival is something that arrives at a node, or at the store for a negative number.
type arrival struct {
	at     time.Duration
	node   int
	handle func()
}

type modelNode struct {
	core *keyproof.Core
	// clock is the reading of the node's clock at the global time 0.
	clock time.Duration
	// offset and version are what the node has applied.
	offset, version int64
	// suspendedUntil is when the node runs again; what arrives meanwhile waits.
	suspendedUntil time.Duration
	// cutOffUntil is when the node's calls reach the store again.
	cutOffUntil time.Duration
	// reads is true while a call to the store is in progress, readEnds when the node gives it up.
	reads    bool
	readEnds time.Duration
}

func (n *modelNode) position() keyproof.Position { return position(n.offset, n.version) }

func (m *model) newest() int64 { return int64(len(m.acked)) }

func (m *model) time(n *modelNode) time.Duration { return n.clock + m.now }

// chance reports true once in so many calls.
func (m *model) chance(n int) bool { return m.random.IntN(n) == 0 }

// delay returns a short delay, now and then a long one.
func (m *model) delay() time.Duration {
	if m.chance(6) {
		return time.Duration(m.random.IntN(8000)) * time.Millisecond
	}
	return time.Duration(m.random.IntN(100)) * time.Millisecond
}

// send delivers something to a node after a delay, unless it's lost, and sometimes again.
func (m *model) send(node int, handle func()) {
	for copies := m.random.IntN(10); copies > 0; copies -= 7 {
		m.pending = append(m.pending, arrival{at: m.now + m.delay(), node: node, handle: handle})
	}
}

func (m *model) start(number int) {
	clock := time.Duration(m.random.IntN(1_000_000)) * time.Millisecond
	if m.nodes[number] != nil && !m.chance(3) {
		clock = m.nodes[number].clock
	}
	m.nodes[number] = &modelNode{core: keyproof.New(lifetime), clock: clock}
}

// deliver handles what has arrived.
func (m *model) deliver() {
	due := m.pending
	m.pending = nil
	for _, a := range due {
		if a.at > m.now || a.node >= 0 && m.nodes[a.node].suspendedUntil > m.now {
			m.pending = append(m.pending, a)
			continue
		}
		a.handle()
	}
}

// read calls the store. The answer is some moment's, and may leave out the newest record.
func (m *model) read(number int) {
	n := m.nodes[number]
	if n.reads && m.now < n.readEnds {
		return
	}
	n.reads, n.readEnds = true, m.now+1200*time.Millisecond
	if n.cutOffUntil > m.now {
		return
	}
	sentAt, ends := m.time(n), n.readEnds
	m.send(-1, func() {
		offset, version, more := m.offset, m.newest(), m.chance(8)
		if more {
			offset, version = offset-1, version-1
		}
		m.send(number, func() {
			// A call that was given up has no effect, nor has one of an earlier process.
			if m.nodes[number] != n || !n.reads || n.readEnds != ends {
				return
			}
			n.reads = false
			n.version = max(n.version, version)
			if more {
				n.offset = max(n.offset, offset)
				n.core.Applied(n.position())
				return
			}
			n.offset = offset
			n.core.Read(sentAt, n.position())
		})
	})
}

// relay passes what a node has applied to another one, as a digest or snapshot does.
func (m *model) relay(number int) {
	offset, version, to := m.nodes[number].offset, m.nodes[number].version, m.random.IntN(modelNodes)
	m.send(to, func() {
		n := m.nodes[to]
		n.offset, n.version = max(n.offset, offset), max(n.version, version)
		n.core.Applied(n.position())
	})
}

func (m *model) challenge(number int) {
	n := m.nodes[number]
	nonce := m.random.Uint64()
	if m.chance(10) {
		n.core.Refresh()
	}
	if _, due := n.core.Challenge(m.time(n), nonce, readers, true); !due {
		return
	}
	to := m.random.IntN(modelNodes)
	m.send(to, func() {
		age, needed, ok := m.nodes[to].core.Answer(m.time(m.nodes[to]))
		if ok {
			m.send(number, func() {
				m.nodes[number].core.Answered(m.time(m.nodes[number]), nonce, age, needed)
			})
		}
	})
}

// step lets each node act and disturbs it at times.
func (m *model) step() {
	m.now += modelStep
	if m.chance(60) {
		m.acked = append(m.acked, m.now)
		m.offset++
	}
	if m.chance(200) {
		// The log is replaced by one with only the newest record.
		m.offset = 1
	}
	for number, n := range m.nodes {
		switch {
		case m.chance(200):
			n.suspendedUntil = m.now + time.Duration(m.random.IntN(9000))*time.Millisecond
		case m.chance(200):
			m.start(number)
			continue
		case m.chance(100):
			n.cutOffUntil = m.now + time.Duration(m.random.IntN(15_000))*time.Millisecond
		}
		if n.suspendedUntil > m.now {
			continue
		}
		// The first node is a reader, the others read seldom.
		if number == 0 || m.chance(40) {
			m.read(number)
		}
		if m.chance(10) {
			m.relay(number)
		}
		m.challenge(number)
	}
	m.deliver()
	m.check()
}

// check checks that no node overstates how recent its configuration is, and that none accepts a revoked key. A request that
// is checked now was sent before.
func (m *model) check() {
	for number, n := range m.nodes {
		if n.suspendedUntil > m.now {
			continue
		}
		age, ok := n.core.Age(m.time(n))
		accepts := n.core.AcceptsKeys(m.time(n))
		if accepts {
			m.accepted++
		}
		if n.version >= m.newest() {
			continue
		}
		// The oldest version that the node lacks is the first to be noticed.
		acked := m.acked[n.version]
		if ok && acked < m.now-age {
			m.t.Fatalf("node %d with version %d states that it was the newest %s ago; version %d is %s old",
				number, n.version, age, n.version+1, m.now-acked)
		}
		if accepts && m.now-acked > revocation {
			m.t.Fatalf("node %d with version %d accepts keys; version %d is %s old", number, n.version, n.version+1, m.now-acked)
		}
	}
}

// Guards against a key that is accepted later than the bound after its revocation, with delays, losses, duplicates,
// suspensions, restarts, replaced logs, and proofs that pass over several nodes.
func TestRevokedKeyIsNeverAcceptedAfterTheBound(t *testing.T) {
	accepted, steps := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		m := &model{t: t, random: rand.New(rand.NewPCG(seed, 0)), acked: []time.Duration{0}, offset: 1}
		for number := range m.nodes {
			m.start(number)
		}
		for m.now < modelLength {
			m.step()
			steps += modelNodes
		}
		accepted += m.accepted
	})
	t.Logf("keys were accepted in %d of %d steps of nodes", accepted, steps)
	if accepted < steps/4 {
		t.Fatal("the nodes hardly ever accepted a key, so that the test shows nothing")
	}
}

// exploredRead is a call to the store.
type exploredRead struct {
	sentAt          time.Duration
	answered        bool
	offset, version int64
}

// exploration runs every order of a few events of two nodes and checks the same property.
type exploration struct {
	t    *testing.T
	runs int
}

// Guards against orders of events that random tests rarely reach: a reader and a follower, one revocation, one read of each,
// one challenge with its answer, and passing time between any two of them.
func TestEveryOrderOfARevocation(t *testing.T) {
	e := &exploration{t: t}
	const steps = 9
	e.permute(make([]int, 0, steps), make([]bool, steps))
	t.Logf("%d orders", e.runs)
}

func (e *exploration) permute(order []int, used []bool) {
	if len(order) == len(used) {
		e.run(order)
		return
	}
	for step := range used {
		if !used[step] {
			used[step] = true
			e.permute(append(order, step), used)
			used[step] = false
		}
	}
}

// run runs the steps in an order, with 1.3 s before each; steps whose preconditions fail do nothing.
func (e *exploration) run(order []int) {
	e.runs++
	m := &model{acked: []time.Duration{0}, offset: 1}
	for number := range 2 {
		m.nodes[number] = &modelNode{core: keyproof.New(lifetime), clock: time.Duration(number) * time.Hour, offset: 1, version: 1}
	}
	reader, follower := m.nodes[0], m.nodes[1]
	reader.core.Read(m.time(reader), reader.position())
	follower.core.Applied(follower.position())
	var read *exploredRead
	var toReader, toFollower, digest func()
	for _, step := range order {
		m.now += 1300 * time.Millisecond
		switch {
		case step == 0:
			m.acked = append(m.acked, m.now)
			m.offset++
		case step == 1:
			read = &exploredRead{sentAt: m.time(reader)}
		case step == 2 && read != nil:
			read.answered, read.offset, read.version = true, m.offset, m.newest()
		case step == 3 && read != nil && read.answered:
			reader.offset, reader.version = read.offset, read.version
			reader.core.Read(read.sentAt, reader.position())
		case step == 4:
			if _, due := follower.core.Challenge(m.time(follower), 1, []string{"r"}, true); due {
				toReader = func() {
					if age, needed, ok := reader.core.Answer(m.time(reader)); ok {
						toFollower = func() { follower.core.Answered(m.time(follower), 1, age, needed) }
					}
				}
			}
		case step == 5 && toReader != nil:
			toReader()
		case step == 6 && toFollower != nil:
			toFollower()
		case step == 7:
			position := reader.position()
			digest = func() {
				follower.offset, follower.version = max(follower.offset, position.Offset), max(follower.version, position.Version)
				follower.core.Applied(follower.position())
			}
		case step == 8 && digest != nil:
			digest()
		}
		for number, n := range []*modelNode{reader, follower} {
			age, ok := n.core.Age(m.time(n))
			if n.version < m.newest() && ok && m.now-age > m.acked[1] {
				e.t.Fatalf("order %v: node %d overstates its proof", order, number)
			}
			if n.version < m.newest() && m.now-m.acked[1] > revocation && n.core.AcceptsKeys(m.time(n)) {
				e.t.Fatalf("order %v: node %d accepts a revoked key", order, number)
			}
		}
	}
}
