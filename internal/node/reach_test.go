package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/peerlink"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/upstream"
)

// Guards against a request that is handed over to a node that can't serve it, is busy, or is far although a near one can.
func TestHandoverGoesToANearNodeThatReachesTheServers(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.settings.Node.Zone = "a"
	now := time.Now()
	for address, zone := range map[string]string{"10.0.0.1:7": "a", "10.0.0.2:7": "a", "10.0.0.3:7": "b"} {
		n.peers.recordSeen(now, address, zone, 4)
	}
	n.handleMessage(now, peerlink.Message{From: "10.0.0.1:7", Zone: "a", UnreachableServers: []string{"s1", "s2"}})
	servers := []string{"s1", "s2"}
	g.Expect(n.reach.Choose(servers, nil)).To(gomega.Equal("10.0.0.2:7"))
	g.Expect(n.reach.Choose(servers, map[string]bool{"10.0.0.2:7": true})).To(gomega.Equal("10.0.0.3:7"))
	n.reach.NotTaken("10.0.0.2:7")
	g.Expect(n.reach.Choose(servers, nil)).To(gomega.Equal("10.0.0.3:7"))
	g.Expect(n.reach.Choose([]string{"s1", "s3"}, map[string]bool{"10.0.0.3:7": true})).To(gomega.Equal("10.0.0.1:7"))
}

// Guards against a node that isn't told what the others can't reach, and hands requests over to them.
func TestNodesTellWhatTheyCannotReach(t *testing.T) {
	g := gomega.NewWithT(t)
	nodes := newLinkedNodes(t, 2, false)
	address := closedAddress(t)
	for _, n := range nodes {
		n.view.PutEntry(time.Now(), serving.Server{ID: "s", Address: address, Service: "x"})
		n.view.Unreachable(time.Now(), "s")
	}
	go func() { _ = nodes[0].reach.run(t.Context()) }()
	g.Eventually(func() string { return nodes[1].reach.Choose([]string{"s"}, nil) }).Should(gomega.BeEmpty())
}

// Guards against a node that doesn't notice that servers can't be reached, or can be again.
func TestReachOfServersIsProbed(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	var cut atomic.Bool
	n.connections = upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
		if cut.Load() {
			return nil, syscall.ECONNREFUSED
		}
		near, far := net.Pipe()
		return near, far.Close()
	})
	n.view.PutEntry(time.Now(), serving.Server{ID: "s", Address: "10.0.0.9:80", Service: "x"})
	go func() { _ = n.reach.run(t.Context()) }()
	lost := func() []string { return n.view.UnreachableServers(time.Now()) }
	n.view.Doubt("s")
	g.Consistently(lost, 500*time.Millisecond).Should(gomega.BeEmpty())
	cut.Store(true)
	n.view.Doubt("s")
	g.Eventually(lost).Should(gomega.ConsistOf("s"))
	cut.Store(false)
	g.Eventually(lost).Should(gomega.BeEmpty())
}

// Guards against requests from outside the site that are taken as those of another node.
func TestOnlyNodesOfTheSiteHandRequestsOver(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newCrashesNode(t)
	n.peers.recordSeen(time.Now(), "10.0.0.2:7", "a", 2)
	handler := n.servePeer(n.peerSnapshotHandler())
	status := func(remote string) int {
		recorder, request := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/x", http.NoBody)
		request.RemoteAddr = remote
		request.Header.Set("Waxwing-Caller", "192.0.2.1")
		handler.ServeHTTP(recorder, request)
		g.Expect(recorder.Header().Get("Waxwing-Not-Taken")).To(gomega.Equal("1"))
		return recorder.Code
	}
	g.Expect(status("10.0.0.2:33000")).To(gomega.Equal(http.StatusServiceUnavailable), "it has no configuration")
	g.Expect(status("192.0.2.9:33000")).To(gomega.Equal(http.StatusForbidden))
}
