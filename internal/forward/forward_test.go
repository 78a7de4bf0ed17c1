package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/requestlimit"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// wire uses headers with plain names. A status of 429 or 503 states that the request has not run.
type wire struct{}

func (wire) DecodeRequest(r *http.Request) (serving.CallerRequest, error) {
	request := serving.CallerRequest{ID: r.Header.Get("Id"), LastEventID: r.Header.Get("Last-Event-Id")}
	switch key := r.Header.Get("Key"); key {
	case "":
	case "malformed":
		request.Credential.State = serving.CredentialMalformed
	default:
		request.Credential = serving.Credential{State: serving.CredentialPresent, Digest: serving.DigestKey(key)}
	}
	return request, nil
}

func (wire) ServerHeader(caller http.Header, _ serving.CallerRequest, attempt serving.Attempt) http.Header {
	header := wire{}.PeerHeader(caller, attempt.Authenticated)
	if attempt.Customer != "" {
		header.Set("Customer", attempt.Customer)
	}
	return header
}

func (wire) PeerHeader(caller http.Header, authenticated bool) http.Header {
	header := caller.Clone()
	if authenticated {
		header.Del("Key")
	}
	return header
}

func (wire) DecodeAnswer(answer *http.Response) serving.AnswerInfo {
	notRun := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	return serving.AnswerInfo{
		NotRun: notRun, HasDigest: answer.Header.Get("No-Digest") == "", RequestID: answer.Header.Get("Id"),
	}
}

func (wire) WriteRefusal(w http.ResponseWriter, request serving.CallerRequest, refusal serving.Refusal) {
	w.Header().Set("Id", request.ID)
	w.Header().Set("Reason", refusal.Reason)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", refusal.RetryAfter.String())
	}
	w.WriteHeader(refusal.Status)
}

// limits is a fake whose acquire decides about each send.
type limits struct {
	acquire  func(server string, patience time.Duration) (forward.Reservation, time.Duration, bool)
	mu       sync.Mutex
	observed []serving.ServerNotice
}

func (l *limits) Observe(_ serverview.Candidate, notice serving.ServerNotice, _ time.Time, _ bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observed = append(l.observed, notice)
}

func (l *limits) Sending(serverview.Candidate, forward.SendWay) {}

func (l *limits) Acquire(
	_ context.Context, server serverview.Candidate, _ int, patience time.Duration,
) (forward.Reservation, time.Duration, bool) {
	return l.acquire(server.ID, patience)
}

func always(string, time.Duration) (forward.Reservation, time.Duration, bool) {
	return forward.Reservation{}, 0, true
}

// fixture is a forwarder with plain servers at addresses equal to their IDs.
type fixture struct {
	forwarder *forward.Forwarder
	view      *serverview.View
	limits    *limits
	mu        sync.Mutex
	// sent holds the servers to which requests were sent, in order.
	sent []string
	// answer answers a request to a server.
	answer func(server string) (*http.Response, error)
	// published counts the publications of publishAll.
	published uint64
	// received, if set, sees each request to a server.
	received func(r *http.Request)
}

// RoundTrip implements http.RoundTripper.
func (f *fixture) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, request.URL.Host)
	if f.received != nil {
		f.received(request)
	}
	answer, err := f.answer(request.URL.Host)
	if answer != nil {
		answer.Request = request
		if answer.Header.Get("Id") == "" {
			answer.Header.Set("Id", request.Header.Get("Id"))
		}
	}
	if err != nil && !errors.Is(err, errUnreachable) {
		traceWritten(request)
	}
	return answer, err
}

// traceWritten reports to the sender that a request was written.
func traceWritten(request *http.Request) {
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
}

// noCrashes is a guard that allows everything.
type noCrashes struct{}

func (noCrashes) Check(string, []string) crashguard.Decision {
	return crashguard.Decision{Allowed: true}
}
func (noCrashes) WatchesRequests() bool                           { return false }
func (noCrashes) Suspected([]string) bool                         { return false }
func (noCrashes) Broken(crashguard.Break)                         {}
func (noCrashes) BytesReceived(time.Time, crashguard.Incarnation) {}
func (noCrashes) Answered([]string)                               {}

const service = "plain"

func newFixture(kind serving.RouteKind, servers ...string) *fixture {
	f := &fixture{view: serverview.New(), limits: &limits{acquire: always}}
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusOK, "body"), nil }
	f.forwarder = forward.New(f.options())
	f.forwarder.SetConfig(&serving.Configuration{
		Version: 1, Services: map[string]serving.Service{service: {Name: service}},
		Routes: []serving.Route{{
			Name: "r", Host: "example.com", PathPrefix: "/", Kind: kind, Timeout: 2 * time.Second, MaxAttempts: 2,
			Services: []serving.WeightedService{{Service: service, Weight: 1}},
		}},
	})
	for _, id := range servers {
		f.view.PutEntry(time.Now(), serving.Server{ID: id, Service: service, Address: id, Slots: 4, SoftwareVersion: "v1"})
	}
	return f
}

