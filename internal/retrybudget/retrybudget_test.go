package retrybudget_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/retrybudget"
)

// Guards the site's limit on retries: in any window, all nodes together stay within ratio x requests + slack.
func TestAllNodesTogetherStayWithinTheLimit(t *testing.T) {
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
			at    time.Time
			retry bool
		}
		var entries []entry
		for range rapid.IntRange(10, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			budget := budgets[rapid.IntRange(0, nodes-1).Draw(t, "node")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				budget.Request(now)
				entries = append(entries, entry{now, false})
			} else if budget.TryRetry(now) {
				entries = append(entries, entry{now, true})
			}
		}
		for i := range entries {
			requests, retries := 0, 0
			for j := range entries {
				age := entries[i].at.Sub(entries[j].at)
				// The platform counts the requests of the window or of the one before it.
				if !entries[j].retry && age >= 0 && age < 2*window {
					requests++
				}
				if entries[j].retry && age >= 0 && age < window {
					retries++
				}
			}
			if float64(retries) > options.Ratio*float64(requests)+options.Slack {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}
