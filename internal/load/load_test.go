package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/load"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

func TestLoad(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "load")
}

const (
	adapters = 4
	timeout  = 10 * time.Second
)

// startEngine returns the address of an engine with adapters loaded under the model names that a gateway accepts, so
// that it can be used in place of a gateway.
func startEngine(ctx context.Context) string {
	options := standin.DefaultSettings()
	options.AdminListen = "127.0.0.1:0"
	options.Weights.LoadsPerSecond = 1000
	options.Engines = []standin.EngineOptions{{Name: "e", Address: "127.0.0.1:0", Step: settings.Duration(time.Millisecond)}}
	site, err := standin.New(options, event.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	stop := site.Start()
	ginkgo.DeferCleanup(func() { gomega.Expect(stop()).To(gomega.Succeed()) })
	control := vllm.NewControl(site.Address("e"), timeout)
	for i := range adapters {
		name := engine.LoadName(fmt.Sprintf("adapter-%04d@v1", i))
		gomega.Expect(control.Load(ctx, engine.Order{}, name, "path")).To(gomega.Succeed())
	}
	return site.Address("e")
}

func options(gateways ...string) load.CheckOptions {
	return load.CheckOptions{
		Gateways: gateways, Requests: 40, Concurrency: 8, Adapters: adapters, AdapterName: "adapter-%04d", Version: "v1",
		MaxTokens: 8, Skew: 1.1, StreamShare: 0.5, Seed: 1, AttemptTimeout: timeout, RequestTimeout: timeout,
	}
}

func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	ginkgo.DeferCleanup(server.Close)
	return server.Listener.Addr().String()
}

var spec = load.Spec{Adapter: "a", Version: "v1", Prompt: "p", MaxTokens: 2, Stream: true}

// chunk returns the event of a token.
func chunk(id, i int, model string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":%q,\"choices\":[{\"text\":%q}]}\n\n", id, model, tokens.Text("a", "v1", "p", i))
}

var _ = ginkgo.Describe("Check", func() {
	ginkgo.It("accepts every answer of a correct engine", func(ctx context.Context) {
		summary, err := load.Check(ctx, options(startEngine(ctx)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.OK()).To(gomega.BeTrue(), "%+v", summary)
		gomega.Expect(summary.FirstToken.Count).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<", 40)))
	})

	// Guards against a request that isn't retried although the gateway answered that it was not run.
	ginkgo.It("retries a request that was not run", func(ctx context.Context) {
		var refusals atomic.Int32
		refusing := serve(func(w http.ResponseWriter, _ *http.Request) {
			refusals.Add(1)
			http.Error(w, `{"error":{"code":"busy","execution":"not_run","retryAfterMs":1}}`, http.StatusServiceUnavailable)
		})
		summary, err := load.Check(ctx, options(refusing, startEngine(ctx)))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.OK()).To(gomega.BeTrue(), "%+v", summary)
		gomega.Expect(summary.NotRun).To(gomega.And(gomega.Equal(20), gomega.BeEquivalentTo(refusals.Load())))
	})

	// Guards against a run that passes while a gateway serves the wrong adapter.
	ginkgo.It("isn't OK when answers differ", func(ctx context.Context) {
		o := options(serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, `{"model":"adapter-0000@v1","choices":[{"text":" other"}]}`)
		}))
		o.Adapters, o.StreamShare = 1, 0
		summary, err := load.Check(ctx, o)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.Mismatches).To(gomega.Equal(40))
		gomega.Expect(summary.OK()).To(gomega.BeFalse())
	})
})

var _ = ginkgo.Describe("Caller", func() {
	// Guards against incomplete or incorrect streams that are counted as complete.
	ginkgo.DescribeTable("classifies a stream", func(ctx context.Context, expected load.Verdict, events ...string) {
		address := serve(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, strings.Join(events, "")) })
		result := load.NewCaller(1).Do(ctx, address, spec.Model(), spec)
		gomega.Expect(result.Verdict).To(gomega.Equal(expected), result.Detail)
	},
		ginkgo.Entry("complete", load.Complete, chunk(0, 0, "a@v1#7"), ": comment\n\n", chunk(1, 1, "a@v1#7"), "data: [DONE]\n\n"),
		ginkgo.Entry("no end marker", load.Broken, chunk(0, 0, "a@v1"), chunk(1, 1, "a@v1")),
		ginkgo.Entry("error event", load.Broken, chunk(0, 0, "a@v1"), "event: error\ndata: {\"error\":{\"execution\":\"unknown\"}}\n\n"),
		ginkgo.Entry("error event, not run", load.NotRun, "event: error\ndata: {\"error\":{\"execution\":\"not_run\"}}\n\n"),
		ginkgo.Entry("missing token", load.Mismatch, chunk(0, 0, "a@v1"), "data: [DONE]\n\n"),
		ginkgo.Entry("repeated token", load.Mismatch, chunk(0, 0, "a@v1"), chunk(0, 0, "a@v1"), chunk(1, 1, "a@v1"), "data: [DONE]\n\n"),
		ginkgo.Entry("tokens out of order", load.Mismatch, chunk(0, 1, "a@v1"), chunk(1, 0, "a@v1"), "data: [DONE]\n\n"),
		ginkgo.Entry("other version", load.Mismatch, chunk(0, 0, "a@v2"), chunk(1, 1, "a@v2"), "data: [DONE]\n\n"),
		ginkgo.Entry("data after the end", load.Mismatch, chunk(0, 0, "a@v1"), chunk(1, 1, "a@v1"), "data: [DONE]\n\n", chunk(2, 2, "a@v1")),
	)

	// Guards against a refused connection that counts as a broken attempt although nothing was sent.
	ginkgo.It("classifies a connection that can't be opened as not run", func(ctx context.Context) {
		stopped := httptest.NewServer(http.NotFoundHandler())
		stopped.Close()
		result := load.NewCaller(1).Do(ctx, stopped.Listener.Addr().String(), spec.Model(), spec)
		gomega.Expect(result.Verdict).To(gomega.Equal(load.NotRun), result.Detail)
	})
})

var _ = ginkgo.Describe("Path", func() {
	// Guards against missing rounds or quantities, and against times that are not recorded.
	ginkgo.It("returns a line for each number of streams and quantity", func(ctx context.Context) {
		address := startEngine(ctx)
		lines, err := load.Path(ctx, load.PathOptions{
			Gateway: address, Engine: address, Tokens: 5, Streams: []int{1, 3}, Rounds: 2, Pairs: 2, Seed: 7,
		})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(lines).To(gomega.HaveLen(12))
		for _, line := range lines {
			gomega.Expect(line.Baseline).To(gomega.BeNumerically(">", 0), line.Name)
			gomega.Expect(line.RatioMin).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", line.RatioMedian)))
			gomega.Expect(strings.Split(line.String(), "\t")).To(gomega.HaveLen(7))
			gomega.Expect(line.String()).To(gomega.HaveSuffix("\t7,8"))
		}
	})
})
