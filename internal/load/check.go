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
	// defaultRetryAfter is the retry delay if the answer contains none.
	defaultRetryAfter = 200 * time.Millisecond
	// maximumDetails bounds the number of problems that a summary lists.
	maximumDetails = 10
)

// CheckOptions configures a check.
type CheckOptions struct {
	// Gateways are addresses of the form ip:port. A retry is sent to the next one.
	Gateways []string
	Requests int
	// Duration, if set, makes the check send new requests for this time instead of the number in Requests.
	Duration    time.Duration
	Concurrency int
	// Adapters is the number of adapters. They are numbered from 0 in descending order of popularity.
	Adapters int
	// AdapterName is a format for the adapter's number.
	AdapterName string
	Version     string
	// OtherVersion, if set, makes the requests name only the adapter. Each answer must come entirely from one of the two
	// versions.
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
	// RefuseBroken makes the check fail if an attempt broke, for checks of planned shutdowns.
	RefuseBroken bool
}

// Summary is the result of a check.
type Summary struct {
	Requests int `json:"requests"`
	// Complete counts the requests that got a complete and correct answer.
	Complete int `json:"whole"`
	// Attempts counts all attempts; NotRun and Broken count the failed ones among them.
	Attempts int `json:"attempts"`
	NotRun   int `json:"notRun"`
	Broken   int `json:"broken"`
	// Mismatches counts wrong answers. Unanswered counts the requests that got no answer before their timeout.
	Mismatches int `json:"mismatches"`
	Unanswered int `json:"unanswered"`
	// Adapters is the number of distinct adapters that were requested.
	Adapters      int       `json:"adapters"`
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Total         Quantiles `json:"total"`
	// TotalWithRetries is the time from the start of a request's first attempt to its answer.
	TotalWithRetries Quantiles `json:"totalWithRetries"`
	ElapsedMs        int64     `json:"elapsedMs"`
	Seed             uint64    `json:"seed"`
	// Details lists the first problems: mismatches, missing answers and, with RefuseBroken, broken attempts.
	Details []string `json:"details,omitempty"`

	refuseBroken bool
}

// OK reports whether every request got a correct answer and none got a wrong one.
func (s Summary) OK() bool {
	if s.refuseBroken && s.Broken > 0 {
		return false
	}
	return s.Mismatches == 0 && s.Unanswered == 0 && s.Complete == s.Requests
}

type checker struct {
	options CheckOptions
	caller  *Caller

	mu                sync.Mutex
	summary           Summary
	requestedAdapters map[string]bool
	first             *timings
	between           *timings
	total             *timings
	withRetries       *timings
}

// Check sends the requests and verifies each answer. An error is returned only when ctx ends.
func Check(ctx context.Context, options CheckOptions) (Summary, error) {
	c := &checker{
		options: options, caller: NewCaller(options.Concurrency), requestedAdapters: make(map[string]bool),
		first: newTimings(), between: newTimings(), total: newTimings(), withRetries: newTimings(),
	}
	defer c.caller.Close()
	start := time.Now()
	var group errgroup.Group
	group.SetLimit(options.Concurrency)
	generator := newRequestGenerator(options)
	for i := 0; ctx.Err() == nil && options.shouldSend(i, time.Since(start)); i++ {
		spec := generator.next(i)
		group.Go(func() error { c.sendWithRetries(ctx, i, spec); return nil })
	}
	_ = group.Wait()
	return c.summarize(start), ctx.Err()
}

// shouldSend reports whether request i is to be sent.
func (o CheckOptions) shouldSend(i int, elapsed time.Duration) bool {
	if o.Duration > 0 {
		return elapsed < o.Duration
	}
	return i < o.Requests
}

// requestGenerator generates the sequence of requests for a seed.
type requestGenerator struct {
	options CheckOptions
	random  *rand.Rand
	zipf    *rand.Zipf
}

func newRequestGenerator(options CheckOptions) *requestGenerator {
	random := rand.New(rand.NewPCG(options.Seed, 0))
	return &requestGenerator{options: options, random: random, zipf: rand.NewZipf(random, options.Skew, 1, uint64(options.Adapters-1))}
}

func (g *requestGenerator) next(i int) Spec {
	return Spec{
		Adapter:      fmt.Sprintf(g.options.AdapterName, g.zipf.Uint64()),
		Version:      g.options.Version,
		OtherVersion: g.options.OtherVersion,
		Prompt:       fmt.Sprintf("check %d request %d", g.options.Seed, i),
		MaxTokens:    1 + g.random.IntN(g.options.MaxTokens),
		Stream:       g.random.Float64() < g.options.StreamShare,
		Priority:     g.options.Priority,
	}
}

// sendWithRetries sends one request until it is answered or its timeout expires.
func (c *checker) sendWithRetries(ctx context.Context, i int, spec Spec) {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	start := time.Now()
	var last Result
	for attempt := 0; ctx.Err() == nil; attempt++ {
		gateway := c.options.Gateways[(i+attempt)%len(c.options.Gateways)]
		last = c.attempt(ctx, gateway, spec)
		c.countAttempt(last)
		if last.Verdict == Complete || last.Verdict == Mismatch {
			c.recordOutcome(spec, last, time.Since(start))
			return
		}
		pause(ctx, last.RetryAfter)
	}
	c.recordOutcome(spec, last, time.Since(start))
}

func (c *checker) attempt(ctx context.Context, gateway string, spec Spec) Result {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout)
	defer cancel()
	return c.caller.Do(ctx, gateway, spec.Model(), spec)
}

func (c *checker) countAttempt(result Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.summary.Attempts++
	switch result.Verdict {
	case NotRun:
		c.summary.NotRun++
	case Broken:
		c.summary.Broken++
		if c.options.RefuseBroken {
			c.addDetail("broken: " + result.Detail)
		}
	}
}

// addDetail adds a problem to the summary. The caller must hold mu.
func (c *checker) addDetail(detail string) {
	if len(c.summary.Details) < maximumDetails {
		c.summary.Details = append(c.summary.Details, detail)
	}
}

func (c *checker) recordOutcome(spec Spec, result Result, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestedAdapters[spec.Adapter] = true
	c.summary.Requests++
	switch result.Verdict {
	case Complete:
		c.summary.Complete++
		c.recordTimes(spec, result, elapsed)
		return
	case Mismatch:
		c.summary.Mismatches++
	default:
		c.summary.Unanswered++
	}
	c.addDetail(result.Detail)
}

// recordTimes adds the times of a complete answer. The caller must hold mu.
func (c *checker) recordTimes(spec Spec, result Result, elapsed time.Duration) {
	if spec.Stream {
		c.first.record(result.FirstToken)
		for _, gap := range result.Gaps {
			c.between.record(gap)
		}
	}
	c.total.record(result.Total)
	c.withRetries.record(elapsed)
}

func (c *checker) summarize(start time.Time) Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := c.summary
	summary.Adapters = len(c.requestedAdapters)
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
