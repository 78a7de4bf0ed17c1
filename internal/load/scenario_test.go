package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/load"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// versionChunk returns the event of token i of a version.
func versionChunk(i int, version string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":\"a\",\"choices\":[{\"text\":%q}]}\n\n", i, tokens.Text("a", version, "p", i))
}

var _ = ginkgo.Describe("answers from either of two versions", func() {
	either := load.Spec{Adapter: "a", Version: "v1", OtherVersion: "v2", Prompt: "p", MaxTokens: 2, Stream: true}
	// Guards against a stream that counts as complete although its tokens come from two versions.
	ginkgo.DescribeTable("a stream", func(ctx context.Context, expected load.Verdict, first, second string) {
		address := serve(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, versionChunk(0, first)+versionChunk(1, second)+"data: [DONE]\n\n")
		})
		result := load.NewCaller(1).Do(ctx, address, either.Model(), either)
		gomega.Expect(result.Verdict).To(gomega.Equal(expected), result.Detail)
	},
		ginkgo.Entry("first version", load.Complete, "v1", "v1"),
		ginkgo.Entry("other version", load.Complete, "v2", "v2"),
		ginkgo.Entry("mixed", load.Mismatch, "v1", "v2"),
		ginkgo.Entry("third version", load.Mismatch, "v3", "v3"),
	)
})

var _ = ginkgo.Describe("Check options", func() {
	// Guards against a check of a planned shutdown that passes although a stream broke.
	ginkgo.DescribeTable("a broken attempt", func(ctx context.Context, refuse bool) {
		broken := serve(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: {") })
		o := options(broken, startEngine(ctx))
		o.StreamShare, o.RefuseBroken = 1, refuse
		summary, err := load.Check(ctx, o)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.Complete).To(gomega.Equal(40))
		gomega.Expect(summary.Broken).To(gomega.Equal(20))
		gomega.Expect(summary.OK()).To(gomega.Equal(!refuse))
	}, ginkgo.Entry("is retried", false), ginkgo.Entry("is refused", true))

	// Guards against a check with a duration that stops at the number of requests.
	ginkgo.It("sends requests until the duration is over", func(ctx context.Context) {
		o := options(startEngine(ctx))
		o.Requests, o.Duration = 1, 200*time.Millisecond
		summary, err := load.Check(ctx, o)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.OK()).To(gomega.BeTrue(), "%+v", summary)
		gomega.Expect(summary.Requests).To(gomega.BeNumerically(">", 1))
	})
})

var _ = ginkgo.Describe("Refused", func() {
	// Guards against a call that ran, or whose outcome is unknown, counted as refused.
	ginkgo.DescribeTable("classifies an answer", func(ctx context.Context, ok bool, answer string) {
		address := serve(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, answer) })
		summary, err := load.Refused(ctx, load.RefusedOptions{Gateways: []string{address}, Service: "s", Calls: 2, MaximumDelay: time.Minute})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(summary.OK()).To(gomega.Equal(ok), "%+v", summary)
	},
		ginkgo.Entry("not run", true, `{"error":{"execution":"not_run"}}`),
		ginkgo.Entry("a result", false, `{"entry":1}`),
		ginkgo.Entry("unknown", false, `{"error":{"execution":"unknown"}}`),
		ginkgo.Entry("ran", false, `{"error":{"execution":"ran"}}`),
	)
})

var _ = ginkgo.Describe("Counter", func() {
	counters, _ := json.Marshal(map[string]any{"evictedInUse": 2, "engines": map[string]any{"e": map[string]any{"requests": map[string]int{"a@v1": 3, "b@v1": 4}}}})

	// Guards against a counter that does not exist being read as 0.
	ginkgo.DescribeTable("returns a number, a sum or an error", func(path string, expected int64, problem string) {
		value, err := load.Counter(counters, path)
		if problem != "" {
			gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring(problem)))
			return
		}
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(value).To(gomega.Equal(expected))
	},
		ginkgo.Entry("number", "evictedInUse", int64(2), ""),
		ginkgo.Entry("sum", "engines.e.requests", int64(7), ""),
		ginkgo.Entry("unknown name", "engines.f.requests", int64(0), `there is no "f"`),
		ginkgo.Entry("not a number", "engines", int64(0), "neither a number"),
		ginkgo.Entry("below a number", "evictedInUse.x", int64(0), "not an object"),
	)
})
