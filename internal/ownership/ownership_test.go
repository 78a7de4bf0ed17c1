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

var nine = []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"}

var servers = nine[:3]

// node is one scheduler of the model. A paused node neither reads nor ticks but keeps what it has read.
type node struct {
	core    *Core
	read    int
	paused  bool
	pending []Record
}

// world is a zone with a log that may be down, and appends that arrive late or get lost.
type world struct {
	now   time.Time
	log   []platform.Record
	nodes []*node
	down  bool
	runs  int
}

func (w *world) start(name string) *node {
	w.runs++
	self := Holder{Node: name, Incarnation: fmt.Sprintf("%06d", w.runs), Address: name}
	n := &node{core: New(DefaultConfig(self))}
	n.core.SetServers(servers)
	n.core.SetSchedulers([]string{"a", "b", "c"})
	return n
}

func (w *world) append(r Record) {
	offset := platform.Offset(len(w.log) + 1)
	w.log = append(w.log, platform.Record{Offset: offset, Data: r.Encode()})
}

func (w *world) step(n *node, read, flush bool) {
	limit := 0
	if read {
		limit = len(w.log) + 1
	}
	w.stepUpTo(n, limit, flush)
}

// stepUpTo lets the node read at most limit records, tick, and append what it has to append.
func (w *world) stepUpTo(n *node, limit int, flush bool) {
	if n.paused {
		return
	}
	if limit > 0 && !w.down {
		end := min(n.read+limit, len(w.log))
		n.core.Observe(w.now, w.log[n.read:end], end == len(w.log))
		n.read = end
	}
	records, _ := n.core.Tick(w.now)
	n.pending = append(n.pending, records...)
	if flush && !w.down {
		for _, r := range n.pending {
			w.append(r)
		}
		n.pending = nil
	}
}

// checkExclusive fails when two schedulers hold a valid lease of one server, or two intents that both may act on.
func (w *world) checkExclusive(t *rapid.T) {
	for _, server := range servers {
		holders := 0
		for _, n := range w.nodes {
			if n.core.LeaseValid(w.now, server) {
				holders++
			}
		}
		if holders > 1 {
			t.Fatalf("%d schedulers hold a valid lease of %s", holders, server)
		}
	}
}

// Guards against two owners whose leases overlap, whatever is paused, delayed, lost or restarted, and against a
// server that stays without an owner once everything works again.
func TestLeasesNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0)}
		for _, name := range []string{"a", "b", "c"} {
			w.nodes = append(w.nodes, w.start(name))
		}
		for range rapid.IntRange(50, 250).Draw(t, "steps") {
			w.now = w.now.Add(step)
			i := rapid.IntRange(0, 2).Draw(t, "node")
			switch rapid.IntRange(0, 30).Draw(t, "fault") {
			case 0:
				w.nodes[i].paused = !w.nodes[i].paused
			case 1:
				w.down = !w.down
			case 2:
				w.nodes[i].pending = nil
			case 3:
				w.nodes[i] = w.start(w.nodes[i].core.config.Self.Node)
			case 4:
				w.now = w.now.Add(5 * time.Second)
			}
			for _, n := range w.nodes {
				w.stepUpTo(n, rapid.SampledFrom([]int{0, 1, 2, 100}).Draw(t, "read"), rapid.Bool().Draw(t, "flush"))
			}
			w.checkExclusive(t)
		}
		w.settle(t)
	})
}

func (w *world) settle(t *rapid.T) {
	w.down = false
	for _, n := range w.nodes {
		n.paused = false
	}
	for range 100 {
		w.now = w.now.Add(3 * step)
		for _, n := range w.nodes {
			w.step(n, true, true)
		}
		w.checkExclusive(t)
	}
	for _, server := range servers {
		owners := 0
		for _, n := range w.nodes {
			if n.core.LeaseValid(w.now, server) {
				owners++
			}
		}
		if owners != 1 {
			t.Fatalf("%s has %d owners after the faults ended", server, owners)
		}
	}
}

// Guards against a reader that starts after the retention has dropped records and judges owners or open intents
// differently from one that has read everything.
func TestLateReaderAgrees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: time.Unix(1000, 0)}
		for _, name := range []string{"a", "b", "c"} {
			w.nodes = append(w.nodes, w.start(name))
		}
		for i := range 200 {
			w.now = w.now.Add(step)
			n := w.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				*n = *w.start(n.core.config.Self.Node)
			}
			if r, ok := n.core.Intent(w.now, servers[i%3], engine.NameLoad("x", "1", engine.LoadNumber(i))); ok && i%5 == 0 {
				n.pending = append(n.pending, r)
			}
			w.step(n, true, true)
		}
		for range 100 {
			w.now = w.now.Add(step)
			for _, n := range w.nodes {
				w.step(n, true, true)
			}
		}
		start := rapid.IntRange(0, len(w.log)-30).Draw(t, "start")
		late := New(DefaultConfig(Holder{Node: "late", Incarnation: "late"}))
		late.Trimmed(w.now, platform.Offset(start+1))
		late.Observe(w.now, w.log[start:], true)
		whole := New(DefaultConfig(Holder{Node: "whole", Incarnation: "whole"}))
		whole.Observe(w.now, w.log, true)
		for _, server := range servers {
			a, b := *late.state.server(server), *whole.state.server(server)
			a.former, a.intents, b.former, b.intents = clean(a.former), clean(a.intents), clean(b.former), clean(b.intents)
			if !reflect.DeepEqual(a, b) {
				t.Fatalf("%s: late reader has %+v, full reader has %+v", server, a, b)
			}
		}
	})
}

