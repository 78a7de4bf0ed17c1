package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/ledger"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

func TestGateway(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	ginkgo.RunSpecs(t, "gateway")
}

var _ = ginkgo.Describe("a model call", func() {
	// Guards against an answer that names the load instead of the adapter, and against a wrong Content-Length.
	ginkgo.It("runs on the load and is answered with the caller's model name", func() {
		f := newFixture(nil)
		engine := newBackend(answerCompletion)
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		a := f.complete("")
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(a.body).To(gomega.Equal(`{"id":"x","model":"draft","choices":[{"text":"abc"}]}`))
		gomega.Expect(a.header.Get("Content-Length")).To(gomega.Equal(fmt.Sprint(len(a.body))))
		gomega.Expect(engine.bodies[0]).To(gomega.ContainSubstring(`"model":"draft@v1#5"`))
		gomega.Expect(engine.headers[0].Get("X-Priority")).To(gomega.Equal("1"))
		found := f.server.recorder.Find(a.header.Get("X-Request-Id"))
		gomega.Expect(found).NotTo(gomega.BeEmpty())
		gomega.Expect(found[len(found)-1].Choice).To(gomega.Equal("s1"))
	})

	// Guards against missing or reordered tokens, and against a stream without [DONE].
	ginkgo.It("streams all tokens up to [DONE]", func() {
		f := newFixture(nil)
		f.scheduler.grant(serverWithLoad("s1", newBackend(answerCompletion), 5))
		a := f.complete(`,"stream":true`)
		gomega.Expect(a.err).NotTo(gomega.HaveOccurred())
		gomega.Expect(a.body).To(gomega.Equal("id: 1\ndata: {\"model\":\"draft\",\"choices\":[{\"text\":\"a\"}]}\n\n" +
			"id: 2\ndata: {\"model\":\"draft\",\"choices\":[{\"text\":\"b\"}]}\n\n" +
			"id: 3\ndata: {\"model\":\"draft\",\"choices\":[{\"text\":\"c\"}]}\n\ndata: [DONE]\n\n"))
	})

	ginkgo.It("waits for a load, is reported as demand, and runs when the load is resident", func() {
		f := newFixture(nil)
		engine := newBackend(answerCompletion)
		f.scheduler.grant()
		answers := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete("")
		}()
		gomega.Eventually(func() uint32 {
			waiting := uint32(0)
			for _, d := range (<-f.scheduler.demand).Demand {
				waiting += d.Waiting
			}
			return waiting
		}).Should(gomega.Equal(uint32(1)))
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		var a callerAnswer
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
	})

	ginkgo.It("is rejected as not run at its deadline", func() {
		f := newFixture(nil)
		a := f.complete("", "Waxwing-Deadline-Ms", "30")
		gomega.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(a.detail.Error.Code).To(gomega.Equal("wait_ended"))
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
		gomega.Expect(a.detail.Error.RetryAfterMs).To(gomega.BeNumerically(">", 0))
		gomega.Expect(a.detail.Error.RequestID).To(gomega.Equal(a.header.Get("X-Request-Id")))
	})

	// Guards against a retry of the request on a server that no longer holds the load.
	ginkgo.It("is tried elsewhere when it's known not to have run", func() {
		f := newFixture(func(s *Settings) { s.ZoneWeight = 100 })
		restarted, healthy := newBackend(refuseNotLoaded), newBackend(answerCompletion)
		remote := serverWithLoad("s2", healthy, 6)
		remote.Zone = "y"
		f.scheduler.grant(serverWithLoad("s1", restarted, 5), remote)
		a := f.complete("")
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(restarted.runs()).To(gomega.Equal(1))
		gomega.Expect(healthy.runs()).To(gomega.Equal(1))
	})

	// Property P4: a request whose first attempt may have run must not be answered as not run, whatever its retry
	// results in.
	ginkgo.It("is not called not run after an attempt that may have run", func() {
		f := newFixture(nil)
		engine := newBackend(dropConnection)
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		gomega.Eventually(f.gateway.Ready).Should(gomega.Succeed())
		a := f.complete("", "Waxwing-Deadline-Ms", "500")
		gomega.Expect(a.detail.Error.Code).To(gomega.Equal("wait_ended"))
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("unknown"))
		gomega.Expect(engine.runs()).To(gomega.Equal(1))
	})

	// Property P3: a caller must be able to tell a truncated answer from a complete one.
	ginkgo.It("ends a broken stream with an error event and an aborted connection", func() {
		f := newFixture(nil)
		f.scheduler.grant(serverWithLoad("s1", newBackend(func(w http.ResponseWriter, r *http.Request, _ []byte) {
			if strings.HasPrefix(r.URL.Path, "/v1/requests/") {
				http.NotFound(w, r)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: {\"model\":\"draft@v1#5\"}\n\n")
		}), 5))
		a := f.complete(`,"stream":true`)
		gomega.Expect(a.err).To(gomega.HaveOccurred())
		gomega.Expect(a.body).To(gomega.ContainSubstring("event: error\ndata: {\"error\":{\"code\":\"answer_broken\""))
		gomega.Expect(a.body).NotTo(gomega.ContainSubstring("[DONE]"))
	})
})

