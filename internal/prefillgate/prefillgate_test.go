package prefillgate_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/prefillgate"
)

var start = time.Unix(1_000_000, 0)

// engine has the specification of the users' sites: 38.7 prompt tokens per ms and pauses of at most 250 ms.
var engine = prefillgate.Options{TokensPerMs: 38.7, MaxPause: 250 * time.Millisecond}

// decodeTime is the time of the decoding steps of one event: 5 tokens of about 8 ms.
const decodeTime = 40 * time.Millisecond

// Guards against pauses of all streams of a server when several prompts arrive at once: on a day with little load, 9
// requests with 10,560 tokens within 20 ms made five streams pause for 290 ms (rmams-epaves quiet-1).
func TestPromptsWithinAPauseLeaveTimeForDecoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gate := prefillgate.New(engine)
		type admitted struct {
			at     time.Time
			tokens int
		}
		var admissions []admitted
		now := start
		var running []uint64
		for id := uint64(1); id <= 200; id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			// A prompt of 6900 tokens still leaves time for decoding when it is alone.
			tokens := rapid.IntRange(1, 6900).Draw(t, "tokens")
			gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: tokens, At: now})
			granted, _ := gate.Next(now)
			for _, request := range granted {
				admissions = append(admissions, admitted{now, request.Tokens})
				running = append(running, request.ID)
			}
			for len(running) > 0 && rapid.Bool().Draw(t, "read") {
				gate.Done("n", running[0])
				running = running[1:]
			}
		}
		bound := engine.TokensPerMs * float64((engine.MaxPause - decodeTime).Milliseconds())
		for i := range admissions {
			sum := 0
			for j := i; j < len(admissions) && admissions[j].at.Sub(admissions[i].at) < engine.MaxPause; j++ {
				sum += admissions[j].tokens
			}
			if float64(sum) > bound && sum != admissions[i].tokens {
				t.Fatalf("%d tokens were admitted within %s, bound %.0f", sum, engine.MaxPause, bound)
			}
		}
	})
}

// Guards against a queue that stalls: every request is granted eventually.
func TestEveryAskIsGrantedOrTimesOut(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(engine)
	for id := uint64(1); id <= 10; id++ {
		gate.Enqueue(prefillgate.Request{Node: "n", ID: id, Tokens: 2000, At: start})
	}
	count := 0
	for now := start; now.Before(start.Add(2500 * time.Millisecond)); now = now.Add(5 * time.Millisecond) {
		granted, _ := gate.Next(now)
		count += len(granted)
		for _, request := range granted {
			gate.Done(request.Node, request.ID)
		}
	}
	g.Expect(count).To(gomega.Equal(10))
}

// Guards against a slow server that gets more prompts than it reads.
func TestServerThatReadsNothingGetsNoMorePrompts(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := prefillgate.New(engine)
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
	gate := prefillgate.New(engine)
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 1, Tokens: 7000, Priority: 0, At: start})
	gate.Next(start)
	gate.Done("n", 1)
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 2, Tokens: 100, Priority: 2, At: start})
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 3, Tokens: 100, Priority: 0, At: start.Add(50 * time.Millisecond)})
	gate.Enqueue(prefillgate.Request{Node: "n", ID: 4, Tokens: 100, Priority: 0, At: start.Add(250 * time.Millisecond)})
	granted, _ := gate.Next(start.Add(time.Second))
	ids := []uint64{granted[0].ID, granted[1].ID, granted[2].ID}
	g.Expect(ids).To(gomega.Equal([]uint64{3, 2, 4}))
}
