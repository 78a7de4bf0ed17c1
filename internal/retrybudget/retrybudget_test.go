package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
)

// Guards the site's bound on repeats: in any window, all nodes together stay below ratio x requests + slack.
func TestAllNodesTogetherKeepTheBound(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 12).Draw(t, "nodes")
		options := retrybudget.Options{Ratio: 0.2, Slack: 58, Window: window, Nodes: nodes}
		budgets := make([]*retrybudget.Budget, nodes)
		for i := range budgets {
			budgets[i] = retrybudget.New(options)
		}
		now := time.Unix(1_000_000, 0)
		type entry struct {
			at     time.Time
			repeat bool
		}
		var log []entry
		for range rapid.IntRange(10, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				budget.Request(now)
				log = append(log, entry{now, false})
			} else if budget.TryRepeat(now) {
				log = append(log, entry{now, true})
			}
		}
		for i := range log {
			requests, repeats := 0, 0
			for j := range log {
				age := log[i].at.Sub(log[j].at)
				// The platform counts the requests of the window or of the one before it.
				if !log[j].repeat && age >= 0 && age < 2*window {
					requests++
				}
				if log[j].repeat && age >= 0 && age < window {
					repeats++
				}
			}
			if float64(repeats) > options.Ratio*float64(requests)+options.Slack {
				t.Fatalf("%d repeats for %d requests", repeats, requests)
			}
		}
	})
}