var _ = ginkgo.Describe("a non-idempotent model call", func() {
	headers := []string{"Waxwing-Idempotent", "false", "Idempotency-Key", "k1"}
	key := hashKey("k1", "/v1/completions draft")

	ginkgo.It("runs once and its retries get the recorded answer", func() {
		f := newFixture(nil)
		engine := newBackend(answerCompletion)
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		first := f.complete("", headers...)
		retried := f.complete("", headers...)
		gomega.Expect(retried.body).To(gomega.Equal(first.body))
		gomega.Expect(retried.header.Get("Waxwing-Replayed")).To(gomega.Equal("true"))
		streamed := []string{"Waxwing-Idempotent", "false", "Idempotency-Key", "k2"}
		first, retried = f.complete(`,"stream":true`, streamed...), f.complete(`,"stream":true`, streamed...)
		gomega.Expect(retried.body).To(gomega.Equal(first.body))
		gomega.Expect(engine.runs()).To(gomega.Equal(2))
	})

	ginkgo.DescribeTable("is never run again unless it's known not to have run",
		func(answer func(http.ResponseWriter, *http.Request, []byte), execution string, status int, stateAfter ledger.State) {
			f := newFixture(nil)
			engine, other := newBackend(answer), newBackend(answer)
			f.scheduler.grant(serverWithLoad("s1", engine, 5), serverWithLoad("s2", other, 6))
			a := f.complete("", headers...)
			gomega.Expect(a.status).To(gomega.Equal(status))
			gomega.Expect(a.detail.Error.Execution).To(gomega.Equal(execution))
			gomega.Expect(engine.runs() + other.runs()).To(gomega.Equal(1))
			gomega.Expect(f.claims.state(key)).To(gomega.Equal(stateAfter))
		},
		ginkgo.Entry("not loaded", refuseNotLoaded, "not_run", http.StatusServiceUnavailable, ledger.State(0)),
		ginkgo.Entry("connection closed", dropConnection, "unknown", http.StatusBadGateway, ledger.Unknown),
		ginkgo.Entry("engine error", func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, "unknown", http.StatusServiceUnavailable, ledger.Completed),
	)

	ginkgo.It("releases its claim when it's rejected", func() {
		f := newFixture(nil)
		a := f.complete("", append([]string{"Waxwing-Deadline-Ms", "20"}, headers...)...)
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
		gomega.Expect(f.claims.released).To(gomega.Equal(1))
	})

	ginkgo.DescribeTable("is answered by the state of its key",
		func(verdict ledger.Verdict, status int, code, execution string) {
			f := newFixture(nil)
			f.claims.states[key] = verdict
			a := f.complete("", headers...)
			gomega.Expect(a.status).To(gomega.Equal(status))
			gomega.Expect(a.detail.Error.Code).To(gomega.Equal(code))
			gomega.Expect(a.detail.Error.Execution).To(gomega.Equal(execution))
		},
		ginkgo.Entry("in progress", ledger.Verdict{State: ledger.InProgress, RetryAfter: time.Second}, 409, "in_progress", "unknown"),
		ginkgo.Entry("unknown", ledger.Verdict{State: ledger.Unknown}, 409, "outcome_unknown", "unknown"),
		ginkgo.Entry("expired", ledger.Verdict{State: ledger.Expired}, 400, "idempotency_key_expired", "not_run"),
		ginkgo.Entry("log unavailable", ledger.Verdict{State: ledger.Unavailable}, 503, "claim_unavailable", "not_run"),
		ginkgo.Entry("result no longer held", ledger.Verdict{State: ledger.Completed, Outcome: ledger.Outcome{Status: 200, BodyDropped: true}},
			410, "result_no_longer_held", "ran"),
	)

	// Property P5; also guards against a load that is evicted while the request still runs.
	ginkgo.It("runs to its end and is recorded when its caller goes away", func() {
		f := newFixture(nil)
		reached, finish := make(chan struct{}), make(chan struct{})
		f.scheduler.grant(serverWithLoad("s1", newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			close(reached)
			<-finish
			answerCompletion(w, r, body)
		}), 5))
		ctx, disconnect := context.WithCancel(context.Background())
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/v1/completions",
			strings.NewReader(`{"model":"draft","prompt":"p"}`))
		request.Header = http.Header{"Waxwing-Idempotent": {"false"}, "Idempotency-Key": {"k1"}}
		left := make(chan error, 1)
		go func() {
			_, err := http.DefaultTransport.RoundTrip(request)
			left <- err
		}()
		gomega.Eventually(reached).Should(gomega.BeClosed())
		disconnect()
		gomega.Eventually(left).Should(gomega.Receive(gomega.HaveOccurred()))
		gomega.Expect(f.claims.state(key)).To(gomega.Equal(ledger.InProgress))
		close(finish)
		gomega.Eventually(func() ledger.State { return f.claims.state(key) }).Should(gomega.Equal(ledger.Completed))
	})
})

