package quota_test

import (
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/quota"
)

// Guards against a token bucket alone: a customer whose rate was lowered below its demand, but whose demand is within the rate
// and the burst of each window, was refused 0.3 of its requests.
func TestBurstMayBeUsedInEachWindow(t *testing.T) {
	const (
		cost = 1000.0
		step = 12500 * time.Microsecond
	)
	limits := quota.Quota{PerSecond: 56_155, Burst: 202_155}
	bound := quota.Bound{Window: 8 * time.Second, Over: 0.1, Slack: 17_000}
	c := quota.NewCoordinator(time.Minute, 0, limits, bound)
	var grantedAt []time.Duration
	asked, granted := 0, 0
	for now := time.Minute; now < 2*time.Minute; now += step {
		asked++
		answer := c.Ask(now, "n", quota.Ask{ID: uint64(asked), Cost: cost, Share: limits.PerSecond})
		if answer.Granted > 0 {
			granted++
			grantedAt = append(grantedAt, now)
		}
		first := len(grantedAt)
		for first > 0 && now-grantedAt[first-1] < bound.Window {
			first--
		}
		if used := float64(len(grantedAt)-first) * cost; used > bound.Limit(limits) {
			t.Fatalf("%v units in a window at %v, the bound is %v", used, now, bound.Limit(limits))
		}
	}
	due := (limits.PerSecond + limits.Burst/bound.Window.Seconds()) * time.Minute.Seconds() / cost
	if want := 0.95 * min(due, float64(asked)); float64(granted) < want {
		t.Fatalf("%d of %d requests granted, want %.0f", granted, asked, want)
	}
}
