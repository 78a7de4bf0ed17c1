package quota

import "time"

const (
	// grantDelay is how long after its grant credit for a request that doesn't wait may be used at a server. What is granted
	// within a window and that time may thus be used within one window.
	grantDelay = 500 * time.Millisecond
	// windowStep is the resolution at which grants are remembered.
	windowStep = 100 * time.Millisecond
	// windowExcess is the part of the allowed excess that a coordinator grants itself. The rest is for nodes that don't reach
	// it, which use up to 0.1 of the rate, and for shares that are still in use.
	windowExcess = 0.25
)

// granted is what was granted within one windowStep.
type grantedStep struct {
	at     time.Duration
	amount float64
}

// grantWindow sums up the grants of the latest window. A token bucket that fills at the customer's rate would refuse
// customers that use their burst again in each window, although the bound allows it.
type grantWindow struct {
	steps []grantedStep
	sum   float64
}

// add records a grant, or what was given back of one if the amount is negative.
func (w *grantWindow) add(at time.Duration, amount float64) {
	at = at.Truncate(windowStep)
	w.sum += amount
	for i := len(w.steps) - 1; i >= 0; i-- {
		if w.steps[i].at == at {
			w.steps[i].amount += amount
			return
		}
	}
	if amount < 0 {
		// The grant has left the window already.
		w.sum -= amount
		return
	}
	w.steps = append(w.steps, grantedStep{at, amount})
}

// expire forgets the grants that are older than span.
func (w *grantWindow) expire(now, span time.Duration) {
	for len(w.steps) > 0 && now-w.steps[0].at > span+windowStep {
		w.sum -= w.steps[0].amount
		w.steps = w.steps[1:]
	}
	if len(w.steps) == 0 {
		w.sum = 0
	}
}

// until returns the time until the sum has fallen by an amount.
func (w *grantWindow) until(now, span time.Duration, amount float64) time.Duration {
	for _, step := range w.steps {
		if amount -= step.amount; amount <= 0 {
			return max(step.at+span+windowStep-now, time.Microsecond)
		}
	}
	return span
}