var _ = ginkgo.Describe("a call of a plain service", func() {
	newService := func(f *fixture, backends ...*backend) {
		service := &resource.Service{Spec: resource.ServiceSpec{NonIdempotent: []resource.ServiceCall{{Method: "POST", PathPrefix: "/save"}}}}
		for i, b := range backends {
			service.Spec.Endpoints = append(service.Spec.Endpoints, resource.ServiceEndpoint{Zone: []string{"z", "y"}[i], Address: b.address()})
		}
		f.config.view.Services["drafts"] = service
	}
	ok := func(w http.ResponseWriter, r *http.Request, body []byte) {
		w.Header().Set("X-Kind", "draft")
		fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.RequestURI(), body)
	}

	ginkgo.It("is forwarded with its path, query, body and headers", func() {
		f := newFixture(nil)
		service := newBackend(ok)
		newService(f, service)
		a := f.send(http.MethodPut, "/services/drafts/a%2Fb/c?x=1&y=%20", "text", "X-Own", "1", "Waxwing-Priority", "urgent")
		gomega.Expect(a.body).To(gomega.Equal("PUT /a%2Fb/c?x=1&y=%20 text"))
		gomega.Expect(a.header.Get("X-Kind")).To(gomega.Equal("draft"))
		gomega.Expect(service.headers[0].Get("X-Own")).To(gomega.Equal("1"))
		gomega.Expect(service.headers[0]).NotTo(gomega.HaveKey("Waxwing-Priority"))
	})

	ginkgo.It("that is declared non-idempotent needs a key, whatever its caller says, and runs once", func() {
		f := newFixture(nil)
		service := newBackend(ok)
		newService(f, service)
		a := f.send(http.MethodPost, "/services/drafts/save/1", "x", "Waxwing-Idempotent", "true")
		gomega.Expect(a.status).To(gomega.Equal(http.StatusBadRequest))
		gomega.Expect(a.detail.Error.Code).To(gomega.Equal("idempotency_key_required"))
		for range 3 {
			a = f.send(http.MethodPost, "/services/drafts/%73ave/1", "x", "Idempotency-Key", "k")
			gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		}
		gomega.Expect(service.runs()).To(gomega.Equal(1))
		gomega.Expect(service.headers[0]).NotTo(gomega.HaveKey("Idempotency-Key"))
	})

	ginkgo.It("is tried at another endpoint only when it's idempotent", func() {
		f := newFixture(nil)
		closed, healthy := newBackend(ok), newBackend(ok)
		newService(f, closed, healthy)
		closed.server.Close()
		gomega.Expect(f.send(http.MethodGet, "/services/drafts/x", "").status).To(gomega.Equal(http.StatusOK))
		a := f.send(http.MethodPost, "/services/drafts/save", "x", "Idempotency-Key", "k")
		gomega.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
		gomega.Expect(f.claims.released).To(gomega.Equal(1))
		gomega.Expect(healthy.runs()).To(gomega.Equal(1))
	})
})

