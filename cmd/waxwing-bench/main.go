// Command waxwing-bench measures placement policies on generated traces.
package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/policybench"
	"waxwingcleat.example/waxwingcleat/internal/process"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

const name = "waxwing-bench"

func main() {
	command := &cobra.Command{Use: name, Short: "Measure placement policies on generated traces"}
	command.AddCommand(policyCommand(), windowCommand(), weightCommand(), plotCommand(), process.VersionCommand(name))
	process.Main(command)
}

// settings holds the flags that the sub-commands share.
type settings struct {
	stallWeight float64
	rate        float64
	exponent    float64
	slots       int
	restart     time.Duration
	failEvery   int
	window      time.Duration
	gatherSize  int
}

// fleet returns the default fleet with the slots and faults of the flags.
func (s settings) fleet() policybench.Fleet {
	fleet := policybench.DefaultFleet()
	fleet.Slots = s.slots
	fleet.RestartEvery = s.restart
	fleet.FailEvery = s.failEvery
	return fleet
}

// options returns the workload of base with the rate and exponent of the flags.
func (s settings) options(base func(uint64) workload.Options) func(uint64) workload.Options {
	return func(seed uint64) workload.Options {
		options := base(seed)
		if s.rate > 0 {
			options.Rate = s.rate
		}
		options.Exponent = s.exponent
		return options
	}
}

func policyCommand() *cobra.Command {
	var s settings
	command := &cobra.Command{
		Use:   "policy",
		Short: "Compare the default placement policy with the baselines",
		Long: "Compare the default placement policy with the better baseline on the same traces.\n" +
			"Prints tab-separated lines: name, baseline, value, ratio median, ratio min, ratio max, seeds.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return measure(command, s) },
	}
	s.addFlags(command.Flags())
	return command
}

func (s *settings) addFlags(flags *pflag.FlagSet) {
	flags.Float64Var(&s.stallWeight, "stall-weight", -1, "weight of stalls against batches; -1 for each deployment's own")
	flags.Float64Var(&s.rate, "rate", 0, "requests a second; 0 for the deployment's own")
	flags.Float64Var(&s.exponent, "exponent", 1.0, "Zipf exponent of the popularity")
	flags.IntVar(&s.slots, "slots", policybench.DefaultFleet().Slots, "adapter slots of a server")
	flags.DurationVar(&s.restart, "restart-every", 0, "time between two restarts of a server; 0 for none")
	flags.IntVar(&s.failEvery, "fail-every", 0, "each n-th load fails; 0 for none")
	flags.DurationVar(&s.window, "batch-window", defaultWindow, "batch window of Seoul's classes that aren't urgent, before the weight")
	flags.IntVar(&s.gatherSize, "gather-size", defaultGatherSize, "gather size of these classes; 0 for none")
}

// placement returns the placement options with the flag's stall weight, or the deployment's if the flag is negative.
func (s settings) placement(deploymentWeight float64) placement.Options {
	options := placement.DefaultOptions()
	options.StallWeight = deploymentWeight
	if s.stallWeight >= 0 {
		options.StallWeight = s.stallWeight
	}
	return options
}

// Stall weights of the deployments.
const (
	saintLouisWeight = 1.0
	seoulWeight      = 0.5
)

func stall(r *policybench.Result) float64   { return r.Stall.Seconds() }
func urgent(r *policybench.Result) float64  { return r.UrgentStall.Seconds() }
func batched(r *policybench.Result) float64 { return r.Batched() }

func measure(command *cobra.Command, s settings) error {
	out := command.OutOrStdout()
	saintLouis, err := policybench.RunAll(s.options(workload.SaintLouis), s.fleet(), s.placement(saintLouisWeight))
	if err != nil {
		return err
	}
	loads := func(r *policybench.Result) float64 { return float64(r.Loads) / float64(max(r.Completed, 1)) }
	shift := workload.SaintLouis(1).ShiftEvery
	recovery := func(r *policybench.Result) float64 { return policybench.Recovery(r, shift) }
	givenUp := func(r *policybench.Result) float64 { return float64(r.Abandoned+1) / float64(r.Requests) }
	fmt.Fprintln(out, policybench.Compare("stalls_saint_louis", saintLouis, true, stall))
	fmt.Fprintln(out, policybench.Compare("stalls_urgent", saintLouis, true, urgent))
	fmt.Fprintln(out, policybench.CompareBound("stalls_bound", saintLouis))
	fmt.Fprintln(out, policybench.Compare("shift_recovery", saintLouis, true, recovery))
	fmt.Fprintln(out, policybench.Compare("store_use", saintLouis, true, loads))
	fmt.Fprintln(out, policybench.Compare("given_up", saintLouis, true, givenUp))
	options := s.placement(seoulWeight)
	seoul, err := policybench.RunAll(s.options(workload.Seoul), s.batchingFleet(options.StallWeight), options)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, policybench.Compare("batch_seoul", seoul, false, batched))
	fmt.Fprintln(out, policybench.Compare("stalls_seoul", seoul, true, stall))
	fmt.Fprintln(out, policybench.CompareHeld("held_seoul", seoul))
	fmt.Fprintln(out, policybench.Compare("stalls_urgent_seoul", seoul, true, urgent))
	fmt.Fprintln(out, policybench.Compare("store_use_seoul", seoul, true, loads))
	fmt.Fprintln(out, policybench.Compare("given_up_seoul", seoul, true, givenUp))
	return nil
}
