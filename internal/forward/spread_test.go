package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/crashguard"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/eventgap"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
	"waxwingcleat.example/waxwingcleat/internal/serverview"
	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

// openGate admits every prompt at once.
type openGate struct{}

func (openGate) Await(context.Context, forward.Prompt, time.Duration) (forward.Admission, bool) {
	return forward.Admission{Release: func(bool) {}}, true
}

// Guards against a choice that doesn't learn how many nodes choose: on a site of 81 nodes all of them would send to the
// server which was the least loaded one some time ago, and on a site of 9 nodes they would not.
func TestNumberOfNodesReachesTheChoice(t *testing.T) {
	g := gomega.NewWithT(t)
	for nodes, servers := range map[int]int{9: 1, 81: 2} {
		f := newFixture(serving.NonIdempotent)
		config := *f.forwarder.Config()
		config.Services = map[string]serving.Service{service: {Name: service, Engine: &serving.Engine{}}}
		f.forwarder = forward.New(forward.Options{
			Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
			Crashes: noCrashes{}, Gate: openGate{}, Events: event.Discard(), Nodes: func() int { return nodes },
			RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		})
		f.forwarder.SetConfig(&config)
		sent := map[string]bool{}
		for i := range 40 {
			for s, running := range []int{20, 30} {
				id := fmt.Sprint("s", s)
				f.view.PutEntry(time.Now(), serving.Server{ID: id, Service: service, Address: id, Slots: 64})
				f.view.Publish(time.Now(), serverview.Published{
					ServerID: id, Holder: "h", Sequence: uint64(i + 1), Ready: true, Running: running, Arrivals: 20,
				})
			}
			f.call()
			sent[f.sent[len(f.sent)-1]] = true
		}
		g.Expect(sent).To(gomega.HaveLen(servers), fmt.Sprint(nodes, " nodes"))
	}
}

// Guards against events of streams that don't count for the server which sent them.
func TestEventsOfStreamsAreObserved(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFixture(serving.Stream)
	config := *f.forwarder.Config()
	config.Services = map[string]serving.Service{service: {Name: service, Engine: &serving.Engine{}}}
	var observed []crashguard.Incarnation
	f.forwarder = forward.New(forward.Options{
		Wire: wire{}, View: f.view, Usage: usage.New("n"), Transport: f, EventGaps: eventgap.New(), Limits: f.limits,
		Crashes: noCrashes{}, Gate: openGate{}, Origins: noOrigins{}, Events: event.Discard(), Nodes: func() int { return 81 },
		RetryBudget: retrybudget.Options{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		StepTimes:   func(_ time.Time, server crashguard.Incarnation, _ time.Duration) { observed = append(observed, server) },
	})
	f.forwarder.SetConfig(&config)
	f.view.PutEntry(time.Now(), serving.Server{ID: "s", Service: service, Address: "s", Slots: 64, Born: 7})
	f.view.Publish(time.Now(), serverview.Published{ServerID: "s", Born: 7, Holder: "h", Sequence: 1, Ready: true})
	f.answer = func(string) (*http.Response, error) {
		answer := answerWith(http.StatusOK, "")
		events, writer := io.Pipe()
		go func() {
			for range 3 {
				_, _ = io.WriteString(writer, "data: x\n\n")
			}
			_ = writer.Close()
		}()
		answer.Body, answer.ContentLength = events, -1
		return answer, nil
	}
	f.call()
	server := crashguard.Incarnation{ServerID: "s", Born: 7}
	g.Expect(observed).To(gomega.Equal([]crashguard.Incarnation{server, server}))
}
