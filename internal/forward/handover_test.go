package forward_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// fakePeers chooses its nodes in order.
type fakePeers struct {
	nodes    []string
	asked    int
	notTaken []string
}

func (p *fakePeers) Choose(_ []string, tried map[string]bool) string {
	p.asked++
	for _, node := range p.nodes {
		if !tried[node] {
			return node
		}
	}
	return ""
}

func (p *fakePeers) NotTaken(peer string) { p.notTaken = append(p.notTaken, peer) }

// cutOff makes all servers of a fixture unreachable and gives it other nodes.
func (f *fixture) cutOff(peers *fakePeers, transport http.RoundTripper, servers ...string) {
	config := f.forwarder.Config()
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Peers: peers, PeerTransport: transport, Events: event.Discard(), Nodes: func() int { return 1 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	f.forwarder.SetConfig(config)
	f.answer = func(string) (*http.Response, error) { return nil, errUnreachable }
	for _, id := range servers {
		f.view.Unreachable(time.Now(), id)
	}
}

// servePeers starts the forwarder of a fixture as another node.
func (f *fixture) servePeers(t *testing.T) (address string) {
	server := httptest.NewServer(http.HandlerFunc(f.forwarder.ServePeer))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a request that changes on its way over another node, or tells servers about it.
func TestHandedOverRequestReachesTheServerUnchanged(t *testing.T) {
	g := gomega.NewWithT(t)
	var got *http.Request
	var body []byte
	other := newFixture(serving.NonIdempotent, "a")
	other.received = func(r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
	}
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{other.servePeers(t)}}
	f.cutOff(peers, http.DefaultTransport, "a")
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/x//y%2Fz?q=%20", strings.NewReader("the body"))
	request.Header.Set("Id", "r1")
	request.Header.Set("Waxwing-Caller", "forged")
	request.Header.Set("Waxwing-Remaining-Ms", "1")
	f.forwarder.ServeHTTP(recorder, request)
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
	g.Expect(recorder.Body.String()).To(gomega.Equal("body"))
	g.Expect(f.sent).To(gomega.BeEmpty())
	g.Expect(other.sent).To(gomega.Equal([]string{"a"}))
	g.Expect(got.Method + " " + got.Host + " " + got.URL.Opaque + "?" + got.URL.RawQuery).
		To(gomega.Equal("POST example.com /x//y%2Fz?q=%20"))
	g.Expect(string(body)).To(gomega.Equal("the body"))
	g.Expect(got.Header.Get("Id")).To(gomega.Equal("r1"))
	g.Expect(got.Header).NotTo(gomega.HaveKey("Waxwing-Caller"))
	g.Expect(got.Header).NotTo(gomega.HaveKey("Waxwing-Remaining-Ms"))
	deadline, bounded := got.Context().Deadline()
	g.Expect(bounded).To(gomega.BeTrue())
	g.Expect(time.Until(deadline)).To(gomega.BeNumerically("<=", 2*time.Second))
}

// Guards against callers that set the headers between nodes and have servers see them.
func TestCallersCannotSetHeadersBetweenNodes(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	var header http.Header
	f.received = func(r *http.Request) { header = r.Header }
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set("Waxwing-Caller", "forged")
	request.Header.Set("Waxwing-Remaining-Ms", "1")
	f.forwarder.ServeHTTP(httptest.NewRecorder(), request)
	g.Expect(header).NotTo(gomega.HaveKey("Waxwing-Caller"))
	g.Expect(header).NotTo(gomega.HaveKey("Waxwing-Remaining-Ms"))
}

// Guards against a longer deadline at the other node than at the one that the caller asked, and against another caller.
func TestHandoverCarriesDeadlineAndCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"peer"}}
	var header http.Header
	f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
		header = r.Header
		return answerWith(http.StatusOK, "body"), nil
	}), "a")
	f.call()
	g.Expect(header.Get("Waxwing-Caller")).To(gomega.Equal("192.0.2.1"))
	g.Expect(header.Get("Waxwing-Remaining-Ms")).To(gomega.MatchRegexp(`^(1\d{3}|2000)$`))

	other, request := newFixture(serving.NonIdempotent, "a"), httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	var deadline time.Time
	other.received = func(r *http.Request) { deadline, _ = r.Context().Deadline() }
	request.Header.Set("Waxwing-Caller", "192.0.2.1")
	request.Header.Set("Waxwing-Remaining-Ms", "300")
	other.forwarder.ServePeer(httptest.NewRecorder(), request)
	g.Expect(time.Until(deadline)).To(gomega.BeNumerically("<=", 300*time.Millisecond))
}

