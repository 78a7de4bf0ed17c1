package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/engine/vllm"
	"waxwingcleat.example/waxwingcleat/internal/standin/tokens"
)

// PathOptions configures a measurement that compares calls through a gateway with direct calls to an engine.
type PathOptions struct {
	Gateway string
	// Engine is the address of the engine for the direct calls.
	Engine string
	// Adapter names one of the engine's adapters. If empty, the first one is used.
	Adapter string
	Tokens  int
	// Streams are the numbers of concurrent streams.
	Streams []int
	Rounds  int
	// Pairs is the minimum number of pairs of one direct call and one gateway call in a round.
	Pairs int
	Seed  uint64
}

// Line is one measured quantity. Baseline and Value are medians over the rounds in milliseconds.
type Line struct {
	Name        string
	Baseline    float64
	Value       float64
	RatioMedian float64
	RatioMin    float64
	RatioMax    float64
	Seeds       []uint64
}

// String returns the tab-separated form: name, baseline, value, ratio median, ratio min, ratio max, seeds.
func (l Line) String() string {
	seeds := make([]string, 0, len(l.Seeds))
	for _, seed := range l.Seeds {
		seeds = append(seeds, strconv.FormatUint(seed, 10))
	}
	return fmt.Sprintf("%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%s",
		l.Name, l.Baseline, l.Value, l.RatioMedian, l.RatioMin, l.RatioMax, strings.Join(seeds, ","))
}

// pathTimes holds the times of the direct calls or of the gateway calls of one round.
type pathTimes struct {
	first   *timings
	between *timings
	total   *timings
}

func newPathTimes() *pathTimes {
	return &pathTimes{first: newTimings(), between: newTimings(), total: newTimings()}
}

func (s *pathTimes) record(result Result) {
	s.first.record(result.FirstToken)
	for _, gap := range result.Gaps {
		s.between.record(gap)
	}
	s.total.record(result.Total)
}

// quantity is a statistic that is computed for the direct and the gateway calls of a round.
type quantity struct {
	name  string
	value func(*pathTimes) float64
}

func quantities() []quantity {
	return []quantity{
		{"first_token_p50_ms", func(s *pathTimes) float64 { return s.first.percentileMs(50) }},
		{"first_token_p99_ms", func(s *pathTimes) float64 { return s.first.percentileMs(99) }},
		{"between_tokens_p50_ms", func(s *pathTimes) float64 { return s.between.percentileMs(50) }},
		{"between_tokens_p99_ms", func(s *pathTimes) float64 { return s.between.percentileMs(99) }},
		{"answer_p50_ms", func(s *pathTimes) float64 { return s.total.percentileMs(50) }},
		{"answer_p99_ms", func(s *pathTimes) float64 { return s.total.percentileMs(99) }},
	}
}

// round holds one round with one number of streams. Direct and gateway calls are measured during the same period.
type round struct {
	mu      sync.Mutex
	direct  *pathTimes
	gateway *pathTimes
}

// Path measures each number of streams in each round, and returns one line for each quantity. It fails when an
// answer isn't complete and correct.
func Path(ctx context.Context, options PathOptions) ([]Line, error) {
	loadName, err := residentLoadName(ctx, options.Engine, options.Adapter)
	if err != nil {
		return nil, err
	}
	caller := NewCaller(largest(options.Streams))
	defer caller.Close()
	rounds := make(map[int][]*round)
	seeds := make([]uint64, 0, options.Rounds)
	for i := range options.Rounds {
		seed := options.Seed + uint64(i)
		seeds = append(seeds, seed)
		for _, streams := range options.Streams {
			measured, err := measure(ctx, caller, options, loadName, streams, seed)
			if err != nil {
				return nil, err
			}
			rounds[streams] = append(rounds[streams], measured)
		}
	}
	return lines(options, rounds, seeds), nil
}

func lines(options PathOptions, rounds map[int][]*round, seeds []uint64) []Line {
	var list []Line
	for _, streams := range options.Streams {
		for _, q := range quantities() {
			name := fmt.Sprintf("path_%d_tokens_%d_streams_%s", options.Tokens, streams, q.name)
			list = append(list, line(name, rounds[streams], q, seeds))
		}
	}
	return list
}

func line(name string, rounds []*round, q quantity, seeds []uint64) Line {
	var direct, gateway, ratios []float64
	for _, r := range rounds {
		d, g := q.value(r.direct), q.value(r.gateway)
		direct, gateway, ratios = append(direct, d), append(gateway, g), append(ratios, g/d)
	}
	return Line{
		Name: name, Baseline: median(direct), Value: median(gateway), Seeds: seeds,
		RatioMedian: median(ratios), RatioMin: ratios[0], RatioMax: ratios[len(ratios)-1],
	}
}

// median sorts values and returns their median.
func median(values []float64) float64 {
	sort.Float64s(values)
	middle := len(values) / 2
	if len(values) == 0 {
		return math.NaN()
	}
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// measure runs a round. Each stream alternates between direct and gateway calls, and half of the streams start with
// each kind, so that both kinds run under the same load on the engine and the machine.
func measure(ctx context.Context, caller *Caller, options PathOptions, loadName engine.LoadName, streams int, seed uint64) (*round, error) {
	r := &round{direct: newPathTimes(), gateway: newPathTimes()}
	pairs := (options.Pairs + streams - 1) / streams
	group, ctx := errgroup.WithContext(ctx)
	for i := range streams {
		group.Go(func() error {
			for call := range 2 * pairs {
				spec := pathSpec(options, loadName, fmt.Sprintf("path %d stream %d call %d", seed, i, call))
				if err := r.call(ctx, caller, options, loadName, spec, (i+call)%2 == 0); err != nil {
					return err
				}
			}
			return nil
		})
	}
	return r, group.Wait()
}

func (r *round) call(ctx context.Context, caller *Caller, options PathOptions, loadName engine.LoadName, spec Spec, direct bool) error {
	address, model, times := options.Gateway, spec.Model(), r.gateway
	if direct {
		address, model, times = options.Engine, string(loadName), r.direct
	}
	result := caller.Do(ctx, address, model, spec)
	if result.Verdict != Complete {
		return fmt.Errorf("call to %s for %s: %s", address, model, result.Detail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	times.record(result)
	return nil
}

func pathSpec(options PathOptions, loadName engine.LoadName, prompt string) Spec {
	adapter, version := tokens.SplitLoadName(loadName)
	return Spec{Adapter: adapter, Version: version, Prompt: prompt, MaxTokens: options.Tokens, Stream: true}
}

// residentLoadName returns the load name of a resident adapter of an engine.
func residentLoadName(ctx context.Context, address, adapter string) (engine.LoadName, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+vllm.PathModels, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	var models vllm.ModelsBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswerBytes)).Decode(&models); err != nil {
		return "", fmt.Errorf("models of engine %s: %w", address, err)
	}
	for _, model := range models.Data {
		name, _ := tokens.SplitLoadName(engine.LoadName(model.ID))
		if model.Parent != "" && (adapter == "" || adapter == name) {
			return engine.LoadName(model.ID), nil
		}
	}
	return "", fmt.Errorf("engine %s has no resident adapter %q", address, adapter)
}

func largest(values []int) int {
	most := 0
	for _, value := range values {
		most = max(most, value)
	}
	return most
}
