package intake_test

import (
	"errors"
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

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/intake"
)

const (
	limit   = 1 << 20
	timeout = 20 * time.Second
)

// server reads the body of each request and answers with its size after release is closed. results gets the errors of Read.
type server struct {
	g       *gomega.WithT
	address string
	results chan error
	release chan struct{}
}

func startServer(t *testing.T, limits intake.Limits, deadline time.Duration) *server {
	s := &server{g: gomega.NewWithT(t), results: make(chan error, 100), release: make(chan struct{})}
	bodies, set := intake.New(limits), connset.New(connset.Options{})
	httpServer := httptest.NewUnstartedServer(bodies.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var at time.Time
		if deadline > 0 {
			at = time.Now().Add(deadline)
		}
		body, err := bodies.Read(w, r, limit, at)
		s.results <- err
		if err != nil {
			w.WriteHeader(intake.StatusOf(err))
			return
		}
		defer body.Release()
		select {
		case <-s.release:
			_, _ = fmt.Fprint(w, len(body.Bytes()))
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})))
	httpServer.Listener = set.Listener(httpServer.Listener)
	set.Attach(httpServer.Config)
	httpServer.Start()
	s.address = httpServer.Listener.Addr().String()
	t.Cleanup(func() {
		select {
		case <-s.release:
		default:
			close(s.release)
		}
		httpServer.CloseClientConnections()
		httpServer.Close()
	})
	return s
}

// send opens a connection and writes the beginning of a request.
func (s *server) send(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\n"+text)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	return conn
}

func announce(size, sent int) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", sent))
}

func (s *server) expectResult(expected error) {
	s.g.Eventually(s.results, timeout).Should(gomega.Receive(gomega.MatchError(expected)))
}

func (s *server) expectHeld() {
	s.g.Eventually(s.results, timeout).Should(gomega.Receive(gomega.BeNil()))
}

// Guards against bodies that are held beyond the bound of their sum, and against ordinary requests that wait for them.
func TestBodiesShareTheirRoom(t *testing.T) {
	s := startServer(t, intake.Limits{Bytes: 300 << 10}, 0)
	first := s.send(announce(200<<10, 200<<10))
	defer first.Close()
	s.expectHeld()
	second := s.send(announce(200<<10, 0))
	defer second.Close()
	s.expectResult(intake.ErrNoRoom)
	ordinary := s.send(announce(4000, 4000))
	defer ordinary.Close()
	s.expectHeld()
	close(s.release)
	s.g.Eventually(func() int {
		answer, err := http.Post("http://"+s.address, "text/plain", strings.NewReader(strings.Repeat("x", 200<<10)))
		s.g.Expect(err).NotTo(gomega.HaveOccurred())
		_ = answer.Body.Close()
		return answer.StatusCode
	}, timeout).Should(gomega.Equal(200))
}

// Guards against a body that makes no progress and keeps its room from one that would.
func TestStalledBodyYieldsItsRoom(t *testing.T) {
	for _, field := range []string{announce(200<<10, 100<<10), "Transfer-Encoding: chunked\r\n\r\n30000\r\n" + strings.Repeat("x", 150<<10)} {
		s := startServer(t, intake.Limits{Bytes: 300 << 10}, 0)
		stalled := s.send(field)
		defer stalled.Close()
		answer := make([]byte, len("HTTP/1.1 503"))
		answered := make(chan error, 1)
		go func() {
			_, err := io.ReadFull(stalled, answer)
			answered <- err
		}()
		// While the stalled body has not arrived so far, there is room for the next one beside it.
		s.g.Eventually(func() bool {
			next := s.send(announce(200<<10, 200<<10))
			defer next.Close()
			first := <-s.results
			isHeld := first == nil || errors.Is(first, intake.ErrNoRoom) && len(s.results) > 0 && <-s.results == nil
			return isHeld && len(answered) > 0
		}, timeout, 300*time.Millisecond).Should(gomega.BeTrue())
		s.g.Expect(<-answered).NotTo(gomega.HaveOccurred())
		s.g.Expect(string(answer)).To(gomega.Equal("HTTP/1.1 503"))
	}
}

// Guards against a body within the limit that is larger than the room for all and never gets in.
func TestOneBodyIsHeldInAnyCase(t *testing.T) {
	s := startServer(t, intake.Limits{Bytes: 100 << 10}, 0)
	conn := s.send(announce(limit, limit))
	defer conn.Close()
	s.expectHeld()
}

