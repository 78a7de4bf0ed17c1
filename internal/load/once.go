package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"
)

const (
	maximumCountersBytes = 64 << 20
	// maximumUnpacedCalls bounds the concurrent calls if no interval is set. maximumPacedCalls bounds them otherwise;
	// it is larger so that calls that wait for the end of an outage don't delay the others.
	maximumUnpacedCalls = 64
	maximumPacedCalls   = 2048
)

// OnceOptions configures a check of non-idempotent calls to an application server.
type OnceOptions struct {
	// Gateways are addresses ip:port.
	Gateways []string
	Service  string
	// Keys is the number of calls. Each call has its own idempotency key.
	Keys int
	// Copies is the number of callers that send each call concurrently, through different gateways.
	Copies int
	// Interval is the time between the first attempts of consecutive keys; 0 sends all calls without a delay.
	Interval time.Duration
	// Counters is the URL of the stand-ins' counters.
	Counters string
	// Timeout bounds a call with its retries.
	Timeout time.Duration
}

// OnceSummary is the result of a check of non-idempotent calls.
type OnceSummary struct {
	Keys int `json:"keys"`
	// Known counts the keys for which a caller got the result, Unknown those for which callers got only the answer that
	// the outcome is unknown, and Unanswered the others.
	Known      int `json:"known"`
	Unknown    int `json:"unknown"`
	Unanswered int `json:"unanswered"`
	// KnownShare is Known / Keys.
	KnownShare float64 `json:"knownShare"`
	Attempts   int     `json:"attempts"`
	// Repeated counts the calls that the application servers executed more than once. It must be 0.
	Repeated int `json:"repeated"`
	// Differing counts the keys whose callers got different results. It must be 0.
	Differing int `json:"differing"`
	// ResultWithoutRun counts the keys for which a caller got a result although the call was never executed. It must be 0.
	ResultWithoutRun int `json:"lost"`
}

// OK reports whether no call ran more than once, all results of a call are equal and belong to a call that ran, and
// every key was answered.
func (s OnceSummary) OK() bool {
	return s.Repeated == 0 && s.Differing == 0 && s.ResultWithoutRun == 0 && s.Unanswered == 0
}

type onceChecker struct {
	options OnceOptions
	client  *http.Client

	mu      sync.Mutex
	summary OnceSummary
	results map[string]map[string]bool
	unknown map[string]bool
}

// Once sends copies of each call concurrently through different gateways and checks that the call ran at most once.
func Once(ctx context.Context, options OnceOptions) (OnceSummary, error) {
	o := &onceChecker{
		options: options, client: &http.Client{Timeout: options.Timeout},
		results: map[string]map[string]bool{}, unknown: map[string]bool{},
	}
	keys := make([]string, options.Keys)
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maximumUnpacedCalls)
	if options.Interval > 0 {
		group.SetLimit(maximumPacedCalls)
	}
	for i := range keys {
		if options.Interval > 0 && i > 0 {
			pause(ctx, options.Interval)
		}
		keys[i] = uuid.Must(uuid.NewV7()).String()
		for copyIndex := range options.Copies {
			group.Go(func() error { return o.send(groupCtx, keys[i], i+copyIndex) })
		}
	}
	if err := group.Wait(); err != nil {
		return o.summary, err
	}
	runs, err := o.executionCounts(ctx)
	if err != nil {
		return o.summary, err
	}
	o.evaluate(keys, runs)
	return o.summary, nil
}

// send repeats one call until its outcome is known or the timeout expires, with another gateway for each attempt.
func (o *onceChecker) send(ctx context.Context, key string, first int) error {
	ctx, cancel := context.WithTimeout(ctx, o.options.Timeout)
	defer cancel()
	for attempt := first; ctx.Err() == nil; attempt++ {
		gateway := o.options.Gateways[attempt%len(o.options.Gateways)]
		retryAfter, done := o.attempt(ctx, gateway, key)
		if done {
			return nil
		}
		pause(ctx, retryAfter)
	}
	return nil
}

func (o *onceChecker) attempt(ctx context.Context, gateway, key string) (time.Duration, bool) {
	request, err := callRequest(ctx, gateway, o.options.Service, key)
	if err != nil {
		return 0, true
	}
	o.mu.Lock()
	o.summary.Attempts++
	o.mu.Unlock()
	response, err := o.client.Do(request)
	if err != nil {
		return defaultRetryAfter, false
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return defaultRetryAfter, false
	}
	if response.StatusCode == http.StatusOK {
		o.recordResult(key, string(answer))
		return 0, true
	}
	return o.classifyError(key, answer)
}

// callRequest returns a non-idempotent call to an application server.
func callRequest(ctx context.Context, gateway, service, key string) (*http.Request, error) {
	url := fmt.Sprintf("http://%s/services/%s/entries", gateway, service)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewBufferString(callBody(key)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Idempotency-Key", key)
	return request, nil
}

func (o *onceChecker) recordResult(key, answer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.results[key] == nil {
		o.results[key] = map[string]bool{}
	}
	o.results[key][answer] = true
}

func (o *onceChecker) classifyError(key string, answer []byte) (time.Duration, bool) {
	var problem struct {
		Error struct {
			Code         string `json:"code"`
			Execution    string `json:"execution"`
			RetryAfterMs int64  `json:"retryAfterMs"`
		} `json:"error"`
	}
	if json.Unmarshal(answer, &problem) != nil {
		return defaultRetryAfter, false
	}
	if problem.Error.Execution == "unknown" && problem.Error.Code == "outcome_unknown" {
		o.mu.Lock()
		o.unknown[key] = true
		o.mu.Unlock()
		return 0, true
	}
	return max(time.Duration(problem.Error.RetryAfterMs)*time.Millisecond, defaultRetryAfter), false
}

// callBody returns a request body that is unique to the key, so that the counters by body distinguish the calls.
func callBody(key string) string { return `{"entry":"` + key + `"}` }

// executionCounts returns how often all application servers together executed each call, by the hash of its body.
func (o *onceChecker) executionCounts(ctx context.Context) (map[string]int, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, o.options.Counters, nil)
	if err != nil {
		return nil, err
	}
	response, err := o.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var counters struct {
		Services map[string]struct {
			ByBody    map[string]int `json:"byBody"`
			Truncated bool           `json:"truncated"`
		} `json:"services"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumCountersBytes)).Decode(&counters); err != nil {
		return nil, err
	}
	total := map[string]int{}
	for _, service := range counters.Services {
		if service.Truncated {
			return nil, errors.New("the stand-ins' counters are truncated")
		}
		for hash, count := range service.ByBody {
			total[hash] += count
		}
	}
	return total, nil
}

func (o *onceChecker) evaluate(keys []string, runs map[string]int) {
	o.summary.Keys = len(keys)
	for _, key := range keys {
		ran := runs[bodyHash(callBody(key))]
		switch {
		case len(o.results[key]) > 0:
			o.summary.Known++
		case o.unknown[key]:
			o.summary.Unknown++
		default:
			o.summary.Unanswered++
		}
		if ran > 1 {
			o.summary.Repeated++
		}
		if len(o.results[key]) > 1 {
			o.summary.Differing++
		}
		if len(o.results[key]) > 0 && ran == 0 {
			o.summary.ResultWithoutRun++
		}
	}
	o.summary.KnownShare = float64(o.summary.Known) / float64(len(keys))
}

// bodyHash returns the key of a body in the stand-ins' counters.
func bodyHash(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 16) }
