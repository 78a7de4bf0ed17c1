package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/relay"
)

func TestRelay(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	gomega.SetDefaultEventuallyTimeout(10 * time.Second)
	ginkgo.RunSpecs(t, "relay")
}

const (
	attemptID      = "0190b0a0-0000-7000-8000-000000000001"
	otherAttemptID = "0190b0a0-0000-7000-8000-000000000002"
	loadName       = "draft@v1#5"
)

// sink collects what a caller receives.
type sink struct{ text strings.Builder }

func (s *sink) Write(event []byte) error {
	s.text.Write(event)
	return nil
}

// disconnectedSink is a caller whose connection is closed.
type disconnectedSink struct{}

func (s *disconnectedSink) Write([]byte) error { return errors.New("connection reset") }

func newClient() *relay.Client {
	client := relay.NewClient(relay.Options{
		ConnectTimeout: time.Second, StreamIdleTimeout: time.Second, ResumeLimit: 2,
		AnswerIdleTimeout: time.Second, AnswerTimeout: 10 * time.Second, AnswerLimit: 1 << 16,
	})
	ginkgo.DeferCleanup(client.Close)
	return client
}

// engine is a fake engine. It answers requests by calling the responder first, and each resume by calling the next
// responder. It counts runs and cancels.
type engine struct {
	server    *httptest.Server
	runs      atomic.Int32
	cancelled chan struct{}
	// holdCancel, if set, delays the answers to cancels until it is closed.
	holdCancel chan struct{}
	mu         sync.Mutex
	lastIDs    []string
	head       http.Header
}

type responder func(w http.ResponseWriter, r *http.Request)

func newEngine(first responder, resumes ...responder) *engine {
	e := &engine{cancelled: make(chan struct{}, 10)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		switch {
		case strings.HasSuffix(r.URL.Path, "/cancel"):
			if e.holdCancel != nil {
				<-e.holdCancel
			}
			e.cancelled <- struct{}{}
		case strings.HasSuffix(r.URL.Path, "/stream"):
			e.mu.Lock()
			index := len(e.lastIDs)
			e.lastIDs = append(e.lastIDs, r.Header.Get("Last-Event-ID"))
			e.mu.Unlock()
			if index >= len(resumes) {
				http.NotFound(w, r)
				return
			}
			resumes[index](w, r)
		default:
			e.runs.Add(1)
			e.mu.Lock()
			e.head = r.Header
			e.mu.Unlock()
			first(w, r)
		}
	}))
	ginkgo.DeferCleanup(e.server.Close)
	return e
}

func (e *engine) request(idempotent, stream bool) *relay.Request {
	return &relay.Request{
		Attempt: attemptID, Address: e.server.Listener.Addr().String(), Method: http.MethodPost, Path: "/v1/completions",
		Header: http.Header{"Idempotency-Key": {"k"}, "X-Idempotency-Key": {"k"}, "Waxwing-Priority": {"urgent"}, "Te": {"x"}},
		Body:   []byte(`{}`), LoadName: loadName, Model: "draft", Stream: stream, Idempotent: idempotent,
		Allowed: func() bool { return true },
	}
}

// chunk returns one event of the stream.
func chunk(id, answerID, model, text string) string {
	head := ""
	if id != "" {
		head = "id: " + id + "\n"
	}
	return fmt.Sprintf("%sdata: {\"id\":%q,\"model\":%q,\"text\":%q}\n\n", head, answerID, model, text)
}

// ownChunk returns the event of this attempt with token number.
func ownChunk(number int) string {
	return chunk(fmt.Sprint(number), "cmpl-"+attemptID, loadName, fmt.Sprint("t", number))
}

const done = "data: [DONE]\n\n"

// send writes the text as an event stream and ends the response regularly.
func send(parts ...string) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, strings.Join(parts, ""))
	}
}

