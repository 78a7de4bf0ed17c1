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
	simulationStep = 100 * time.Millisecond
)

// simulation drives cores on a virtual clock over a network that loses messages and may be partitioned.
type simulation struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*core
	names  []string
	// group is a node's side of a partition; negative for a stopped node.
	group map[string]int
	loss  float64
	// count is called for each message, if set.
	count     func(proto.Message)
	calls     map[string]*call
	lastToken uint64
}

// call is an exchange that hasn't been answered yet.
type call struct {
	from string
	id   uint64
}

func newSimulation(n int, seed uint64) *simulation {
	s := &simulation{
		now: time.UnixMilli(1_800_000_000_000), random: rand.New(rand.NewPCG(1, seed)), nodes: map[string]*core{},
		group: map[string]int{}, calls: map[string]*call{},
	}
	for i := range n {
		s.start(fmt.Sprintf("vm-%03d", i))
	}
	return s
}

func address(name string) string { return name + ":7100" }

func (s *simulation) start(name string) {
	self := &peerpb.NodeEntry{
		Name: name, Zone: "salle-ndar", Scheduler: address(name), Incarnation: uint64(s.now.UnixMilli()),
	}
	if s.nodes[name] == nil {
		s.names = append(s.names, name)
	}
	random := rand.New(rand.NewPCG(2, s.random.Uint64()))
	s.nodes[name] = newCore(self, []string{address("vm-000"), address("vm-001")}, random, s.now)
	s.group[name] = 0
}

func (s *simulation) delivers(from, to string) bool {
	return s.group[from] >= 0 && s.group[from] == s.group[to] && s.random.Float64() >= s.loss
}

// runActions performs the actions of one core. Exchanges are instantaneous; those that fail end at their deadline.
func (s *simulation) runActions(name string) {
	c := s.nodes[name]
	for _, next := range c.drainActions() {
		switch a := next.(type) {
		case sendAction:
			s.countMessage(a.request)
			to := a.address[:len(a.address)-len(":7100")]
			if s.nodes[to] != nil && s.delivers(name, to) {
				s.lastToken++
				s.calls[fmt.Sprint(to, s.lastToken)] = &call{from: name, id: a.id}
				s.nodes[to].handleExchange(s.now, s.lastToken, proto.Clone(a.request).(*peerpb.ExchangeRequest))
				s.runActions(to)
			}
		case respondAction:
			s.answer(name, a)
		}
	}
}

func (s *simulation) answer(name string, a respondAction) {
	key := fmt.Sprint(name, a.token)
	pending := s.calls[key]
	delete(s.calls, key)
	s.countMessage(a.response)
	if pending != nil && s.delivers(name, pending.from) {
		s.nodes[pending.from].exchangeEnded(s.now, pending.id, a.response)
		s.runActions(pending.from)
	}
}

func (s *simulation) countMessage(m proto.Message) {
	if s.count != nil {
		s.count(m)
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simulationStep)
		for _, name := range s.names {
			if s.group[name] >= 0 {
				s.nodes[name].tick(s.now)
				s.runActions(name)
			}
		}
	}
}

// disagreement describes a mismatch between the tables of the running nodes, or returns an empty string.
func (s *simulation) disagreement() string {
	for _, name := range s.names {
		if s.group[name] < 0 {
			continue
		}
		for _, other := range s.names {
			m := s.nodes[name].members[other]
			running := s.group[other] >= 0
			switch {
			case running && (m == nil || !sameVersion(m.entry, s.nodes[other].self)):
				return fmt.Sprintf("%s has %v of the running %s", name, m, s.nodes[other].self)
			case !running && m != nil && isRunning(m.entry):
				return fmt.Sprintf("%s has %v of the stopped %s", name, m.entry, other)
			}
		}
	}
	return ""
}

// TestAgreement guards against tables that remain different, a running node that remains dead, and a stopped node that
// remains alive, after message loss, network partitions, and stops and starts of nodes.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.IntRange(3, 9).Draw(t, "nodes"), rapid.Uint64().Draw(t, "seed"))
		s.run(10 * time.Second)
		for _, c := range s.nodes {
			// Without seeds a partition heals only through dead nodes that are still in the table.
			c.seeds = nil
		}
		for range rapid.IntRange(1, 5).Draw(t, "phases") {
			name := rapid.SampledFrom(s.names[2:]).Draw(t, "node")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				s.loss = rapid.SampledFrom([]float64{0.1, 0.5, 0.9}).Draw(t, "loss")
			case 1:
				for _, n := range s.names {
					s.group[n] = min(s.group[n], 0) + rapid.IntRange(0, 1).Draw(t, "side")*(1+min(s.group[n], 0))
				}
			case 2:
				s.group[name] = -1
			case 3:
				s.start(name)
			case 4:
				s.nodes[name].setApplied(s.now, rapid.Uint64Range(1, 99).Draw(t, "applied"))
			}
			s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second)
		}
		s.loss = 0
		for _, n := range s.names {
			s.group[n] = min(s.group[n], 0)
		}
		s.run(4 * time.Minute)
		if mismatch := s.disagreement(); mismatch != "" {
			t.Fatal(mismatch)
		}
	})
}

// TestOldGossipDoesNotResurrect guards against a removed node that outdated gossip of a paused node adds again.
func TestOldGossipDoesNotResurrect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(4, rapid.Uint64().Draw(t, "seed"))
		s.run(20 * time.Second)
		old := s.nodes["vm-000"].members["vm-003"].entry
		s.group["vm-003"] = -1
		s.run(time.Minute)
		s.now = s.now.Add(deadRetention)
		s.run(10 * time.Second)
		for _, name := range s.names[:3] {
			s.nodes[name].handleExchange(s.now, 0, &peerpb.ExchangeRequest{Updates: []*peerpb.NodeEntry{old}})
			if s.nodes[name].members["vm-003"] != nil {
				t.Fatalf("%s accepted the outdated entry", name)
			}
		}
		s.start("vm-003")
		s.run(time.Minute)
		if mismatch := s.disagreement(); mismatch != "" {
			t.Fatalf("after the restart: %s", mismatch)
		}
	})
}

var _ = ginkgo.Describe("Driver", func() {
	// Guards against nodes that don't join over HTTP, a process whose report isn't gossiped, and a planned stop that
	// other nodes aren't notified of.
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
