package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// fixedConfig is a replica that knows its view from the start.
type fixedConfig struct{ view *resource.View }

func (c fixedConfig) View() *resource.View      { return c.view }
func (c fixedConfig) Changed() <-chan struct{}  { return nil }
func (c fixedConfig) Ready() error              { return nil }
func (c fixedConfig) Feed() http.Handler        { return http.NotFoundHandler() }
func (c fixedConfig) Run(context.Context) error { return nil }

// emptyLedger refuses claims and tells when it's drained.
type emptyLedger struct{ drained chan struct{} }

func (l emptyLedger) Begin(context.Context, ledger.Key, string) ledger.Verdict {
	return ledger.Verdict{State: ledger.Unavailable}
}
func (l emptyLedger) Complete(ledger.Key, string, ledger.Outcome) {}
func (l emptyLedger) Release(ledger.Key, string)                  {}
func (l emptyLedger) Abandon(ledger.Key, string)                  {}
func (l emptyLedger) Run(context.Context) error                   { return nil }
func (l emptyLedger) Handler() http.Handler                       { return http.NotFoundHandler() }
func (l emptyLedger) Ready() error                                { return nil }
func (l emptyLedger) Drain(context.Context) error {
	close(l.drained)
	return nil
}

// grantingScheduler grants one server and records syncs that say that the gateway leaves.
type grantingScheduler struct {
	engine string
	left   chan struct{}
}

func (s *grantingScheduler) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	if request.Leaving {
		close(s.left)
	}
	if request.PermitsVersion == 1 && request.WaitMs > 0 {
		<-ctx.Done()
	}
	return &peerpb.SyncResponse{SchedulerIncarnation: "i", PermitsVersion: 1, PermitMs: 60000, Servers: []*peerpb.ServerPermits{{
		Server: "s", Address: s.engine, Concurrent: 9, Fence: 1, Loads: []*peerpb.LoadPermit{{
			Load: 1, Name: "draft@v1#1", Adapter: "draft", Version: "v1", State: peerpb.LoadState_RESIDENT,
		}},
	}}}, nil
}

func (s *grantingScheduler) Supersede(context.Context, *peerpb.SupersedeRequest) (*peerpb.SupersedeResponse, error) {
	return nil, nil
}

// running is a started process.
type running struct {
	url, admin string
	scheduler  *grantingScheduler
	ledger     emptyLedger
	stop       context.CancelFunc
	ended      chan error
}

func startProcess(t testing.TB, engine http.HandlerFunc) *running {
	backend := httptest.NewServer(engine)
	t.Cleanup(backend.Close)
	r := &running{
		scheduler: &grantingScheduler{engine: backend.Listener.Addr().String(), left: make(chan struct{})},
		ledger:    emptyLedger{drained: make(chan struct{})},
		ended:     make(chan error, 1),
	}
	rpc := httptest.NewServer(peerpb.NewPermitsServer(r.scheduler))
	t.Cleanup(rpc.Close)
	s := DefaultSettings()
	s.Node.Name, s.Node.Zone = "vm-1", "z"
	s.Schedulers = []string{rpc.Listener.Addr().String()}
	s.AnnouncePeriod = settings.Duration(50 * time.Millisecond)
	view := &resource.View{Adapters: map[string]*resource.Adapter{"draft": {Spec: resource.AdapterSpec{
		DefaultVersion: "v1", Versions: []resource.AdapterVersion{{Name: "v1"}},
	}}}}
	var listeners []net.Listener
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
	}
	r.url, r.admin = "http://"+listeners[0].Addr().String(), "http://"+listeners[2].Addr().String()
	process := newServer(s, Dependencies{
		NewConfig: func(func() []string) Config { return fixedConfig{view} },
		Ledger:    r.ledger, Events: event.Discard(),
		HashKey:      func(string, string) ledger.KeyHash { return ledger.KeyHash{} },
		ParseKeyTime: func(string, string) (time.Time, error) { return time.Time{}, nil },
	})
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	t.Cleanup(stop)
	go func() { r.ended <- process.run(ctx, listeners) }()
	return r
}

