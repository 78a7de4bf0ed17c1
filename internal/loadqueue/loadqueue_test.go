package loadqueue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// simulation drives several cores on one simulated log and one virtual clock.
type simulation struct {
	t        *rapid.T
	now      time.Time
	log      []platform.Record
	earliest platform.Offset
	nodes    []*node
	started  int
	requests int
	// states holds the order of turns after each offset, as computed by the reader that applied it last.
	states  map[platform.Offset]string
	numbers map[engine.LoadNumber]bool
	// trimmed is true when readers may start at different offsets.
	trimmed bool
}

// node is one scheduler: its core and the state of its interaction with the simulation.
type node struct {
	core    *core
	read    platform.Offset
	appends []appendAction
	open    map[uint64]string
	granted []Turn
	frozen  bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), earliest: 1,
		states: map[platform.Offset]string{}, numbers: map[engine.LoadNumber]bool{},
	}
	for range 3 {
		s.nodes = append(s.nodes, s.startNode())
	}
	return s
}

func (s *simulation) startNode() *node {
	s.started++
	random := rand.New(rand.NewPCG(1, uint64(s.started)))
	return &node{core: newCore(fmt.Sprint("scheduler-", s.started), random, s.now), read: 1, open: map[uint64]string{}}
}

// runActions performs a core's actions and checks every grant.
func (s *simulation) runActions(n *node) {
	for _, next := range n.core.popActions() {
		switch a := next.(type) {
		case appendAction:
			n.appends = append(n.appends, a)
		case grantAction:
			s.checkGrant(n, a)
		}
	}
	if len(n.appends) > 1 {
		s.t.Fatalf("%d appends outstanding", len(n.appends))
	}
}

// checkGrant checks that each Acquire is answered once, that numbers are unique and that a turn is granted in order.
func (s *simulation) checkGrant(n *node, a grantAction) {
	if _, open := n.open[a.ticket]; !open {
		s.t.Fatalf("ticket %d answered twice", a.ticket)
	}
	delete(n.open, a.ticket)
	if a.err != nil {
		return
	}
	if s.numbers[a.turn.Number] {
		s.t.Fatalf("number %d granted twice", a.turn.Number)
	}
	s.numbers[a.turn.Number] = true
	if a.turn.Local != (uint64(a.turn.Number)&localNumberBit != 0) {
		s.t.Fatalf("number %d does not match local %v", a.turn.Number, a.turn.Local)
	}
	running := n.core.order.running()
	if !a.turn.Local && (running == nil || running.offset != platform.Offset(a.turn.Number)) {
		s.t.Fatalf("turn %d granted while %+v is running", a.turn.Number, running)
	}
	n.granted = append(n.granted, a.turn)
}

func (s *simulation) acquire(n *node, class uint32, adapter int) string {
	s.requests++
	id := fmt.Sprint("request-", s.requests)
	request := Request{ID: id, Class: class, Adapter: fmt.Sprint("adapter-", adapter), AppliedOffset: n.core.order.applied}
	n.open[n.core.ticket+1] = id
	n.core.acquire(s.now, request)
	s.runActions(n)
	return id
}

// completeAppend ends the node's outstanding append: the record is committed effects times, and ok is the result that
// the node gets.
func (s *simulation) completeAppend(n *node, effects int, ok bool) {
	if len(n.appends) == 0 {
		return
	}
	data := n.appends[0].data
	n.appends = nil
	for range effects {
		offset := platform.Offset(len(s.log) + 1)
		s.log = append(s.log, platform.Record{Offset: offset, Time: s.now, Data: data})
	}
	n.core.appendDone(s.now, ok)
	s.runActions(n)
}

// readRecords lets a node read up to limit records one at a time and compares the order of turns after each with that
// of the other readers.
func (s *simulation) readRecords(n *node, limit int) {
	if n.read < s.earliest {
		n.core.trimmed(s.earliest)
		n.read = s.earliest
	}
	read := platform.Batch{Earliest: s.earliest, Next: platform.Offset(len(s.log) + 1)}
	for ; limit > 0 && int(n.read) <= len(s.log); limit-- {
		before := n.core.order.pending()
		read.Records = s.log[n.read-1 : n.read]
		n.core.applyRead(s.now, read)
		s.runActions(n)
		s.checkOrder(n, before)
		n.read++
	}
	read.Records = nil
	n.core.applyRead(s.now, read)
	s.runActions(n)
}

