package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// Guards against an answer that is none in HTTP and that the gateway passes on or records as the outcome.
func TestMalformedAnswerIsNoOutcome(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 000 None\r\nContent-Length: 2\r\n", "HTTP/1.1 600 More\r\nContent-Length: 2\r\n",
		"HTTP/1.1 200 OK\r\nX Blank: 1\r\nContent-Length: 2\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		g := gomega.NewWithT(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, buffered, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = buffered.WriteString(head + "\r\n{}")
			_ = buffered.Flush()
		}))
		client := relay.NewClient(relay.Options{
			ConnectTimeout: time.Minute, StreamIdleTimeout: time.Minute, AnswerIdleTimeout: time.Minute,
			AnswerTimeout: time.Minute, AnswerLimit: 1 << 16,
		})
		result := client.Do(context.Background(), &relay.Request{
			Attempt: attemptID, Address: server.Listener.Addr().String(), Method: http.MethodPost, Path: "/claims",
			Header: http.Header{}, Body: []byte(`{}`), Allowed: func() bool { return true },
		}, &sink{})
		g.Expect(result.Complete).To(gomega.BeFalse(), "%q", head)
		g.Expect(result.Execution).To(gomega.Equal(relay.Unknown), "%q", head)
		client.Close()
		server.Close()
	}
}
