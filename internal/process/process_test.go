package process_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/connset"
	"waxwingcleat.example/waxwingcleat/internal/process"
)

// Guards against a planned stop that ends with an error because a peer has opened a connection and sent no request yet, which
// net/http waits for.
func TestConnectionWithoutARequestDoesNotFailAShutdown(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- process.ServeLimited(ctx, listener, http.NotFoundHandler(), 200*time.Millisecond, connset.Options{})
	}()
	unused, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer unused.Close()
	// An answer over a second connection shows that the first one was accepted.
	answer, err := http.Get("http://" + listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(answer.Body.Close()).To(gomega.Succeed())
	stop()
	g.Eventually(ended, 5*time.Second).Should(gomega.Receive(gomega.BeNil()))
}
