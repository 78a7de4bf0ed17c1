// Package eventgap observes how much time passes between two events of the streams of each service while the engines read
// no prompts. It is safe for concurrent use.
package eventgap

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize and sampleAlpha are the parameters of the decaying sample of gaps.
	sampleSize  = 256
	sampleAlpha = 0.015
	// undisturbed is the quantile of the gaps that counts as one without prompts; under load most events are delayed.
	undisturbed = 0.25
	// minimumSamples is the number of gaps from which the quantile is used.
	minimumSamples = 20
)

// Observer holds the gaps of the streams of all services.
type Observer struct {
	mu        sync.Mutex
	byService map[string]metrics.Sample
}

// New returns an observer without gaps.
func New() *Observer { return &Observer{byService: make(map[string]metrics.Sample)} }

// Record records the time between two events of a stream.
func (o *Observer) Record(service string, gap time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sample := o.byService[service]
	if sample == nil {
		sample = metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		o.byService[service] = sample
	}
	sample.Update(gap.Microseconds())
}

// Typical returns the time between two events of a stream without prompts in between, and false until it is known.
func (o *Observer) Typical(service string) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sample := o.byService[service]
	if sample == nil || sample.Count() < minimumSamples {
		return 0, false
	}
	return time.Duration(sample.Percentile(undisturbed)) * time.Microsecond, true
}
