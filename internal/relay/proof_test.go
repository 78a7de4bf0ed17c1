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

// script is what an engine sends for one stream of tokens over several connections.
type script struct {
	t      *rapid.T
	tokens int
	// connections is how many connections are cut before one brings the rest.
	connections int
	// forgets makes the engine forget the request once connections are used up.
	forgets bool
	served  int
}

// noise returns an event that must not reach the caller: a chunk of an abandoned attempt, or an old one of this attempt.
func (s *script) noise(last int) string {
	number := rapid.IntRange(1, s.tokens).Draw(s.t, "number")
	switch rapid.IntRange(0, 3).Draw(s.t, "noise") {
	case 0:
		return chunk(strconv.Itoa(number), "cmpl-"+foreignID, loadName, "foreign")
	case 1:
		return chunk(foreignID+":"+strconv.Itoa(number), "", loadName, "foreign")
	case 2:
		if last > 0 {
			return own(rapid.IntRange(1, last).Draw(s.t, "old"))
		}
	}
	return ""
}

// body returns the events of the next connection, from the token after last or from an earlier one.
func (s *script) body(last int) string {
	s.served++
	from := rapid.IntRange(0, last).Draw(s.t, "from")
	to := s.tokens
	final := s.served > s.connections && !s.forgets
	if !final {
		to = rapid.IntRange(from, s.tokens).Draw(s.t, "to")
	}
	var text strings.Builder
	for number := from + 1; number <= to; number++ {
		text.WriteString(s.noise(number - 1))
		text.WriteString(own(number))
	}
	text.WriteString(s.noise(to))
	if final {
		text.WriteString(done)
		return text.String()
	}
	whole := text.String()
	return whole[:rapid.IntRange(0, len(whole)).Draw(s.t, "cut")]
}

func (s *script) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		return
	case s.forgets && s.served >= s.connections:
		http.NotFound(w, r)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, s.body(last))
}

// TestStreamIsOwnAndInOrder guards P3: whatever an engine sends on connections that are cut anywhere, with chunks of
// abandoned attempts and old chunks in between, the caller gets its own tokens, each once and in order, and [DONE] only
// after the last one.
func TestStreamIsOwnAndInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &script{
			t: t, tokens: rapid.IntRange(1, 12).Draw(t, "tokens"),
			connections: rapid.IntRange(1, 4).Draw(t, "connections"), forgets: rapid.Bool().Draw(t, "forgets"),
		}
		server := httptest.NewServer(http.HandlerFunc(s.serve))
		defer server.Close()
		// The times are long, so that a busy machine isn't taken for a silent engine.
		client := relay.NewClient(relay.Options{
			ConnectTimeout: time.Minute, Silence: time.Minute, ResumeLimit: 10,
			AnswerSilence: time.Minute, AnswerTimeout: time.Minute, AnswerLimit: 1 << 16,
		})
		defer client.Close()
		got := &sink{}
		result := client.Do(context.Background(), &relay.Request{
			Attempt: attemptID, Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/v1/completions",
			Header: http.Header{}, Body: []byte(`{}`), LoadName: loadName, Model: "draft", Stream: true, Idempotent: true,
			Allowed: func() bool { return true },
		}, got)
		if result.Settled != nil {
			<-result.Settled
		}
		whole := expected(s.tokens)
		if result.Complete && got.text.String() != whole+done {
			t.Fatalf("a whole stream of %d tokens is\n%s", s.tokens, got.text.String())
		}
		if !result.Complete && !strings.HasPrefix(whole, got.text.String()) {
			t.Fatalf("a broken stream of %d tokens has\n%s", s.tokens, got.text.String())
		}
		if result.Complete == s.forgets {
			t.Fatalf("complete is %v with an engine that forgets: %v, %v", result.Complete, s.forgets, result.Err)
		}
	})
}