func (r *running) ready() int {
	response, err := http.Get(r.admin + "/readyz")
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestGracefulShutdown guards P7: a planned stop cuts off no stream, the load balancer is told first, and the
// schedulers and the ledger are told last.
func TestGracefulShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	finish := make(chan struct{})
	r := startProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 2; i++ {
			fmt.Fprintf(w, "id: %d\ndata: {\"model\":\"draft@v1#1\"}\n\n", i)
			_ = http.NewResponseController(w).Flush()
			if i == 1 {
				<-finish
			}
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	})
	g.Eventually(r.ready).Should(gomega.Equal(http.StatusOK))
	response, err := http.Post(r.url+"/v1/completions", "application/json", strings.NewReader(`{"model":"draft","prompt":"p","stream":true}`))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	r.stop()
	g.Eventually(r.ready).Should(gomega.Equal(http.StatusServiceUnavailable))
	g.Consistently(r.ledger.drained, "100ms").ShouldNot(gomega.BeClosed(), "the ledger is drained after the streams")
	close(finish)
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(text)).To(gomega.HaveSuffix("data: [DONE]\n\n"))
	g.Eventually(r.ended, "5s").Should(gomega.Receive(gomega.BeNil()))
	g.Expect(r.ledger.drained).To(gomega.BeClosed())
	g.Expect(r.scheduler.left).To(gomega.BeClosed())
}

// TestRunRefusesTakenAddress guards against a process that runs on without one of its endpoints.
func TestRunRefusesTakenAddress(t *testing.T) {
	g := gomega.NewWithT(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = taken.Close() }()
	s := DefaultSettings()
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", taken.Addr().String()
	g.Expect(Run(context.Background(), s, Dependencies{})).NotTo(gomega.Succeed())
}

func TestSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	valid := `"node":{"name":"vm-1","region":"r","zone":"z"},"listen":"127.0.0.1:1","adminListen":"127.0.0.1:2",` +
		`"platform":{"logURL":"http://127.0.0.1:3"}`
	parse := func(more string) error {
		s := DefaultSettings()
		return settings.Parse("a.json", []byte("{"+valid+more+"}"), &s)
	}
	g.Expect(parse(`,"peerListen":"127.0.0.1:4"`)).To(gomega.Succeed())
	g.Expect(parse("")).To(gomega.MatchError(gomega.ContainSubstring("peerListen")))
	g.Expect(parse(`,"peerListen":"0.0.0.0:4"`)).To(gomega.MatchError(gomega.ContainSubstring("peerListen")))
	g.Expect(parse(`,"peerListen":"127.0.0.1:4","batchWeight":-1`)).To(gomega.MatchError(gomega.ContainSubstring("batchWeight")))
}

// FuzzModelCall guards against a body that is taken for a call of an adapter that it doesn't name.
func FuzzModelCall(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a","prompt":"p"}`, `{"model":"a@v","prompt":["p"],"stream":true}`, `{"Model":"a","prompt":1}`,
		`{"model":"a@v@w","prompt":""}`, `{"model":"a#1","prompt":""}`, `{"prompt":{"model":"b"},"model":"\u0061"}`, `[`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		parsed, p := parseModelCall(body, "prompt")
		if p != nil {
			if p.status < 400 || p.status > 499 {
				t.Fatalf("refused with status %d", p.status)
			}
			return
		}
		var reference map[string]any
		if err := json.Unmarshal(body, &reference); err != nil {
			t.Fatalf("accepted a body that is no JSON object: %v", err)
		}
		if reference["model"] != parsed.model || strings.Contains(parsed.model, "#") || parsed.adapter == "" {
			t.Fatalf("took the model %q for %q", reference["model"], parsed.model)
		}
		sent := (&call{body: body, model: parsed.model, modelField: parsed.field}).attemptBody("load@1#2")
		if err := json.Unmarshal(sent, &reference); err != nil || reference["model"] != "load@1#2" {
			t.Fatalf("the body for the engine names %q (%v)", reference["model"], err)
		}
	})
}

// BenchmarkCall measures a whole model call through the gateway to an engine that answers at once.
func BenchmarkCall(b *testing.B) {
	r := startProcess(b, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"model":"draft@v1#1","choices":[]}`)
	})
	gomega.NewWithT(b).Eventually(r.ready).Should(gomega.Equal(http.StatusOK))
	body := `{"model":"draft","prompt":"p"}`
	b.ReportAllocs()
	for b.Loop() {
		response, err := http.Post(r.url+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Fatal(response.Status)
		}
	}
}
