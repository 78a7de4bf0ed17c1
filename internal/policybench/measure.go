package policybench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// Seeds are the fixed seeds of a measurement.
var Seeds = []uint64{1, 2, 3, 4, 5}

// baselines are the policies that the default policy is compared with.
var baselines = []string{placement.LeastLoadedName, placement.RendezvousLRUName}

// Line summarizes one measured ratio over all seeds.
type Line struct {
	Name     string
	Baseline float64
	Value    float64
	Median   float64
	Min      float64
	Max      float64
	Seeds    int
}

// String returns the line as tab-separated fields: name, baseline, value, ratio median, min, max, seeds.
func (l Line) String() string {
	return fmt.Sprintf("%s\t%.4g\t%.4g\t%.3f\t%.3f\t%.3f\t%d", l.Name, l.Baseline, l.Value, l.Median, l.Min, l.Max, l.Seeds)
}

// SeedResults holds the results of all policies for one seed.
type SeedResults struct {
	Baselines map[string]Result
	Default   Result
	// Bound is a lower bound on the total stall.
	Bound time.Duration
	seed  uint64
	trace trace
}

// RunAll runs the baselines and the default policy on the same trace for each seed.
func RunAll(options func(seed uint64) workload.Options, size Fleet, policy placement.Options) ([]SeedResults, error) {
	all, err := RunBaselines(options, size, policy)
	if err != nil {
		return nil, err
	}
	return RunDefault(all, size, policy)
}

// RunBaselines runs the baselines for each seed, without batch windows.
func RunBaselines(options func(seed uint64) workload.Options, size Fleet, policy placement.Options) ([]SeedResults, error) {
	size.Windows = [3]admission.BatchWindow{}
	all := make([]SeedResults, len(Seeds))
	var group errgroup.Group
	for i, seed := range Seeds {
		group.Go(func() error {
			trace := workload.Generate(options(seed))
			all[i] = SeedResults{Baselines: map[string]Result{}, Bound: stallBound(trace, size), seed: seed, trace: trace}
			for _, name := range baselines {
				placed, err := NewPlacementPolicy(name, policy, size, seed)
				if err != nil {
					return err
				}
				all[i].Baselines[name] = Run(size, placed, trace)
			}
			return nil
		})
	}
	return all, group.Wait()
}

// RunDefault returns a copy of all to which the default policy's results on the traces of the baselines are added.
func RunDefault(all []SeedResults, size Fleet, policy placement.Options) ([]SeedResults, error) {
	all = slices.Clone(all)
	var group errgroup.Group
	for i := range all {
		group.Go(func() error {
			placed, err := NewPlacementPolicy(placement.DefaultName, policy, size, all[i].seed)
			if err != nil {
				return err
			}
			all[i].Default = Run(size, placed, all[i].trace)
			return nil
		})
	}
	return all, group.Wait()
}

// Compare returns the ratio of a figure of the default policy to that of the better baseline with the same seed. The
// parameter smaller states whether a smaller figure is better.
func Compare(name string, all []SeedResults, smaller bool, figure func(*Result) float64) Line {
	var ratios, values, bests []float64
	for i := range all {
		var candidates []float64
		for _, result := range all[i].Baselines {
			candidates = append(candidates, figure(&result))
		}
		best := slices.Max(candidates)
		if smaller {
			best = slices.Min(candidates)
		}
		value := figure(&all[i].Default)
		bests = append(bests, best)
		values = append(values, value)
		ratios = append(ratios, value/best)
	}
	return newLine(name, bests, values, ratios)
}

// CompareBound returns the ratio of the default policy's stall to the lower bound.
func CompareBound(name string, all []SeedResults) Line {
	var ratios, values, bounds []float64
	for i := range all {
		bound := all[i].Bound.Seconds()
		value := all[i].Default.Stall.Seconds()
		bounds = append(bounds, bound)
		values = append(values, value)
		ratios = append(ratios, value/bound)
	}
	return newLine(name, bounds, values, ratios)
}

// CompareHeld returns the ratio of the default policy's held time to the stall of the better baseline, so that it can
// be added to the ratio of the stalls.
func CompareHeld(name string, all []SeedResults) Line {
	var ratios, values, bests []float64
	for i := range all {
		best := math.Inf(1)
		for _, result := range all[i].Baselines {
			best = min(best, result.Stall.Seconds())
		}
		value := all[i].Default.Held.Seconds()
		bests = append(bests, best)
		values = append(values, value)
		ratios = append(ratios, value/best)
	}
	return newLine(name, bests, values, ratios)
}

func newLine(name string, baselines, values, ratios []float64) Line {
	return Line{
		Name: name, Baseline: median(baselines), Value: median(values), Median: median(ratios),
		Min: slices.Min(ratios), Max: slices.Max(ratios), Seeds: len(ratios),
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// Recovery returns the mean time in seconds from a popularity shift until the stalls, smoothed by windowMean, are at
// most 20% above the mean of the minute before the shift.
func Recovery(result *Result, shiftEvery time.Duration) float64 {
	const tolerance = 1.2
	width := int(time.Minute / StallInterval)
	step := int(shiftEvery / StallInterval)
	var sum float64
	var shifts int
	for at := step; at < len(result.StallByTime); at += step {
		level := mean(result.StallByTime[at-width : at])
		end := at
		for end < len(result.StallByTime) && end < at+step && windowMean(result.StallByTime, end) > tolerance*level {
			end++
		}
		sum += float64(end-at+1) * StallInterval.Seconds()
		shifts++
	}
	return sum / float64(max(shifts, 1))
}

// windowMean returns the mean over one interval and the two that follow.
func windowMean(series []time.Duration, at int) float64 {
	return mean(series[at:min(at+3, len(series))])
}

func mean(series []time.Duration) float64 {
	var sum time.Duration
	for _, value := range series {
		sum += value
	}
	return sum.Seconds() / float64(max(len(series), 1))
}
