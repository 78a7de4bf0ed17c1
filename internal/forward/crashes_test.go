package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/streamorigin"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// guard is a fake whose fields decide, and that records what it was asked.
type guard struct {
	// allowedChecks is how many checks allow the request; negative for all.
	allowedChecks int
	suspected     func() bool
	checked       [][]string
	broken        []crashguard.Break
	answered      [][]string
	alive         int
}

func newGuard() *guard { return &guard{allowedChecks: -1, suspected: func() bool { return false }} }

func (c *guard) WatchesRequests() bool { return true }
func (c *guard) Check(_ string, keys []string) crashguard.Decision {
	c.checked = append(c.checked, keys)
	if c.allowedChecks >= 0 && len(c.checked) > c.allowedChecks {
		return crashguard.Decision{Part: keys[len(keys)-1], RetryAfter: time.Minute}
	}
	return crashguard.Decision{Allowed: true}
}
func (c *guard) Suspected([]string) bool                         { return c.suspected() }
func (c *guard) Broken(b crashguard.Break)                       { c.broken = append(c.broken, b) }
func (c *guard) BytesReceived(time.Time, crashguard.Incarnation) { c.alive++ }
func (c *guard) Answered(keys []string)                          { c.answered = append(c.answered, keys) }

type noOrigins struct{}

func (noOrigins) Record(streamorigin.Origin) {}
func (noOrigins) Find(context.Context, string, string, time.Duration) streamorigin.Answer {
	return streamorigin.Answer{}
}

// withGuard replaces the forwarder of a fixture by one with a guard. Its route is a resumable stream if resumable is true.
func (f *fixture) withGuard(c *guard, kind serving.RouteKind, resumable bool) {
	config := *f.forwarder.Config()
	config.Routes = []serving.Route{config.Routes[0]}
	config.Routes[0].Kind, config.Routes[0].Resumable, config.Routes[0].MaxAttempts = kind, resumable, 3
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: c, Origins: noOrigins{}, Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(&config)
}

// keysOfCall are the keys of the request that fixture.call sends.
var keysOfCall = crashguard.RequestIdentity{
	Method: http.MethodPost, Host: "example.com", Target: "http://example.com/x", Body: []byte("body"), Caller: "192.0.2.1",
}.Keys()

func closed(string) (*http.Response, error) { return nil, io.EOF }

// Guards against ends of servers that don't reach the guard, with the request that was there, and against answers that don't.
func TestGuardLearnsWhatBecameOfRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFixture(serving.Idempotent, "a", "b"), newGuard()
	f.withGuard(c, serving.Idempotent, false)
	f.answer = func(server string) (*http.Response, error) {
		if len(f.sent) == 1 {
			return closed(server)
		}
		return answerWith(http.StatusOK, "body"), nil
	}
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(c.broken).To(gomega.HaveLen(1))
	g.Expect(c.broken[0].Requests).To(gomega.Equal(keysOfCall))
	g.Expect(c.broken[0].Address).To(gomega.Equal(f.sent[0]))
	g.Expect(c.broken[0].Server.ServerID).To(gomega.Equal(f.sent[0]))
	g.Expect(c.answered).To(gomega.Equal([][]string{keysOfCall}))
	g.Expect(c.alive).To(gomega.Equal(1))
}

// Guards against a server that has started again empty, whose refusals count as signs of life of the incarnation before.
func TestRefusalOfAnotherIncarnationIsNoSignOfLife(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFixture(serving.Idempotent, "a"), newGuard()
	f.withGuard(c, serving.Idempotent, false)
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusMisdirectedRequest, ""), nil }
	f.call()
	g.Expect(f.sent).NotTo(gomega.BeEmpty())
	g.Expect(c.alive).To(gomega.BeZero())
}

// Guards against answers of servers that failed which prove a request sound.
func TestFailureOfAServerProvesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFixture(serving.NonIdempotent, "a"), newGuard()
	f.withGuard(c, serving.NonIdempotent, false)
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusInternalServerError, "body"), nil }
	f.call()
	g.Expect(c.answered).To(gomega.BeEmpty())
}

