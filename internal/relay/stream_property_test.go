package relay_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// scriptedEngine sends one stream of tokens over several connections. rapid draws where each connection breaks.
type scriptedEngine struct {
	t      *rapid.T
	tokens int
	// connections is the number of connections that are cut before one sends the rest.
	connections int
	// dropsRequest makes the engine answer resumes with 404 after that number of connections.
	dropsRequest bool
	served       int
}

// unrelatedChunk returns an event that must not reach the caller: a chunk of an abandoned attempt, a repeated chunk of
// this attempt, or nothing.
func (s *scriptedEngine) unrelatedChunk(last int) string {
	number := rapid.IntRange(1, s.tokens).Draw(s.t, "number")
	switch rapid.IntRange(0, 3).Draw(s.t, "kind of unrelated chunk") {
	case 0:
		return chunk(strconv.Itoa(number), "cmpl-"+otherAttemptID, loadName, "foreign")
	case 1:
		return chunk(otherAttemptID+":"+strconv.Itoa(number), "", loadName, "foreign")
	case 2:
		if last > 0 {
			return ownChunk(rapid.IntRange(1, last).Draw(s.t, "old"))
		}
	}
	return ""
}

// body returns the events of the next connection, from the token after last or from an earlier one.
func (s *scriptedEngine) body(last int) string {
	s.served++
	from := rapid.IntRange(0, last).Draw(s.t, "from")
	to := s.tokens
	final := s.served > s.connections && !s.dropsRequest
	if !final {
		to = rapid.IntRange(from, s.tokens).Draw(s.t, "to")
	}
	var text strings.Builder
	for number := from + 1; number <= to; number++ {
		text.WriteString(s.unrelatedChunk(number - 1))
		text.WriteString(ownChunk(number))
	}
	text.WriteString(s.unrelatedChunk(to))
	if final {
		text.WriteString(done)
		return text.String()
	}
	complete := text.String()
	return complete[:rapid.IntRange(0, len(complete)).Draw(s.t, "cut")]
}

func (s *scriptedEngine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		return
	case s.dropsRequest && s.served >= s.connections:
		http.NotFound(w, r)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, s.body(last))
}

// TestStreamIsOwnAndInOrder checks property P3: the engine's connections are cut at arbitrary positions, and chunks of
// abandoned attempts and repeated chunks are interspersed. The caller must receive its own tokens, each once and in
// order, and [DONE] only after the last one.
func TestStreamIsOwnAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &scriptedEngine{
			t: t, tokens: rapid.IntRange(1, 12).Draw(t, "tokens"),
			connections: rapid.IntRange(1, 4).Draw(t, "connections"), dropsRequest: rapid.Bool().Draw(t, "drops request"),
		}
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		defer server.Close()
		// The timeouts are long, so that a stream isn't resumed only because the machine is busy.
		client := relay.NewClient(relay.Options{
			ConnectTimeout: time.Minute, StreamIdleTimeout: time.Minute, ResumeLimit: 10,
			AnswerIdleTimeout: time.Minute, AnswerTimeout: time.Minute, AnswerLimit: 1 << 16,
		})
		defer client.Close()
		caller := &sink{}
		result := client.Do(context.Background(), &relay.Request{
			Attempt: attemptID, Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/v1/completions",
			Header: http.Header{}, Body: []byte(`{}`), LoadName: loadName, Model: "draft", Stream: true, Idempotent: true,
			Allowed: func() bool { return true },
		}, caller)
		if result.Settled != nil {
			<-result.Settled
		}
		complete := expected(s.tokens)
		if result.Complete && caller.text.String() != complete+done {
			t.Fatalf("a complete stream of %d tokens is\n%s", s.tokens, caller.text.String())
		}
		if !result.Complete && !strings.HasPrefix(complete, caller.text.String()) {
			t.Fatalf("a broken stream of %d tokens has\n%s", s.tokens, caller.text.String())
		}
		if result.Complete == s.dropsRequest {
			t.Fatalf("complete is %v with an engine that drops the request: %v, %v", result.Complete, s.dropsRequest, result.Err)
		}
	})
}
