package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// fakeConfig is a fixed configuration.
type fakeConfig struct{ view *resource.View }

func (c *fakeConfig) View() *resource.View      { return c.view }
func (c *fakeConfig) Changed() <-chan struct{}  { return nil }
func (c *fakeConfig) Ready() error              { return nil }
func (c *fakeConfig) Feed() http.Handler        { return http.NotFoundHandler() }
func (c *fakeConfig) Run(context.Context) error { return nil }

// fakeClaims is an in-memory implementation of the ledger.
type fakeClaims struct {
	mu       sync.Mutex
	states   map[ledger.KeyHash]ledger.Verdict
	released int
	drained  chan struct{}
}

func (c *fakeClaims) Run(context.Context) error { return nil }
func (c *fakeClaims) Handler() http.Handler     { return http.NotFoundHandler() }
func (c *fakeClaims) Ready() error              { return nil }
func (c *fakeClaims) Drain(context.Context) error {
	close(c.drained)
	return nil
}

func (c *fakeClaims) Begin(_ context.Context, key ledger.Key, _ string) ledger.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if verdict, known := c.states[key.Hash]; known {
		return verdict
	}
	c.states[key.Hash] = ledger.Verdict{State: ledger.InProgress}
	return ledger.Verdict{State: ledger.Claimed}
}

func (c *fakeClaims) Complete(key ledger.Key, _ string, outcome ledger.Outcome) {
	c.set(key, ledger.Verdict{State: ledger.Completed, Outcome: outcome})
}

func (c *fakeClaims) Abandon(key ledger.Key, _ string) {
	c.set(key, ledger.Verdict{State: ledger.Unknown})
}

func (c *fakeClaims) set(key ledger.Key, verdict ledger.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.states[key.Hash] = verdict
}

func (c *fakeClaims) Release(key ledger.Key, _ string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.states, key.Hash)
	c.released++
}

func (c *fakeClaims) state(key ledger.KeyHash) ledger.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states[key].State
}

// backend is an engine or plain service that records its requests and answers them by calling the field answer.
type backend struct {
	server   *httptest.Server
	mu       sync.Mutex
	requests []string
	bodies   []string
	headers  []http.Header
	answer   func(w http.ResponseWriter, r *http.Request, body []byte)
}

func newBackend(answer func(w http.ResponseWriter, r *http.Request, body []byte)) *backend {
	b := &backend{answer: answer}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		b.mu.Lock()
		b.requests = append(b.requests, r.Method+" "+r.URL.RequestURI())
		b.bodies = append(b.bodies, string(body))
		b.headers = append(b.headers, r.Header)
		b.mu.Unlock()
		b.answer(w, r, body)
	}))
	ginkgo.DeferCleanup(b.server.Close)
	return b
}

func (b *backend) address() string { return b.server.Listener.Addr().String() }

// runs returns the number of requests received, not counting resumes and cancels.
func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, line := range b.requests {
		if !strings.Contains(line, "/v1/requests/") {
			count++
		}
	}
	return count
}