// Guards against bodies over the limit that are read, and against an announced one that is waited for.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	s := startServer(t, intake.Limits{}, 0)
	for _, text := range []string{
		announce(limit+1, 0),
		"Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", limit+1) + strings.Repeat("x", limit+1),
	} {
		conn := s.send(text)
		defer conn.Close()
		s.expectResult(intake.ErrTooLarge)
	}
	conn := s.send("Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n", limit) + strings.Repeat("x", limit) + "\r\n0\r\n\r\n")
	defer conn.Close()
	s.expectHeld()
}

// Guards against a body that is waited for beyond each of its bounds.
func TestSlowBodyIsGivenUp(t *testing.T) {
	for name, bounds := range map[string]struct {
		limits   intake.Limits
		deadline time.Duration
	}{
		"stall":    {limits: intake.Limits{Stall: 50 * time.Millisecond, Timeout: time.Hour}},
		"timeout":  {limits: intake.Limits{Stall: time.Hour, Timeout: 50 * time.Millisecond}},
		"deadline": {limits: intake.Limits{Stall: time.Hour, Timeout: time.Hour}, deadline: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, bounds.limits, bounds.deadline)
			conn := s.send(announce(100, 99))
			defer conn.Close()
			s.expectResult(intake.ErrTooSlow)
		})
	}
}

// Guards against room that a body keeps after it was given up.
func TestBodyThatIsGivenUpReturnsItsRoom(t *testing.T) {
	s := startServer(t, intake.Limits{Bytes: 300 << 10, Stall: 50 * time.Millisecond}, 0)
	stopped := s.send(announce(200<<10, 10))
	defer stopped.Close()
	s.expectResult(intake.ErrTooSlow)
	next := s.send(announce(200<<10, 200<<10))
	defer next.Close()
	s.expectHeld()
}

// Guards against a deadline of the body that ends a request which is being processed.
func TestDeadlineOfTheBodyEndsWithIt(t *testing.T) {
	s := startServer(t, intake.Limits{Stall: 50 * time.Millisecond}, 0)
	conn := s.send(announce(100, 100))
	defer conn.Close()
	s.expectHeld()
	<-time.After(200 * time.Millisecond)
	close(s.release)
	answer := make([]byte, len("HTTP/1.1 200"))
	_, err := io.ReadFull(conn, answer)
	s.g.Expect(err).NotTo(gomega.HaveOccurred())
	s.g.Expect(string(answer)).To(gomega.Equal("HTTP/1.1 200"))
}

// Guards against handlers that get a part of a body, or more than the limit.
func TestBufferPassesWholeBodiesOn(t *testing.T) {
	g := gomega.NewWithT(t)
	bodies := intake.New(intake.Limits{})
	handler := bodies.Buffer(10, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(w, r.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}))
	for body, status := range map[string]int{"0123456789": 200, "0123456789+": 413} {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest("POST", "/", strings.NewReader(body)))
		g.Expect(recorder.Code).To(gomega.Equal(status))
	}
}

// Guards against chunks of a few bytes that take the processor, and against a pace that sound chunks meet.
func TestDelimitersOfTinyChunksArePaced(t *testing.T) {
	const size = 300_000
	s := startServer(t, intake.Limits{Stall: time.Hour, Timeout: time.Second, DelimiterRate: 64 << 10}, 0)
	sound := s.send("Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", size/1024) + "0\r\n\r\n")
	defer sound.Close()
	s.expectHeld()
	tiny := s.send("Transfer-Encoding: chunked\r\n\r\n")
	defer tiny.Close()
	go func() { _, _ = io.WriteString(tiny, strings.Repeat("1\r\nx\r\n", size)+"0\r\n\r\n") }()
	s.expectResult(intake.ErrTooSlow)
}

// Guards against internal addresses in the answer to a request whose body couldn't be read.
func TestAnswersToUnreadableBodiesHoldNoAddresses(t *testing.T) {
	g := gomega.NewWithT(t)
	body := iotest.ErrReader(&net.OpError{
		Op: "read", Net: "tcp", Source: &net.TCPAddr{IP: net.IPv4(10, 1, 2, 3), Port: 4}, Err: syscall.ECONNRESET,
	})
	handler := intake.New(intake.Limits{}).Buffer(100, http.NotFoundHandler())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/x", body))
	g.Expect(recorder.Code).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(recorder.Body.String()).To(gomega.Equal("the body could not be read\n"))
}
