package quota_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/quota"
)

// Guards against a preview that uses credit or asks the coordinator, and against one that decides otherwise than a request.
func TestPreviewDecidesAsARequestAndChangesNothing(t *testing.T) {
	bound := quota.Bound{Window: 8 * time.Second, Over: 0.1, Slack: 17_000}
	limit := quota.Quota{PerSecond: 1000, Burst: 1000}
	rapid.Check(t, func(t *rapid.T) {
		// One client gets previews, the other none; apart from that both get the same requests and answers.
		previewed, plain := quota.NewClient(bound, 1), quota.NewClient(bound, 1)
		coordinator, undisturbed := quota.NewCoordinator(0, 0, limit, bound), quota.NewCoordinator(0, 0, limit, bound)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			answers := rapid.IntRange(0, 3).Draw(t, "coordinator answers") > 0
			request := quota.Request{
				Customer: "c", Quota: limit, Nodes: 3, Cost: float64(rapid.IntRange(0, 900).Draw(t, "cost")),
				Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Patience: 50 * time.Millisecond,
				Coordinator: rapid.SampledFrom([]string{"n1", "n1", "n1", ""}).Draw(t, "coordinator"),
			}
			coordinator.Preview(now + 10*time.Second)
			var expected quota.Decision
			var expectedNow bool
			for range 3 {
				previewed.State(now, "c", request.Coordinator)
				expected, expectedNow = previewed.Preview(now, request)
			}
			var got [2]quota.Decision
			var decided [2]bool
			for i, client := range []*quota.Client{previewed, plain} {
				_, got[i], decided[i] = client.Acquire(now, request)
			}
			expected.ID = got[1].ID
			if got[0] != got[1] || decided[0] != decided[1] || expected != got[1] || expectedNow != decided[1] {
				t.Fatalf("expected %+v (%t), got %+v (%v)", expected, expectedNow, got, decided)
			}
			messages, _ := previewed.Take()
			others, _ := plain.Take()
			if len(messages) != len(others) {
				t.Fatalf("%d messages, without previews %d", len(messages), len(others))
			}
			for _, message := range others {
				if message.Ask != nil && answers {
					answer := coordinator.Ask(now, "n0", *message.Ask)
					if other := undisturbed.Ask(now, "n0", *message.Ask); other != answer {
						t.Fatalf("answer %+v, without previews %+v", answer, other)
					}
					previewed.Answer(now, message.To, answer)
					plain.Answer(now, message.To, answer)
				}
			}
			previewed.Tick(now)
			plain.Tick(now)
			now += time.Millisecond
			state := coordinator.Preview(now)
			if got, without := coordinator.State(now), undisturbed.State(now); got != without || state != got {
				t.Fatalf("preview %+v, state %+v, without previews %+v", state, got, without)
			}
		}
	})
}

// Guards against a state that doesn't show the credit at hand, the coordinator's silence, or the requests that wait.
func TestStateShowsCreditSilenceAndWaitingRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	bound := quota.Bound{Window: 8 * time.Second, Over: 0.1, Slack: 17_000}
	limit := quota.Quota{PerSecond: 1000, Burst: 1000}
	client := quota.NewClient(bound, 1)
	request := quota.Request{Customer: "c", Quota: limit, Nodes: 3, Cost: 10, Patience: 50 * time.Millisecond, Coordinator: "n1"}
	g.Expect(client.State(0, "c", "n1")).To(gomega.Equal(quota.ClientState{AnsweredAgo: -1}))
	client.Acquire(0, request)
	g.Expect(client.State(0, "c", "n1").Waiting).To(gomega.Equal(1))
	messages, _ := client.Take()
	client.Answer(0, "n1", quota.Answer{ID: messages[0].Ask.ID, Granted: 100})
	state := client.State(100*time.Millisecond, "c", "n1")
	g.Expect(state.Credit).To(gomega.Equal(90.0))
	g.Expect(state.AnsweredAgo).To(gomega.Equal(100 * time.Millisecond))
	request.Cost = 200
	client.Acquire(100*time.Millisecond, request)
	client.Tick(time.Second)
	g.Expect(client.State(time.Second, "c", "n1").SilentFor).To(gomega.BeNumerically(">", 0))
}
