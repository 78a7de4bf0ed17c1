package ownership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const step = 100 * time.Millisecond

var nineServers = []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}

var servers = nineServers[:3]

// node is a scheduler of the simulation. A paused node neither reads nor ticks, but retains its state.
type node struct {
	core    *Core
	read    int
	paused  bool
	pending []Record
}

// simulation is a zone with a log that may be unavailable and appends that may be delayed or dropped.
type simulation struct {
	now   time.Time
	log   []platform.Record
	nodes []*node
	down  bool
	runs  int
}

func (sim *simulation) start(name string) *node {
	sim.runs++
	self := Holder{Node: name, Incarnation: fmt.Sprintf("%06d", sim.runs), Address: name}
	n := &node{core: New(DefaultConfig(self))}
	n.core.SetServers(servers)
	n.core.SetSchedulers([]string{"a", "b", "c"})
	return n
}

func (sim *simulation) append(r Record) {
	offset := platform.Offset(len(sim.log) + 1)
	sim.log = append(sim.log, platform.Record{Offset: offset, Data: r.Encode()})
}

func (sim *simulation) step(n *node, read, flush bool) {
	limit := 0
	if read {
		limit = len(sim.log) + 1
	}
	sim.stepUpTo(n, limit, flush)
}

// stepUpTo makes the node read at most limit records and tick, and appends its pending records if flush is true.
func (sim *simulation) stepUpTo(n *node, limit int, flush bool) {
	if n.paused {
		return
	}
	if limit > 0 && !sim.down {
		end := min(n.read+limit, len(sim.log))
		n.core.Observe(sim.now, sim.log[n.read:end], end == len(sim.log))
		n.read = end
	}
	records, _ := n.core.Tick(sim.now)
	n.pending = append(n.pending, records...)
	if flush && !sim.down {
		for _, r := range n.pending {
			sim.append(r)
		}
		n.pending = nil
	}
}

// checkExclusive fails if more than one scheduler holds a valid lease of the same server.
func (sim *simulation) checkExclusive(t *rapid.T) {
	for _, server := range servers {
		holders := 0
		for _, n := range sim.nodes {
			if n.core.LeaseValid(sim.now, server) {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("%d schedulers hold a valid lease of %s", holders, server)
		}
	}
}

// TestLeasesNeverOverlap guards against overlapping leases of two owners under pauses, delays, dropped appends and
// restarts, and against a server that remains without an owner after the faults have ended.
func TestLeasesNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: time.Unix(1000, 0)}
		for _, name := range []string{"a", "b", "c"} {
			sim.nodes = append(sim.nodes, sim.start(name))
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			sim.now = sim.now.Add(step)
			i := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 30).Draw(t, "fault") {
			case 0:
				sim.nodes[i].paused = !sim.nodes[i].paused
			case 1:
				sim.down = !sim.down
			case 2:
				sim.nodes[i].pending = nil
			case 3:
				sim.nodes[i] = sim.start(sim.nodes[i].core.config.Self.Node)
			case 4:
				sim.now = sim.now.Add(5 * time.Second)
			}
			for _, n := range sim.nodes {
				sim.stepUpTo(n, rapid.SampledFrom([]int{0, 1, 2, 100}).Draw(t, "read"), rapid.Bool().Draw(t, "flush"))
			}
			sim.checkExclusive(t)
		}
		sim.checkRecovery(t)
	})
}

// checkRecovery ends all faults and checks that every server gets exactly one owner.
func (sim *simulation) checkRecovery(t *rapid.T) {
	sim.down = false
	for _, n := range sim.nodes {
		n.paused = false
	}
	for range 100 {
		sim.now = sim.now.Add(3 * step)
		for _, n := range sim.nodes {
			sim.step(n, true, true)
		}
		sim.checkExclusive(t)
	}
	for _, server := range servers {
		owners := 0
		for _, n := range sim.nodes {
			if n.core.LeaseValid(sim.now, server) {
				owners++
			}
		}
		if owners != 1 {
			t.Fatalf("%s has %d owners after the faults ended", server, owners)
		}
	}
}

// TestLateReaderAgrees guards against a reader that starts after records have exceeded the retention and derives
// different owners or open intents than a reader of the complete stream.
func TestLateReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{now: time.Unix(1000, 0)}
		for _, name := range []string{"a", "b", "c"} {
			sim.nodes = append(sim.nodes, sim.start(name))
		}
		for i := range 200 {
			sim.now = sim.now.Add(step)
			n := sim.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				*n = *sim.start(n.core.config.Self.Node)
			}
			if r, ok := n.core.OpenIntent(sim.now, servers[i%3], engine.NewLoadName("x", "1", engine.LoadNumber(i))); ok && i%5 == 0 {
				n.pending = append(n.pending, r)
			}
			sim.step(n, true, true)
		}
		for range 100 {
			sim.now = sim.now.Add(step)
			for _, n := range sim.nodes {
				sim.step(n, true, true)
			}
		}
		start := rapid.IntRange(0, len(sim.log)-30).Draw(t, "start")
		late := New(DefaultConfig(Holder{Node: "late", Incarnation: "late"}))
		late.Trimmed(sim.now, platform.Offset(start+1))
		late.Observe(sim.now, sim.log[start:], true)
		full := New(DefaultConfig(Holder{Node: "full", Incarnation: "full"}))
		full.Observe(sim.now, sim.log, true)
		for _, server := range servers {
			a, b := *late.state.server(server), *full.state.server(server)
			a.former, a.intents = nonNil(a.former), nonNil(a.intents)
			b.former, b.intents = nonNil(b.former), nonNil(b.intents)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("%s: late reader has %+v, full reader has %+v", server, a, b)
			}
		}
	})
}

