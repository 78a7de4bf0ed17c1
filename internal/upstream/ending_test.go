package upstream_test

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

const earlyHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"

// pause is longer than everything that goroutines do without waiting, in the tests' simulated time.
const pause = 10 * time.Millisecond

// scriptedConn is a connection to a server that answers while the request is still being written. After the answer,
// reads report io.EOF.
type scriptedConn struct {
	answer *strings.Reader
	// ended is closed when a read reports io.EOF.
	ended chan struct{}
	// write returns the result of the writes after the first one.
	write func() error
	// beforeEnd delays the end of the answer; may be nil.
	beforeEnd func()
	begun     chan struct{}
	writes    int
	closed    chan struct{}
}

func newScriptedConn(answer string) *scriptedConn {
	return &scriptedConn{
		answer: strings.NewReader(answer), ended: make(chan struct{}), begun: make(chan struct{}), closed: make(chan struct{}),
	}
}

func (c *scriptedConn) Read(data []byte) (int, error) {
	<-c.begun
	if n, err := c.answer.Read(data); err == nil {
		return n, nil
	}
	if c.beforeEnd != nil {
		c.beforeEnd()
	}
	select {
	case <-c.ended:
	default:
		close(c.ended)
	}
	return 0, io.EOF
}

func (c *scriptedConn) Write(data []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		close(c.begun)
		return len(data), nil
	}
	err := c.write()
	select {
	case <-c.closed:
		err = cmp.Or(err, net.ErrClosed)
	default:
	}
	if err != nil {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: err}
	}
	return len(data), nil
}

// stall is a write that makes no progress.
func (c *scriptedConn) stall() error {
	<-c.closed
	return net.ErrClosed
}

func (c *scriptedConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// slowUpload is a request body of which each read but the first one takes a pause.
type slowUpload struct {
	left  int
	begun bool
}

func (u *slowUpload) Read(data []byte) (int, error) {
	if u.begun {
		time.Sleep(pause)
	}
	u.begun = true
	if u.left == 0 {
		return 0, io.EOF
	}
	n := min(len(data), u.left)
	u.left -= n
	return n, nil
}

const uploadBytes = 1 << 20

// upload sends a long request over conn and returns the answer's body, and took, the time until its end.
func upload(t *testing.T, conn net.Conn, traced bool, body io.Reader) (received string, took time.Duration, err error) {
	return send(t, t.Context(), poolOf(conn), traced, body, uploadBytes)
}

func poolOf(conn net.Conn) *upstream.Pool {
	return upstream.NewPool(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
}

func send(
	t *testing.T, ctx context.Context, pool *upstream.Pool, traced bool, body io.Reader, length int64,
) (received string, took time.Duration, err error) {
	begun := time.Now()
	if traced {
		ctx = new(upstream.RequestTrace).WithTrace(ctx, func() bool { return true })
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://server/", body)
	if err != nil {
		t.Fatal(err)
	}
	request.ContentLength = length
	answer, err := pool.RoundTrip(request)
	// The goroutines of the connection end.
	defer time.Sleep(30 * time.Second)
	if err != nil {
		return "", time.Since(begun), err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	return string(data), time.Since(begun), err
}

func zeros() io.Reader { return strings.NewReader(strings.Repeat("0", uploadBytes)) }

// Guards against early answers that count as whole as the upload took the report of the reset.
func TestEarlyAnswerIsBrokenIfTheUploadTakesTheReset(t *testing.T) {
	for _, traced := range []bool{false, true} {
		for name, script := range map[string]func(c *scriptedConn){
			"the write fails before the end is read": func(c *scriptedConn) {
				failed := make(chan struct{})
				c.write = func() error {
					time.Sleep(pause)
					close(failed)
					return syscall.ECONNRESET
				}
				c.beforeEnd = func() {
					<-failed
					time.Sleep(pause)
				}
			},
			"the write fails after the end was read": func(c *scriptedConn) {
				writing := make(chan struct{})
				c.beforeEnd = func() { <-writing }
				c.write = func() error {
					close(writing)
					<-c.ended
					time.Sleep(pause)
					return syscall.ECONNRESET
				}
			},
		} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					conn := newScriptedConn(earlyHead + "\r\npart")
					script(conn)
					body, _, err := upload(t, conn, traced, zeros())
					if err == nil || body != "part" {
						t.Fatalf("received %q as a whole answer, traced: %v", body, traced)
					}
					if !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, net.ErrClosed) {
						t.Fatalf("the answer ended with %v, traced: %v", err, traced)
					}
				})
			})
		}
	}
}