// Guards against a blocked request that is sent because it was checked only on arrival, before it waited for a server.
func TestRequestIsCheckedAgainBeforeItIsSent(t *testing.T) {
	for allowed := range 2 {
		g := gomega.NewWithT(t)
		f, c := newFixture(serving.Idempotent, "a", "b"), newGuard()
		c.allowedChecks = allowed
		f.withGuard(c, serving.Idempotent, false)
		recorder := f.call()
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(recorder.Header().Get("Retry-After")).To(gomega.Equal("1m0s"))
		g.Expect(f.sent).To(gomega.BeEmpty(), "%d checks allow it", allowed)
		g.Expect(c.checked[0]).To(gomega.Equal(keysOfCall))
	}
}

// Guards against a request that is sent to a further server after it is suspected, however its attempt ended.
func TestSuspectedRequestIsNotSentAgain(t *testing.T) {
	for name, answer := range map[string]func(string) (*http.Response, error){
		"no answer": closed,
		"broken answer": func(string) (*http.Response, error) {
			broken := answerWith(http.StatusOK, "")
			broken.Body = io.NopCloser(io.MultiReader(strings.NewReader("bo"), failingReader{}))
			return broken, nil
		},
	} {
		g := gomega.NewWithT(t)
		f, c := newFixture(serving.Idempotent, "a", "b", "c"), newGuard()
		f.withGuard(c, serving.Idempotent, false)
		f.answer = answer
		c.suspected = func() bool { return len(c.broken) == 2 }
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway), name)
		g.Expect(f.sent).To(gomega.HaveLen(2), name)
	}
}

// Guards against a request that was blocked while its first attempt was in progress and is sent to the next server.
func TestRequestBlockedMeanwhileIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	f, c := newFixture(serving.Idempotent, "a", "b"), newGuard()
	c.allowedChecks = 2
	f.withGuard(c, serving.Idempotent, false)
	f.answer = closed
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway), "it may have run")
	g.Expect(f.sent).To(gomega.HaveLen(1))
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a stream that is resumed at a further server although the request is blocked or suspected.
func TestStreamIsNotResumedWhenServersCrashOnIt(t *testing.T) {
	for name, set := range map[string]func(*guard){
		"sound":     func(*guard) {},
		"blocked":   func(c *guard) { c.allowedChecks = 2 },
		"suspected": func(c *guard) { c.suspected = func() bool { return true } },
	} {
		g := gomega.NewWithT(t)
		f, c := newFixture(serving.Stream, "a", "b", "c"), newGuard()
		set(c)
		f.withGuard(c, serving.Stream, true)
		f.answer = func(string) (*http.Response, error) {
			broken := answerWith(http.StatusOK, "")
			broken.Header.Set("Content-Type", "text/event-stream")
			broken.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failingReader{}))
			return broken, nil
		}
		g.Expect(func() { f.call() }).To(gomega.PanicWith(gomega.MatchError(http.ErrAbortHandler)), name)
		if name == "sound" {
			g.Expect(f.sent).To(gomega.HaveLen(3))
			g.Expect(c.broken).To(gomega.HaveLen(3), "each end of a stream")
		} else {
			g.Expect(f.sent).To(gomega.HaveLen(1), name)
		}
	}
}

// Guards against timeouts and cancelled attempts that count as ends of servers.
func TestTimeoutsAreNoEndsOfServers(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, err := range []error{context.DeadlineExceeded, context.Canceled, errors.Join(context.Canceled, io.EOF)} {
		f, c := newFixture(serving.NonIdempotent, "a"), newGuard()
		f.withGuard(c, serving.NonIdempotent, false)
		f.answer = func(string) (*http.Response, error) { return nil, err }
		f.call()
		g.Expect(c.broken).To(gomega.BeEmpty(), err.Error())
	}
}
