package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/fleet"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// benchmarkSync measures one sync in the core, without transport, with resident loads in all slots of all servers. Each
// gateway has one request in flight and one waiting per server, and has the current permits version or none.
func benchmarkSync(b *testing.B, gateways, servers, slots int, current bool) {
	s := New(Options{Settings: DefaultSettings(), Incarnation: "1", Config: fixedConfig{}, Table: fixedTable{},
		Queue: &immediateQueue{}, Events: event.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newCore(ctx, s, &errgroup.Group{})
	now := time.Now()
	requests := make([]*peerpb.SyncRequest, gateways)
	for i := range requests {
		requests[i] = &peerpb.SyncRequest{Process: fmt.Sprintf("vm-%d/gateway", i), Incarnation: "1", Role: gatewayRole,
			PermitsIncarnation: "1", Node: fmt.Sprintf("vm-%d", i), Address: "10.0.0.1:8000"}
	}
	for i := range servers {
		name := fmt.Sprintf("server-%03d", i)
		c.servers[name] = &ownedServer{name: name, server: fullServer(now, &c.permitsVersion, name, slots, requests)}
	}
	c.serverNames = sortedNames(c.servers)
	var responseSize, requestSize int
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		request := requests[i%gateways]
		request.Sequence++
		request.PermitsVersion = 0
		if current {
			request.PermitsVersion = c.permitsVersion.Current()
		}
		i++
		c.applySync(now, request)
		response := c.respond(now, request, now)
		responseSize, requestSize = proto.Size(response), proto.Size(request)
	}
	b.ReportMetric(float64(responseSize), "answer-B")
	b.ReportMetric(float64(requestSize), "request-B")
}

// fullServer returns an owned server with a resident load in each slot, and adds its load to the requests.
func fullServer(
	now time.Time, permitsVersion *fleet.Version, name string, slots int, requests []*peerpb.SyncRequest,
) *fleet.Server {
	spec := fleet.Spec{Name: name, Zone: "z", Address: "10.0.0.1:8000", BaseModel: "m", Slots: slots, Concurrency: 64}
	owner := fleet.Ownership{Fence: 1, LeaseUntil: now.Add(time.Hour), PredecessorsStopped: true}
	server := fleet.New(now, time.Hour, permitsVersion, spec, owner)
	server.Report(now, now, engine.Report{Incarnation: "1", Slots: slots})
	server.Report(now, now.Add(1), engine.Report{Incarnation: "1", Slots: slots, AsOf: 1, Now: 1})
	for i := range slots {
		number := engine.LoadNumber(1000 + i)
		version := fleet.AdapterVersion{Adapter: fmt.Sprintf("%s-adapter-%d", name, i), Version: "1"}
		if _, _, err := server.StartLoad(version, number); err != nil {
			panic(err)
		}
		server.LoadEnded(now, number, nil)
	}
	for i, request := range requests {
		load := uint64(1000 + i%slots)
		request.InFlight = append(request.InFlight, &peerpb.InFlight{Server: name, Load: load, Count: 1})
		request.Demand = append(request.Demand, &peerpb.Demand{
			Adapter: fmt.Sprintf("%s-adapter-%d", name, i%slots), Version: "1", Waiting: 1, Arrived: 1,
		})
	}
	return server
}

func BenchmarkSync10Gateways(b *testing.B)  { benchmarkSync(b, 10, 3, 8, false) }
func BenchmarkSync100Gateways(b *testing.B) { benchmarkSync(b, 100, 6, 8, false) }
func BenchmarkSync400Gateways(b *testing.B) { benchmarkSync(b, 400, 6, 8, false) }

func BenchmarkSyncUnchanged10Gateways(b *testing.B)  { benchmarkSync(b, 10, 3, 8, true) }
func BenchmarkSyncUnchanged100Gateways(b *testing.B) { benchmarkSync(b, 100, 6, 8, true) }
func BenchmarkSyncUnchanged400Gateways(b *testing.B) { benchmarkSync(b, 400, 6, 8, true) }
