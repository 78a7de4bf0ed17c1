package forward_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// change replaces the forwarder of a fixture by one with other options and another route, of a model service if engine is
// true.
func (f *fixture) change(engine bool, options func(*forward.Options), route func(*serving.Route)) {
	config := *f.forwarder.Config()
	config.Routes = []serving.Route{config.Routes[0]}
	route(&config.Routes[0])
	if engine {
		config.Services = map[string]serving.Service{service: {Name: service, Engine: &serving.Engine{}}}
	}
	changed := f.options()
	options(&changed)
	f.forwarder = forward.New(changed)
	f.forwarder.SetConfig(&config)
}

// closings are the ways in which a server makes itself unusable for new requests: it has said long ago that it leaves, in its
// answers or by its entry, or it has asked for rest.
var closings = map[string]func(f *fixture, id string){
	"leaving": func(f *fixture, id string) { f.saysLeaving(id, time.Now().Add(-time.Minute)) },
	"draining": func(f *fixture, id string) {
		f.view.PutEntry(time.Now().Add(-time.Minute), serving.Server{
			ID: id, Service: service, Address: id, Slots: 4, SoftwareVersion: "v1", Draining: true,
		})
	},
	"resting": func(f *fixture, id string) { f.asksForRest(id, time.Minute) },
}

func (f *fixture) asksForRest(id string, rest time.Duration) {
	f.view.NoteRest(time.Now(), id, 0, time.Now().Add(rest))
}

func (f *fixture) saysLeaving(id string, since time.Time) {
	f.view.NoteLeaving(serverview.LeavingNotice{ServerID: id, Address: id, Since: since})
}

// gateFunc is a gate that is always open, and calls the function before.
type gateFunc func(server string)

func (g gateFunc) Await(_ context.Context, prompt forward.Prompt, _ time.Duration) (forward.Admission, bool) {
	g(prompt.Server.ID)
	return forward.Admission{Release: func(bool) {}}, true
}

// publishAll publishes servers without load.
func (f *fixture) publishAll(ids ...string) {
	f.published++
	for _, id := range ids {
		f.view.Publish(time.Now(), serverview.Published{ServerID: id, Holder: "h", Sequence: f.published, Ready: true})
	}
}

// Guards against a request that is sent to a server which has closed itself while the request waited at its gate.
func TestServerThatClosesWhileARequestWaitsAtItsGateIsLeft(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(serving.NonIdempotent, "a", "b")
			waitedAt := ""
			gate := gateFunc(func(server string) {
				if waitedAt == "" {
					waitedAt = server
					closing(f, server)
				}
			})
			f.change(true, func(o *forward.Options) { o.Gate = gate }, func(*serving.Route) {})
			f.publishAll("a", "b")
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
			g.Expect(f.sent).To(gomega.HaveLen(1))
			g.Expect(f.sent[0]).NotTo(gomega.Equal(waitedAt))
		})
	}
}

// Guards against a request that is sent to the server which its dispatcher has assigned although it has closed itself since.
func TestServerThatClosesWhileARequestWaitsForItsSlotIsLeft(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f, d := newFixture(serving.NonIdempotent, "a", "b"), &dispatcher{servers: []string{"a"}}
			d.asked = func() { closing(f, "a") }
			f.withSlots(d)
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
			g.Expect(f.sent).To(gomega.Equal([]string{"b"}))
		})
	}
}

// Guards against the same while the request waits for the limit of its server.
func TestServerThatClosesWhileARequestWaitsForItsLimitIsLeft(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(serving.NonIdempotent, "a", "b")
			for _, id := range []string{"a", "b"} {
				f.nameLimit(id)
				f.view.NoRoom(id, time.Now().Add(50*time.Millisecond))
			}
			waitedFor := ""
			f.limits.acquire = func(server string, _ time.Duration) (forward.Reservation, time.Duration, bool) {
				if waitedFor == "" {
					waitedFor = server
					closing(f, server)
				}
				return forward.Reservation{}, 0, true
			}
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
			g.Expect(f.sent).To(gomega.HaveLen(1))
			g.Expect(f.sent[0]).NotTo(gomega.Equal(waitedFor))
		})
	}
}

// Guards against the same while a connection to its server is opened.
func TestServerThatClosesWhileAConnectionIsOpenedIsLeft(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			reached := make(chan string, 3)
			newServer := func(name string) string {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { reached <- name }))
				t.Cleanup(server.Close)
				return strings.TrimPrefix(server.URL, "http://")
			}
			addresses := []string{newServer("first"), newServer("second")}
			f := newFixture(serving.NonIdempotent, addresses...)
			dialed := ""
			pool := upstream.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
				if dialed == "" {
					dialed = address
					closing(f, address)
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			})
			f.change(false, func(o *forward.Options) { o.Transport = pool }, func(*serving.Route) {})
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
			g.Expect(reached).To(gomega.HaveLen(1))
			g.Expect(<-reached == "first").To(gomega.Equal(dialed == addresses[1]))
		})
	}
}

