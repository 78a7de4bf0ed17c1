package peerpb_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

const (
	// segmentHeader is IPv4 without options and TCP with timestamps; a SYN carries 8 bytes more of options.
	segmentHeader = 52
	synExtra      = 8
	// connectionSegments are two SYNs, the acknowledgement of the second, and FIN and acknowledgement both ways.
	connectionSegments = 7
)

// wire counts what a server's connections carry. A write is taken for one segment with one acknowledgement.
type wire struct {
	net.Listener
	in, out, writes, connections atomic.Int64
}

func (w *wire) Accept() (net.Conn, error) {
	accepted, err := w.Listener.Accept()
	if err != nil {
		return nil, err
	}
	w.connections.Add(1)
	return &countedConn{Conn: accepted, wire: w}, nil
}

type countedConn struct {
	net.Conn
	wire *wire
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.wire.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.wire.out.Add(int64(n))
	c.wire.writes.Add(1)
	return n, err
}

// measureWire reports the bytes of one call, in both directions, with and without TCP and IP headers.
func measureWire(b *testing.B, handler http.Handler, call func(address string) error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	counted := &wire{Listener: listener}
	server := &httptest.Server{Listener: counted, Config: &http.Server{Handler: handler}}
	server.Start()
	defer server.Close()
	calls := 0
	for b.Loop() {
		calls++
		if err := call(listener.Addr().String()); err != nil {
			b.Fatal(err)
		}
	}
	in, out, connections := counted.in.Load(), counted.out.Load(), counted.connections.Load()
	// The client writes each request at once, as the bodies are smaller than its buffer.
	segments := 2*(counted.writes.Load()+int64(calls)) + connectionSegments*connections
	headers := segments*segmentHeader + 2*synExtra*connections
	b.ReportMetric(float64(in)/float64(calls), "request-B")
	b.ReportMetric(float64(out)/float64(calls), "answer-B")
	b.ReportMetric(float64(in+out+headers)/float64(calls), "wire-B")
}

func entries(count int) []*peerpb.NodeEntry {
	var list []*peerpb.NodeEntry
	for i := range count {
		address := fmt.Sprintf("10.20.30.%d", i%250)
		list = append(list, &peerpb.NodeEntry{
			Name: fmt.Sprintf("vm-%03d", i), Zone: "salle-ndar", Scheduler: address + ":8002", Gateway: address + ":8001",
			Apiserver: address + ":8003", Incarnation: 1_800_000_000_000, State: peerpb.NodeState_ALIVE,
			AppliedConfig: 100_000, Revision: 1_000,
		})
	}
	return list
}

type exchanger struct{ answer *peerpb.ExchangeResponse }

func (e exchanger) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return e.answer, nil
}

// BenchmarkWireExchange measures a probe on a connection of its own, with updates in the request and the answer.
func BenchmarkWireExchange(b *testing.B) {
	for _, updates := range []int{0, 4, 11, 390} {
		b.Run(fmt.Sprintf("updates=%d", updates), func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
			request := &peerpb.ExchangeRequest{From: "vm-001", FromAddress: "10.20.30.40:8002", Updates: entries(min(updates, 11))}
			answer := &peerpb.ExchangeResponse{From: "vm-002", Updates: entries(updates)}
			handler := peerpb.NewMembershipServer(exchanger{answer})
			measureWire(b, handler, func(address string) error {
				_, err := peerpb.NewMembershipProtobufClient("http://"+address, client).Exchange(b.Context(), request)
				return err
			})
			b.ReportMetric(float64(proto.Size(answer)), "message-B")
		})
	}
}

type syncer struct{ answer *peerpb.SyncResponse }

func (s syncer) Sync(context.Context, *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	return s.answer, nil
}

func (s syncer) Supersede(context.Context, *peerpb.SupersedeRequest) (*peerpb.SupersedeResponse, error) {
	return &peerpb.SupersedeResponse{}, nil
}

func permitsFor(servers, loads int) *peerpb.SyncResponse {
	answer := &peerpb.SyncResponse{
		SchedulerIncarnation: "0193a7c2-7d1e-7b3a-9c55-000000000001", PermitMs: 2500, NodeTableVersion: 1000, PermitsVersion: 100_000,
	}
	for s := range servers {
		server := &peerpb.ServerPermits{
			Server: fmt.Sprintf("server-%03d", s), Address: "10.20.30.40:8000", Zone: "salle-ndar", Concurrent: 4,
			Running: 60, Fence: 100_000, BaseModel: "llama-70b",
		}
		for l := range loads {
			adapter := fmt.Sprintf("customer-%05d-claims", s*loads+l)
			server.Loads = append(server.Loads, &peerpb.LoadPermit{
				Load: 100_000, Name: adapter + "@v1#100000", Adapter: adapter, Version: "v1", State: peerpb.LoadState_RESIDENT,
			})
		}
		answer.Servers = append(answer.Servers, server)
	}
	return answer
}

