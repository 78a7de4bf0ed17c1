package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

var _ = ginkgo.Describe("the process", func() {
	// Property P7: a planned stop interrupts no stream. Readiness fails first, so that the load balancer removes the
	// gateway; the ledger is drained and the schedulers are notified last.
	ginkgo.It("shuts down without cutting off a stream", func() {
		f := newFixture(nil)
		finish := make(chan struct{})
		f.scheduler.grant(serverWithLoad("s1", newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			<-finish
			answerCompletion(w, r, body)
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
		answers := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete(`,"stream":true`)
		}()
		gomega.Eventually(f.gateway.inProgress.Load).Should(gomega.Equal(int64(1)))
		f.stop()
		gomega.Eventually(ready).Should(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Consistently(f.claims.drained, "100ms").ShouldNot(gomega.BeClosed(), "the ledger is drained after the streams")
		close(finish)
		var a callerAnswer
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.body).To(gomega.HaveSuffix("data: [DONE]\n\n"))
		gomega.Eventually(f.ended, "5s").Should(gomega.Receive(gomega.BeNil()))
		gomega.Expect(f.claims.drained).To(gomega.BeClosed())
		gomega.Expect(f.scheduler.left).To(gomega.BeClosed())
	})
})

// TestRunFailsOnAddressInUse guards against a process that continues to run without one of its endpoints.
func TestRunFailsOnAddressInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	inUse, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = inUse.Close() }()
	s := DefaultSettings()
	s.Listen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", inUse.Addr().String()
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

// FuzzModelCall guards against a request that runs on another adapter than the one that its body names.
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
				t.Fatalf("rejected with status %d", p.status)
			}
			return
		}
		var reference map[string]any
		if err := json.Unmarshal(body, &reference); err != nil {
			t.Fatalf("accepted a body that is no JSON object: %v", err)
		}
		if reference["model"] != parsed.model || strings.Contains(parsed.model, "#") || parsed.adapter == "" {
			t.Fatalf("parsed the model %q as %q", reference["model"], parsed.model)
		}
		sent := (&call{body: body, model: parsed.model, modelField: parsed.field}).attemptBody("load@1#2")
		if err := json.Unmarshal(sent, &reference); err != nil || reference["model"] != "load@1#2" {
			t.Fatalf("the body for the engine names %q (%v)", reference["model"], err)
		}
	})
}

// BenchmarkCall measures a complete model call through the handler to an engine that answers immediately.
func BenchmarkCall(b *testing.B) {
	gomega.RegisterTestingT(b)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"model":"draft@v1#5","choices":[]}`)
	}))
	defer engine.Close()
	f := startFixture(b.Cleanup, nil)
	f.scheduler.grant(serverWithLoad("s1", &backend{server: engine}, 5))
	gomega.Eventually(f.gateway.Ready).Should(gomega.Succeed())
	b.ReportAllocs()
	for b.Loop() {
		if a := f.complete(""); a.status != http.StatusOK {
			b.Fatal(a.body)
		}
	}
}

var _ = ginkgo.Describe("under load", func() {
	// Properties P1 and P2 over the network: while callers send requests, loads are closed, acknowledged and replaced.
	// No request may reach a load after its closing was acknowledged.
	ginkgo.It("never sends to a load whose closing it has acknowledged", func() {
		f := newFixture(nil)
		var evicted sync.Map
		var violations, served atomic.Int64
		engine := newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			var requested struct{ Model string }
			_ = json.Unmarshal(body, &requested)
			if _, isEvicted := evicted.Load(requested.Model); isEvicted {
				violations.Add(1)
			}
			served.Add(1)
			answerCompletion(w, r, body)
		})
		const rounds = 20
		f.scheduler.grant(serverWithLoad("s1", engine, 1))
		var callers sync.WaitGroup
		var stop atomic.Bool
		for i := range 8 {
			callers.Go(func() {
				defer ginkgo.GinkgoRecover()
				for !stop.Load() {
					a := f.complete([]string{"", `,"stream":true`}[i%2])
					gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
					gomega.Expect(strings.Contains(a.body, "#")).To(gomega.BeFalse())
				}
			})
		}
		for load := uint64(1); load <= rounds; load++ {
			servedBefore := served.Load()
			gomega.Eventually(served.Load).Should(gomega.BeNumerically(">", servedBefore+20))
			closing := serverWithLoad("s1", engine, load)
			closing.Loads[0].State = peerpb.LoadState_CLOSING
			f.scheduler.grant(closing)
			gomega.Eventually(func() []uint64 { return (<-f.scheduler.demand).ClosedLoads }, "5s").Should(gomega.ContainElement(load))
			evicted.Store(closing.Loads[0].Name, true)
			f.scheduler.grant(serverWithLoad("s1", engine, load+1))
		}
		stop.Store(true)
		callers.Wait()
		gomega.Expect(violations.Load()).To(gomega.BeZero())
	})
})