// Guards against a request that is repeated at a server which is closed.
func TestRequestIsNotRepeatedAtAClosedServer(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(serving.Idempotent, "a", "b")
			f.answer = func(server string) (*http.Response, error) {
				closing(f, map[string]string{"a": "b", "b": "a"}[server])
				return answerWith(http.StatusServiceUnavailable, ""), nil
			}
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(f.sent).To(gomega.HaveLen(1))
		})
	}
}

// Guards against a stream that is resumed at a server which is closed.
func TestStreamIsNotResumedAtAClosedServer(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newFixture(serving.Stream, "a", "b")
			f.change(false, func(o *forward.Options) { o.Origins = noOrigins{} }, func(r *serving.Route) { r.Resumable = true })
			f.answer = func(server string) (*http.Response, error) {
				closing(f, map[string]string{"a": "b", "b": "a"}[server])
				broken := answerWith(http.StatusOK, "")
				broken.Header.Set("Content-Type", "text/event-stream")
				broken.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failingReader{}))
				return broken, nil
			}
			g.Expect(func() { f.call() }).To(gomega.PanicWith(gomega.MatchError(http.ErrAbortHandler)))
			g.Expect(f.sent).To(gomega.HaveLen(1))
		})
	}
}

// Guards against a node that passes requests of others on to a server which is closed.
func TestHandedOverRequestIsNotSentToAClosedServer(t *testing.T) {
	for name, closing := range closings {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			other := newFixture(serving.NonIdempotent, "a", "b")
			closing(other, "a")
			f := newFixture(serving.NonIdempotent, "a", "b")
			f.cutOff(&fakePeers{nodes: []string{other.servePeers(t)}}, http.DefaultTransport, "a", "b")
			for range 10 {
				g.Expect(f.callWithID("r1").Code).To(gomega.Equal(http.StatusOK))
			}
			g.Expect(other.sent).To(gomega.HaveLen(10))
			g.Expect(other.sent).NotTo(gomega.ContainElement("a"))
		})
	}
}

// Guards against requests that are refused while a server that has just said that it leaves is the only one, and against a
// choice of it while there is another one.
func TestServerThatHasJustSaidThatItLeavesServesWhatNoOtherCan(t *testing.T) {
	for _, engine := range []bool{false, true} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a", "b")
		f.change(engine, func(o *forward.Options) { o.Gate = gateFunc(func(string) {}) }, func(*serving.Route) {})
		f.saysLeaving("a", time.Now())
		for range 10 {
			f.publishAll("a", "b")
			g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
		}
		g.Expect(f.sent).NotTo(gomega.ContainElement("a"))
		f.publishAll("a", "b")
		f.saysLeaving("b", time.Now().Add(-time.Minute))
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusOK))
		g.Expect(f.sent[10:]).To(gomega.Equal([]string{"a"}))
		f.saysLeaving("a", time.Now().Add(-time.Minute))
		begun := time.Now()
		g.Expect(f.call().Code).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond))
		g.Expect(f.sent).To(gomega.HaveLen(11))
	}
}

// noticeWire is wire with notices in the headers "Leaving" and "Rest".
type noticeWire struct{ wire }

func (noticeWire) DecodeAnswer(answer *http.Response) serving.AnswerInfo {
	info := wire{}.DecodeAnswer(answer)
	info.NotRun = info.NotRun && answer.Header.Get("Unmarked") == ""
	info.Notice.Leaving = answer.Header.Get("Leaving") != ""
	if answer.Header.Get("Rest") != "" {
		info.Notice.Rest = time.Minute
	}
	return info
}

// Guards against a server that leaves by an answer that is broken or not its own.
func TestOnlyAnswersThatArePassedOnSayThatAServerLeaves(t *testing.T) {
	answers := map[string]struct {
		answer func() *http.Response
		heard  bool
	}{
		"whole":     {func() *http.Response { return answerWith(http.StatusOK, "body") }, true},
		"rejection": {func() *http.Response { return answerWith(http.StatusServiceUnavailable, "") }, true},
		"broken off": {func() *http.Response {
			broken := answerWith(http.StatusOK, "")
			broken.ContentLength, broken.Body = 10, io.NopCloser(io.MultiReader(strings.NewReader("b"), failingReader{}))
			return broken
		}, false},
		"rejection of another request": {func() *http.Response {
			foreign := answerWith(http.StatusServiceUnavailable, "")
			foreign.Header.Set("Id", "r2")
			return foreign
		}, false},
		"without digest": {func() *http.Response {
			odd := answerWith(http.StatusOK, "body")
			odd.Header.Set("No-Digest", "1")
			return odd
		}, false},
	}
	for name, c := range answers {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a")
		f.change(false, func(o *forward.Options) { o.Wire = noticeWire{} }, func(*serving.Route) {})
		f.answer = func(string) (*http.Response, error) {
			answer := c.answer()
			answer.Header.Set("Leaving", "1")
			return answer, nil
		}
		f.callWithID("r1")
		heard := false
		for _, notice := range f.limits.observed {
			heard = heard || notice.Leaving
		}
		g.Expect(heard).To(gomega.Equal(c.heard), name)
	}
}

