package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/delay"
)

const (
	// defaultRetryAfter is used when an answer names no time.
	defaultRetryAfter = 200 * time.Millisecond
	// maximumDetails bounds the problems that a summary quotes.
	maximumDetails = 10
)

// CheckOptions configures a check.
type CheckOptions struct {
	// Gateways are addresses ip:port. A retry goes to the next one.
	Gateways []string
	Requests int
	// Duration makes the check send new requests until it is over, instead of a number of Requests.
	Duration    time.Duration
	Concurrency int
	// Adapters is the number of adapters, numbered from 0 in the order of popularity.
	Adapters int
	// AdapterName is a format for the adapter's number.
	AdapterName string
	Version     string
	// OtherVersion makes the requests name only the adapter. Each answer must be whole from either version.
	OtherVersion string
	MaxTokens    int
	// Skew is the exponent of the Zipf distribution and must be above 1.
	Skew float64
	// StreamShare is the share of streamed requests, from 0 to 1.
	StreamShare float64
	Priority    string
	Seed        uint64
	// AttemptTimeout bounds one attempt, and RequestTimeout a request with its retries.
	AttemptTimeout time.Duration
	RequestTimeout time.Duration
	// RefuseBroken makes an attempt that broke visibly a problem, for checks of planned stops.
	RefuseBroken bool
}

// Summary is the result of a check.
type Summary struct {
	Requests int `json:"requests"`
	// Whole counts the requests that ended with a correct answer.
	Whole int `json:"whole"`
	// Attempts counts the calls; NotRun and Broken count the failed ones among them.
	Attempts int `json:"attempts"`
	NotRun   int `json:"notRun"`
	Broken   int `json:"broken"`
	// Mismatches counts wrong answers, Unanswered the requests without an answer in time.
	Mismatches int `json:"mismatches"`
	Unanswered int `json:"unanswered"`
	// Adapters is the number of different adapters asked for.
	Adapters      int       `json:"adapters"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Total         Quantiles `json:"total"`
	// TotalWithRetries is the time from the first attempt of a request to its answer.
	TotalWithRetries Quantiles `json:"totalWithRetries"`
	ElapsedMs        int64     `json:"elapsedMs"`
	Seed             uint64    `json:"seed"`
	// Details quotes the first problems: mismatches and missing answers, and broken attempts if they are refused.
	Details []string `json:"details,omitempty"`

	refuseBroken bool
}

// OK reports whether every request got a correct answer and no wrong one.
func (s Summary) OK() bool {
	if s.refuseBroken && s.Broken > 0 {
		return false
	}
	return s.Mismatches == 0 && s.Unanswered == 0 && s.Whole == s.Requests
}

type checker struct {
	options CheckOptions
	caller  *Caller

	mu          sync.Mutex
	summary     Summary
	asked       map[string]bool
	first       *timings
	between     *timings
	total       *timings
	withRetries *timings
}

// Check sends the requests and verifies each answer. An error is returned only when ctx ends.
func Check(ctx context.Context, options CheckOptions) (Summary, error) {
	c := &checker{
		options: options, caller: NewCaller(options.Concurrency), asked: make(map[string]bool),
		first: newTimings(), between: newTimings(), total: newTimings(), withRetries: newTimings(),
	}
	defer c.caller.Close()
	start := time.Now()
	var group errgroup.Group
	group.SetLimit(options.Concurrency)
	draw := newDraw(options)
	for i := 0; ctx.Err() == nil && options.more(i, time.Since(start)); i++ {
		spec := draw.next(i)
		group.Go(func() error { c.run(ctx, i, spec); return nil })
	}
	_ = group.Wait()
	return c.finish(start), ctx.Err()
}

// more reports whether request i is still to be sent.
func (o CheckOptions) more(i int, elapsed time.Duration) bool {
	if o.Duration > 0 {
		return elapsed < o.Duration
	}
	return i < o.Requests
}

// draw makes the requests of a seed.
type draw struct {
	options CheckOptions
	random  *rand.Rand
	zipf    *rand.Zipf
}

func newDraw(options CheckOptions) *draw {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &draw{options: options, random: random, zipf: rand.NewZipf(random, options.Skew, 1, uint64(options.Adapters-1))}
}

func (d *draw) next(i int) Spec {
	return Spec{
		Adapter:   fmt.Sprintf(d.options.AdapterName, d.zipf.Uint64()),
		Version:   d.options.Version,
		Other:     d.options.OtherVersion,
		Prompt:    fmt.Sprintf("check %d request %d", d.options.Seed, i),
		MaxTokens: 1 + d.random.IntN(d.options.MaxTokens),
		Stream:    d.random.Float64() < d.options.StreamShare,
		Priority:  d.options.Priority,
	}
}

// run sends one request until it has an answer or its time is over.
func (c *checker) run(ctx context.Context, i int, spec Spec) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	start := time.Now()
	var last Result
	for attempt := 0; ctx.Err() == nil; attempt++ {
		gateway := c.options.Gateways[(i+attempt)%len(c.options.Gateways)]
		last = c.attempt(ctx, gateway, spec)
		c.count(last)
		if last.Verdict == Whole || last.Verdict == Mismatch {
			c.end(spec, last, time.Since(start))
			return
		}
		pause(ctx, last.RetryAfter)
	}
	c.end(spec, last, time.Since(start))
}

func (c *checker) attempt(ctx context.Context, gateway string, spec Spec) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	return c.caller.Do(ctx, gateway, spec.Model(), spec)
}

func (c *checker) count(result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Attempts++
	switch result.Verdict {
	case NotRun:
		c.summary.NotRun++
	case Broken:
		c.summary.Broken++
		if c.options.RefuseBroken {
			c.quote("broken: " + result.Detail)
		}
	}
}

// quote adds a problem to the summary. The caller holds mu.
func (c *checker) quote(detail string) {
	if len(c.summary.Details) < maximumDetails {
		c.summary.Details = append(c.summary.Details, detail)
	}
}

func (c *checker) end(spec Spec, result Result, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[spec.Adapter] = true
	c.summary.Requests++
	switch result.Verdict {
	case Whole:
		c.summary.Whole++
		c.record(spec, result, elapsed)
		return
	case Mismatch:
		c.summary.Mismatches++
	default:
		c.summary.Unanswered++
	}
	c.quote(result.Detail)
}

// record adds the times of a whole answer. The caller holds mu.
func (c *checker) record(spec Spec, result Result, elapsed time.Duration) {
	if spec.Stream {
		c.first.record(result.FirstToken)
		for _, gap := range result.Gaps {
			c.between.record(gap)
		}
	}
	c.total.record(result.Total)
	c.withRetries.record(elapsed)
}

func (c *checker) finish(start time.Time) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := c.summary
	summary.Adapters = len(c.asked)
	summary.FirstToken = c.first.quantiles()
	summary.BetweenTokens = c.between.quantiles()
	summary.Total = c.total.quantiles()
	summary.TotalWithRetries = c.withRetries.quantiles()
	summary.ElapsedMs = time.Since(start).Milliseconds()
	summary.Seed = c.options.Seed
	summary.refuseBroken = c.options.RefuseBroken
	return summary
}

func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		d = defaultRetryAfter
	}
	delay.For(ctx, d)
}
