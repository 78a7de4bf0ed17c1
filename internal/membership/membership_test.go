package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

func TestMembership(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "membership")
}

const (
	worldStep = 100 * time.Millisecond
)

// world drives cores on a virtual clock over a network that loses messages and may be partitioned.
type world struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*core
	names  []string
	// group is the side of a partition that a node is on; negative for a node that has stopped.
	group map[string]int
	loss  float64
	// count is called with each message, when set.
	count func(proto.Message)
	calls map[string]*call
	tries uint64
}

// call is an exchange that waits for its answer.
type call struct {
	from string
	id   uint64
}

func newWorld(n int, seed uint64) *world {
	w := &world{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(1, seed)), nodes: map[string]*core{},
		group: map[string]int{}, calls: map[string]*call{},
	}
	for i := range n {
		w.start(fmt.Sprintf("vm-%03d", i))
	}
	return w
}

func address(name string) string { return name + ":7100" }

func (w *world) start(name string) {
	self := &peerpb.NodeEntry{
		Name: name, Zone: "salle-ndar", Scheduler: address(name), Incarnation: uint64(w.now.UnixMilli()),
	}
	if w.nodes[name] == nil {
		w.names = append(w.names, name)
	}
	random := rand.New(rand.NewPCG(2, w.random.Uint64()))
	w.nodes[name] = newCore(self, []string{address("vm-000"), address("vm-001")}, random, w.now)
	w.group[name] = 0
}

func (w *world) reaches(from, to string) bool {
	return w.group[from] >= 0 && w.group[from] == w.group[to] && w.random.Float64() >= w.loss
}

// settle carries out the actions of one core; exchanges take no time, and those that fail end at their deadline.
func (w *world) settle(name string) {
	c := w.nodes[name]
	for _, next := range c.take() {
		switch a := next.(type) {
		case sendAction:
			w.tally(a.request)
			to := a.address[:len(a.address)-len(":7100")]
			if w.nodes[to] != nil && w.reaches(name, to) {
				w.tries++
				w.calls[fmt.Sprint(to, w.tries)] = &call{from: name, id: a.id}
				w.nodes[to].receive(w.now, w.tries, proto.Clone(a.request).(*peerpb.ExchangeRequest))
				w.settle(to)
			}
		case respondAction:
			w.answer(name, a)
		}
	}
}

func (w *world) answer(name string, a respondAction) {
	key := fmt.Sprint(name, a.token)
	waiting := w.calls[key]
	delete(w.calls, key)
	w.tally(a.response)
	if waiting != nil && w.reaches(name, waiting.from) {
		w.nodes[waiting.from].replied(w.now, waiting.id, a.response)
		w.settle(waiting.from)
	}
}

func (w *world) tally(m proto.Message) {
	if w.count != nil {
		w.count(m)
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(worldStep)
		for _, name := range w.names {
			if w.group[name] >= 0 {
				w.nodes[name].tick(w.now)
				w.settle(name)
			}
		}
	}
}

// disagreement returns what is wrong with the tables of the running nodes, or an empty string.
func (w *world) disagreement() string {
	for _, name := range w.names {
		if w.group[name] < 0 {
			continue
		}
		for _, other := range w.names {
			m := w.nodes[name].members[other]
			running := w.group[other] >= 0
			switch {
			case running && (m == nil || !same(m.entry, w.nodes[other].self)):
				return fmt.Sprintf("%s has %v of the running %s", name, m, w.nodes[other].self)
			case !running && m != nil && present(m.entry):
				return fmt.Sprintf("%s has %v of the stopped %s", name, m.entry, other)
			}
		}
	}
	return ""
}

