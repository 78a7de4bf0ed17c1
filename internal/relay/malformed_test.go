package relay_test

import (
	"context"
	"net/http"
	"testing"

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
		server := answerRaw(head + "\r\n{}")
		client := newPatientClient()
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