// Guards against early answers that count as whole as their connection ends between two writes of the upload.
func TestEarlyAnswerIsBrokenIfTheRestOfTheUploadIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newScriptedConn(earlyHead + "\r\npart")
		conn.write = func() error {
			select {
			case <-conn.ended:
				return syscall.EPIPE
			default:
				return nil
			}
		}
		body, _, err := upload(t, conn, true, &slowUpload{left: uploadBytes})
		if !errors.Is(err, syscall.EPIPE) && !errors.Is(err, net.ErrClosed) {
			t.Fatalf("received %q, %v", body, err)
		}
	})
}

// Guards against answers that are awaited without end, as their server ended them and stopped reading the upload.
func TestEarlyAnswerIsBrokenIfTheUploadMakesNoProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newScriptedConn(earlyHead + "\r\npart")
		conn.write = conn.stall
		body, took, err := upload(t, conn, true, zeros())
		if !errors.Is(err, upstream.ErrEndedEarly) {
			t.Fatalf("received %q, %v", body, err)
		}
		// The time in which an unreachable peer is detected.
		if took > 5*time.Second+pause {
			t.Fatalf("the end was awaited for %v", took)
		}
	})
}

// Guards against a wait for the rest of the upload that outlasts its request.
func TestWaitForTheRestOfTheUploadEndsWithTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := newScriptedConn(earlyHead + "\r\npart")
		conn.write = func() error { return nil }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		unread, writer := io.Pipe()
		defer writer.Close()
		_, took, err := send(t, ctx, poolOf(conn), true, io.MultiReader(strings.NewReader(strings.Repeat("0", 64<<10)), unread), uploadBytes)
		if err == nil || took > time.Second+pause {
			t.Fatalf("ended with %v after %v", err, took)
		}
	})
}

// Guards against a wait for the rest of the upload at a server that has ended its connection without an answer.
func TestEndWithoutAnAnswerIsReportedAtOnce(t *testing.T) {
	t.Run("new connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			conn := newScriptedConn("")
			conn.write = conn.stall
			if _, took, err := upload(t, conn, true, zeros()); err == nil || took > time.Second {
				t.Fatalf("ended with %v after %v", err, took)
			}
		})
	})
	t.Run("reused connection", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			conn, again := newScriptedConn("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), make(chan struct{})
			conn.beforeEnd = func() { <-again }
			conn.write = func() error {
				close(again)
				return conn.stall()
			}
			pool := poolOf(conn)
			if body, _, err := send(t, t.Context(), pool, true, strings.NewReader("first"), 5); body != "ok" || err != nil {
				t.Fatalf("received %q, %v", body, err)
			}
			if _, took, err := send(t, t.Context(), pool, true, zeros(), uploadBytes); err == nil || took > time.Second {
				t.Fatalf("ended with %v after %v", err, took)
			}
		})
	})
}

// Guards against sound early answers that are lost, or held until the upload has ended.
func TestSoundEarlyAnswersAreWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"length": earlyHead + "Content-Length: 5\r\n\r\nwhole",
		"chunks": earlyHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := newScriptedConn(answer)
				conn.write = conn.stall
				body, took, err := upload(t, conn, true, zeros())
				if body != "whole" || err != nil || took > time.Second {
					t.Fatalf("received %q, %v, after %v", body, err, took)
				}
			})
		})
	}
	for _, traced := range []bool{false, true} {
		t.Run("connection", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := newScriptedConn(earlyHead + "\r\nwhole")
				conn.write = func() error {
					time.Sleep(pause)
					return nil
				}
				body, _, err := upload(t, conn, traced, zeros())
				if body != "whole" || err != nil {
					t.Fatalf("received %q, %v, traced: %v", body, err, traced)
				}
			})
		})
	}
}