func (f *fixture) options() forward.Options {
	return forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Notices: f.limits, Crashes: noCrashes{}, Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	}
}

func answerWith(status int, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

func (f *fixture) call() *httptest.ResponseRecorder { return f.callWithID("") }

// callWithID sends a request with an ID.
func (f *fixture) callWithID(id string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader("body"))
	request.Header.Set("Id", id)
	f.forwarder.ServeHTTP(recorder, request)
	return recorder
}

// Guards against a second send of a request that may run once, and against a missing one of a request that may be
// repeated.
func TestOnlyIdempotentRequestsAreSentAgain(t *testing.T) {
	for kind, sends := range map[serving.RouteKind]int{serving.Idempotent: 2, serving.NonIdempotent: 1} {
		g := gomega.NewWithT(t)
		f := newFixture(kind, "a", "b")
		f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusInternalServerError, ""), nil }
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusInternalServerError))
		g.Expect(f.sent).To(gomega.HaveLen(sends), kind.String())
	}
}

// Guards against a request that ends although the server stated that it has not run there.
func TestRequestThatHasNotRunGoesToAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a", "b")
	f.answer = func(string) (*http.Response, error) {
		if len(f.sent) == 1 {
			return answerWith(http.StatusServiceUnavailable, ""), nil
		}
		return answerWith(http.StatusOK, "body"), nil
	}
	recorder := f.call()
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.ConsistOf("a", "b"))
	g.Expect(f.limits.observed).To(gomega.HaveLen(2))
}

// Guards against a request that goes to a server without room while another one has room, and against a refusal that
// counts as a failure of the server.
func TestServerWithRoomIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a", "b")
	f.limits.acquire = func(server string, _ time.Duration) (forward.Reservation, time.Duration, bool) {
		return forward.Reservation{}, time.Second, server == "b"
	}
	for _, id := range []string{"a", "b"} {
		f.nameLimit(id)
	}
	for range 20 {
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(f.sent).NotTo(gomega.ContainElement("a"))
	for _, c := range f.view.Candidates(time.Now(), service, serving.Adapter{}) {
		g.Expect(c.Ejected).To(gomega.BeFalse())
		g.Expect(c.FailureRate).To(gomega.BeZero())
	}
}

// Guards against a refusal while the only server with room counts as failed for a moment.
func TestFailedServerWithRoomIsChosen(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a", "b")
	f.nameLimit("a")
	f.view.NoRoom("a", time.Now().Add(time.Hour))
	for range 2 {
		f.view.Failed(time.Now(), "b")
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.Equal([]string{"b"}))
}

func (f *fixture) nameLimit(id string) {
	now := time.Now()
	f.view.NoteLimit(now, id, 0, requestlimit.Notice{Limited: true, PerSecond: 1, RequestedAt: now, ReceivedAt: now})
}

// Guards against a request that waits for room which comes too late, and against an answer without the time of the room.
func TestRequestWithoutRoomInTimeIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.nameLimit("a")
	asked := 0
	f.limits.acquire = func(string, time.Duration) (forward.Reservation, time.Duration, bool) {
		asked++
		return forward.Reservation{}, time.Hour, false
	}
	recorder := f.call()
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(recorder.Header().Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(asked).To(gomega.Equal(1))
	g.Expect(f.sent).To(gomega.BeEmpty())
}

// Guards against a request that was granted while it waited and then sent to a server that had begun to leave.
func TestGrantIsGivenBackWhenTheServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.nameLimit("a")
	f.view.NoRoom("a", time.Now().Add(100*time.Millisecond))
	cancelled := 0
	f.limits.acquire = func(_ string, patience time.Duration) (forward.Reservation, time.Duration, bool) {
		g.Expect(patience).To(gomega.BeNumerically(">", 0))
		f.view.PutEntry(time.Now(), serving.Server{
			ID: "a", Service: service, Address: "a", Slots: 4, SoftwareVersion: "v1", Draining: true,
		})
		return forward.Reservation{Cancel: func() { cancelled++ }}, 0, true
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(f.sent).To(gomega.BeEmpty())
	g.Expect(cancelled).To(gomega.Equal(1))
}

var errUnreachable = errors.New("no connection")

// Guards against a grant that is lost when the request never left, and against a suspicion of the server when the grant
// had run out.
func TestUnusedGrantIsGivenBack(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	cancelled, valid := 0, false
	f.limits.acquire = func(string, time.Duration) (forward.Reservation, time.Duration, bool) {
		return forward.Reservation{Valid: func() bool { return valid }, Cancel: func() { cancelled++ }}, 0, true
	}
	f.answer = func(string) (*http.Response, error) {
		if len(f.sent) == 2 {
			valid = true
			return answerWith(http.StatusOK, "body"), nil
		}
		return nil, errUnreachable
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.HaveLen(2))
	g.Expect(cancelled).To(gomega.Equal(1))
}