// nonNil returns a copy of the list that is never nil, so that nil and empty lists compare as equal.
func nonNil[T any](list []T) []T { return append([]T{}, list...) }

// acquire makes the node the only live scheduler, lets it claim the server, and returns the resulting status.
func acquire(t *testing.T, sim *simulation, n *node, server string) Status {
	t.Helper()
	n.core.SetSchedulers(nil)
	sim.step(n, true, true)
	sim.step(n, true, false)
	status, ok := n.core.Status(sim.now, server)
	if !ok {
		t.Fatalf("%s did not gain %s", n.core.config.Self.Node, server)
	}
	return status
}

// TestSuccessorWaitsForProof guards against permits for a load that a paused former owner may still evict, and against
// evicting loads of the former owner before it is known to have stopped.
func TestSuccessorWaitsForProof(t *testing.T) {
	sim := &simulation{now: time.Unix(1000, 0)}
	a, b := sim.start("a"), sim.start("b")
	first := acquire(t, sim, a, "s1")
	load := engine.NewLoadName("x", "1", 7)
	intent, ok := a.core.OpenIntent(sim.now, "s1", load)
	if !ok {
		t.Fatal("the owner was not allowed to announce an eviction")
	}
	sim.append(intent)
	sim.step(b, true, true)
	sim.now = sim.now.Add(9 * time.Second)
	second := acquire(t, sim, b, "s1")
	if len(second.BlockedIntents) != 1 || second.BlockedIntents[0].Load != load || len(second.Former) != 1 {
		t.Fatalf("unexpected status of the successor: %+v", second)
	}
	b.core.Superseded("s1", second.Former[0], second.Former[0].Incarnation)
	if s, _ := b.core.Status(sim.now, "s1"); len(s.Former) != 0 || len(s.BlockedIntents) != 1 {
		t.Fatalf("after the Supersede answer: %+v", s)
	}
	sim.append(a.core.EndIntent(Withdrawn, "s1", first.Fence, load))
	sim.step(b, true, true)
	if s, _ := b.core.Status(sim.now, "s1"); len(s.BlockedIntents) != 0 {
		t.Fatalf("after the withdrawal: %+v", s)
	}
}

// TestReleaseAndVMGone guards against waiting for the lease to expire after a planned shutdown, and against considering
// a VM deleted because it isn't on the list yet.
func TestReleaseAndVMGone(t *testing.T) {
	sim := &simulation{now: time.Unix(1000, 0)}
	a, b := sim.start("a"), sim.start("b")
	acquire(t, sim, a, "s1")
	sim.step(b, true, true)
	for _, r := range a.core.ReleaseAll() {
		sim.append(r)
	}
	if s := acquire(t, sim, b, "s1"); len(s.Former) != 0 {
		t.Fatalf("a released server has former owners %v", s.Former)
	}
	c := sim.start("c")
	sim.step(c, true, true)
	sim.now = sim.now.Add(9 * time.Second)
	c.core.SetVMs(sim.now, []string{"c"})
	if s := acquire(t, sim, c, "s1"); len(s.Former) != 1 {
		t.Fatalf("former owners are %v, expected one", s.Former)
	}
	sim.now = sim.now.Add(time.Second)
	c.core.SetVMs(sim.now, []string{"b", "c"})
	for range 6 {
		sim.now = sim.now.Add(time.Second)
		c.core.SetVMs(sim.now, []string{"c"})
	}
	if s, _ := c.core.Status(sim.now, "s1"); len(s.Former) != 0 {
		t.Fatalf("the VM no longer exists but the former owners are %v", s.Former)
	}
}

// TestClaimsAreSpread guards against schedulers that all claim the same servers, and against one that claims none.
func TestClaimsAreSpread(t *testing.T) {
	sim := &simulation{now: time.Unix(1000, 0)}
	total := 0
	for _, name := range []string{"a", "b", "c"} {
		n := sim.start(name)
		n.core.SetServers(nineServers)
		sim.step(n, true, false)
		total += len(n.pending)
		if len(n.pending) == 0 {
			t.Fatalf("%s claims nothing", name)
		}
	}
	if total != len(nineServers) {
		t.Fatalf("%d claims at the first tick", total)
	}
}

// TestSurplus guards against ownership that stays concentrated on one scheduler after the others have restarted, and
// against releasing servers for which the owner is the first choice.
func TestSurplus(t *testing.T) {
	sim := &simulation{now: time.Unix(1000, 0)}
	a := sim.start("a")
	a.core.SetServers(nineServers)
	acquire(t, sim, a, "s1")
	if surplus := a.core.Surplus(); len(a.core.Owned()) != 9 || len(surplus) != 0 {
		t.Fatalf("a single scheduler owns %v and would release %v", a.core.Owned(), surplus)
	}
	a.core.SetSchedulers([]string{"a", "b", "c"})
	surplus := a.core.Surplus()
	for _, name := range surplus {
		if a.core.rank(name) == 0 {
			t.Fatalf("%s would be released by its first choice", name)
		}
	}
	if len(surplus) == 0 {
		t.Fatal("no server is released")
	}
}
