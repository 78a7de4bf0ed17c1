package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/failure"
	"waxwingcleat.example/waxwingcleat/internal/relay"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// answerAndReset is a server that reads the beginning of a request, answers it without a length, ends its side of the
// connection and resets it while the rest of the request is being written.
func answerAndReset(t *testing.T, answer string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.TCPConn)
			_, _ = io.ReadFull(conn, make([]byte, 1000))
			_, _ = io.WriteString(conn, answer)
			_ = conn.CloseWrite()
			time.AfterFunc(100*time.Millisecond, func() {
				_ = conn.SetLinger(0)
				_ = conn.Close()
			})
		}
	}()
	return listener.Addr().String()
}

// Guards against early answers that count as whole as their connection was reset after the end of the server's side.
func TestEarlyAnswerWhoseConnectionIsResetIsBroken(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newPatientClient()
	defer client.Close()
	for _, idempotent := range []bool{false, true} {
		result := client.Do(context.Background(), &relay.Request{
			Attempt: attemptID, Method: http.MethodPost, Path: "/claims", Header: http.Header{}, Idempotent: idempotent,
			Address: answerAndReset(t, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"),
			Body:    make([]byte, uploadBytes), Allowed: func() bool { return true },
		}, &sink{})
		g.Expect(result.Complete).To(gomega.BeFalse(), "%s", result.Body)
		g.Expect(result.Execution).To(gomega.Equal(relay.Unknown))
		g.Expect(failure.CodeOf(result.Err)).To(gomega.Equal(relay.AnswerBroken))
	}
}
