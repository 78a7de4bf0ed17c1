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
	attemptID = "0190b0a0-0000-7000-8000-000000000001"
	foreignID = "0190b0a0-0000-7000-8000-000000000002"
	loadName  = "draft@v1#5"
)

// sink collects what a caller gets.
type sink struct{ text strings.Builder }

func (s *sink) Write(event []byte) error {
	s.text.Write(event)
	return nil
}

// goneSink is a caller whose connection is closed.
type goneSink struct{}

func (s *goneSink) Write([]byte) error { return errors.New("connection reset") }

func newClient() *relay.Client {
	client := relay.NewClient(relay.Options{
		ConnectTimeout: time.Second, Silence: time.Second, ResumeLimit: 2,
		AnswerSilence: time.Second, AnswerTimeout: 10 * time.Second, AnswerLimit: 1 << 16,
	})
	ginkgo.DeferCleanup(client.Close)
	return client
}

// engine answers the first request by first and each resume by the next of resumes; it counts cancels.
type engine struct {
	server    *httptest.Server
	runs      atomic.Int32
	cancelled chan struct{}
	// holdCancel, when set, delays the answers to cancels until it's closed.
	holdCancel chan struct{}
	mu         sync.Mutex
	lastIDs    []string
	head       http.Header
}

type part func(w http.ResponseWriter, r *http.Request)

func newEngine(first part, resumes ...part) *engine {
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

func own(number int) string {
	return chunk(fmt.Sprint(number), "cmpl-"+attemptID, loadName, fmt.Sprint("t", number))
}

const done = "data: [DONE]\n\n"

// send writes the text as an event stream and ends the connection in the regular way.
func send(parts ...string) part {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, strings.Join(parts, ""))
	}
}

// sendAndHang writes the text and then nothing until the client gives the connection up.
func sendAndHang(parts ...string) part {
	return func(w http.ResponseWriter, r *http.Request) {
		send(parts...)(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
}

// expected is what the caller gets for tokens 1 to n and the end.
func expected(n int) string {
	var text strings.Builder
	for i := 1; i <= n; i++ {
		text.WriteString(strings.Replace(own(i), loadName, "draft", 1))
	}
	return text.String()
}

var _ = ginkgo.Describe("a stream", func() {
	ginkgo.DescribeTable("reaches the caller whole, once and in order",
		func(wantResumes []string, first part, resumes ...part) {
			e, s := newEngine(first, resumes...), &sink{}
			result := newClient().Do(context.Background(), e.request(true, true), s)
			gomega.Expect(result.Err).NotTo(gomega.HaveOccurred())
			gomega.Expect(result.Complete).To(gomega.BeTrue())
			gomega.Expect(s.text.String()).To(gomega.Equal(expected(3) + done))
			gomega.Expect(e.lastIDs).To(gomega.Equal(wantResumes))
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(1)))
		},
		ginkgo.Entry("undisturbed", nil, send(own(1), own(2), own(3), done)),
		ginkgo.Entry("with old, repeated and foreign chunks", nil, send(
			own(1), own(1), chunk("2", "cmpl-"+foreignID, loadName, "foreign"), chunk(foreignID+":2", "", loadName, "foreign"),
			own(2), own(1), chunk(attemptID+":3", "cmpl-"+attemptID, loadName, "t3"), done)),
		ginkgo.Entry("cut off without [DONE]", []string{"1"}, send(own(1)), send(own(2), own(3), done)),
		ginkgo.Entry("cut off inside an event", []string{"1"}, send(own(1), "id: 2\nda"), send(own(2), own(3), done)),
		ginkgo.Entry("gone silent", []string{"2"}, sendAndHang(own(1), own(2)), send(own(3), done)),
		ginkgo.Entry("silent before the first token", []string{""}, sendAndHang(), send(own(1), own(2), own(3), done)),
		ginkgo.Entry("resumed from too early", []string{"2"}, send(own(1), own(2)), send(own(1), own(2), own(3), done)),
		ginkgo.Entry("with a token left out", []string{"1"}, send(own(1), own(3), done), send(own(2), own(3), done)),
		ginkgo.Entry("broken twice", []string{"1", "2"}, send(own(1)), send(own(2)), send(own(3), done)),
	)

	// Guards against an engine whose events carry several tokens being taken for one that loses them.
	ginkgo.It("may leave out numbers when a resume leaves them out again", func() {
		e, s := newEngine(send(own(2), own(5), done), send(own(2), own(5), own(9), done), send(own(5), own(9), done)), &sink{}
		result := newClient().Do(context.Background(), e.request(true, true), s)
		gomega.Expect(result.Complete).To(gomega.BeTrue())
		gomega.Expect(strings.Count(s.text.String(), "id: ")).To(gomega.Equal(3))
		gomega.Expect(e.lastIDs).To(gomega.Equal([]string{""}))
	})

	ginkgo.DescribeTable("that can't be finished never looks whole",
		func(started bool, code failure.Code, first part, resumes ...part) {
			e, s := newEngine(first, resumes...), &sink{}
			result := newClient().Do(context.Background(), e.request(true, true), s)
			gomega.Expect(result.Complete).To(gomega.BeFalse())
			gomega.Expect(result.Execution).To(gomega.Equal(relay.Unknown))
			gomega.Expect(result.Started).To(gomega.Equal(started))
			gomega.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(code))
			gomega.Expect(s.text.String()).NotTo(gomega.ContainSubstring("[DONE]"))
			gomega.Eventually(e.cancelled).Should(gomega.Receive(), "the engine is told to stop")
		},
		ginkgo.Entry("engine forgot it", true, relay.Broken, send(own(1))),
		ginkgo.Entry("resumes bring nothing", true, relay.Broken, send(own(1)), send(), send(), send()),
		ginkgo.Entry("engine error", true, relay.Broken, send(own(1), "data: {\"error\":{\"message\":\"x\"}}\n\n")),
		ginkgo.Entry("wrong model at once", false, relay.WrongModel, send(chunk("1", "", "draft@v2#6", "x"), done)),
		ginkgo.Entry("wrong model later", true, relay.WrongModel, send(own(1), chunk("2", "", "other", "x"), done)),
		ginkgo.Entry("no model", false, relay.WrongModel, send("id: 1\ndata: {}\n\n", done)),
		ginkgo.Entry("empty", false, relay.Broken, send(done)),
	)

	// Guards P5: the engine must run on when the caller of a non-idempotent request goes away.
	ginkgo.It("runs to its end without its caller only when it's non-idempotent", func() {
		e := newEngine(send(own(1), own(2), done))
		kept := newClient().Do(context.Background(), e.request(false, true), &goneSink{})
		gomega.Expect(kept.Complete).To(gomega.BeTrue())
		gomega.Expect(string(kept.Body)).To(gomega.Equal(expected(2) + done))
		stopped := newClient().Do(context.Background(), e.request(true, true), &goneSink{})
		gomega.Expect(failure.CodeOf(stopped.Err)).To(gomega.Equal(relay.CallerGone))
		gomega.Eventually(e.cancelled).Should(gomega.Receive())
	})
})