type roundTrip func(r *http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a request that goes from node to node.
func TestHandedOverRequestIsNotHandedOverAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.Idempotent, "a"), &fakePeers{nodes: []string{"peer"}}
	f.cutOff(peers, roundTrip(nil), "a")
	recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
	request.Header.Set("Waxwing-Caller", "192.0.2.1")
	f.forwarder.ServePeer(recorder, request)
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(peers.asked).To(gomega.BeZero())
}

// Guards against a request that is lost because one node doesn't take it, and against more than two nodes for one request.
func TestHandoverGoesOnToANodeThatTakesIt(t *testing.T) {
	g := gomega.NewWithT(t)
	for taking, want := range map[string]int{"p1": 200, "p2": 200, "p3": 503} {
		f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"p1", "p2", "p3"}}
		f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
			if r.URL.Host == taking {
				return answerWith(http.StatusOK, "body"), nil
			}
			if r.URL.Host == "p1" {
				return nil, errUnreachable
			}
			refused := answerWith(http.StatusServiceUnavailable, "")
			refused.Header.Set("Waxwing-Not-Taken", "1")
			return refused, nil
		}), "a")
		recorder := f.call()
		g.Expect(recorder.Code).To(gomega.Equal(want), taking)
		g.Expect(recorder.Header().Get("Waxwing-Not-Taken")).To(gomega.BeEmpty())
	}
}

// Guards against the answer of a node of an older build, which doesn't take requests of others, that reaches the caller.
func TestNodeThatDoesNotKnowHandoversIsPassedOver(t *testing.T) {
	for _, status := range []int{http.StatusNotFound, http.StatusMethodNotAllowed} {
		g := gomega.NewWithT(t)
		f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"old", "new"}}
		f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
			if r.URL.Host == "old" {
				answer := answerWith(status, "404 page not found")
				answer.Header.Set("No-Digest", "1")
				return answer, nil
			}
			answer := answerWith(http.StatusOK, "body")
			answer.Header.Set("Id", r.Header.Get("Id"))
			return answer, nil
		}), "a")
		recorder := f.callWithID("r1")
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusOK))
		g.Expect(recorder.Body.String()).To(gomega.Equal("body"))
		g.Expect(peers.notTaken).To(gomega.Equal([]string{"old"}))
	}
}

// Guards against an answer that names no request, such as that of a proxy, which reaches the caller as the answer to its own.
func TestAnswerOfAnotherNodeNamesTheRequest(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable} {
		g := gomega.NewWithT(t)
		f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"p1", "p2"}}
		f.cutOff(peers, roundTrip(func(*http.Request) (*http.Response, error) { return answerWith(status, "proxy"), nil }), "a")
		recorder := f.callWithID("r1")
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusBadGateway))
		g.Expect(recorder.Body.String()).NotTo(gomega.ContainSubstring("proxy"))
		g.Expect(peers.asked).To(gomega.Equal(1), "it may have run")
	}
}

// Guards against a request that may have run at a server and is passed to another node, where it runs again.
func TestRequestThatMayHaveRunIsNotHandedOver(t *testing.T) {
	for kind, handedOver := range map[serving.RouteKind]bool{serving.Idempotent: true, serving.NonIdempotent: false} {
		g := gomega.NewWithT(t)
		f, peers := newFixture(kind, "a", "b"), &fakePeers{nodes: []string{"p1"}}
		f.cutOff(peers, roundTrip(func(*http.Request) (*http.Response, error) {
			return answerWith(http.StatusOK, "body"), nil
		}), "b")
		f.answer = closed
		f.call()
		g.Expect(peers.asked > 0).To(gomega.Equal(handedOver), "%v", kind)
	}
}

// Guards against a request that ran at the other node and is said not to have run, or sent again.
func TestUnansweredHandoverMayHaveRun(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"p1", "p2"}}
	f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
		traceWritten(r)
		return nil, io.EOF
	}), "a")
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(peers.asked).To(gomega.Equal(1))
	g.Expect(f.sent).To(gomega.BeEmpty())
}

