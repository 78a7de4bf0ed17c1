package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// answerAndReset is a server or a node that reads the beginning of a request, answers it without a length, ends its side
// of the connection and resets it while the rest of the request is being written.
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

// upload sends a long request through the forwarder and reports whether its answer came whole.
func (f *fixture) upload() (answer *httptest.ResponseRecorder, whole bool) {
	config := *f.forwarder.Config()
	config.Version, config.Limits = config.Version+1, serving.Limits{BodyBytes: uploadBytes}
	f.forwarder.SetConfig(&config)
	answer = httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader(strings.Repeat("0", uploadBytes)))
	request.Header.Set("Id", "r1")
	defer func() {
		if broken := recover(); broken != nil && broken != http.ErrAbortHandler {
			panic(broken)
		} else if broken != nil {
			whole = false
		}
	}()
	f.forwarder.ServeHTTP(answer, request)
	return answer, answer.Code == http.StatusOK
}

// Guards against early answers of another node that look whole as their connection was reset after the end of its side.
func TestHandedOverEarlyAnswerWhoseConnectionIsResetFails(t *testing.T) {
	g := gomega.NewWithT(t)
	peer := answerAndReset(t, "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Type: text/plain\r\n\r\npart")
	f := newFixture(serving.NonIdempotent, "a")
	f.cutOff(&fakePeers{nodes: []string{peer}}, upstream.NewTransport(time.Second, false), "a")
	answer, whole := f.upload()
	g.Expect(answer.Body.String()).To(gomega.Equal("part"))
	g.Expect(whole).To(gomega.BeFalse())
}

// Guards against internal addresses in the refusal of a request whose answer broke off.
func TestRefusalsOfBrokenAnswersHoldNoAddresses(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.answer = func(string) (*http.Response, error) {
		answer := answerWith(http.StatusOK, "")
		answer.ContentLength = -1
		answer.Body = io.NopCloser(iotest.ErrReader(&net.OpError{
			Op: "read", Net: "tcp", Source: &net.TCPAddr{IP: net.IPv4(10, 1, 2, 3), Port: 4}, Err: syscall.ECONNRESET,
		}))
		return answer, nil
	}
	answer := f.call()
	g.Expect(answer.Code).To(gomega.Equal(http.StatusBadGateway))
	g.Expect(fmt.Sprint(answer.Body, answer.Header())).To(gomega.ContainSubstring("broke off"))
	g.Expect(fmt.Sprint(answer.Body, answer.Header())).NotTo(gomega.ContainSubstring("10.1.2.3"))
}