func clean[T any](list []T) []T { return append([]T{}, list...) }

func gained(t *testing.T, w *world, n *node, server string) Status {
	t.Helper()
	n.core.SetSchedulers(nil)
	w.step(n, true, true)
	w.step(n, true, false)
	status, ok := n.core.Status(w.now, server)
	if !ok {
		t.Fatalf("%s did not gain %s", n.core.config.Self.Node, server)
	}
	return status
}

// Guards against permits for a load that a paused former owner may still evict, and against evicting inherited
// loads before the former owner is known to have stopped.
func TestSuccessorWaitsForProof(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	a, b := w.start("a"), w.start("b")
	first := gained(t, w, a, "s1")
	load := engine.NameLoad("x", "1", 7)
	intent, ok := a.core.Intent(w.now, "s1", load)
	if !ok {
		t.Fatal("the owner may not announce an eviction")
	}
	w.append(intent)
	w.step(b, true, true)
	w.now = w.now.Add(9 * time.Second)
	second := gained(t, w, b, "s1")
	if len(second.Barred) != 1 || second.Barred[0].Load != load || len(second.Former) != 1 {
		t.Fatalf("successor sees %+v", second)
	}
	b.core.Superseded("s1", second.Former[0], second.Former[0].Incarnation)
	if s, _ := b.core.Status(w.now, "s1"); len(s.Former) != 0 || len(s.Barred) != 1 {
		t.Fatalf("after the Supersede answer: %+v", s)
	}
	w.append(a.core.EndIntent(Withdrawn, "s1", first.Fence, load))
	w.step(b, true, true)
	if s, _ := b.core.Status(w.now, "s1"); len(s.Barred) != 0 {
		t.Fatalf("after the withdrawal: %+v", s)
	}
}

// Guards against waiting for a lease after a planned stop, and against a VM that counts as gone because it's not
// yet on the list.
func TestReleaseAndVMGone(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	a, b := w.start("a"), w.start("b")
	gained(t, w, a, "s1")
	w.step(b, true, true)
	for _, r := range a.core.ReleaseAll() {
		w.append(r)
	}
	if s := gained(t, w, b, "s1"); len(s.Former) != 0 {
		t.Fatalf("a released server has former owners %v", s.Former)
	}
	c := w.start("c")
	w.step(c, true, true)
	w.now = w.now.Add(9 * time.Second)
	c.core.SetVMs(w.now, []string{"c"})
	if s := gained(t, w, c, "s1"); len(s.Former) != 1 {
		t.Fatalf("former owners %v", s.Former)
	}
	w.now = w.now.Add(time.Second)
	c.core.SetVMs(w.now, []string{"b", "c"})
	for range 6 {
		w.now = w.now.Add(time.Second)
		c.core.SetVMs(w.now, []string{"c"})
	}
	if s, _ := c.core.Status(w.now, "s1"); len(s.Former) != 0 {
		t.Fatalf("the VM is gone but former owners are %v", s.Former)
	}
}

// Guards against schedulers that all claim the same servers, and against one that claims none.
func TestClaimsAreSpread(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	total := 0
	for _, name := range []string{"a", "b", "c"} {
		n := w.start(name)
		n.core.SetServers(nine)
		w.step(n, true, false)
		total += len(n.pending)
		if len(n.pending) == 0 {
			t.Fatalf("%s claims nothing", name)
		}
	}
	if total != len(nine) {
		t.Fatalf("%d claims at the first tick", total)
	}
}

// Guards against ownership that stays with the first scheduler after the others come back, and against giving away
// servers for which the holder is the first choice.
func TestSurplus(t *testing.T) {
	w := &world{now: time.Unix(1000, 0)}
	a := w.start("a")
	a.core.SetServers(nine)
	gained(t, w, a, "s1")
	if surplus := a.core.Surplus(); len(a.core.Owned()) != 9 || len(surplus) != 0 {
		t.Fatalf("a scheduler alone owns %v and would give away %v", a.core.Owned(), surplus)
	}
	a.core.SetSchedulers([]string{"a", "b", "c"})
	surplus := a.core.Surplus()
	for _, name := range surplus {
		if a.core.rank(name) == 0 {
			t.Fatalf("%s would be given away by its first choice", name)
		}
	}
	if len(surplus) == 0 {
		t.Fatal("nothing is given away")
	}
}
