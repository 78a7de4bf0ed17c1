package scheduler

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const patience = 30 * time.Second

func TestScheduler(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "scheduler")
}

func testView(adapters int) *resource.View {
	view := &resource.View{Applied: 1, Adapters: map[string]*resource.Adapter{}, BackendServers: map[string]*resource.BackendServer{}}
	for i := range adapters {
		name := fmt.Sprintf("a%d", i)
		view.Adapters[name] = &resource.Adapter{Meta: resource.Meta{Name: name}, Spec: resource.AdapterSpec{
			BaseModel: "m", DefaultVersion: "1", Versions: []resource.AdapterVersion{{Name: "1", Path: "/w/" + name}},
		}}
	}
	view.BackendServers["s1"] = &resource.BackendServer{Meta: resource.Meta{Name: "s1"}, Spec: resource.BackendServerSpec{
		Zone: "z", Address: "10.0.0.1:8000", BaseModel: "m", Slots: 2, Concurrency: 8,
	}}
	return view
}

// running is one scheduler under test with its gateway client.
type running struct {
	stop    context.CancelFunc
	done    chan error
	client  peerpb.Permits
	gateway *testGateway
}

func startScheduler(node string, log platform.Log, backend *memoryEngine, queue *directQueue) *running {
	options := Options{
		Settings: DefaultSettings(), Incarnation: ident.New(), Log: log, VMs: fixedVMs{}, Config: fixedConfig{testView(5)},
		Table: fixedTable{}, Queue: queue, Events: event.Discard(),
		Control: func(string) engine.Control { return backend },
	}
	options.Settings.Node.Name, options.Settings.Node.Zone = node, "z"
	server := httptest.NewUnstartedServer(nil)
	options.Settings.Listen = server.Listener.Addr().String()
	s := New(options)
	server.Config.Handler = s.Handler()
	server.Start()
	ginkgo.DeferCleanup(server.Close)
	ctx, stop := context.WithCancel(context.Background())
	r := &running{stop: stop, done: make(chan error, 1), client: peerpb.NewPermitsProtobufClient(server.URL, http.DefaultClient)}
	r.gateway = &testGateway{client: r.client, inFlight: map[uint64]uint32{}}
	go func() { r.done <- s.Run(ctx) }()
	ginkgo.DeferCleanup(stop)
	return r
}

// testGateway is a gateway that obeys permits.
type testGateway struct {
	client   peerpb.Permits
	sequence uint64
	held     *peerpb.SyncResponse
	inFlight map[uint64]uint32
}

