package connset_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/connset"
)

// headServer is a server whose set bounds the heads of requests. Requests to /wait are answered when release is closed.
type headServer struct {
	g       *gomega.WithT
	t       *testing.T
	address string
	started chan struct{}
	release chan struct{}
}

func startHeadServer(t *testing.T, headBytes int64) *headServer {
	s := &headServer{g: gomega.NewWithT(t), t: t, started: make(chan struct{}, 16), release: make(chan struct{})}
	set := connset.New(connset.Options{Heads: connset.NewHeadBudget("test.heads", headBytes)})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.started <- struct{}{}
			<-s.release
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	set.Attach(server)
	go func() { _ = server.Serve(set.Listener(listener)) }()
	t.Cleanup(func() {
		close(s.release)
		_ = server.Close()
	})
	s.address = listener.Addr().String()
	return s
}

// send opens a connection and writes text.
func (s *headServer) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.t.Cleanup(func() { _ = conn.Close() })
	s.write(conn, text)
	return conn
}

func (s *headServer) write(conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
}

// isServed reports whether the next answer on a connection is a success, and false if the connection ends.
func (s *headServer) isServed(conn net.Conn) bool {
	s.g.Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(gomega.Succeed())
	// The answer has no body. Byte by byte, nothing behind it is read.
	var answer strings.Builder
	for next := make([]byte, 1); !strings.HasSuffix(answer.String(), "\r\n\r\n"); {
		if _, err := io.ReadFull(conn, next); err != nil {
			return false
		}
		answer.Write(next)
	}
	return strings.HasPrefix(answer.String(), "HTTP/1.1 200")
}

// manyFields returns so many lines of header fields.
func manyFields(number int) string {
	var fields strings.Builder
	for n := range number {
		fmt.Fprintf(&fields, "x%d:\r\n", n)
	}
	return fields.String()
}

const (
	waitHead = "GET /wait HTTP/1.1\r\nHost: x\r\n"
	nextHead = "GET /next HTTP/1.1\r\nHost: x\r\n"
	// oneHead is room for one head of 1,000 fields and not for two.
	oneHead = 200 << 10
)

// Guards against heads whose many fields take memory that nothing counts while their requests are processed.
func TestHeadsWithManyFieldsTakeRoom(t *testing.T) {
	s := startHeadServer(t, oneHead)
	idle := s.send(nextHead + "\r\n")
	s.g.Expect(s.isServed(idle)).To(gomega.BeTrue())
	s.send(waitHead + manyFields(1000) + "\r\n")
	<-s.started
	s.g.Expect(s.isServed(s.send(nextHead + manyFields(1000) + "\r\n"))).To(gomega.BeFalse())
	s.write(idle, nextHead+"\r\n")
	s.g.Expect(s.isServed(idle)).To(gomega.BeTrue(), "connections that hold no room don't yield")
	s.g.Expect(s.isServed(s.send(nextHead+manyFields(20)+"\r\n"))).To(gomega.BeTrue(), "an ordinary head has room")
}

// Guards against heads that stop and keep out those that go on.
func TestStoppedHeadsYieldTheirRoom(t *testing.T) {
	s := startHeadServer(t, oneHead)
	stopped := s.send(waitHead + manyFields(1000))
	s.g.Eventually(func() bool { return s.isServed(s.send(nextHead + manyFields(1000) + "\r\n")) }, 20*time.Second).Should(gomega.BeTrue())
	s.g.Expect(s.isServed(stopped)).To(gomega.BeFalse())
	s.g.Expect(s.started).To(gomega.BeEmpty(), "a request whose connection has yielded doesn't run")
}

// Guards against room that a connection keeps after its request has been answered, or after it has ended.
func TestHeadsReturnTheirRoom(t *testing.T) {
	s := startHeadServer(t, oneHead)
	first := s.send(nextHead + manyFields(1000) + "\r\n")
	s.g.Expect(s.isServed(first)).To(gomega.BeTrue())
	// The answer arrives before the server has ended the request.
	var second net.Conn
	s.g.Eventually(func() bool {
		second = s.send(nextHead + manyFields(1000) + "\r\n")
		return s.isServed(second)
	}, 20*time.Second).Should(gomega.BeTrue())
	s.write(first, nextHead+"\r\n")
	s.g.Expect(s.isServed(first)).To(gomega.BeTrue(), "the first connection had no room to yield")
	s.write(second, waitHead+manyFields(1000)+"\r\n")
	<-s.started
	s.g.Expect(second.Close()).To(gomega.Succeed())
	s.g.Expect(s.isServed(s.send(nextHead+manyFields(1000)+"\r\n"))).To(gomega.BeFalse(), "the request is still processed")
}

// Guards against heads that arrive in pieces, or with their body, and are taken for ended or endless ones.
func TestHeadsEndAtTheirEmptyLine(t *testing.T) {
	s := startHeadServer(t, 16<<10)
	lines := strings.Repeat("\n", 3000)
	s.send(waitHead + "\r\n")
	<-s.started
	for _, cut := range []int{1, 2, 3, 4} {
		head := nextHead + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(lines))
		conn := s.send(head[:len(head)-cut])
		s.write(conn, head[len(head)-cut:]+lines)
		s.g.Expect(s.isServed(conn)).To(gomega.BeTrue(), "the lines of a body are no fields")
	}
}

// Guards against fields that net/http reads together with the end of the request before, and that nothing counts.
func TestPipelinedHeadsTakeRoom(t *testing.T) {
	s := startHeadServer(t, 100<<10)
	s.send(waitHead + manyFields(500) + "\r\n")
	<-s.started
	first := nextHead + "\r\n"
	for name, conn := range map[string]net.Conn{
		"behind a head":  s.send(first + nextHead + manyFields(500)),
		"behind a body":  s.send(nextHead + "Content-Length: 1\r\n\r\nx" + nextHead + manyFields(500)),
		"behind chunks":  s.send(nextHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n" + nextHead + manyFields(500)),
		"the second one": s.send(first + first + nextHead + manyFields(500)),
	} {
		s.g.Eventually(func() bool {
			_, err := conn.Read(make([]byte, 4096))
			return err != nil
		}, 20*time.Second).Should(gomega.BeTrue(), name)
	}
}