// checkOrder checks the order of turns of a node after one record, given the order before it.
func (s *simulation) checkOrder(n *node, before []Pending) {
	after := n.core.order.pending()
	for i, p := range after {
		if p.Running != (i == 0) {
			s.t.Fatalf("only the first load may run: %+v", after)
		}
	}
	for _, p := range n.core.order.items {
		for _, q := range n.core.order.items {
			if p.request.Adapter == q.request.Adapter && q.offset < p.offset && p.request.AppliedOffset < q.offset {
				s.t.Fatalf("%s was accepted twice, the second time without the first one applied: %+v", p.request.Adapter, after)
			}
		}
	}
	started := len(after) > 0 && (len(before) == 0 || before[0].Offset != after[0].Offset)
	for _, p := range after {
		// An aged load counts as class 1 and may start before loads of class 1 and below.
		aged := after[0].Request.Class < PrefetchClass && n.core.order.applied-after[0].Offset >= agedRecords
		if started && p.Request.Class < after[0].Request.Class && (!aged || p.Request.Class < agedClass) {
			s.t.Fatalf("a load of class %d started before %+v", after[0].Request.Class, p)
		}
	}
	state := fmt.Sprint(after)
	if expected, ok := s.states[n.read]; ok && expected != state && !s.trimmed {
		s.t.Fatalf("after offset %d one reader has %s and another %s", n.read, expected, state)
	}
	s.states[n.read] = state
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for _, n := range s.nodes {
		if !n.frozen {
			n.core.tick(s.now, len(s.nodes))
			s.runActions(n)
		}
	}
}

func (s *simulation) finish(n *node) {
	if len(n.granted) > 0 {
		n.core.finish(s.now, n.granted[0])
		n.granted = n.granted[1:]
		s.runActions(n)
	}
}

func (s *simulation) cancel(n *node) {
	for ticket := uint64(1); ticket <= n.core.ticket; ticket++ {
		if id, open := n.open[ticket]; open {
			if !n.core.cancel(s.now, id) {
				s.t.Fatalf("%s has no turn and can't be withdrawn", id)
			}
			delete(n.open, ticket)
			s.runActions(n)
			return
		}
	}
}

func (s *simulation) step() {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "node")]
	choice := rapid.IntRange(0, 13).Draw(s.t, "step")
	if n.frozen && choice < 10 {
		choice = 10
	}
	switch choice {
	case 0, 1, 2:
		class := rapid.SampledFrom([]uint32{0, 1, 5, PrefetchClass}).Draw(s.t, "class")
		s.acquire(n, class, rapid.IntRange(0, 5).Draw(s.t, "adapter"))
	case 3, 4:
		s.completeAppend(n, 1, true)
	case 5:
		s.completeAppend(n, rapid.IntRange(0, 2).Draw(s.t, "effects"), rapid.Bool().Draw(s.t, "answered"))
	case 6, 7:
		s.readRecords(n, rapid.IntRange(0, 10).Draw(s.t, "records"))
	case 8:
		s.finish(n)
	case 9:
		s.cancel(n)
	case 10, 11:
		s.advance(time.Duration(rapid.SampledFrom([]int{50, 300, 3000}).Draw(s.t, "ms")) * time.Millisecond)
	case 12:
		n.frozen = !n.frozen
	case 13:
		s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(s.t, "crashed")] = s.startNode()
	}
}

// runHealthy advances the clock by d, with a log that works and loads that finish.
func (s *simulation) runHealthy(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(100 * time.Millisecond)
		for _, n := range s.nodes {
			n.frozen = false
			s.completeAppend(n, 1, true)
			s.readRecords(n, len(s.log))
			s.finish(n)
		}
	}
}

func (s *simulation) checkDrained() {
	for _, n := range s.nodes {
		if len(n.open)+len(n.core.order.items)+len(n.core.unconfirmedEnds) > 0 {
			s.t.Fatalf("not drained: open %v, items %v, unconfirmed ends %v",
				n.open, n.core.order.pending(), n.core.unconfirmedEnds)
		}
	}
}

// TestOrder guards against readers that compute different orders, a less urgent load that starts first, two running
// loads, a number granted twice, and a request that is dropped, or blocked by a stopped holder or a failed append.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.step()
		}
		s.runHealthy(2 * time.Minute)
		s.checkDrained()
	})
}

// TestTrimmed guards against a running load that has passed its retention and blocks running or newly started readers.
func TestTrimmed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.trimmed = true
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			s.step()
			if rapid.IntRange(0, 9).Draw(t, "trim") == 0 {
				s.earliest = platform.Offset(rapid.IntRange(int(s.earliest), len(s.log)+1).Draw(t, "earliest"))
			}
		}
		s.nodes = append(s.nodes, s.startNode())
		s.runHealthy(2 * time.Minute)
		s.checkDrained()
	})
}

// TestUrgentOvertakes guards against a prefetch that runs before a demand load that was requested later.
func TestUrgentOvertakes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.acquire(s.nodes[0], 1, 0)
		s.advance(time.Second)
		s.completeAppend(s.nodes[0], 1, true)
		s.acquire(s.nodes[1], PrefetchClass, 1)
		s.completeAppend(s.nodes[1], 1, true)
		s.acquire(s.nodes[2], uint32(rapid.IntRange(0, 9).Draw(t, "class")), 2)
		s.completeAppend(s.nodes[2], 1, true)
		s.readRecords(s.nodes[0], 3)
		s.finish(s.nodes[0])
		for range 2 {
			s.advance(100 * time.Millisecond)
			s.completeAppend(s.nodes[0], 1, true)
		}
		for _, n := range s.nodes {
			s.readRecords(n, len(s.log))
		}
		if len(s.nodes[2].granted) != 1 || len(s.nodes[1].granted) != 0 {
			t.Fatalf("turns: %v and %v", s.nodes[1].granted, s.nodes[2].granted)
		}
	})
}
