package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/settings"
)

var _ = ginkgo.Describe("the process", func() {
	// Guards P7: a planned stop cuts off no stream, the load balancer is told first, and the ledger and the
	// schedulers are told last.
	ginkgo.It("shuts down without cutting off a stream", func() {
		f := newFixture(func(s *Settings) { s.StreamSilence = settings.Duration(time.Minute) })
		finish := make(chan struct{})
		f.scheduler.grant(serverWith("s1", newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			<-finish
			answerWell(w, r, body)
		}), 5))
		ready := func() int {
			response, err := http.Get(f.admin + "/readyz")
			if err != nil {
				return 0
			}
			_ = response.Body.Close()
			return response.StatusCode
		}
		gomega.Eventually(ready).Should(gomega.Equal(http.StatusOK))
		answers := make(chan answered, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete(`,"stream":true`)
		}()
		gomega.Eventually(f.gateway.inProgress.Load).Should(gomega.Equal(int64(1)))
		f.stop()
		gomega.Eventually(ready).Should(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Consistently(f.claims.drained, "100ms").ShouldNot(gomega.BeClosed(), "the ledger is drained after the streams")
		close(finish)
		var a answered
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.body).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		gomega.Eventually(f.ended, "5s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(f.claims.drained).To(gomega.BeClosed())
		gomega.Expect(f.scheduler.left).To(gomega.BeClosed())
	})
})

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

// BenchmarkCall measures a whole model call through the handler to an engine that answers at once.
func BenchmarkCall(b *testing.B) {
	gomega.RegisterTestingT(b)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"model":"draft@v1#5","choices":[]}`)
	}))
	defer engine.Close()
	f := startFixture(b.Cleanup, nil)
	f.scheduler.grant(serverWith("s1", &backend{server: engine}, 5))
	gomega.Eventually(f.gateway.Ready).Should(gomega.Succeed())
	b.ReportAllocs()
	for b.Loop() {
		if a := f.complete(""); a.status != http.StatusOK {
			b.Fatal(a.body)
		}
	}
}