func syncRequest(inFlight, demand int) *peerpb.SyncRequest {
	request := &peerpb.SyncRequest{
		Process: "vm-001/gateway", Incarnation: "0193a7c2-7d1e-7b3a-9c55-000000000002", Sequence: 100_000, Role: "gateway",
		AppliedConfig: 100_000, NodeTableVersion: 1000, Node: "vm-001", Address: "10.20.30.40:8001", WaitMs: 1000,
		PermitsVersion: 100_000, PermitsIncarnation: "0193a7c2-7d1e-7b3a-9c55-000000000001",
	}
	for i := range inFlight {
		use := &peerpb.InFlight{Server: fmt.Sprintf("server-%03d", i), Load: 100_000, Count: 1}
		request.InFlight = append(request.InFlight, use)
	}
	for i := range demand {
		wanted := &peerpb.Demand{Adapter: fmt.Sprintf("customer-%05d-claims", i), Version: "v1", Arrived: 1}
		request.Demand = append(request.Demand, wanted)
	}
	return request
}

// BenchmarkWireSync measures a sync on a kept connection by the servers in the answer and by the entries in flight
// and of demand in the request.
func BenchmarkWireSync(b *testing.B) {
	sizes := []struct{ servers, loads, inFlight, demand int }{
		{0, 8, 0, 0}, {1, 8, 0, 0}, {2, 8, 0, 0}, {8, 8, 0, 0}, {1, 32, 0, 0}, {1, 64, 0, 0},
		{0, 8, 10, 0}, {0, 8, 100, 0}, {0, 8, 0, 10}, {0, 8, 0, 100},
	}
	for _, size := range sizes {
		name := fmt.Sprintf("servers=%d/loads=%d/inflight=%d/demand=%d", size.servers, size.loads, size.inFlight, size.demand)
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			request := syncRequest(size.inFlight, size.demand)
			handler := peerpb.NewPermitsServer(syncer{permitsFor(size.servers, size.loads)})
			measureWire(b, handler, func(address string) error {
				_, err := peerpb.NewPermitsProtobufClient("http://"+address, client).Sync(b.Context(), request)
				return err
			})
		})
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// BenchmarkWireLogRead measures a read of the log on a kept connection by the number of records of 256 bytes.
func BenchmarkWireLogRead(b *testing.B) {
	for _, count := range []int{0, 1, 10, 100} {
		b.Run(fmt.Sprintf("records=%d", count), func(b *testing.B) {
			answer := httplog.ReadResponse{Earliest: 1, Next: platform.Offset(100_000 + count)}
			for i := range count {
				record := httplog.RecordBody{Offset: platform.Offset(100_000 + i), TimeMs: 1_800_000_000_000, Data: make([]byte, 256)}
				answer.Records = append(answer.Records, record)
			}
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, answer) })
			var client *httplog.Client
			measureWire(b, handler, func(address string) error {
				if client == nil {
					client = httplog.New("http://"+address, "http://"+address, 5*time.Second)
				}
				_, err := client.Read(b.Context(), platform.ConfigStream, 100_000, time.Second)
				return err
			})
		})
	}
}

// BenchmarkWireLogAppend measures an append on a kept connection by the size of the record.
func BenchmarkWireLogAppend(b *testing.B) {
	for _, size := range []int{64, 512, 4096} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				var request httplog.AppendRequest
				_ = json.NewDecoder(r.Body).Decode(&request)
				writeJSON(w, httplog.AppendResponse{Offset: 100_000})
			})
			data := make([]byte, size)
			var client *httplog.Client
			measureWire(b, handler, func(address string) error {
				if client == nil {
					client = httplog.New("http://"+address, "http://"+address, 5*time.Second)
				}
				_, err := client.Append(b.Context(), platform.ConfigStream, data)
				return err
			})
		})
	}
}

// BenchmarkWireReport measures an engine's report on a kept connection by the number of its slots.
func BenchmarkWireReport(b *testing.B) {
	for _, slots := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			body := vllm.ReportBody{Incarnation: "0193a7c2", AsOfUs: 1e12, NowUs: 1e12, Role: "serve", Slots: slots}
			for i := range slots {
				name := engine.LoadName(fmt.Sprintf("customer-%05d-claims@v1#100000", i))
				body.Adapters = append(body.Adapters, vllm.AdapterBody{Name: name, Running: 4})
			}
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, body) })
			var control *vllm.Control
			measureWire(b, handler, func(address string) error {
				if control == nil {
					control = vllm.NewControl(address, 5*time.Second)
				}
				_, err := control.Report(b.Context())
				return err
			})
		})
	}
}

// BenchmarkWireVMs measures a read of the VM list on a kept connection by the number of VMs. Membership and the
// scheduler's core read it separately.
func BenchmarkWireVMs(b *testing.B) {
	for _, count := range []int{9, 100, 390} {
		b.Run(fmt.Sprintf("vms=%d", count), func(b *testing.B) {
			var answer httplog.VMsResponse
			for i := range count {
				vm := platform.VM{Name: fmt.Sprintf("vm-%03d", i), Zone: "salle-ndar", Address: "10.20.30.40", State: "live"}
				answer.VMs = append(answer.VMs, vm)
			}
			handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, answer) })
			var client *httplog.Client
			measureWire(b, handler, func(address string) error {
				if client == nil {
					client = httplog.New("http://"+address, "http://"+address, 5*time.Second)
				}
				_, err := client.VMs(b.Context())
				return err
			})
		})
	}
}
