package forward_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// dispatcher is a fake that assigns the servers in order, and records what it was asked and told. Once there is none left,
// it assigns the last one.
type dispatcher struct {
	servers  []string
	refuse   time.Duration
	requests []forward.SlotRequest
	chosen   []string
	open     int
	works    []time.Duration
	full     []bool
	// asked, if set, is called with each request.
	asked func()
}

func (d *dispatcher) Acquire(
	_ context.Context, request forward.SlotRequest,
) (forward.Slot, forward.SlotRefusal, bool) {
	d.requests = append(d.requests, request)
	if d.asked != nil {
		d.asked()
	}
	if d.refuse > 0 {
		return forward.Slot{}, forward.SlotRefusal{TurnIn: d.refuse}, false
	}
	d.open++
	server := d.servers[min(len(d.requests), len(d.servers))-1]
	return forward.Slot{
		Server: server, Choose: func(server serverview.Candidate) bool {
			d.chosen = append(d.chosen, server.ID)
			return true
		},
		End: func(work time.Duration, full bool) {
			d.open--
			d.works, d.full = append(d.works, work), append(d.full, full)
		},
	}, forward.SlotRefusal{}, true
}

// withSlots replaces the forwarder of a fixture by one with a dispatcher.
func (f *fixture) withSlots(d *dispatcher) {
	config := f.forwarder.Config()
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Slots: d, Peers: leavingCaller{}, Crashes: noCrashes{}, Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(config)
}

// Guards against a request that goes elsewhere than to the assigned server, and against a slot that is not given back, or
// without the time that the server took.
func TestRequestGoesToTheAssignedServer(t *testing.T) {
	for _, server := range []string{"a", "b", "c"} {
		g := gomega.NewWithT(t)
		f, d := newFixture(serving.NonIdempotent, "a", "b", "c"), &dispatcher{servers: []string{server}}
		f.withSlots(d)
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
		g.Expect(f.sent).To(gomega.Equal([]string{server}))
		g.Expect(d.open).To(gomega.BeZero())
		g.Expect(d.works).To(gomega.HaveLen(1))
		g.Expect(d.works[0]).To(gomega.BeNumerically(">", 0))
		g.Expect(d.full).To(gomega.Equal([]bool{false}))
		g.Expect(d.chosen).To(gomega.BeEmpty())
		g.Expect(d.requests[0].Patience).To(gomega.BeNumerically("~", 600*time.Millisecond, 100*time.Millisecond))
		g.Expect(d.requests[0].Lifetime).To(gomega.BeNumerically("~", 2*time.Second, 100*time.Millisecond))
	}
}

// Guards against a rejection by a full server of which the dispatcher doesn't learn, and against a second attempt at it.
func TestRejectionByAFullServerIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.NonIdempotent, "a", "b"), &dispatcher{servers: []string{"a", "b"}}
	f.withSlots(d)
	f.answer = func(server string) (*http.Response, error) {
		if server == "a" {
			return answerWith(http.StatusServiceUnavailable, ""), nil
		}
		return answerWith(http.StatusOK, "body"), nil
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(d.requests[1].Excluded).To(gomega.Equal([]string{"a"}))
	g.Expect(d.full).To(gomega.Equal([]bool{true, false}))
	g.Expect(d.works[0]).To(gomega.BeZero())
	g.Expect(d.open).To(gomega.BeZero())
}

// Guards against a request without a slot that is sent, or answered without the time of its turn.
func TestRequestWithoutASlotIsRefusedWithItsTurn(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.NonIdempotent, "a"), &dispatcher{refuse: 400 * time.Millisecond}
	f.withSlots(d)
	recorder := f.call()
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.sent).To(gomega.BeEmpty())
	retryAfter, err := time.ParseDuration(recorder.Header().Get("Retry-After"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(retryAfter).To(gomega.BeNumerically(">=", 400*time.Millisecond))
	g.Expect(retryAfter).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// Guards against a request that may run once and is sent twice because the dispatcher assigns another server, and against
// one that gets the same server again.
func TestDispatcherCausesNoSecondSend(t *testing.T) {
	for kind, sends := range map[serving.RouteKind]int{serving.Idempotent: 2, serving.NonIdempotent: 1} {
		for _, servers := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "a"}} {
			g := gomega.NewWithT(t)
			f, d := newFixture(kind, "a", "b"), &dispatcher{servers: servers}
			f.withSlots(d)
			f.answer = func(string) (*http.Response, error) { return nil, io.EOF }
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway))
			g.Expect(f.sent).To(gomega.HaveLen(sends), kind.String())
			g.Expect(slices.Compact(f.sent)).To(gomega.HaveLen(sends))
			g.Expect(d.open).To(gomega.BeZero())
		}
	}
}

