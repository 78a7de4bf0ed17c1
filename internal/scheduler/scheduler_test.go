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

const eventuallyTimeout = 30 * time.Second

func TestScheduler(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "scheduler")
}

func testView(adapters int) *resource.View {
	view := &resource.View{
		Applied: 1, Adapters: map[string]*resource.Adapter{}, BackendServers: map[string]*resource.BackendServer{},
	}
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

// testScheduler is a scheduler under test with a gateway that syncs with it.
type testScheduler struct {
	stop    context.CancelFunc
	done    chan error
	client  peerpb.Permits
	gateway *testGateway
}

func startScheduler(node string, log platform.Log, backend *memoryEngine, queue *immediateQueue) *testScheduler {
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
	client := peerpb.NewPermitsProtobufClient(server.URL, http.DefaultClient)
	r := &testScheduler{stop: stop, done: make(chan error, 1), client: client}
	r.gateway = &testGateway{client: r.client, inFlight: map[uint64]uint32{}}
	go func() { r.done <- s.Run(ctx) }()
	ginkgo.DeferCleanup(stop)
	return r
}

// testGateway is a gateway that complies with its permits.
type testGateway struct {
	client       peerpb.Permits
	sequence     uint64
	lastResponse *peerpb.SyncResponse
	inFlight     map[uint64]uint32
}

// sync sends a sync with one waiting request for each of the given adapters, and returns the loads of the response by
// adapter.
func (g *testGateway) sync(waiting ...string) map[string]*peerpb.LoadPermit {
	g.sequence++
	request := &peerpb.SyncRequest{
		Process: "vm/gateway", Incarnation: "1", Sequence: g.sequence, Role: gatewayRole, WaitMs: 50,
	}
	for _, adapter := range waiting {
		request.Demand = append(request.Demand, &peerpb.Demand{
			Adapter: adapter, Version: "1", Waiting: 1, OldestWaitMs: 3000, Arrived: 1,
		})
	}
	if g.lastResponse != nil {
		request.PermitsIncarnation = g.lastResponse.SchedulerIncarnation
		request.PermitsVersion = g.lastResponse.PermitsVersion
		for _, server := range g.lastResponse.Servers {
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
		gomega.Expect(response.PermitsVersion).To(gomega.Equal(g.lastResponse.PermitsVersion))
		for _, server := range response.Servers {
			gomega.Expect(server.Loads).To(gomega.BeEmpty(), "an unchanged response contains loads")
		}
		response.Servers = g.lastResponse.Servers
	}
	g.lastResponse = response
	loads := map[string]*peerpb.LoadPermit{}
	for _, server := range response.Servers {
		for _, load := range server.Loads {
			loads[load.Adapter] = load
		}
	}
	return loads
}

// state returns a function that syncs and returns the state of the adapter's load.
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
	var first *testScheduler
	var firstLog *interruptibleLog

	ginkgo.BeforeEach(func() {
		log, backend = newMemoryLog(), newMemoryEngine(2)
		firstLog = &interruptibleLog{memoryLog: log}
		first = startScheduler("vm-1", firstLog, backend, &immediateQueue{})
	})

	waitResident := func(g *testGateway, adapter string) {
		gomega.Eventually(g.state(adapter, adapter), eventuallyTimeout).Should(gomega.Equal(peerpb.LoadState_RESIDENT))
	}

	// Guards against demand that causes no load, and against an eviction that interrupts a request: the idle adapter is
	// evicted, and the one in use stays resident.
	ginkgo.It("loads on demand and evicts only what is idle", func() {
		g := first.gateway
		waitResident(g, "a0")
		waitResident(g, "a1")
		load := g.sync()["a0"]
		g.inFlight[load.Load] = 1
		backend.update(func(e *memoryEngine) { e.running[engine.LoadName(load.Name)] = 1 })
		waitResident(g, "a2")
		gomega.Expect(backend.loadNames()).To(gomega.ContainElement(engine.LoadName(load.Name)))
		gomega.Expect(backend.interrupted).To(gomega.BeZero())
	})

	// Guards against a leaving server that still receives requests.
	ginkgo.It("gives no permits for a draining engine", func() {
		waitResident(first.gateway, "a0")
		backend.update(func(e *memoryEngine) { e.draining = true })
		gomega.Eventually(func() int { return len(first.gateway.sync()) }, eventuallyTimeout).Should(gomega.BeZero())
		gomega.Expect(first.gateway.lastResponse.Servers[0].Leaving).To(gomega.BeTrue())
	})

	// Guards against a planned stop that doesn't release the servers, and against a new owner that doesn't take over
	// their loads or can never evict them.
	ginkgo.It("releases on a planned stop and the successor takes over", func() {
		waitResident(first.gateway, "a0")
		first.stop()
		gomega.Eventually(first.done, eventuallyTimeout).Should(gomega.Receive(gomega.BeNil()))
		second := startScheduler("vm-2", log, backend, &immediateQueue{last: 100})
		waitResident(second.gateway, "a0")
		gomega.Expect(backend.loadNames()).To(gomega.HaveLen(1))
		waitResident(second.gateway, "a1")
		waitResident(second.gateway, "a2")
		waitResident(second.gateway, "a3")
		gomega.Expect(backend.interrupted).To(gomega.BeZero())
	})

	// Guards against an owner that stops granting permits when it can't reach the log, and against a new owner that
	// evicts before the former one has confirmed that it grants no more permits.
	ginkgo.It("hands over from an owner that is cut off from the log", func() {
		waitResident(first.gateway, "a0")
		firstLog.unreachable.Store(true)
		second := startScheduler("vm-2", log, backend, &immediateQueue{last: 100})
		waitResident(second.gateway, "a0")
		gomega.Eventually(func() int { return len(first.gateway.sync()) }, eventuallyTimeout).Should(gomega.BeZero())
		waitResident(second.gateway, "a1")
		waitResident(second.gateway, "a2")
		gomega.Expect(backend.interrupted).To(gomega.BeZero())
	})

	// Guards against a duplicate or delayed sync that overwrites a newer one.
	ginkgo.It("refuses older sequences", func() {
		first.gateway.sync()
		_, err := first.client.Sync(context.Background(), &peerpb.SyncRequest{
			Process: "vm/gateway", Incarnation: "1", Sequence: 1, Role: gatewayRole,
		})
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against a former owner that grants permits after it has confirmed that a newer owner exists.
	ginkgo.It("grants nothing after Supersede", func() {
		waitResident(first.gateway, "a0")
		_, err := first.client.Supersede(context.Background(), &peerpb.SupersedeRequest{Server: "s1", Fence: 1 << 40})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(first.gateway.sync()).To(gomega.BeEmpty())
	})
})