// Guards against an answer that breaks off at the other node and looks complete to the caller.
func TestBrokenAnswerOfAnotherNodeBreaksTheCallersOff(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"p1"}}
	f.cutOff(peers, roundTrip(func(*http.Request) (*http.Response, error) {
		broken := answerWith(http.StatusOK, "")
		broken.ContentLength = -1
		broken.Body = io.NopCloser(io.MultiReader(strings.NewReader("half"), failingReader{}))
		return broken, nil
	}), "a")
	g.Expect(func() { f.call() }).To(gomega.PanicWith(gomega.MatchError(http.ErrAbortHandler)))
}

// Guards against work that goes on at the other node after the caller has left.
func TestHandoverEndsWithTheCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.NonIdempotent, "a"), &fakePeers{nodes: []string{"p1"}}
	ctx, leave := context.WithCancel(t.Context())
	f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
		traceWritten(r)
		leave()
		<-r.Context().Done()
		return nil, errors.Join(r.Context().Err())
	}), "a")
	request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody).WithContext(ctx)
	g.Expect(func() { f.forwarder.ServeHTTP(httptest.NewRecorder(), request) }).
		To(gomega.PanicWith(gomega.MatchError(http.ErrAbortHandler)))
}

// Guards against a node that takes requests of others while it stops, or knows no configuration.
func TestStoppingNodeTakesNoRequestsOfOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.forwarder.Drain()
	for _, forwarder := range []*forward.Forwarder{f.forwarder, forward.New(forward.Options{Events: event.Discard()})} {
		recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
		request.Header.Set("Waxwing-Caller", "192.0.2.1")
		forwarder.ServePeer(recorder, request)
		g.Expect(recorder.Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(recorder.Header().Get("Waxwing-Not-Taken")).To(gomega.Equal("1"))
		g.Expect(forwarder.Taken()).To(gomega.BeZero())
	}
}

// Guards against a node that takes so many requests of others that its own callers suffer.
func TestRequestsOfOthersAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	running, finish := make(chan struct{}, 1000), make(chan struct{})
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusOK, "body"), nil }
	f.limits.acquire = func(string, time.Duration) (forward.Reservation, time.Duration, bool) {
		running <- struct{}{}
		<-finish
		return forward.Reservation{}, 0, true
	}
	serve := func() *httptest.ResponseRecorder {
		recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
		request.Header.Set("Waxwing-Caller", "192.0.2.1")
		f.forwarder.ServePeer(recorder, request)
		return recorder
	}
	for range 256 {
		go serve()
		<-running
	}
	g.Expect(serve().Header().Get("Waxwing-Not-Taken")).To(gomega.Equal("1"))
	close(finish)
	g.Eventually(f.forwarder.Taken).Should(gomega.BeZero())
}

// Guards against a node that doesn't learn from its requests which servers it reaches.
func TestRequestsShowWhichServersAreReached(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.cutOff(&fakePeers{}, roundTrip(nil))
	f.call()
	g.Expect(f.view.UnreachableServers(time.Now())).To(gomega.ConsistOf("a"), "no connection")
	f.answer = func(string) (*http.Response, error) { return answerWith(http.StatusOK, "body"), nil }
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.view.UnreachableServers(time.Now())).To(gomega.BeEmpty(), "an answer")
	f.answer = closed
	f.call()
	g.Expect(f.view.ProbesDue(time.Now())).To(gomega.HaveLen(1), "no answer")
}

// Guards against a refusal after three failed connections while another node reaches the servers.
func TestRequestIsHandedOverAfterFailedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a", "b", "c", "d")
	f.cutOff(&fakePeers{nodes: []string{"p1"}}, roundTrip(func(*http.Request) (*http.Response, error) {
		return answerWith(http.StatusOK, "body"), nil
	}))
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.HaveLen(3))
}

// Guards against "not run" of another node for a request that may have run at a server before.
func TestRefusalOfAnotherNodeIsNoPromiseForAnEarlierAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.Idempotent, "a", "b")
	f.cutOff(&fakePeers{nodes: []string{"p1"}}, roundTrip(func(*http.Request) (*http.Response, error) {
		return answerWith(http.StatusServiceUnavailable, ""), nil
	}), "b")
	f.answer = closed
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(f.sent).To(gomega.Equal([]string{"a"}))
}