// text returns one chunk with the given members.
func text(number int, members string) string {
	return fmt.Sprintf("id: %d\ndata: {\"model\":%q,%s}\n\n", number, loadName, members)
}

func answer(status int, body string) part {
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
		func(want relay.Execution, complete bool, first part) {
			e := newEngine(first)
			for _, idempotent := range []bool{true, false} {
				result := newClient().Do(context.Background(), e.request(idempotent, false), &sink{})
				gomega.Expect(result.Execution).To(gomega.Equal(want))
				gomega.Expect(result.Complete).To(gomega.Equal(complete))
			}
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(2)), "net/http must not send a request twice")
		},
		ginkgo.Entry("ran", relay.Ran, true, answer(200, `{"model":"`+loadName+`"}`)),
		ginkgo.Entry("refused by the engine", relay.Ran, true, answer(400, `{"error":{"message":"bad"}}`)),
		ginkgo.Entry("not loaded", relay.NotRun, false, answer(404, `{"error":{"code":"not_loaded"}}`)),
		ginkgo.Entry("not loaded, flat form", relay.NotRun, false, answer(404, `{"code":"not_loaded"}`)),
		ginkgo.Entry("another 404", relay.Ran, true, answer(404, `{"code":404}`)),
		ginkgo.Entry("wrong model", relay.Unknown, false, answer(200, `{"model":"draft@v2#9"}`)),
		ginkgo.Entry("two models", relay.Unknown, false, answer(200, `{"model":"x","model":"`+loadName+`"}`)),
		ginkgo.Entry("too large", relay.Unknown, false, answer(200, strings.Repeat("x", 1<<17))),
		ginkgo.Entry("connection lost", relay.Unknown, false, dropConnection),
	)

	// Guards P3: an answer must not be lost with the connection that it was to arrive on.
	ginkgo.DescribeTable("is put together from the engine's stream when its connection fails",
		func(first part, want string, chunks ...string) {
			e := newEngine(first, send(chunks...))
			result := newClient().Do(context.Background(), e.request(false, false), &sink{})
			gomega.Expect(result.Complete).To(gomega.BeTrue())
			gomega.Expect(string(result.Body)).To(gomega.MatchJSON(want))
			gomega.Expect(e.runs.Load()).To(gomega.Equal(int32(1)))
		},
		ginkgo.Entry("broken", part(dropConnection), `{"object":"text_completion","model":"draft","usage":{"total_tokens":9},
			"choices":[{"index":0,"text":"ab","finish_reason":"stop","logprobs":{"tokens":["a","b"]}}]}`,
			text(1, `"object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":null,"logprobs":{"tokens":["a"]}}]`),
			text(2, `"choices":[{"index":0,"text":"b","finish_reason":"stop","logprobs":{"tokens":["b"]}}]`),
			text(3, `"choices":[],"usage":{"total_tokens":9}`), done),
		ginkgo.Entry("silent", sendAndHang(), `{"object":"chat.completion","model":"draft","choices":[{"index":0,"message":
			{"role":"assistant","content":"ab","tool_calls":[{"index":0,"id":"c","function":{"name":"f","arguments":"{}"}}]}}]}`,
			text(1, `"object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"}}]`),
			text(2, `"choices":[{"index":0,"delta":{"content":"b","tool_calls":[{"index":0,"id":"c","function":{"name":"f","arguments":"{"}}]}}]`),
			text(3, `"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":"}"}}]}}]`), done),
	)

	// Guards P2: while the engine may still run a lost request, its load must count as in use.
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

	// Guards P2 and P5: a gateway that was frozen after its first check must not write the request.
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
			gomega.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(relay.Refused))
		}
		gomega.Expect(e.runs.Load()).To(gomega.BeZero())
	})

	// Guards against a gate that is open on a connection that served a request before.
	ginkgo.It("is checked again on a connection that is used again", func() {
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

	ginkgo.It("carries no header that makes net/http replay the request, and a connection of its own", func() {
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

// FuzzEventReader guards against events that are invented, endless or not bounded, whatever an engine sends.
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

// FuzzFields guards against a model field that is found in another place than JSON readers find it, which would send
// a request to the wrong adapter.
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
