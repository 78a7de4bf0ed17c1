package policybench_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/placement"
	"waxwingcleat.example/waxwingcleat/internal/policybench"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

func shortTrace(seed uint64) []workload.Request {
	options := workload.SaintLouis(seed)
	options.Duration = 3 * time.Minute
	options.Adapters = 300
	return workload.Generate(options)
}

// Guards against figures that differ between runs with the same seed, and against requests that the simulation drops.
func TestRunIsRepeatableAndComplete(t *testing.T) {
	for _, name := range []string{placement.LeastLoadedName, placement.RendezvousLRUName, placement.DefaultName} {
		g := gomega.NewWithT(t)
		size := policybench.DefaultFleet()
		size.FailEvery = 10
		size.Windows[1] = admission.BatchWindow{Window: 4 * time.Second}
		size.Windows[2] = admission.BatchWindow{Window: 8 * time.Second, GatherSize: 3}
		var results []policybench.Result
		for range 2 {
			policy, err := policybench.NewPlacementPolicy(name, placement.DefaultOptions(), size, 3)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			results = append(results, policybench.Run(size, policy, shortTrace(3)))
		}
		g.Expect(results[0]).To(gomega.Equal(results[1]), name)
		g.Expect(results[0].Held).To(gomega.BeNumerically(">", 0), name)
		g.Expect(results[0].Completed+results[0].Abandoned).To(gomega.Equal(results[0].Requests), name)
	}
}

// Guards against a default policy that starves less urgent classes: an earlier version always protected urgent loads
// from eviction, and a quarter of the requests that the baselines served were abandoned.
func TestDefaultPolicyServesAllClasses(t *testing.T) {
	g := gomega.NewWithT(t)
	size := policybench.DefaultFleet()
	options := func(seed uint64) workload.Options {
		options := workload.SaintLouis(seed)
		options.Duration = 10 * time.Minute
		return options
	}
	all, err := policybench.RunAll(options, size, placement.DefaultOptions())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	givenUp := policybench.Compare("given_up", all, true, func(r *policybench.Result) float64 { return float64(r.Abandoned + 1) })
	g.Expect(givenUp.Max).To(gomega.BeNumerically("<=", 1))
}
