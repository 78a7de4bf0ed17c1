package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
	"waxwingcleat.example/waxwingcleat/internal/settings"
)

// slotEngine is an engine with one adapter slot. It runs only requests that name the load in the slot.
type slotEngine struct {
	mu   sync.Mutex
	load string
	ran  map[string]int
}

func newSlotEngine(load string) *slotEngine { return &slotEngine{load: load, ran: map[string]int{}} }

func (s *slotEngine) reload(load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load = load
}

func (s *slotEngine) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	var requested struct{ Model string }
	_ = json.Unmarshal(body, &requested)
	s.mu.Lock()
	resident := requested.Model == s.load
	if resident {
		s.ran[requested.Model]++
	}
	s.mu.Unlock()
	if !resident {
		refuseNotLoaded(w, r, body)
		return
	}
	answerCompletion(w, r, body)
}

// counts returns the number of requests that each load has run.
func (s *slotEngine) counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for load, count := range s.ran {
		counts[load] = count
	}
	return counts
}

// serverWithVersion returns permits for a server with one load of the given version of draft.
func serverWithVersion(name string, b *backend, version string, load uint64, state peerpb.LoadState) *peerpb.ServerPermits {
	permits := serverWithLoad(name, b, load)
	permits.Loads[0].Name = fmt.Sprintf("draft@%s#%d", version, load)
	permits.Loads[0].Version, permits.Loads[0].State = version, state
	return permits
}

var _ = ginkgo.Describe("a version", func() {
	// Property P1: guards against a request that runs on the new default version if the default changes while the
	// request is queued and its adapter is loading.
	ginkgo.It("stays the one in force at arrival when the default changes while the request waits for its load", func() {
		f := newFixture(nil)
		engine := newBackend(answerCompletion)
		f.scheduler.grant(serverWithVersion("s1", engine, "v1", 5, peerpb.LoadState_LOADING))
		first := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			first <- f.complete("")
		}()
		gomega.Eventually(func() []string {
			var waiting []string
			for _, d := range (<-f.scheduler.demand).Demand {
				if d.Waiting > 0 {
					waiting = append(waiting, d.Version)
				}
			}
			return waiting
		}, "10s").Should(gomega.Equal([]string{"v1"}))
		f.config.view.Adapters["draft"] = &resource.Adapter{Meta: resource.Meta{Name: "draft"}, Spec: resource.AdapterSpec{
			BaseModel: "base", DefaultVersion: "v2", Versions: []resource.AdapterVersion{{Name: "v1"}, {Name: "v2"}},
		}}
		loading := serverWithVersion("s1", engine, "v1", 5, peerpb.LoadState_LOADING)
		f.scheduler.grant(loading, serverWithVersion("s2", engine, "v2", 6, peerpb.LoadState_RESIDENT))
		// The second request proves that the gateway has the permit for v2, which the first one must not use.
		gomega.Expect(f.complete("").status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(first).NotTo(gomega.Receive())
		f.scheduler.grant(serverWithVersion("s1", engine, "v1", 5, peerpb.LoadState_RESIDENT))
		var a callerAnswer
		gomega.Eventually(first, "10s").Should(gomega.Receive(&a))
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(engine.bodies).To(gomega.HaveLen(2))
		gomega.Expect(engine.bodies[0]).To(gomega.ContainSubstring(`"model":"draft@v2#6"`))
		gomega.Expect(engine.bodies[1]).To(gomega.ContainSubstring(`"model":"draft@v1#5"`))
	})

	// Properties P1, P4 and P5: the engine restarts between decision and dispatch, and then holds no load, another
	// version or another load number. The request must not run on any load, is answered as not run, and its key can be
	// used again.
	ginkgo.DescribeTable("is never run on another load when the engine has restarted after the decision",
		func(loadAfterRestart string, headers ...string) {
			f := newFixture(nil)
			restarting := newSlotEngine("draft@v1#5")
			engine := newBackend(restarting.answer)
			f.scheduler.grant(serverWithLoad("s1", engine, 5))
			gomega.Eventually(f.gateway.Ready, "10s").Should(gomega.Succeed())
			restarting.reload(loadAfterRestart)
			a := f.complete("", append([]string{"Waxwing-Deadline-Ms", "300"}, headers...)...)
			gomega.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
			gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
			gomega.Expect(restarting.counts()).To(gomega.BeEmpty())
			restarting.reload("draft@v1#7")
			f.scheduler.grant(serverWithLoad("s1", engine, 7))
			gomega.Eventually(func() int { return f.complete("", headers...).status }, "10s").Should(gomega.Equal(http.StatusOK))
			gomega.Expect(restarting.counts()).To(gomega.Equal(map[string]int{"draft@v1#7": 1}))
		},
		ginkgo.Entry("empty, idempotent", ""),
		ginkgo.Entry("other version, idempotent", "draft@v2#6"),
		ginkgo.Entry("same version, later load, idempotent", "draft@v1#6"),
		ginkgo.Entry("empty, non-idempotent", "", "Waxwing-Idempotent", "false", "Idempotency-Key", "k1"),
		ginkgo.Entry("other version, non-idempotent", "draft@v2#6", "Waxwing-Idempotent", "false", "Idempotency-Key", "k1"),
	)

	// Guards against an unbounded number of unknown names that become demand, queue entries, or requests to an engine.
	ginkgo.It("that isn't declared is refused on arrival and leaves nothing behind", func() {
		f := newFixture(nil)
		engine := newBackend(answerCompletion)
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		gomega.Eventually(f.gateway.Ready, "10s").Should(gomega.Succeed())
		for i := range 200 {
			for _, model := range []string{fmt.Sprint("unknown-", i), fmt.Sprint("draft@unknown-", i)} {
				a := f.send(http.MethodPost, "/v1/completions", fmt.Sprintf(`{"model":%q,"prompt":"p"}`, model))
				gomega.Expect(a.status).To(gomega.Equal(http.StatusNotFound))
				gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
			}
		}
		f.complete("")
		gomega.Expect(engine.runs()).To(gomega.Equal(1))
		gomega.Expect(f.server.gateway.dispatcher.waiting(time.Now())).To(gomega.BeEmpty())
		for len(f.scheduler.demand) > 0 {
			for _, d := range (<-f.scheduler.demand).Demand {
				gomega.Expect(d.Adapter).To(gomega.Equal("draft"))
				gomega.Expect(d.Version).To(gomega.Equal("v1"))
			}
		}
	})
})

