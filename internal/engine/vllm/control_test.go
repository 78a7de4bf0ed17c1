package vllm_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
)

func TestVLLM(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "vllm")
}

const (
	name    = "engine-1"
	timeout = 10 * time.Second
	path    = "weights/path"
)

func start(change func(*standin.EngineOptions)) (*standin.Site, *vllm.Control) {
	option := standin.EngineOptions{Name: name, Address: "127.0.0.1:0", Slots: 2, ChecksFence: true, ReportLag: settings.Duration(time.Millisecond)}
	change(&option)
	options := standin.DefaultSettings()
	options.AdminListen = "127.0.0.1:0"
	options.Weights.LoadsPerSecond = 1000
	options.Engines = []standin.EngineOptions{option}
	site, err := standin.New(options, event.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	stop := site.Start()
	ginkgo.DeferCleanup(func() { gomega.Expect(stop()).To(gomega.Succeed()) })
	return site, vllm.NewControl(site.Address(name), timeout)
}

func unchanged(*standin.EngineOptions) {}

func withFence(number engine.FencingNumber) engine.Order { return engine.Order{Fence: number} }

// status sends a completion request and returns the status and the error code of the answer.
func status(site *standin.Site, model engine.LoadName, prompt string, maxTokens int) (int, string) {
	body, err := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Post("http://"+site.Address(name)+vllm.PathCompletions, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var answer vllm.ErrorBody
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer.Error.Code
}

var _ = ginkgo.Describe("Control", func() {
	first, second, third := engine.NewLoadName("a", "v1", 1), engine.NewLoadName("b", "v1", 2), engine.NewLoadName("c", "v1", 3)

	// Guards against a load that is reported before it has finished, or a slot that stays in use after the unload.
	ginkgo.It("loads, serves and unloads", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.Succeed())
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.Succeed(), "the same load again")
		gomega.Expect(status(site, first, "p", 1)).To(gomega.Equal(http.StatusOK))
		gomega.Expect(control.Unload(ctx, withFence(1), first)).To(gomega.Succeed())
		code, text := status(site, first, "p", 1)
		gomega.Expect(code).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(text).To(gomega.Equal(vllm.CodeNotLoaded))
		gomega.Expect(control.Unload(ctx, withFence(1), first)).To(gomega.MatchError(engine.ErrNotLoaded))
		gomega.Expect(site.Counters().Engines[name].Loads).To(gomega.Equal(1))
	})

	// Guards against reporting success for a load that exceeds the engine's slots.
	ginkgo.It("returns ErrNoSlot when every slot is in use", func(ctx context.Context) {
		_, control := start(unchanged)
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.Succeed())
		gomega.Expect(control.Load(ctx, withFence(1), second, path)).To(gomega.Succeed())
		err := control.Load(ctx, withFence(1), third, path)
		gomega.Expect(err).To(gomega.MatchError(engine.ErrNoSlot))
		gomega.Expect(failure.StepOf(err)).NotTo(gomega.BeEmpty())
		gomega.Expect(failure.PeerOf(err)).NotTo(gomega.BeEmpty())
	})

	// Guards against orders of a former owner that take effect on an engine which checks the fencing number.
	ginkgo.It("returns ErrFenced for stale orders after the fencing number is raised", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(control.Load(ctx, withFence(5), first, path)).To(gomega.Succeed())
		gomega.Expect(control.RaiseFence(ctx, withFence(7))).To(gomega.Succeed())
		gomega.Expect(control.Unload(ctx, withFence(5), first)).To(gomega.MatchError(engine.ErrFenced))
		gomega.Expect(control.Load(ctx, withFence(6), second, path)).To(gomega.MatchError(engine.ErrFenced))
		gomega.Expect(control.RaiseFence(ctx, withFence(6))).To(gomega.MatchError(engine.ErrFenced))
		gomega.Expect(status(site, first, "p", 1)).To(gomega.Equal(http.StatusOK))
		gomega.Expect(site.Counters().Engines[name].Fenced).To(gomega.Equal(3))
	})

	// Guards against a stand-in that refuses stale orders which real engines without fencing would execute.
	ginkgo.It("executes stale orders on an engine that ignores the fencing number", func(ctx context.Context) {
		site, control := start(func(o *standin.EngineOptions) { o.ChecksFence = false })
		gomega.Expect(control.Load(ctx, withFence(5), first, path)).To(gomega.Succeed())
		gomega.Expect(control.RaiseFence(ctx, withFence(7))).To(gomega.Succeed())
		gomega.Expect(control.Unload(ctx, withFence(5), first)).To(gomega.Succeed())
		gomega.Expect(site.Counters().Engines[name].StaleExecuted).To(gomega.Equal(1))
	})

	// Guards against reports without lag, which would hide errors in evictions that rely on outdated reports.
	ginkgo.It("reports the state before the report lag", func(ctx context.Context) {
		_, control := start(func(o *standin.EngineOptions) { o.ReportLag = settings.Duration(300 * time.Millisecond) })
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.Succeed())
		report, err := control.Report(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		loadedBy := report.Now
		gomega.Expect(report.Slots).To(gomega.Equal(2))
		gomega.Expect(report.AsOf).To(gomega.Or(gomega.BeZero(), gomega.BeNumerically("<=", report.Now-300*time.Millisecond)))
		gomega.Eventually(func() (engine.Report, error) { return control.Report(ctx) }).WithTimeout(timeout).Should(gomega.And(
			gomega.HaveField("AsOf", gomega.BeNumerically(">", loadedBy)),
			gomega.HaveField("Adapters", gomega.ConsistOf(engine.LoadedAdapter{Name: first})),
		))
	})

	// Guards against load names and fencing numbers that survive a restart, and against an unchanged incarnation.
	ginkgo.It("restarts empty with a new incarnation", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(control.Load(ctx, withFence(5), first, path)).To(gomega.Succeed())
		before, err := control.Report(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.Restart})).To(gomega.Succeed())
		gomega.Eventually(func() (engine.Report, error) { return control.Report(ctx) }).WithTimeout(timeout).Should(gomega.And(
			gomega.HaveField("Incarnation", gomega.Not(gomega.Equal(before.Incarnation))),
			gomega.HaveField("Adapters", gomega.BeEmpty()),
		))
		code, _ := status(site, first, "p", 1)
		gomega.Expect(code).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(control.Load(ctx, withFence(1), second, path)).To(gomega.Succeed())
	})

	// Guards against a failed load that still occupies its slot.
	ginkgo.It("returns ErrLoadFailed and frees the slot", func(ctx context.Context) {
		site, control := start(func(o *standin.EngineOptions) { o.Slots = 1 })
		gomega.Expect(site.Faults.Activate(fault.Order{Target: "weights", Kind: fault.LoadFailure, Count: 1})).To(gomega.Succeed())
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.MatchError(engine.ErrLoadFailed))
		gomega.Expect(control.Load(ctx, withFence(1), second, path)).To(gomega.Succeed())
	})

	// Guards against a definite outcome for an order whose answer was lost, and against a replay by net/http.
	ginkgo.It("returns none of the known errors when the answer to an order is lost", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.LostAnswer, Count: 1})).To(gomega.Succeed())
		err := control.Load(ctx, withFence(1), first, path)
		gomega.Expect(err).To(gomega.HaveOccurred())
		for _, known := range []error{engine.ErrFenced, engine.ErrNoSlot, engine.ErrNotLoaded, engine.ErrLoadFailed} {
			gomega.Expect(err).NotTo(gomega.MatchError(known))
		}
		gomega.Expect(status(site, first, "p", 1)).To(gomega.Equal(http.StatusOK))
		gomega.Expect(site.Counters().Engines[name].Loads).To(gomega.Equal(1))
	})

	// Guards against evictions of adapters in use that the stand-in doesn't count, and against broken requests that look
	// complete.
	ginkgo.It("counts and breaks requests whose adapter is unloaded", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.Succeed())
		ended := make(chan string, 1)
		go func() {
			defer ginkgo.GinkgoRecover()
			_, code := status(site, first, "p", 1_000_000)
			ended <- code
		}()
		gomega.Eventually(func() (engine.Report, error) { return control.Report(ctx) }).WithTimeout(timeout).Should(
			gomega.HaveField("Adapters", gomega.ConsistOf(engine.LoadedAdapter{Name: first, Running: 1})))
		gomega.Expect(control.Unload(ctx, withFence(1), first)).To(gomega.Succeed())
		gomega.Eventually(ended).WithTimeout(timeout).Should(gomega.Receive(gomega.Equal(vllm.CodeEvicted)))
		gomega.Expect(site.Counters().EvictedInUse).To(gomega.Equal(1))
	})

	// Guards against a call to a frozen engine that never returns, and an engine that drops what was sent while frozen.
	ginkgo.It("times out on a frozen engine, which resumes afterwards", func(ctx context.Context) {
		site, _ := start(unchanged)
		control := vllm.NewControl(site.Address(name), 200*time.Millisecond)
		gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.Freeze})).To(gomega.Succeed())
		gomega.Expect(failure.CodeOf(control.RaiseFence(ctx, withFence(1)))).To(gomega.Equal(failure.Timeout))
		site.Faults.Clear(name, fault.Freeze)
		gomega.Eventually(func() error { return control.RaiseFence(ctx, withFence(1)) }).
			WithTimeout(timeout).Should(gomega.Succeed())
	})

	// Guards against an announced shutdown that is missing from the report.
	ginkgo.It("reports draining", func(ctx context.Context) {
		site, control := start(unchanged)
		gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.Draining})).To(gomega.Succeed())
		gomega.Eventually(func() (engine.Report, error) { return control.Report(ctx) }).WithTimeout(timeout).Should(
			gomega.HaveField("Draining", true))
	})

	// Guards against treating refusals of engines without string codes as an unknown outcome.
	ginkgo.DescribeTable("derives an order's error from the status", func(ctx context.Context, answered int, expected error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, `{"error":{"message":"m","type":"t","code":`+http.StatusText(answered)+`}}`, answered)
		}))
		ginkgo.DeferCleanup(server.Close)
		control := vllm.NewControl(server.Listener.Addr().String(), timeout)
		gomega.Expect(control.Load(ctx, withFence(1), first, path)).To(gomega.MatchError(expected))
	},
		ginkgo.Entry("409", http.StatusConflict, engine.ErrFenced),
		ginkgo.Entry("404", http.StatusNotFound, engine.ErrNotLoaded),
		ginkgo.Entry("507", http.StatusInsufficientStorage, engine.ErrNoSlot),
	)
})
