package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/intake"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// largeBody is more than what each request may hold beside the room for all.
const largeBody = 100 << 10

// fillRoom gives the forwarder a room for bodies that another one takes until it is released.
func (f *fixture) fillRoom(g *gomega.WithT) (other *intake.Body) {
	bodies := intake.New(intake.Limits{Bytes: largeBody})
	other, err := bodies.Read(httptest.NewRecorder(), httptest.NewRequest("POST", "/", strings.NewReader(strings.Repeat("x", largeBody))),
		largeBody, time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	config := f.forwarder.Config()
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Events: event.Discard(), Nodes: func() int { return 1 }, Bodies: bodies,
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(config)
	return other
}

// Guards against a body that is refused for want of room without saying that its request has not run, and against room that a
// request doesn't give back.
func TestRequestWithoutRoomHasNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	sent := 0
	f.received = func(*http.Request) { sent++ }
	other := f.fillRoom(g)
	call := func() *httptest.ResponseRecorder {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/x/y", strings.NewReader(strings.Repeat("x", largeBody)))
		request.Header.Set("Id", "r1")
		f.forwarder.ServeHTTP(recorder, request)
		return recorder
	}
	refused := call()
	g.Expect(refused.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(sent).To(gomega.BeZero())
	other.Release()
	for range 3 {
		g.Expect(call().Code).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(sent).To(gomega.Equal(3))
}

// Guards against a handed over request that is refused for want of room and doesn't go to another node.
func TestHandedOverRequestWithoutRoomIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	full, free := newFixture(serving.NonIdempotent, "a"), newFixture(serving.NonIdempotent, "a")
	defer full.fillRoom(g).Release()
	peers := &fakePeers{nodes: []string{full.servePeers(t), free.servePeers(t)}}
	f := newFixture(serving.NonIdempotent, "a")
	f.cutOff(peers, http.DefaultTransport, "a")
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/x/y", strings.NewReader(strings.Repeat("x", largeBody)))
	request.Header.Set("Id", "r1")
	f.forwarder.ServeHTTP(recorder, request)
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(peers.notTaken).To(gomega.Equal(peers.nodes[:1]))
}
