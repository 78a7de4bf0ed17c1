package httplog_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/platform/httplog"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// Guards against bytes of the log service that are no answer in HTTP and that a process takes for one.
func TestMalformedAnswerOfTheLogServiceIsAnError(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nX Blank: 1\r\nContent-Length: 12\r\n\r\n{\"offset\":7}")
		_ = buffered.Flush()
	}))
	defer server.Close()
	_, err := httplog.New(server.URL, server.URL, time.Minute).Append(t.Context(), "s", []byte("x"))
	var malformed *upstream.MalformedError
	g.Expect(errors.As(err, &malformed)).To(gomega.BeTrue(), "%v", err)
}