// Guards against requests for models that wait or are refused while another node reaches the servers.
func TestModelRequestsAreHandedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	config := *f.forwarder.Config()
	config.Version, config.Services = 2, map[string]serving.Service{service: {Name: service, Engine: &serving.Engine{}}}
	f.forwarder.SetConfig(&config)
	f.cutOff(&fakePeers{nodes: []string{"p1"}}, roundTrip(func(*http.Request) (*http.Response, error) {
		return answerWith(http.StatusOK, "body"), nil
	}), "a")
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.sent).To(gomega.BeEmpty())
}

// Guards against a request that runs on more servers than its route allows because the node that takes it doesn't know how
// often it was sent before.
func TestHandoverCountsTheAttemptsBefore(t *testing.T) {
	for name, header := range map[string][2]string{
		"attempts": {"Waxwing-Attempts", "1"}, "sends": {"Waxwing-Sends", "2"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			other := newFixture(serving.Idempotent, "a", "b", "c")
			other.answer = func(string) (*http.Response, error) { return answerWith(http.StatusInternalServerError, ""), nil }
			request := httptest.NewRequest(http.MethodPost, "/x", http.NoBody)
			request.Header.Set("Waxwing-Caller", "192.0.2.1")
			request.Header.Set(header[0], header[1])
			other.forwarder.ServePeer(httptest.NewRecorder(), request)
			g.Expect(other.sent).To(gomega.HaveLen(1), "the route allows two attempts, and each request three sends")
		})
	}
}

// Guards against a request whose attempts are used up and that is handed over all the same, and against attempts that aren't
// told.
func TestHandoverTellsTheAttemptsBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	f, peers := newFixture(serving.Idempotent, "a", "b"), &fakePeers{nodes: []string{"peer"}}
	var header http.Header
	f.cutOff(peers, roundTrip(func(r *http.Request) (*http.Response, error) {
		header = r.Header
		return answerWith(http.StatusOK, "body"), nil
	}), "b")
	f.answer = func(string) (*http.Response, error) {
		f.view.Unreachable(time.Now(), "a")
		return answerWith(http.StatusInternalServerError, ""), nil
	}
	f.call()
	g.Expect(f.sent).To(gomega.Equal([]string{"a"}))
	g.Expect(header.Get("Waxwing-Attempts")).To(gomega.Equal("1"))
	g.Expect(header.Get("Waxwing-Sends")).To(gomega.Equal("1"))
}

// Guards against an answer of another node whose head ends in its middle, with its connection, and that looks whole or like a
// statement that the request hasn't run.
func TestHandedOverAnswerCutInsideItsHeadFails(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\nId: r1\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nId: r1\r\nWaxwing-Not-Taken: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for length := range len(head) {
			g := gomega.NewWithT(t)
			peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, buffered, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = buffered.WriteString(head[:length])
				_ = buffered.Flush()
				_ = conn.Close()
			}))
			f := newFixture(serving.NonIdempotent, "a")
			f.cutOff(&fakePeers{nodes: []string{strings.TrimPrefix(peer.URL, "http://")}}, upstream.NewTransport(time.Second, false), "a")
			g.Expect(f.callWithID("r1").Code).To(gomega.Equal(http.StatusBadGateway), "%q", head[:length])
			peer.Close()
		}
	}
}

// Guards against an answer of another node that is none in HTTP and that the caller gets, or that counts as a statement that the request
// hasn't run.
func TestMalformedAnswerOfAnotherNodeIsNotForwarded(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 None\r\nId: r1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 600 More\r\nId: r1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length : 2\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nId: r1\r\nX Blank: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nWaxwing-Not-Taken: 1\r\nX-Some : 1\r\nContent-Length: 0\r\n\r\n",
	} {
		g := gomega.NewWithT(t)
		peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = buffered.WriteString(answer)
			_ = buffered.Flush()
			_ = conn.Close()
		}))
		f := newFixture(serving.NonIdempotent, "a")
		f.cutOff(&fakePeers{nodes: []string{strings.TrimPrefix(peer.URL, "http://")}}, upstream.NewTransport(time.Second, false), "a")
		g.Expect(f.callWithID("r1").Code).To(gomega.Equal(http.StatusBadGateway), "%q", answer)
		peer.Close()
	}
}