// sendAndStall writes the text and then nothing until the client closes the connection.
func sendAndStall(parts ...string) responder {
	return func(w http.ResponseWriter, r *http.Request) {
		send(parts...)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// expected returns what the caller receives for tokens 1 to n, without [DONE].
func expected(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(strings.Replace(ownChunk(i), loadName, "draft", 1))
	}
	return text.String()
}

var _ = ginkgo.Describe("a stream", func() {
	ginkgo.DescribeTable("reaches the caller whole, once and in order",
		func(expectedLastIDs []string, first responder, resumes ...responder) {
			e, s := newEngine(first, resumes...), &sink{}
			result := newClient().Do(context.Background(), e.request(true, true), s)
			gomega.Expect(result.Err).NotTo(gomega.HaveOccurred())
			gomega.Expect(result.Complete).To(gomega.BeTrue())
			gomega.Expect(s.text.String()).To(gomega.Equal(expected(3) + done))
			gomega.Expect(e.lastIDs).To(gomega.Equal(expectedLastIDs))
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(1)))
		},
		ginkgo.Entry("undisturbed", nil, send(ownChunk(1), ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("with old chunks, repeated chunks and chunks of another attempt", nil, send(
			ownChunk(1), ownChunk(1), chunk("2", "cmpl-"+otherAttemptID, loadName, "foreign"),
			chunk(otherAttemptID+":2", "", loadName, "foreign"),
			ownChunk(2), ownChunk(1), chunk(attemptID+":3", "cmpl-"+attemptID, loadName, "t3"), done)),
		ginkgo.Entry("cut off without [DONE]", []string{"1"}, send(ownChunk(1)), send(ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("cut off inside an event", []string{"1"}, send(ownChunk(1), "id: 2\nda"),
			send(ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("idle after the second token", []string{"2"}, sendAndStall(ownChunk(1), ownChunk(2)), send(ownChunk(3), done)),
		ginkgo.Entry("idle before the first token", []string{""}, sendAndStall(),
			send(ownChunk(1), ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("resumed from an earlier token", []string{"2"}, send(ownChunk(1), ownChunk(2)),
			send(ownChunk(1), ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("with a token left out", []string{"1"}, send(ownChunk(1), ownChunk(3), done),
			send(ownChunk(2), ownChunk(3), done)),
		ginkgo.Entry("broken twice", []string{"1", "2"}, send(ownChunk(1)), send(ownChunk(2)), send(ownChunk(3), done)),
	)

	// Guards against treating the gaps in the numbers of an engine that sends several tokens per event as missing
	// tokens.
	ginkgo.It("may leave out numbers when a resume leaves them out again", func() {
		e, s := newEngine(
			send(ownChunk(2), ownChunk(5), done),
			send(ownChunk(2), ownChunk(5), ownChunk(9), done),
			send(ownChunk(5), ownChunk(9), done),
		), &sink{}
		result := newClient().Do(context.Background(), e.request(true, true), s)
		gomega.Expect(result.Complete).To(gomega.BeTrue())
		gomega.Expect(strings.Count(s.text.String(), "id: ")).To(gomega.Equal(3))
		gomega.Expect(e.lastIDs).To(gomega.Equal([]string{""}))
	})

	ginkgo.DescribeTable("that can't be finished never looks whole",
		func(started bool, code failure.Code, first responder, resumes ...responder) {
			e, s := newEngine(first, resumes...), &sink{}
			result := newClient().Do(context.Background(), e.request(true, true), s)
			gomega.Expect(result.Complete).To(gomega.BeFalse())
			gomega.Expect(result.Execution).To(gomega.Equal(relay.Unknown))
			gomega.Expect(result.Started).To(gomega.Equal(started))
			gomega.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(code))
			gomega.Expect(s.text.String()).NotTo(gomega.ContainSubstring("[DONE]"))
			gomega.Eventually(e.cancelled).Should(gomega.Receive(), "the request is cancelled on the engine")
		},
		ginkgo.Entry("engine no longer holds the request", true, relay.AnswerBroken, send(ownChunk(1))),
		ginkgo.Entry("resumes yield nothing", true, relay.AnswerBroken, send(ownChunk(1)), send(), send(), send()),
		ginkgo.Entry("engine error", true, relay.AnswerBroken, send(ownChunk(1), "data: {\"error\":{\"message\":\"x\"}}\n\n")),
		ginkgo.Entry("wrong model in the first event", false, relay.WrongModel, send(chunk("1", "", "draft@v2#6", "x"), done)),
		ginkgo.Entry("wrong model in a later event", true, relay.WrongModel, send(ownChunk(1), chunk("2", "", "other", "x"), done)),
		ginkgo.Entry("no model", false, relay.WrongModel, send("id: 1\ndata: {}\n\n", done)),
		ginkgo.Entry("empty", false, relay.AnswerBroken, send(done)),
	)

	// Property P5: a non-idempotent request must run to completion when its caller disconnects.
	ginkgo.It("runs to completion after its caller disconnects only when it's non-idempotent", func() {
		e := newEngine(send(ownChunk(1), ownChunk(2), done))
		completed := newClient().Do(context.Background(), e.request(false, true), &disconnectedSink{})
		gomega.Expect(completed.Complete).To(gomega.BeTrue())
		gomega.Expect(string(completed.Body)).To(gomega.Equal(expected(2) + done))
		stopped := newClient().Do(context.Background(), e.request(true, true), &disconnectedSink{})
		gomega.Expect(failure.CodeOf(stopped.Err)).To(gomega.Equal(relay.CallerDisconnected))
		gomega.Eventually(e.cancelled).Should(gomega.Receive())
	})
})

// numberedChunk returns one event of the stream with the given members.
func numberedChunk(number int, members string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":%q,%s}\n\n", number, loadName, members)
}

func answer(status int, body string) responder {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func dropConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, _ := http.NewResponseController(w).Hijack()
	_ = conn.Close()
}

var _ = ginkgo.Describe("a whole answer", func() {
	ginkgo.DescribeTable("tells what is known of the execution",
		func(expectedExecution relay.Execution, complete bool, first responder) {
			e := newEngine(first)
			for _, idempotent := range []bool{true, false} {
				result := newClient().Do(context.Background(), e.request(idempotent, false), &sink{})
				gomega.Expect(result.Execution).To(gomega.Equal(expectedExecution))
				gomega.Expect(result.Complete).To(gomega.Equal(complete))
			}
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(2)), "net/http must not send a request twice")
		},
		ginkgo.Entry("ran", relay.Ran, true, answer(200, `{"model":"`+loadName+`"}`)),
		ginkgo.Entry("rejected by the engine", relay.Ran, true, answer(400, `{"error":{"message":"bad"}}`)),
		ginkgo.Entry("not loaded", relay.NotRun, false, answer(404, `{"error":{"code":"not_loaded"}}`)),
		ginkgo.Entry("not loaded, flat form", relay.NotRun, false, answer(404, `{"code":"not_loaded"}`)),
		ginkgo.Entry("another 404", relay.Ran, true, answer(404, `{"code":404}`)),
		ginkgo.Entry("wrong model", relay.Unknown, false, answer(200, `{"model":"draft@v2#9"}`)),
		ginkgo.Entry("two models", relay.Unknown, false, answer(200, `{"model":"x","model":"`+loadName+`"}`)),
		ginkgo.Entry("too large", relay.Unknown, false, answer(200, strings.Repeat("x", 1<<17))),
		ginkgo.Entry("connection closed", relay.Unknown, false, dropConnection),
	)

	// Property P3: a broken connection must not lose the answer.
	ginkgo.DescribeTable("is put together from the engine's stream when its connection fails",
		func(first responder, expectedBody string, chunks ...string) {
			e := newEngine(first, send(chunks...))
			result := newClient().Do(context.Background(), e.request(false, false), &sink{})
			gomega.Expect(result.Complete).To(gomega.BeTrue())
			gomega.Expect(string(result.Body)).To(gomega.MatchJSON(expectedBody))
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(1)))
		},
		ginkgo.Entry("broken", responder(dropConnection), `{"object":"text_completion","model":"draft","usage":{"total_tokens":9},
			"choices":[{"index":0,"text":"ab","finish_reason":"stop","logprobs":{"tokens":["a","b"]}}]}`,
			numberedChunk(1, `"object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":null,"logprobs":{"tokens":["a"]}}]`),
			numberedChunk(2, `"choices":[{"index":0,"text":"b","finish_reason":"stop","logprobs":{"tokens":["b"]}}]`),
			numberedChunk(3, `"choices":[],"usage":{"total_tokens":9}`), done),
		ginkgo.Entry("idle", sendAndStall(), `{"object":"chat.completion","model":"draft","choices":[{"index":0,"message":
			{"role":"assistant","content":"ab","tool_calls":[{"index":0,"id":"c","function":{"name":"f","arguments":"{}"}}]}}]}`,
			numberedChunk(1, `"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]`),
			numberedChunk(2, `"choices":[{"index":0,"delta":{"content":"b","tool_calls":[{"index":0,"id":"c","function":{"name":"f","arguments":"{"}}]}}]`),
			numberedChunk(3, `"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]}}]`), done),
	)

	// Property P2: a load must count as in use while the engine may still run a request whose connection broke.
	ginkgo.It("that was lost is settled only when the engine has confirmed the cancel", func() {
		e := newEngine(dropConnection)
		e.holdCancel = make(chan struct{})
		result := newClient().Do(context.Background(), e.request(true, false), &sink{})
		gomega.Expect(result.Settled).NotTo(gomega.BeClosed())
		close(e.holdCancel)
		gomega.Eventually(result.Settled).Should(gomega.BeClosed())
	})

	ginkgo.It("is not run when no connection was obtained", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		e := newEngine(answer(200, ""))
		request := e.request(false, false)
		request.Address = listener.Addr().String()
		_ = listener.Close()
		gomega.Expect(newClient().Do(context.Background(), request, &sink{}).Execution).To(gomega.Equal(relay.NotRun))
	})

	// Properties P2 and P5: a gateway that was paused after its first check must not write the request.
	ginkgo.It("is not run when the permit ends between the connection and the write", func() {
		e := newEngine(answer(200, `{"model":"`+loadName+`"}`))
		for _, idempotent := range []bool{true, false} {
			request := e.request(idempotent, false)
			checks := 0
			request.Allowed = func() bool {
				checks++
				return checks == 1
			}
			result := newClient().Do(context.Background(), request, &sink{})
			gomega.Expect(result.Execution).To(gomega.Equal(relay.NotRun))
			gomega.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(relay.PermitEnded))
		}
		gomega.Expect(e.runs.Load()).To(gomega.BeZero())
	})

	// Guards against skipping the check on a connection that has already served a request.
	ginkgo.It("is checked again on a reused connection", func() {
		e, client := newEngine(answer(200, `{"model":"`+loadName+`"}`)), newClient()
		allowed := true
		request := e.request(true, false)
		request.Allowed = func() bool { return allowed }
		gomega.Expect(client.Do(context.Background(), request, &sink{}).Execution).To(gomega.Equal(relay.Ran))
		checks := 0
		request.Allowed = func() bool {
			checks++
			return checks == 1
		}
		gomega.Expect(client.Do(context.Background(), request, &sink{}).Execution).To(gomega.Equal(relay.NotRun))
		gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(1)))
	})

	ginkgo.It("carries no header that makes net/http replay the request, and uses a new connection", func() {
		e := newEngine(answer(200, `{"model":"`+loadName+`"}`))
		result := newClient().Do(context.Background(), e.request(false, false), &sink{})
		gomega.Expect(string(result.Body)).To(gomega.Equal(`{"model":"draft"}`))
		for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key", "Waxwing-Priority", "Te"} {
			gomega.Expect(e.head).NotTo(gomega.HaveKey(name))
		}
		gomega.Expect(e.head.Get("X-Request-Id")).To(gomega.Equal(attemptID))
		gomega.Expect(e.head.Get("Connection")).To(gomega.Equal("close"))
	})
})

