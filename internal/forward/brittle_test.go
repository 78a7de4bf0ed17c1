package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// roomGate admits as many prompts as there is room for, and records how they were released.
type roomGate struct {
	room     int
	released []bool
}

func (r *roomGate) Await(context.Context, forward.Prompt, time.Duration) (forward.Admission, bool) {
	if r.room == 0 {
		return forward.Admission{}, false
	}
	r.room--
	return forward.Admission{Release: func(read bool) { r.released = append(r.released, read) }, ByHolder: true}, true
}

// Guards against a stream that is resumed at a brittle server without room, and against room that the broken stream keeps at
// its first server meanwhile.
func TestResumedStreamNeedsRoomAtABrittleServer(t *testing.T) {
	for room, sends := range map[int]int{1: 1, 2: 2} {
		g := gomega.NewWithT(t)
		f, gate := newFixture(serving.Stream, "a", "b"), &roomGate{room: room}
		config := *f.forwarder.Config()
		config.Services = map[string]serving.Service{service: {Name: service, Engine: &serving.Engine{}}}
		config.Routes = []serving.Route{config.Routes[0]}
		config.Routes[0].Resumable = true
		f.forwarder = forward.New(forward.Options{
			Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
			Crashes: noCrashes{}, Origins: noOrigins{}, Gate: gate, Events: event.Discard(), Nodes: func() int { return 1 },
			RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		})
		f.forwarder.SetConfig(&config)
		now := time.Now()
		for _, id := range []string{"a", "b"} {
			f.view.Publish(now, serverview.Published{ServerID: id, Holder: "h", Sequence: 1, Ready: true})
			f.view.NoteTolerance(now, serverview.ToleranceNotice{ServerID: id, PerSecond: 3, NamedAt: now})
		}
		f.answer = func(string) (*http.Response, error) {
			broken := answerWith(http.StatusOK, "")
			broken.Header.Set("Content-Type", "text/event-stream")
			broken.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: x\n\n"), failingReader{}))
			return broken, nil
		}
		g.Expect(func() { f.call() }).To(gomega.PanicWith(gomega.MatchError(http.ErrAbortHandler)))
		g.Expect(f.sent).To(gomega.HaveLen(sends))
		g.Expect(gate.released[:2]).To(gomega.Equal([]bool{true, false}))
	}
}
