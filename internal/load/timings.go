package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestTiming    = 10 * time.Minute
	timingDigits     = 3
	microsPerMilli   = 1000
	medianPercentile = 50
)

// Quantiles summarizes a distribution of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// timings is a histogram of times with a resolution of 1 µs. It isn't safe for concurrent use.
type timings struct {
	histogram *hdrhistogram.Histogram
}

func newTimings() *timings {
	return &timings{histogram: hdrhistogram.New(1, highestTiming.Microseconds(), timingDigits)}
}

// record adds a time. Times outside the range are clamped to its limits.
func (t *timings) record(d time.Duration) {
	_ = t.histogram.RecordValue(min(max(d, time.Microsecond), highestTiming).Microseconds())
}

func (t *timings) percentileMs(percentile float64) float64 {
	return float64(t.histogram.ValueAtPercentile(percentile)) / microsPerMilli
}

func (t *timings) quantiles() Quantiles {
	return Quantiles{
		Count: t.histogram.TotalCount(),
		P50:   t.percentileMs(medianPercentile),
		P95:   t.percentileMs(95),
		P99:   t.percentileMs(99),
		Max:   float64(t.histogram.Max()) / microsPerMilli,
	}
}
