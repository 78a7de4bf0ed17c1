package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/decision"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/resource"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// emptyPermits has no loads and counts the requested syncs.
type emptyPermits struct {
	Permits
	syncTriggers int
}

func (p *emptyPermits) Gather(_ routing.Target, candidates []routing.Candidate) []routing.Candidate {
	return candidates[:0]
}

func (p *emptyPermits) TriggerSync() { p.syncTriggers++ }

var _ = ginkgo.Describe("a class with a batch window", func() {
	var f *fixture
	var engine *backend
	var answers chan callerAnswer
	send := func() {
		go func() {
			defer ginkgo.GinkgoRecover()
			answers <- f.complete("", headerPriority, "drafts")
		}()
	}
	waiting := func() int {
		count := 0
		for _, w := range f.gateway.Report(time.Now()).Waiting {
			count += w.Count
		}
		return count
	}
	ginkgo.BeforeEach(func() {
		f = newFixture(func(s *Settings) { s.StallWeight = 0 })
		drafts := &resource.PriorityClass{Meta: resource.Meta{Name: "drafts"}, Spec: resource.PriorityClassSpec{
			Rank: 1, QueueLimit: 10, MaximumWaitMs: 3_600_000, BatchWindowMs: 60_000, GatherSize: 2,
		}}
		now := &resource.PriorityClass{Meta: resource.Meta{Name: "now"}, Spec: resource.PriorityClassSpec{
			Rank: 2, QueueLimit: 10, MaximumWaitMs: 60_000,
		}}
		f.config.view.PriorityClasses = map[string]*resource.PriorityClass{"drafts": drafts, "now": now}
		engine = newBackend(answerCompletion)
		f.scheduler.grant(serverWithLoad("s1", engine, 5))
		gomega.Eventually(f.gateway.Ready).Should(gomega.Succeed())
		answers = make(chan callerAnswer, 2)
		send()
		gomega.Eventually(waiting).Should(gomega.Equal(1))
	})

	// Guards against requests that are dispatched before their batch is full, and against ones that stay queued after
	// it is.
	ginkgo.It("is held until enough requests wait, and delays no class without a window", func() {
		gomega.Expect(f.complete("", headerPriority, "now").status).To(gomega.Equal(http.StatusOK))
		gomega.Expect(waiting()).To(gomega.Equal(1))
		gomega.Expect(engine.runs()).To(gomega.Equal(1))
		send()
		for range 2 {
			var a callerAnswer
			gomega.Eventually(answers).Should(gomega.Receive(&a))
			gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
		}
	})

	// Guards against a shutdown that waits for a batch window.
	ginkgo.It("is released when the gateway announces its stop", func() {
		f.gateway.BeginShutdown()
		var a callerAnswer
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.status).To(gomega.Equal(http.StatusOK))
	})

	// Guards against held requests that remain unanswered when queued requests are rejected.
	ginkgo.It("is answered as not run when queued requests are rejected", func() {
		f.gateway.RejectQueued()
		var a callerAnswer
		gomega.Eventually(answers).Should(gomega.Receive(&a))
		gomega.Expect(a.detail.Error.Execution).To(gomega.Equal("not_run"))
		gomega.Expect(engine.runs()).To(gomega.BeZero())
	})
})

// Guards against a load that starts only after the next periodic sync, because held requests aren't tried.
var _ = ginkgo.It("a held request whose adapter isn't loaded triggers one sync", func() {
	fake := &emptyPermits{}
	endpoints := newEndpoints(&fakeConfig{view: testView()}, 1)
	g := &Gateway{settings: DefaultSettings(), endpoints: endpoints, components: Components{
		Permits: fake, Now: func() time.Time { return time.Unix(1000, 0) },
		Recorder: decision.NewRecorder(event.Discard(), event.RoutingDecided, 10),
	}}
	d := newDispatcher(g, rand.New(rand.NewPCG(1, 2)))
	target := routing.Target{Adapter: "draft", Version: "v1"}
	w := &waiter{reply: make(chan dispatchResult, 1), request: routing.Request{Target: target}, entry: admission.Entry{
		Target: target, Arrived: time.Unix(1000, 0),
		Class: admission.Class{Name: "drafts", QueueLimit: 1, MaximumWait: time.Minute, Batch: admission.BatchWindow{Window: time.Second}},
	}}
	d.offer(w)
	d.dispatchQueued()
	gomega.Expect(fake.syncTriggers).To(gomega.Equal(1))
	gomega.Expect(d.waiting(time.Unix(1000, 0))).To(gomega.Equal([]permits.Waiting{{Target: target, Count: 1}}))
})