// answerCompletion answers as an engine does: with the requested model, as a stream of three tokens or as one JSON
// object.
func answerCompletion(w http.ResponseWriter, _ *http.Request, body []byte) {
	var requested struct {
		Model  string
		Stream bool
	}
	_ = json.Unmarshal(body, &requested)
	if !requested.Stream {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"id":"x","model":%q,"choices":[{"text":"abc"}]}`, requested.Model)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i, text := range []string{"a", "b", "c"} {
		fmt.Fprintf(w, "id: %d\ndata: {\"model\":%q,\"choices\":[{\"text\":%q}]}\n\n", i+1, requested.Model, text)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func refuseNotLoaded(w http.ResponseWriter, _ *http.Request, _ []byte) {
	w.WriteHeader(http.StatusNotFound)
	fmt.Fprint(w, `{"error":{"code":"not_loaded"}}`)
}

func dropConnection(w http.ResponseWriter, _ *http.Request, _ []byte) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

// scheduler is a fake scheduler. It grants the permits that the test sets and delays answers until they change.
type scheduler struct {
	mu      sync.Mutex
	servers []*peerpb.ServerPermits
	version uint64
	changed chan struct{}
	demand  chan *peerpb.SyncRequest
	left    chan struct{}
}

func newScheduler() *scheduler {
	return &scheduler{version: 1, changed: make(chan struct{}), demand: make(chan *peerpb.SyncRequest, 1000), left: make(chan struct{})}
}

func (s *scheduler) grant(servers ...*peerpb.ServerPermits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = servers
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *scheduler) Sync(ctx context.Context, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	if request.Leaving {
		close(s.left)
	}
	select {
	case s.demand <- request:
	default:
	}
	s.mu.Lock()
	changed, current := s.changed, request.PermitsVersion == s.version
	s.mu.Unlock()
	if current && request.WaitMs > 0 {
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(request.WaitMs) * time.Millisecond):
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return &peerpb.SyncResponse{
		SchedulerIncarnation: "i1", PermitsVersion: s.version, PermitMs: 2500, Servers: s.servers,
	}, nil
}

func (s *scheduler) Supersede(context.Context, *peerpb.SupersedeRequest) (*peerpb.SupersedeResponse, error) {
	return &peerpb.SupersedeResponse{}, nil
}

// serverWithLoad returns permits for a server with one resident load of draft@v1.
func serverWithLoad(name string, b *backend, load uint64) *peerpb.ServerPermits {
	return &peerpb.ServerPermits{
		Server: name, Address: b.address(), Zone: "z", Concurrent: 4, Fence: 1, BaseModel: "base",
		Loads: []*peerpb.LoadPermit{{
			Load: load, Name: fmt.Sprintf("draft@v1#%d", load), Adapter: "draft", Version: "v1", State: peerpb.LoadState_RESIDENT,
		}},
	}
}

// fixture is a running process with one scheduler and in-memory claims.
type fixture struct {
	scheduler  *scheduler
	claims     *fakeClaims
	config     *fakeConfig
	server     *server
	gateway    *Gateway
	url, admin string
	stop       context.CancelFunc
	ended      chan error
}

func newFixture(change func(*Settings)) *fixture {
	return startFixture(func(end func()) { ginkgo.DeferCleanup(end) }, change)
}

func startFixture(cleanup func(func()), change func(*Settings)) *fixture {
	f := &fixture{
		scheduler: newScheduler(),
		claims:    &fakeClaims{states: map[ledger.KeyHash]ledger.Verdict{}, drained: make(chan struct{})},
		config:    &fakeConfig{view: testView()},
		ended:     make(chan error, 1),
	}
	rpc := httptest.NewServer(peerpb.NewPermitsServer(f.scheduler))
	s := DefaultSettings()
	s.Node.Name, s.Node.Zone = "vm-1", "z"
	s.Schedulers = []string{rpc.Listener.Addr().String()}
	// Long, so that a stream isn't resumed only because the machine is busy.
	s.StreamSilence = settings.Duration(time.Minute)
	s.AnnouncePeriod = settings.Duration(50 * time.Millisecond)
	if change != nil {
		change(&s)
	}
	f.server = newServer(s, Dependencies{
		Now:       clockAfterWindow("draft", "v1"),
		NewConfig: func(func() []string) Config { return f.config }, Ledger: f.claims, Events: event.Discard(),
		HashKey: hashKey, ParseKeyTime: func(string, string) (time.Time, error) { return time.Time{}, nil },
	})
	f.gateway = f.server.gateway
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	listeners, err := listen(s)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.url, f.admin = urlOf(listeners[0]), urlOf(listeners[2])
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() {
		f.ended <- f.server.run(ctx, listeners)
		close(f.ended)
	}()
	cleanup(func() {
		stop()
		gomega.Eventually(f.ended, "10s").Should(gomega.BeClosed())
		rpc.Close()
	})
	return f
}

// testBatchWindow is the batch window of the tests.
const testBatchWindow = time.Minute

// clockAfterWindow returns a clock on which a batch window of the adapter version has just ended, so that none ends
// during a test.
func clockAfterWindow(adapter, version string) func() time.Time {
	window := uint64(testBatchWindow)
	since := (uint64(time.Now().UnixNano()) + admission.Phase(adapter, version)%window) % window
	return func() time.Time { return time.Now().Add(-time.Duration(since)) }
}

func urlOf(listener net.Listener) string { return "http://" + listener.Addr().String() }

func hashKey(key, target string) ledger.KeyHash {
	var hash ledger.KeyHash
	copy(hash[:], key+"|"+target)
	return hash
}

func testView() *resource.View {
	draft := &resource.Adapter{Meta: resource.Meta{Name: "draft"}, Spec: resource.AdapterSpec{
		BaseModel: "base", DefaultVersion: "v1", Versions: []resource.AdapterVersion{{Name: "v1"}},
	}}
	return &resource.View{
		Applied:  7,
		Adapters: map[string]*resource.Adapter{"draft": draft},
		Services: map[string]*resource.Service{},
	}
}

// callerAnswer is an answer as received by a caller.
type callerAnswer struct {
	status int
	header http.Header
	body   string
	err    error
	detail struct {
		Error struct {
			Code, Execution, RequestID string
			RetryAfterMs               int
		}
	}
}

func (f *fixture) send(method, path, body string, headers ...string) callerAnswer {
	request, err := http.NewRequest(method, f.url+path, bytes.NewReader([]byte(body)))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	a := callerAnswer{status: response.StatusCode, header: response.Header, body: string(content), err: err}
	_ = json.Unmarshal(content, &a.detail)
	return a
}

func (f *fixture) complete(extra string, headers ...string) callerAnswer {
	return f.send(http.MethodPost, "/v1/completions", `{"model":"draft","prompt":"p"`+extra+`}`, headers...)
}
