package netfault_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/standin/fault"
	"waxwingcleat.example/waxwingcleat/internal/standin/netfault"
)

func TestNetfault(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "netfault")
}

const (
	target  = "echo"
	timeout = 10 * time.Second
	// silenceTimeout is how long a test waits for data before it considers a connection silent.
	silenceTimeout = 100 * time.Millisecond
)

// echo answers each line with itself and closes the connection after "bye".
func echo(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := io.WriteString(connection, line); err != nil || line == "bye\n" {
			return
		}
	}
}

func start() (*netfault.Listener, *fault.Registry) {
	faults := fault.NewRegistry(time.Now, func(fault.Order) {})
	listener, err := netfault.Listen("127.0.0.1:0", target, faults)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	listener.DeclareFaults()
	faults.Declare(target, fault.Restart)
	ginkgo.DeferCleanup(func() {
		_ = listener.Close()
		listener.Break()
	})
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go echo(connection)
		}
	}()
	return listener, faults
}

func dial(listener net.Listener) net.Conn {
	connection, err := net.Dial("tcp", listener.Addr().String())
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(connection.Close)
	return connection
}

// exchange sends a line and returns the answer, which must arrive within limit.
func exchange(connection net.Conn, line string, limit time.Duration) (string, error) {
	_, _ = io.WriteString(connection, line)
	_ = connection.SetReadDeadline(time.Now().Add(limit))
	answer := make([]byte, len(line))
	_, err := io.ReadFull(connection, answer)
	return string(answer), err
}

var _ = ginkgo.Describe("Listener", func() {
	// Guards against silent connections that the peer can detect because they are closed, and against silencing new ones.
	ginkgo.It("silences open connections, but not new ones, without closing them", func() {
		listener, faults := start()
		old := dial(listener)
		gomega.Expect(exchange(old, "a\n", timeout)).To(gomega.Equal("a\n"))
		gomega.Expect(faults.Activate(fault.Order{Target: target, Kind: fault.Silence})).To(gomega.Succeed())
		_, err := exchange(old, "bye\n", silenceTimeout)
		gomega.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
		gomega.Expect(exchange(dial(listener), "b\n", timeout)).To(gomega.Equal("b\n"))
		listener.Break()
		_, err = exchange(old, "c\n", silenceTimeout)
		gomega.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
	})

	// Guards against a freeze that drops received data or refuses connections.
	ginkgo.It("answers nothing while frozen and all requests afterwards", func() {
		listener, faults := start()
		gomega.Expect(faults.Activate(fault.Order{Target: target, Kind: fault.Freeze})).To(gomega.Succeed())
		connection := dial(listener)
		_, err := exchange(connection, "a\n", silenceTimeout)
		gomega.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeTrue(), "%v", err)
		faults.Clear(target, fault.Freeze)
		answer := make([]byte, 2)
		_ = connection.SetReadDeadline(time.Now().Add(timeout))
		_, err = io.ReadFull(connection, answer)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(string(answer)).To(gomega.Equal("a\n"))
	})

	// Guards against a restarting server that still accepts requests.
	ginkgo.It("closes new connections while a restart lasts", func() {
		listener, faults := start()
		gomega.Expect(faults.Activate(fault.Order{Target: target, Kind: fault.Restart, Duration: 3600e9})).To(gomega.Succeed())
		_, err := exchange(dial(listener), "a\n", timeout)
		gomega.Expect(err).To(gomega.HaveOccurred())
		gomega.Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(gomega.BeFalse())
		faults.Clear(target, fault.Restart)
		gomega.Expect(exchange(dial(listener), "b\n", timeout)).To(gomega.Equal("b\n"))
	})
})