// sync reports and returns the loads by adapter.
func (g *testGateway) sync(waiting ...string) map[string]*peerpb.LoadPermit {
	g.sequence++
	request := &peerpb.SyncRequest{Process: "vm/gateway", Incarnation: "1", Sequence: g.sequence, Role: gatewayRole, WaitMs: 50}
	for _, adapter := range waiting {
		request.Demand = append(request.Demand, &peerpb.Demand{Adapter: adapter, Version: "1", Waiting: 1, OldestWaitMs: 3000, Arrived: 1})
	}
	if g.held != nil {
		request.PermitsIncarnation, request.PermitsVersion = g.held.SchedulerIncarnation, g.held.PermitsVersion
		for _, server := range g.held.Servers {
			for _, load := range server.Loads {
				if load.State == peerpb.LoadState_CLOSING && g.inFlight[load.Load] == 0 {
					request.ClosedLoads = append(request.ClosedLoads, load.Load)
				}
			}
		}
	}
	for load, count := range g.inFlight {
		request.InFlight = append(request.InFlight, &peerpb.InFlight{Server: "s1", Load: load, Count: count})
	}
	response, err := g.client.Sync(context.Background(), request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if response.Unchanged {
		gomega.Expect(response.PermitsVersion).To(gomega.Equal(g.held.PermitsVersion))
		for _, server := range response.Servers {
			gomega.Expect(server.Loads).To(gomega.BeEmpty(), "an unchanged answer repeats loads")
		}
		response.Servers = g.held.Servers
	}
	g.held = response
	loads := map[string]*peerpb.LoadPermit{}
	for _, server := range response.Servers {
		for _, load := range server.Loads {
			loads[load.Adapter] = load
		}
	}
	return loads
}

func (g *testGateway) state(adapter string, waiting ...string) func() peerpb.LoadState {
	return func() peerpb.LoadState {
		if load := g.sync(waiting...)[adapter]; load != nil {
			return load.State
		}
		return peerpb.LoadState_LOAD_STATE_UNSPECIFIED
	}
}

var _ = ginkgo.Describe("Scheduler", func() {
	var log *memoryLog
	var backend *memoryEngine
	var first *running
	var way *cutLog

	ginkgo.BeforeEach(func() {
		log, backend = newMemoryLog(), newMemoryEngine(2)
		way = &cutLog{memoryLog: log}
		first = startScheduler("vm-1", way, backend, &directQueue{})
	})

	resident := func(g *testGateway, adapter string) {
		gomega.Eventually(g.state(adapter, adapter), patience).Should(gomega.Equal(peerpb.LoadState_RESIDENT))
	}

	// Guards against demand that leads to no load, and against an eviction that cuts off a request: the adapter in
	// use stays while the idle one makes room.
	ginkgo.It("loads on demand and evicts only what is idle", func() {
		g := first.gateway
		resident(g, "a0")
		resident(g, "a1")
		load := g.sync()["a0"]
		g.inFlight[load.Load] = 1
		backend.set(func(e *memoryEngine) { e.running[engine.LoadName(load.Name)] = 1 })
		resident(g, "a2")
		gomega.Expect(backend.held()).To(gomega.ContainElement(engine.LoadName(load.Name)))
		gomega.Expect(backend.cutOff).To(gomega.BeZero())
	})

	// Guards against a leaving server that still gets work.
	ginkgo.It("gives no permits for a draining engine", func() {
		resident(first.gateway, "a0")
		backend.set(func(e *memoryEngine) { e.draining = true })
		gomega.Eventually(func() int { return len(first.gateway.sync()) }, patience).Should(gomega.BeZero())
		gomega.Expect(first.gateway.held.Servers[0].Leaving).To(gomega.BeTrue())
	})

	// Guards against a planned stop that leaves its servers claimed, and against a successor that forgets what is
	// loaded or can never evict it.
	ginkgo.It("releases on a planned stop and the successor takes over", func() {
		resident(first.gateway, "a0")
		first.stop()
		gomega.Eventually(first.done, patience).Should(gomega.Receive(gomega.BeNil()))
		second := startScheduler("vm-2", log, backend, &directQueue{last: 100})
		resident(second.gateway, "a0")
		gomega.Expect(backend.held()).To(gomega.HaveLen(1))
		resident(second.gateway, "a1")
		resident(second.gateway, "a2")
		resident(second.gateway, "a3")
		gomega.Expect(backend.cutOff).To(gomega.BeZero())
	})

	// Guards against a cut-off owner that stops granting for what it holds, and against a successor that evicts before
	// the former owner has confirmed that it grants no more.
	ginkgo.It("hands over from an owner that is cut off from the log", func() {
		resident(first.gateway, "a0")
		way.cut.Store(true)
		second := startScheduler("vm-2", log, backend, &directQueue{last: 100})
		resident(second.gateway, "a0")
		gomega.Eventually(func() int { return len(first.gateway.sync()) }, patience).Should(gomega.BeZero())
		resident(second.gateway, "a1")
		resident(second.gateway, "a2")
		gomega.Expect(backend.cutOff).To(gomega.BeZero())
	})

	// Guards against a repeated or late sync that overwrites a newer one.
	ginkgo.It("refuses older sequences", func() {
		first.gateway.sync()
		_, err := first.client.Sync(context.Background(), &peerpb.SyncRequest{
			Process: "vm/gateway", Incarnation: "1", Sequence: 1, Role: gatewayRole,
		})
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against a former owner that grants permits after it has confirmed that a newer owner exists.
	ginkgo.It("grants nothing after Supersede", func() {
		resident(first.gateway, "a0")
		_, err := first.client.Supersede(context.Background(), &peerpb.SupersedeRequest{Server: "s1", Fence: 1 << 40})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(first.gateway.sync()).To(gomega.BeEmpty())
	})
})
