package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// answerWithoutLength returns a server whose answers are delimited by the end of their connection.
func answerWithoutLength(contentType, body string) *httptest.Server {
	return answerRaw("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: " + contentType + "\r\n\r\n" + body)
}

// newPatientClient returns a client whose time limits no test reaches.
func newPatientClient() *relay.Client {
	return relay.NewClient(relay.Options{
		ConnectTimeout: time.Minute, StreamIdleTimeout: time.Minute, AnswerIdleTimeout: time.Minute,
		AnswerTimeout: time.Minute, AnswerLimit: 1 << 16,
	})
}

// answerRaw returns a server that writes the same bytes to each request and closes the connection.
func answerRaw(answer string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString(answer)
		_ = buffered.Flush()
	}))
}

// Guards against answers of plain services that end early, with their connection, and are passed on as complete.
func TestAnswerWithoutLengthThatEndsEarlyIsBroken(t *testing.T) {
	for _, c := range []struct {
		contentType, body string
		complete          bool
	}{
		{"application/json", `{"claim": "recor`, false},
		{"application/problem+json", `{"claim": "recor`, false},
		{"application/json", `{"claim": "recorded"}`, true},
		{"text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b", false},
		{"text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
		{"text/plain", "recor", true},
	} {
		g := gomega.NewWithT(t)
		server := answerWithoutLength(c.contentType, c.body)
		client := newPatientClient()
		result := client.Do(context.Background(), &relay.Request{
			Attempt: attemptID, Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/claims",
			Header: http.Header{}, Body: []byte(`{}`), Allowed: func() bool { return true },
		}, &sink{})
		g.Expect(result.Complete).To(gomega.Equal(c.complete), c.body)
		if !c.complete {
			g.Expect(result.Execution).To(gomega.Equal(relay.Unknown))
			g.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(relay.AnswerBroken))
		}
		client.Close()
		server.Close()
	}
}
