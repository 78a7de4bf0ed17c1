package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/go-echarts/go-echarts/v2/charts"
	"github.com/go-echarts/go-echarts/v2/opts"
	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/policybench"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

func plotCommand() *cobra.Command {
	var s settings
	var directory string
	command := &cobra.Command{
		Use:   "plot",
		Short: "Draw the effect of the stall weight, and the stalls over time",
		Long: "Write weight.html, stall-saint-louis.html and stall-seoul.html. The pages load the chart library from the\n" +
			"address that go-echarts names, so a browser needs access to it.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return plot(s, directory) },
	}
	s.addFlags(command.Flags())
	command.Flags().StringVar(&directory, "directory", ".bench", "directory of the pages; it is created")
	return command
}

func plot(s settings, directory string) error {
	const directoryMode = 0o755
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return fmt.Errorf("create the directory of the plots: %w", err)
	}
	curve, err := measureWeights(s)
	if err != nil {
		return err
	}
	if err := render(weightChart(curve), filepath.Join(directory, "weight.html")); err != nil {
		return err
	}
	saintLouis, err := policybench.RunAll(s.options(workload.SaintLouis), s.fleet(), s.placement(saintLouisWeight))
	if err != nil {
		return err
	}
	if err := render(stallChart("Saint-Louis", saintLouis[0]), filepath.Join(directory, "stall-saint-louis.html")); err != nil {
		return err
	}
	options := s.placement(seoulWeight)
	seoul, err := policybench.RunAll(s.options(workload.Seoul), s.batchingFleet(options.StallWeight), options)
	if err != nil {
		return err
	}
	return render(stallChart("Seoul", seoul[0]), filepath.Join(directory, "stall-seoul.html"))
}

func newChart(title, subtitle, x, y string) *charts.Line {
	line := charts.NewLine()
	line.SetGlobalOptions(
		charts.WithTitleOpts(opts.Title{Title: title, Subtitle: subtitle}),
		charts.WithXAxisOpts(opts.XAxis{Name: x}),
		charts.WithYAxisOpts(opts.YAxis{Name: y}),
	)
	return line
}

func weightChart(curve []weightPoint) *charts.Line {
	chart := newChart("Stall weight in Seoul", fmt.Sprintf("ratio to the better baseline, median of %d seeds", len(policybench.Seeds)),
		"stall weight", "ratio")
	var weights []string
	var batch, stalls, held []opts.LineData
	for _, point := range curve {
		weights = append(weights, fmt.Sprint(point.weight))
		batch = append(batch, opts.LineData{Value: point.batch.Median})
		stalls = append(stalls, opts.LineData{Value: point.stall.Median})
		held = append(held, opts.LineData{Value: point.held.Median})
	}
	chart.SetXAxis(weights)
	chart.AddSeries("batch", batch)
	chart.AddSeries("stall", stalls)
	chart.AddSeries("held", held)
	return chart
}

func stallChart(deployment string, runs policybench.SeedResults) *charts.Line {
	subtitle := fmt.Sprintf("seed %d, at the end of each request's wait, without the time held for batches", policybench.Seeds[0])
	chart := newChart("Stalls in "+deployment, subtitle, "s", "stall in s")
	results := maps.Clone(runs.Baselines)
	results[placement.DefaultName] = runs.Default
	longest := 0
	for _, result := range results {
		longest = max(longest, len(result.StallByTime))
	}
	var times []string
	for i := range longest {
		times = append(times, fmt.Sprint(float64(i)*policybench.StallInterval.Seconds()))
	}
	chart.SetXAxis(times)
	for _, name := range slices.Sorted(maps.Keys(results)) {
		var points []opts.LineData
		for _, stalled := range results[name].StallByTime {
			points = append(points, opts.LineData{Value: stalled.Seconds()})
		}
		chart.AddSeries(name, points)
	}
	return chart
}

func render(chart *charts.Line, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create the plot: %w", err)
	}
	if err := chart.Render(file); err != nil {
		_ = file.Close()
		return fmt.Errorf("write the plot %s: %w", path, err)
	}
	return file.Close()
}
