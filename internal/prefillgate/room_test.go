package prefillgate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

// brittleGate is a gate of a brittle server that processes two requests at once.
func brittleGate() *prefillgate.Core {
	gate := prefillgate.New(prefillgate.Options{MaxPause: time.Second})
	gate.SetRoom(&prefillgate.Room{Requests: 2})
	return gate
}

// ask queues a request whose end will be told.
func ask(gate *prefillgate.Core, now time.Time, id uint64) {
	gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: 1, At: now, Lifetime: 10 * time.Second})
}

// granted returns the IDs of the requests that the gate grants.
func granted(gate *prefillgate.Core, now time.Time) (ids []uint64) {
	requests, _ := gate.Next(now)
	for _, request := range requests {
		ids = append(ids, request.ID)
	}
	return ids
}

// Guards against a brittle server that gets more requests than it processes at once, although their prompts were read.
func TestBrittleServerGetsNoMoreThanItsRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := brittleGate()
	for id := range uint64(3) {
		ask(gate, start, id)
	}
	g.Expect(granted(gate, start)).To(gomega.Equal([]uint64{0, 1}))
	gate.Done(start, "n", 0, true)
	g.Expect(granted(gate, start.Add(time.Second))).To(gomega.BeEmpty())
	gate.Ended(start.Add(time.Second), "n", 0)
	g.Expect(granted(gate, start.Add(time.Second))).To(gomega.Equal([]uint64{2}))
	g.Expect(gate.Backlog()).To(gomega.Equal(500*time.Millisecond), "one of two requests of a second each has to end")
	// A request that ends before its prompt was read frees its room as well.
	ask(gate, start, 3)
	gate.Done(start, "n", 1, false)
	g.Expect(granted(gate, start.Add(time.Second))).To(gomega.Equal([]uint64{3}))
}

// Guards against a new holder that fills a brittle server beside the requests that were admitted before.
func TestRequestsOfThePreviousHolderCount(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := brittleGate()
	gate.Reported(start, 2)
	ask(gate, start, 1)
	g.Expect(granted(gate, start)).To(gomega.BeEmpty())
	gate.Reported(start.Add(time.Second), 1)
	g.Expect(granted(gate, start.Add(time.Second))).To(gomega.Equal([]uint64{1}))
	// The server now reports the request that the gate knows, and no other one.
	gate.Reported(start.Add(2*time.Second), 1)
	g.Expect(gate.Present()).To(gomega.Equal(1))
}

// Guards against room that is lost with a message about the end of a request, or with the node that has sent it.
func TestRequestsWhoseEndIsLostAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := brittleGate()
	ask(gate, start, 1)
	ask(gate, start, 2)
	g.Expect(granted(gate, start)).To(gomega.HaveLen(2))
	gate.Reported(start.Add(100*time.Millisecond), 0)
	g.Expect(gate.Present()).To(gomega.Equal(2), "the requests may be on their way")
	gate.Reported(start.Add(2*time.Second), 1)
	g.Expect(gate.Present()).To(gomega.Equal(1))
	ask(gate, start.Add(20*time.Second), 3)
	ask(gate, start.Add(20*time.Second), 4)
	g.Expect(granted(gate, start.Add(20*time.Second))).To(gomega.HaveLen(2), "the deadline of the last one has passed")
}

// Guards against a request to a server that has rejected nearly as many as it tolerates, and against one that waits for good
// once it may get requests again.
func TestClosedServerGetsItsRequestsLater(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := brittleGate()
	opens := start.Add(time.Second)
	gate.SetRoom(&prefillgate.Room{Requests: 2, ClosedUntil: opens})
	ask(gate, start, 1)
	requests, next := gate.Next(start)
	g.Expect(requests).To(gomega.BeEmpty())
	g.Expect(next).To(gomega.Equal(opens))
	g.Expect(granted(gate, opens)).To(gomega.Equal([]uint64{1}))
}
