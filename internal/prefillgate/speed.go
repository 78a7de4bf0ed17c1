package prefillgate

import "time"

const (
	// initialSpeed and initialOverhead are assumed until an engine has been observed, in tokens per millisecond and
	// milliseconds.
	initialSpeed    = 20.0
	initialOverhead = 30.0
	// minimumSpeed and maximumSpeed bound the estimate, in tokens per millisecond.
	minimumSpeed = 2.0
	maximumSpeed = 400.0
	// sampleDecay is the factor by which the weight of earlier samples decreases with each new one.
	sampleDecay = 0.95
	// longestSample is the longest busy period that is used as a sample. Longer ones are stalls.
	longestSample = 3 * time.Second
)

// speedEstimate learns how fast an engine reads prompts, by a regression of the duration of busy periods on the number of
// tokens read in them. The intercept covers what doesn't depend on the tokens: the way there and back and the decoding
// steps of the first event. Parts of prompts that the engine has cached count as read, so the speed is that of prompts as
// they arrive.
type speedEstimate struct {
	// weight, x, y, xx and xy are the weighted sums over the samples, of tokens (x) and milliseconds (y).
	weight, x, y, xx, xy float64
}

func newSpeedEstimate() speedEstimate {
	var e speedEstimate
	for _, tokens := range []float64{500, 4000} {
		e.add(tokens, initialOverhead+tokens/initialSpeed)
	}
	return e
}

func (e *speedEstimate) add(tokens, milliseconds float64) {
	e.weight = sampleDecay*e.weight + 1
	e.x = sampleDecay*e.x + tokens
	e.y = sampleDecay*e.y + milliseconds
	e.xx = sampleDecay*e.xx + tokens*tokens
	e.xy = sampleDecay*e.xy + tokens*milliseconds
}

// tokensPerMs returns the estimated speed.
func (e *speedEstimate) tokensPerMs() float64 {
	variance := e.xx - e.x*e.x/e.weight
	covariance := e.xy - e.x*e.y/e.weight
	if covariance <= variance/maximumSpeed {
		return maximumSpeed
	}
	return max(variance/covariance, minimumSpeed)
}

// busyPeriod is a time in which the engine has prompts to read.
type busyPeriod struct {
	since  time.Time
	tokens int
	// abandoned is true when a request ended before its prompt was read. Prompts that timed out count as read then, so
	// that an engine that is slower than expected is noticed.
	abandoned bool
}

// sample returns the period as a sample, unless it can't serve as one.
func (p busyPeriod) sample(end time.Time) (tokens, milliseconds float64, usable bool) {
	duration := end.Sub(p.since)
	return float64(p.tokens), float64(duration) / float64(time.Millisecond), !p.abandoned && duration <= longestSample
}
