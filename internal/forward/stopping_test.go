package forward_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against requests, of callers or other nodes, that a stopping node passes on after it may not be able to answer them.
func TestClosedForwarderSendsNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.forwarder.Close()
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusServiceUnavailable))
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "http://example.com/x", strings.NewReader("body"))
	request.Header.Set("Waxwing-Caller", "10.0.0.1")
	f.forwarder.ServePeer(recorder, request)
	g.Expect(recorder.Header().Get("Waxwing-Not-Taken")).NotTo(gomega.BeEmpty(), "another node may take it")
	g.Expect(f.sent).To(gomega.BeEmpty())
}

// Guards against a request that still waits when a stopping node ends, and gets no answer or one that doesn't say that it has
// not run.
func TestRequestThatWaitsAtTheEndIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.NonIdempotent, "a")
	f.change(true, func(o *forward.Options) { o.Gate = gateFunc(func(string) {}) }, func(*serving.Route) {})
	f.view.Publish(time.Now(), serverview.Published{ServerID: "a", Holder: "h", Sequence: 1, Ready: true, Running: 4})
	time.AfterFunc(50*time.Millisecond, f.forwarder.End)
	begun := time.Now()
	g.Expect(f.call().Code).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(time.Since(begun)).To(gomega.BeNumerically("<", 500*time.Millisecond))
	g.Expect(f.sent).To(gomega.BeEmpty())
}