func manyFields() string {
	var fields strings.Builder
	for i := range 300 {
		fmt.Fprintf(&fields, `"f%d":0,`, i)
	}
	return fields.String()
}

var _ = ginkgo.Describe("malformed input", func() {
	ginkgo.DescribeTable("gets a clear 4xx and reaches no backend server",
		func(method, path, body string, status int, code string, headers ...string) {
			f := newFixture(func(s *Settings) { s.MaximumBodyBytes = 1 << 13 })
			engine := newBackend(answerCompletion)
			f.scheduler.grant(serverWithLoad("s1", engine, 5))
			a := f.send(method, path, body, headers...)
			gomega.Expect(a.status).To(gomega.Equal(status))
			gomega.Expect(a.detail.Error.Code).To(gomega.Equal(code))
			gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
			gomega.Expect(engine.runs()).To(gomega.BeZero())
		},
		ginkgo.Entry("no JSON", "POST", "/v1/completions", `{"model":`, 400, "invalid_request"),
		ginkgo.Entry("trailing data", "POST", "/v1/completions", `{"model":"draft","prompt":"p"}{}`, 400, "invalid_request"),
		ginkgo.Entry("two models", "POST", "/v1/completions", `{"model":"draft","model":"x","prompt":"p"}`, 400, "invalid_request"),
		ginkgo.Entry("too many fields", "POST", "/v1/completions", `{`+manyFields()+`"model":"draft","prompt":"p"}`, 400, "invalid_request"),
		ginkgo.Entry("no model", "POST", "/v1/completions", `{"prompt":"p"}`, 400, "invalid_request"),
		ginkgo.Entry("a load's name", "POST", "/v1/completions", `{"model":"draft@v1#5","prompt":"p"}`, 400, "invalid_request"),
		ginkgo.Entry("no prompt", "POST", "/v1/completions", `{"model":"draft"}`, 400, "invalid_request"),
		ginkgo.Entry("no messages", "POST", "/v1/chat/completions", `{"model":"draft","prompt":"p"}`, 400, "invalid_request"),
		ginkgo.Entry("stream no bool", "POST", "/v1/completions", `{"model":"draft","prompt":"p","stream":1}`, 400, "invalid_request"),
		ginkgo.Entry("too large", "POST", "/v1/completions", `{"prompt":"`+strings.Repeat("x", 1<<13)+`"}`, 413, "body_too_large"),
		ginkgo.Entry("unknown adapter", "POST", "/v1/completions", `{"model":"x","prompt":"p"}`, 404, "adapter_not_found"),
		ginkgo.Entry("unknown version", "POST", "/v1/completions", `{"model":"draft@v9","prompt":"p"}`, 404, "version_not_found"),
		ginkgo.Entry("unknown class", "POST", "/v1/completions", `{"model":"draft","prompt":"p"}`, 400, "unknown_priority", "Waxwing-Priority", "x"),
		ginkgo.Entry("bad deadline", "POST", "/v1/completions", `{"model":"draft","prompt":"p"}`, 400, "invalid_header", "Waxwing-Deadline-Ms", "-1"),
		ginkgo.Entry("bad idempotency header", "POST", "/v1/completions", `{"model":"draft","prompt":"p"}`, 400, "invalid_header", "Waxwing-Idempotent", "no"),
		ginkgo.Entry("no key", "POST", "/v1/completions", `{"model":"draft","prompt":"p"}`, 400, "idempotency_key_required", "Waxwing-Idempotent", "false"),
		ginkgo.Entry("media type", "POST", "/v1/completions", `{}`, 415, "unsupported_media_type", "Content-Type", "text/plain"),
		ginkgo.Entry("method", "GET", "/v1/completions", "", 405, "method_not_allowed"),
		ginkgo.Entry("path", "GET", "/v2", "", 404, "not_found"),
		ginkgo.Entry("dot segments", "POST", "/services/drafts/x/%2e%2e/save", "", 400, "invalid_path"),
		ginkgo.Entry("unknown service", "GET", "/services/x/y", "", 404, "service_not_found"),
		ginkgo.Entry("page size", "GET", "/v1/models?limit=0", "", 400, "invalid_request"),
	)

	// Guards against callers that occupy connections without ever sending their body.
	ginkgo.It("that never ends is rejected after the body timeout", func() {
		f := newFixture(func(s *Settings) { s.BodyTimeout = settings.Duration(50 * time.Millisecond) })
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
		fmt.Fprint(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(response.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	})
})

var _ = ginkgo.Describe("the gateway", func() {
	ginkgo.It("lists the adapters in pages", func() {
		f := newFixture(nil)
		for _, name := range []string{"a", "b"} {
			f.config.view.Adapters[name] = &resource.Adapter{}
		}
		gomega.Expect(f.send("GET", "/v1/models?limit=2", "").body).To(gomega.ContainSubstring(`"has_more":true`))
		a := f.send("GET", "/v1/models?limit=2&after=b", "")
		gomega.Expect(a.body).To(gomega.ContainSubstring(`"id":"draft"`))
		gomega.Expect(a.body).To(gomega.ContainSubstring(`"has_more":false`))
	})

	ginkgo.It("is ready only with configuration and permits, and not while it stops", func() {
		f := newFixture(nil)
		gomega.Expect(f.gateway.Ready()).To(gomega.MatchError(gomega.ContainSubstring("permits")))
		f.scheduler.grant(serverWithLoad("s1", newBackend(answerCompletion), 5))
		gomega.Eventually(f.gateway.Ready).Should(gomega.Succeed())
		f.gateway.BeginShutdown()
		gomega.Expect(f.gateway.Ready()).To(gomega.MatchError(gomega.ContainSubstring("shutting down")))
		gomega.Expect(f.complete("").status).To(gomega.Equal(http.StatusOK), "requests are served during the announce period")
	})

	ginkgo.It("answers queued requests when they can no longer wait for the shutdown", func() {
		f := newFixture(nil)
		answers := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete("")
		}()
		gomega.Eventually(func() int { return len(f.gateway.Report(time.Now()).Waiting) }).Should(gomega.Equal(1))
		f.gateway.RejectQueued()
		var a callerAnswer
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.detail.Error.Code).To(gomega.Equal("stopping"))
	})
})