// Guards against a request that may have run and is refused as one that has not.
func TestRefusalAfterASendThatMayHaveRunSaysSo(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.Idempotent, "a", "b"), &dispatcher{servers: []string{"a"}}
	f.withSlots(d)
	f.answer = func(string) (*http.Response, error) {
		d.refuse = time.Second
		return nil, io.EOF
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(f.sent).To(gomega.HaveLen(1))
}

// Guards against an assignment of a server that leaves, doesn't exist or has no room, and against a choice of this node of
// which the dispatcher doesn't learn. An empty server is the answer when the dispatcher is silent.
func TestNodeChoosesWhereTheDispatcherCannot(t *testing.T) {
	for _, server := range []string{"", "unknown", "leaving", "limited"} {
		g := gomega.NewWithT(t)
		f, d := newFixture(serving.NonIdempotent, "a", "leaving", "limited"), &dispatcher{servers: []string{server}}
		f.withSlots(d)
		f.view.PutEntry(time.Now(), serving.Server{
			ID: "leaving", Service: service, Address: "leaving", Slots: 4, SoftwareVersion: "v1", Draining: true,
		})
		f.nameLimit("limited")
		f.view.NoRoom("limited", time.Now().Add(time.Hour))
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
		g.Expect(f.sent).To(gomega.Equal([]string{"a"}))
		g.Expect(d.requests[0].Excluded).To(gomega.Equal([]string{"leaving", "limited"}))
		g.Expect(d.chosen).To(gomega.Equal([]string{"a"}))
		g.Expect(d.open).To(gomega.BeZero())
	}
}

// Guards against a slot that is kept, or a request that is sent, when the limit of the assigned server leaves no room.
func TestSlotIsGivenBackWithoutRoomUnderALimit(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.NonIdempotent, "a", "b"), &dispatcher{servers: []string{"a", "b"}}
	f.withSlots(d)
	f.nameLimit("a")
	f.limits.acquire = func(server string, _ time.Duration) (forward.Reservation, time.Duration, bool) {
		return forward.Reservation{}, time.Hour, server == "b"
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.Equal([]string{"b"}))
	g.Expect(d.requests[1].Excluded).To(gomega.Equal([]string{"a"}))
	g.Expect(d.open).To(gomega.BeZero())
	g.Expect(d.works[0]).To(gomega.BeZero())
}

// Guards against a slot that stays in use until a slow caller has read its answer.
func TestSlotIsGivenBackBeforeTheCallerHasTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.NonIdempotent, "a"), &dispatcher{servers: []string{"a"}}
	f.withSlots(d)
	writer := &watchingWriter{header: http.Header{}, written: func() { g.Expect(d.open).To(gomega.BeZero()) }}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://example.com/x", http.NoBody)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f.forwarder.ServeHTTP(writer, request)
	g.Expect(writer.status).To(gomega.Equal(http.StatusOK))
}

// watchingWriter calls written when the answer is written.
type watchingWriter struct {
	header  http.Header
	status  int
	written func()
}

func (w *watchingWriter) Header() http.Header    { return w.header }
func (w *watchingWriter) WriteHeader(status int) { w.status = status }
func (w *watchingWriter) Write(data []byte) (int, error) {
	w.written()
	return len(data), nil
}

// leavingCaller stands for other nodes, and for a caller that leaves while one of them has the request.
type leavingCaller struct{}

func (leavingCaller) Choose([]string, map[string]bool) string { panic(http.ErrAbortHandler) }
func (leavingCaller) NotTaken(string)                         {}

// Guards against a slot that is never given back because the caller left during a handover.
func TestSlotIsGivenBackWhenTheCallerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f, d := newFixture(serving.NonIdempotent, "a"), &dispatcher{servers: []string{"a"}}
	f.withSlots(d)
	d.asked = func() {
		for !f.view.Candidates(time.Now(), service, serving.Adapter{})[0].Unreachable {
			f.view.Unreachable(time.Now(), "a")
		}
	}
	g.Expect(func() { f.call() }).To(gomega.PanicWith(http.ErrAbortHandler))
	g.Expect(d.open).To(gomega.BeZero())
	g.Expect(f.sent).To(gomega.BeEmpty())
}