// retryAfterOf returns the time that a refusal names.
func retryAfterOf(g *gomega.WithT, refusal *httptest.ResponseRecorder) time.Duration {
	retryAfter, err := time.ParseDuration(refusal.Header().Get("Retry-After"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return retryAfter
}

// Guards against callers that wait, or come back too early, while all servers rest, and against a repeat at one that has just
// asked for rest.
func TestRefusalNamesTheEndOfTheFirstRest(t *testing.T) {
	for _, engine := range []bool{false, true} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a", "b")
		f.change(engine, func(o *forward.Options) { o.Gate = gateFunc(func(string) {}) }, func(*serving.Route) {})
		f.publishAll("a", "b")
		f.asksForRest("a", 30*time.Second)
		f.answer = func(server string) (*http.Response, error) {
			f.asksForRest(server, 20*time.Second)
			return answerWith(http.StatusServiceUnavailable, ""), nil
		}
		for _, sent := range []int{1, 1} {
			begun := time.Now()
			refusal := f.call()
			g.Expect(refusal.Code).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 100*time.Millisecond))
			g.Expect(retryAfterOf(g, refusal)).To(gomega.BeNumerically("~", 21500*time.Millisecond, 1600*time.Millisecond))
			g.Expect(f.sent).To(gomega.HaveLen(sent))
		}
	}
}

// Guards against a rest that is taken from the answer to another request, and against one that isn't heard because the server
// doesn't state that the request hasn't run.
func TestOnlyOwnAnswersAskForRest(t *testing.T) {
	for name, c := range map[string]struct {
		header map[string]string
		heard  bool
	}{
		"marked": {nil, true}, "unmarked": {map[string]string{"Unmarked": "1"}, true},
		"neither marked nor signed": {map[string]string{"Unmarked": "1", "No-Digest": "1"}, true},
		"of another request":        {map[string]string{"Id": "r2"}, false},
	} {
		g := gomega.NewWithT(t)
		f := newFixture(serving.NonIdempotent, "a")
		f.change(false, func(o *forward.Options) { o.Wire = noticeWire{} }, func(*serving.Route) {})
		f.answer = func(string) (*http.Response, error) {
			answer := answerWith(http.StatusServiceUnavailable, "")
			answer.Header.Set("Rest", "1")
			for key, value := range c.header {
				answer.Header.Set(key, value)
			}
			return answer, nil
		}
		f.callWithID("r1")
		g.Expect(f.limits.observed).To(gomega.HaveLen(1), name)
		g.Expect(f.limits.observed[0].Rest > 0).To(gomega.Equal(c.heard), name)
	}
}

// Guards against a refusal that names another time than the end of the rest because no repeat is allowed.
func TestRefusalWithoutARepeatNamesTheEndOfTheRest(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.change(false, func(o *forward.Options) {
		o.RetryBudget = retrybudget.Options{Window: 10 * time.Second}
	}, func(*serving.Route) {})
	f.answer = func(server string) (*http.Response, error) {
		f.asksForRest(server, 20*time.Second)
		return answerWith(http.StatusServiceUnavailable, ""), nil
	}
	g.Expect(retryAfterOf(g, f.call())).To(gomega.BeNumerically("~", 21500*time.Millisecond, 1600*time.Millisecond))
}

// Guards against what a server says while it goes on with a stream, which nobody hears.
func TestResumedStreamSaysThatItsServerLeaves(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.Stream, "a", "b")
	f.change(false, func(o *forward.Options) { o.Origins, o.Wire = noOrigins{}, noticeWire{} }, func(r *serving.Route) {
		r.Resumable = true
	})
	f.answer = func(string) (*http.Response, error) {
		answer := answerWith(http.StatusOK, "id: 2\ndata: y\n\n")
		answer.Header.Set("Content-Type", "text/event-stream")
		if len(f.sent) == 1 {
			answer.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failingReader{}))
			return answer, nil
		}
		answer.Header.Set("Leaving", "1")
		return answer, nil
	}
	g.Expect(f.callWithID("r1").Code).To(gomega.Equal(http.StatusOK))
	g.Expect(f.limits.observed).To(gomega.HaveLen(2))
	g.Expect(f.limits.observed[1].Leaving).To(gomega.BeTrue())
}
