package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/policybench"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// The defaults are the smallest swept window that reaches a median batch ratio of 1.3 at a stall weight of 0.5, and the
// largest swept gather size, at which that was measured.
const (
	defaultWindow     = 20 * time.Second
	defaultGatherSize = 8
)

// batchingFleet returns the fleet with the batch windows of the Seoul deployment at a stall weight. Urgent requests
// have no window.
func (s settings) batchingFleet(stallWeight float64) policybench.Fleet {
	fleet := s.fleet()
	window := admission.BatchWindow{Window: s.window, GatherSize: s.gatherSize}.ScaledBy(stallWeight)
	for rank := 1; rank < len(fleet.Windows); rank++ {
		fleet.Windows[rank] = window
	}
	return fleet
}

var (
	sweptWindows = []time.Duration{0, time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second, 24 * time.Second, 32 * time.Second}
	sweptSizes   = []int{0, 2, 4, 8}
	sweptWeights = []float64{0, 0.25, 0.5, 0.75, 1}
)

func windowCommand() *cobra.Command {
	var s settings
	command := &cobra.Command{
		Use:   "window",
		Short: "Measure batch windows and gather sizes on the Seoul traces",
		Long: "Measure the default policy with batch windows and gather sizes against the better baseline without them.\n" +
			"Prints the lines of the sub-command policy, named window_<declared window>_size_<gather size>_<figure>.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return measureWindows(command, s) },
	}
	s.addFlags(command.Flags())
	return command
}

func measureWindows(command *cobra.Command, s settings) error {
	out := command.OutOrStdout()
	options := s.placement(seoulWeight)
	baselines, err := policybench.RunBaselines(s.options(workload.Seoul), s.fleet(), options)
	if err != nil {
		return err
	}
	for _, s.window = range sweptWindows {
		for _, s.gatherSize = range sweptSizes {
			if s.window == 0 && s.gatherSize > 0 {
				continue
			}
			all, err := policybench.RunDefault(baselines, s.batchingFleet(options.StallWeight), options)
			if err != nil {
				return err
			}
			prefix := fmt.Sprintf("window_%s_size_%d", s.window, s.gatherSize)
			fmt.Fprintln(out, policybench.Compare(prefix+"_batch", all, false, batched))
			fmt.Fprintln(out, policybench.Compare(prefix+"_stall", all, true, stall))
			fmt.Fprintln(out, policybench.CompareHeld(prefix+"_held", all))
			fmt.Fprintln(out, policybench.Compare(prefix+"_urgent", all, true, urgent))
		}
	}
	return nil
}

func weightCommand() *cobra.Command {
	var s settings
	command := &cobra.Command{
		Use:   "weight",
		Short: "Measure the effect of the stall weight on the Seoul traces",
		Long: "Measure the default policy at several stall weights against the better baseline.\n" +
			"Prints the lines of the sub-command policy, named weight_<weight>_<figure>.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			curve, err := measureWeights(s)
			for _, point := range curve {
				point.print(command)
			}
			return err
		},
	}
	s.addFlags(command.Flags())
	return command
}

// weightPoint holds the results at one stall weight.
type weightPoint struct {
	weight             float64
	batch, stall, held policybench.Line
}

func (p *weightPoint) print(command *cobra.Command) {
	for _, line := range []policybench.Line{p.batch, p.stall, p.held} {
		fmt.Fprintln(command.OutOrStdout(), line)
	}
}

func measureWeights(s settings) ([]weightPoint, error) {
	baselines, err := policybench.RunBaselines(s.options(workload.Seoul), s.fleet(), s.placement(seoulWeight))
	if err != nil {
		return nil, err
	}
	var curve []weightPoint
	for _, s.stallWeight = range sweptWeights {
		all, err := policybench.RunDefault(baselines, s.batchingFleet(s.stallWeight), s.placement(seoulWeight))
		if err != nil {
			return nil, err
		}
		prefix := fmt.Sprintf("weight_%g", s.stallWeight)
		curve = append(curve, weightPoint{
			weight: s.stallWeight,
			batch:  policybench.Compare(prefix+"_batch", all, false, batched),
			stall:  policybench.Compare(prefix+"_stall", all, true, stall),
			held:   policybench.CompareHeld(prefix+"_held", all),
		})
	}
	return curve, nil
}