var _ = ginkgo.Describe("a closing", func() {
	// Property P2: guards against an acknowledgement that lets the owner evict a load while a request runs on it.
	ginkgo.It("is not acknowledged while a request runs on the load", func() {
		f := newFixture(nil)
		reached, finish := make(chan struct{}), make(chan struct{})
		engine := newBackend(func(w http.ResponseWriter, r *http.Request, body []byte) {
			close(reached)
			<-finish
			answerCompletion(w, r, body)
		})
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		answer := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answer <- f.complete("")
		}()
		gomega.Eventually(reached, "10s").Should(gomega.BeClosed())
		closing := serverWithLoad("s1", engine, 5)
		closing.Loads[0].State = peerpb.LoadState_CLOSING
		f.scheduler.grant(closing)
		f.scheduler.mu.Lock()
		version := f.scheduler.version
		f.scheduler.mu.Unlock()
		// A sync with this permits version shows that the gateway has received the closing.
		for seen := 0; seen < 2; {
			sync := <-f.scheduler.demand
			gomega.Expect(sync.ClosedLoads).To(gomega.BeEmpty())
			if sync.PermitsVersion == version {
				gomega.Expect(sync.InFlight).To(gomega.HaveLen(1))
				seen++
			}
		}
		close(finish)
		var a callerAnswer
		gomega.Eventually(answer, "10s").Should(gomega.Receive(&a))
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		gomega.Eventually(func() []uint64 { return (<-f.scheduler.demand).ClosedLoads }, "10s").Should(gomega.Equal([]uint64{5}))
	})
})

var _ = ginkgo.Describe("a planned stop", func() {
	// Properties P7 and P9: guards against a queued request whose connection is closed by the stop before it is
	// answered.
	ginkgo.It("answers a request that is still queued before the connections are closed", func() {
		f := newFixture(func(s *Settings) {
			s.AnnouncePeriod = settings.Duration(10 * time.Millisecond)
			s.ShutdownTimeout = settings.Duration(3 * time.Second)
		})
		answers := make(chan callerAnswer, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete("")
		}()
		gomega.Eventually(func() int { return len(f.gateway.Report(time.Now()).Waiting) }, "10s").Should(gomega.Equal(1))
		f.stop()
		var a callerAnswer
		gomega.Eventually(answers, "20s").Should(gomega.Receive(&a))
		gomega.Expect(a.status).To(gomega.Equal(http.StatusServiceUnavailable))
		gomega.Expect(a.detail.Error.Code).To(gomega.Equal("stopping"))
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
		gomega.Eventually(f.ended, "20s").Should(gomega.BeClosed())
	})
})
