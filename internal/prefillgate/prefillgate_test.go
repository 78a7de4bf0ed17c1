package prefillgate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

var start = time.Unix(1_000_000, 0)

// bound is the bound on pauses in the tests that play no engine.
var bound = prefillgate.Options{MaxPause: 250 * time.Millisecond}

// Guards against a queue that stalls: every request is granted eventually.
func TestEveryAskIsGrantedOrTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(bound)
	for id := uint64(1); id <= 10; id++ {
		gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: 2000, At: start})
	}
	count := 0
	for now := start; now.Before(start.Add(2500 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		granted, _ := gate.Next(now)
		count += len(granted)
		for _, request := range granted {
			gate.Done(now, request.Node, request.ID, true)
		}
	}
	g.Expect(count).To(gomega.Equal(10))
}

// Guards against a slow server that gets more prompts than it reads.
func TestServerThatReadsNothingGetsNoMorePrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(bound)
	sum := 0
	for id := uint64(1); id <= 100; id++ {
		now := start.Add(time.Duration(id) * 10 * time.Millisecond)
		gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: 900, At: now})
		granted, _ := gate.Next(now)
		for _, request := range granted {
			sum += request.Tokens
		}
	}
	g.Expect(sum).To(gomega.BeNumerically("<=", 7000))
}

// Guards against urgent requests that wait behind less urgent ones, and against starvation of the latter.
func TestRankCountsAsWaitingTime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(bound)
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 1, Tokens: 7000, Priority: 0, At: start})
	gate.Next(start)
	gate.Done(start, "n", 1, true)
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 2, Tokens: 100, Priority: 2, At: start})
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 3, Tokens: 100, Priority: 0, At: start.Add(50 * time.Millisecond)})
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 4, Tokens: 100, Priority: 0, At: start.Add(250 * time.Millisecond)})
	granted, _ := gate.Next(start.Add(time.Second))
	ids := []uint64{granted[0].ID, granted[1].ID, granted[2].ID}
	g.Expect(ids).To(gomega.Equal([]uint64{3, 2, 4}))
}

// Guards against arrivals that count twice as nodes repeat their requests, and against a rate that isn't that of the requests.
func TestArrivalsAreCountedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(bound)
	now := start
	for id := uint64(1); id <= 300; id++ {
		now = start.Add(time.Duration(id) * 100 * time.Millisecond)
		for range 2 {
			gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: 10, At: now})
		}
		gate.Next(now)
		gate.Done(now, "n", id, true)
	}
	g.Expect(gate.Asked()).To(gomega.Equal(300))
	g.Expect(gate.Arrivals(now)).To(gomega.BeNumerically("~", 10, 0.5))
}