// FuzzEventReader checks that, whatever an engine sends, the reader terminates, returns only documented errors, and
// returns no more bytes than it has read.
func FuzzEventReader(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: {}\n\n", "data: a\ndata: b\r\n\r\n", "event: error\ndata:x\n\n", ": comment\n\n\ndata\n\n",
		"id: 1\x00\ndata: x\n\n", "data: cut off", "data: [DONE]\n\n", "\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		reader := relay.NewEventReader(bytes.NewReader(text))
		total := 0
		for {
			event, err := reader.Next()
			if err != nil {
				if !errors.Is(err, io.EOF) && !errors.Is(err, relay.ErrEventTooLarge) {
					t.Fatalf("unexpected error: %v", err)
				}
				break
			}
			total += len(event.Data) + len(event.ID) + len(event.Name)
		}
		if total > len(text) {
			t.Fatalf("%d bytes of events out of %d bytes of text", total, len(text))
		}
	})
}

// FuzzFields guards against finding another model field than encoding/json does, which would send a request to the
// wrong adapter.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{
		`{"model":"a"}`, ` { "x" : {"model":1}, "model" : "b\u0061" , "n":12}`, `{"model":"a","model":"b"}`, `[]`, `{"a":1}{}`,
		`{"model":null}`, "{\"model\":\"\xff\"}", `{"":[{"model":"x"}],"model":"y"}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fields, err := relay.Fields(body)
		if err != nil {
			return
		}
		var reference map[string]json.RawMessage
		if err := json.Unmarshal(body, &reference); err != nil {
			t.Fatalf("accepted a body that is no object: %v", err)
		}
		model, found := relay.Find(fields, "model")
		if !found {
			return
		}
		if !bytes.Equal(reference["model"], body[model.Start:model.End]) {
			t.Fatalf("found the value %q, want %q", body[model.Start:model.End], reference["model"])
		}
		replaced := map[string]json.RawMessage{}
		if err := json.Unmarshal(model.Replace(body, "x@1#2"), &replaced); err != nil {
			t.Fatalf("the replaced body is no object: %v", err)
		}
		reference["model"] = json.RawMessage(`"x@1#2"`)
		for name, value := range reference {
			if !bytes.Equal(replaced[name], value) {
				t.Fatalf("field %q changed from %q to %q", name, value, replaced[name])
			}
		}
	})
}
