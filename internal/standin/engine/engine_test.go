package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	api "waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/load"
	"waxwingcleat.example/waxwingcleat/internal/settings"
	"waxwingcleat.example/waxwingcleat/internal/standin"
	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

func TestEngine(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "stand-in engine")
}

const (
	name    = "engine-1"
	prompt  = "a prompt"
	timeout = 10 * time.Second
	model   = api.LoadName("a@v1#1")
)

// start returns a running site with one engine that holds model.
func start(ctx context.Context) *standin.Site {
	options := standin.DefaultSettings()
	options.AdminListen = "127.0.0.1:0"
	options.Weights.LoadsPerSecond = 1000
	options.Engines = []standin.EngineOptions{{Name: name, Address: "127.0.0.1:0", Step: settings.Duration(time.Millisecond)}}
	site, err := standin.New(options, event.Discard())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	stop := site.Start()
	ginkgo.DeferCleanup(func() { gomega.Expect(stop()).To(gomega.Succeed()) })
	gomega.Expect(vllm.NewControl(site.Address(name), timeout).Load(ctx, api.Order{}, model, "path")).To(gomega.Succeed())
	return site
}

// send sends a request on a new connection.
func send(ctx context.Context, site *standin.Site, method, path string, header map[string]string, body any) *http.Response {
	data, err := json.Marshal(body)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	request, err := http.NewRequestWithContext(ctx, method, "http://"+site.Address(name)+path, bytes.NewReader(data))
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	for key, value := range header {
		request.Header.Set(key, value)
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(response.Body.Close)
	return response
}

// begin sends a request with a streamed answer under a request ID.
func begin(ctx context.Context, site *standin.Site, id string, maxTokens int) *http.Response {
	body := map[string]any{"model": model, "prompt": prompt, "max_tokens": maxTokens, "stream": true}
	return send(ctx, site, http.MethodPost, vllm.PathCompletions, map[string]string{vllm.HeaderRequestID: id}, body)
}

// resume resumes the stream of a request after token number last.
func resume(ctx context.Context, site *standin.Site, id string, last int) *http.Response {
	return send(ctx, site, http.MethodGet, vllm.StreamPath(id), map[string]string{vllm.HeaderLastEventID: strconv.Itoa(last)}, nil)
}

// readTokens reads count tokens, or all up to the end when count is 0, and requires that their numbers start at next
// and increase by 1.
func readTokens(response *http.Response, next, count int) (text string, end error) {
	reader := load.NewEventReader(response.Body)
	for i := 0; count == 0 || i < count; i++ {
		received, err := reader.Next()
		if err != nil {
			return text, err
		}
		if received.Data == vllm.Done || received.Type == vllm.EventError {
			return text + received.Type, nil
		}
		gomega.ExpectWithOffset(1, received.ID).To(gomega.Equal(strconv.Itoa(next + i)))
		var chunk struct{ Choices []struct{ Text string } }
		gomega.ExpectWithOffset(1, json.Unmarshal([]byte(received.Data), &chunk)).To(gomega.Succeed())
		text += chunk.Choices[0].Text
	}
	return text, nil
}

var _ = ginkgo.Describe("Engine", func() {
	sequence := tokens.NewSequence("a", "v1", prompt)

	// Guards against a resumed stream with missing or repeated tokens, while the request runs and after its end.
	ginkgo.DescribeTable("resumes a stream without gaps or repeats", func(ctx context.Context, count int, silence bool) {
		site := start(ctx)
		broken, abandon := context.WithCancel(ctx)
		head, err := readTokens(begin(broken, site, "r1", count), 0, 3)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		if silence {
			gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.Silence})).To(gomega.Succeed())
		}
		tail, err := readTokens(resume(ctx, site, "r1", 2), 3, 0)
		abandon()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(head + tail).To(gomega.Equal(sequence.Prefix(count)))
		again, err := readTokens(resume(ctx, site, "r1", count-2), count-1, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(again).To(gomega.Equal(sequence.Text(count - 1)))
		gomega.Expect(site.Counters().Engines[name].Requests).To(gomega.Equal(map[string]int{"a@v1": 1}))
	},
		ginkgo.Entry("short", 4, false),
		ginkgo.Entry("long", 300, false),
		ginkgo.Entry("after the connection went silent", 300, true),
	)

	// Guards against a second run of a request that is sent again with the same ID.
	ginkgo.It("refuses duplicate request IDs and doesn't resume unknown ones", func(ctx context.Context) {
		site := start(ctx)
		begin(ctx, site, "r1", 1)
		gomega.Expect(begin(ctx, site, "r1", 1).StatusCode).To(gomega.Equal(http.StatusConflict))
		gomega.Expect(resume(ctx, site, "r2", 0).StatusCode).To(gomega.Equal(http.StatusNotFound))
		gomega.Expect(site.Counters().Engines[name].Duplicates).To(gomega.Equal(1))
	})

	// Guards against a stream that looks complete although its request was cancelled or ended by a restart.
	ginkgo.It("ends the stream of a cancelled request with an error", func(ctx context.Context) {
		site := start(ctx)
		response := begin(ctx, site, "r1", 1_000_000)
		gomega.Expect(send(ctx, site, http.MethodPost, vllm.CancelPath("r1"), nil, nil).StatusCode).To(gomega.Equal(http.StatusOK))
		text, err := readTokens(response, 0, 0)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(text).To(gomega.HaveSuffix(vllm.EventError))
		_, err = io.ReadAll(response.Body)
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	ginkgo.It("breaks streams at a restart and drops their requests", func(ctx context.Context) {
		site := start(ctx)
		response := begin(ctx, site, "r1", 1_000_000)
		gomega.Expect(site.Faults.Activate(fault.Order{Target: name, Kind: fault.Restart})).To(gomega.Succeed())
		_, err := readTokens(response, 0, 0)
		gomega.Expect(err).To(gomega.And(gomega.HaveOccurred(), gomega.Not(gomega.MatchError(io.EOF))))
		gomega.Expect(resume(ctx, site, "r1", 0).StatusCode).To(gomega.Equal(http.StatusNotFound))
	})

	// Guards against a chat whose tokens a client can't verify, and a model field that differs from the adapter used.
	ginkgo.It("answers a chat with the load name and the tokens of its messages", func(ctx context.Context) {
		site := start(ctx)
		messages := []tokens.Message{{Role: "user", Content: "hello"}}
		response := send(ctx, site, http.MethodPost, vllm.PathChatCompletions, nil, map[string]any{"model": model, "messages": messages})
		var answer struct {
			Model   string
			Choices []struct{ Message tokens.Message }
		}
		gomega.Expect(json.NewDecoder(response.Body).Decode(&answer)).To(gomega.Succeed())
		gomega.Expect(answer.Model).To(gomega.Equal(string(model)))
		gomega.Expect(answer.Choices[0].Message.Content).To(gomega.Equal(tokens.NewSequence("a", "v1", tokens.ChatPrompt(messages)).Prefix(16)))
	})
})
