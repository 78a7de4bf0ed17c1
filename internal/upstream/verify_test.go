package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// readAnswer parses an answer as net/http receives it and reads its body through VerifyEnd, byte by byte or in one read.
func readAnswer(t *rapid.T, method, text string, oneByte bool) (body string, err error) {
	answer, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: method})
	if err != nil {
		t.Fatal(err)
	}
	upstream.VerifyEnd(answer, "")
	reader := io.Reader(answer.Body)
	if oneByte {
		reader = iotest.OneByteReader(reader)
	}
	data, err := io.ReadAll(reader)
	return string(data), err
}

func drawEvents(t *rapid.T) (text string) {
	end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
	for i := range rapid.IntRange(1, 5).Draw(t, "events") {
		text += fmt.Sprintf("id: %d%sdata: %s%s%s", i, end, rapid.StringMatching(`[a-z ]{0,9}`).Draw(t, "data"), end, end)
	}
	return text
}

// Guards against streams that count as complete inside an event or as broken off between two, and against lost bytes.
func TestEndOfStreamIsVerified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := drawEvents(t)
		cut := whole[:rapid.IntRange(0, len(whole)).Draw(t, "cut")]
		byConnection := rapid.Bool().Draw(t, "by connection")
		var text bytes.Buffer
		text.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n")
		if !byConnection {
			fmt.Fprintf(&text, "Content-Length: %d\r\n", len(cut))
		}
		text.WriteString("\r\n" + cut)
		body, err := readAnswer(t, http.MethodPost, text.String(), rapid.Bool().Draw(t, "one byte"))
		if body != cut {
			t.Fatalf("received %q instead of %q", body, cut)
		}
		blankLine := strings.HasSuffix(cut, "\n\n") || strings.HasSuffix(cut, "\r\n\r\n") || strings.HasSuffix(cut, "\r\r")
		complete := blankLine || cut == "" && !byConnection
		// A cut between CR and LF of a blank line leaves a complete event.
		complete = complete || strings.HasSuffix(cut, "\r\n\r")
		if complete != (err == nil) || err != nil && !errors.Is(err, upstream.ErrTruncated) {
			t.Fatalf("%q, by connection: %v, ended with %v", cut, byConnection, err)
		}
	})
}

// Guards against answers without a body that count as truncated.
func TestAnswersWithoutABodyAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mediaType := rapid.SampledFrom([]string{"text/event-stream", "application/json"}).Draw(t, "type")
		for method, status := range map[string]string{
			http.MethodHead: "200 OK", http.MethodPost: "204 No Content", http.MethodGet: "304 Not Modified",
		} {
			text := "HTTP/1.1 " + status + "\r\nContent-Type: " + mediaType + "\r\n\r\n"
			if body, err := readAnswer(t, method, text, false); body != "" || err != nil {
				t.Fatalf("%s %s: %q, %v", method, status, body, err)
			}
		}
	})
}