// Guards against tables that stay different, a live node that stays dead, and a stopped node that stays alive, after
// messages were lost, the network was partitioned, and nodes stopped and started.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(3, 9).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		w.run(10 * time.Second)
		for _, c := range w.nodes {
			// Without seeds a partition heals only through the nodes that are remembered as dead.
			c.seeds = nil
		}
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			name := rapid.SampledFrom(w.names[2:]).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				w.loss = rapid.SampledFrom([]float64{0.1, 0.5, 0.9}).Draw(t, "loss")
			case 1:
				for _, n := range w.names {
					w.group[n] = min(w.group[n], 0) + rapid.IntRange(0, 1).Draw(t, "side")*(1+min(w.group[n], 0))
				}
			case 2:
				w.group[name] = -1
			case 3:
				w.start(name)
			case 4:
				w.nodes[name].setApplied(w.now, rapid.Uint64Range(1, 99).Draw(t, "applied"))
			}
			w.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		}
		w.loss = 0
		for _, n := range w.names {
			w.group[n] = min(w.group[n], 0)
		}
		w.run(4 * time.Minute)
		if wrong := w.disagreement(); wrong != "" {
			t.Fatal(wrong)
		}
	})
}

// Guards against a forgotten node that a paused node's old gossip brings back.
func TestOldGossipDoesNotResurrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(4, rapid.Uint64().Draw(t, "seed"))
		w.run(20 * time.Second)
		old := w.nodes["vm-000"].members["vm-003"].entry
		w.group["vm-003"] = -1
		w.run(time.Minute)
		w.now = w.now.Add(deadMemory)
		w.run(10 * time.Second)
		for _, name := range w.names[:3] {
			w.nodes[name].receive(w.now, 0, &peerpb.ExchangeRequest{Updates: []*peerpb.NodeEntry{old}})
			if w.nodes[name].members["vm-003"] != nil {
				t.Fatalf("%s took the old entry", name)
			}
		}
		w.start("vm-003")
		w.run(time.Minute)
		if wrong := w.disagreement(); wrong != "" {
			t.Fatalf("after the restart: %s", wrong)
		}
	})
}

var _ = ginkgo.Describe("Driver", func() {
	// Guards against nodes that don't find each other over HTTP, a process whose report is not passed on, and a
	// planned stop that others don't hear of.
	ginkgo.It("joins by a seed and passes on reports and leaving", func() {
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 2)
		var drivers []*Driver
		var seeds []string
		for i := range 2 {
			server := httptest.NewUnstartedServer(nil)
			self := &peerpb.NodeEntry{Name: fmt.Sprint("vm-", i), Zone: "z", Scheduler: server.Listener.Addr().String()}
			driver := NewDriver(Options{Self: self, Seeds: seeds, Events: event.Discard()})
			server.Config.Handler = driver.Handler()
			server.Start()
			ginkgo.DeferCleanup(server.Close)
			seeds = append(seeds, self.Scheduler)
			drivers = append(drivers, driver)
			go func() { ended <- driver.Run(ctx) }()
		}
		ginkgo.DeferCleanup(func() {
			cancel()
			gomega.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
			gomega.Eventually(ended).Should(gomega.Receive(gomega.BeNil()))
		})
		drivers[1].SetApplied(9)
		drivers[1].Report(ProcessReport{Process: "vm-1/gateway", Role: "gateway", Address: "10.0.0.1:80", Applied: 7})
		drivers[1].Report(ProcessReport{Process: "vm-1/apiserver", Role: "apiserver", Address: "10.0.0.1:81", Applied: 8})
		seen := func() *peerpb.NodeEntry {
			nodes, _ := drivers[0].Nodes()
			if len(nodes) < 2 {
				return &peerpb.NodeEntry{}
			}
			return nodes[1]
		}
		gomega.Eventually(func() uint64 { return seen().AppliedConfig }, "10s").Should(gomega.Equal(uint64(7)))
		gomega.Expect(seen().Gateway).To(gomega.Equal("10.0.0.1:80"))
		gomega.Expect(seen().Apiserver).To(gomega.Equal("10.0.0.1:81"))
		drivers[1].Leave()
		gomega.Eventually(func() peerpb.NodeState { return seen().State }, "10s").Should(gomega.Equal(peerpb.NodeState_LEAVING))
	})
})
