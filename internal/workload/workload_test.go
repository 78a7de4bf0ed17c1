package workload_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// Guards against traces that differ between runs with the same seed, which would make the ratios meaningless.
func TestSameSeedGivesSameTrace(t *testing.T) {
	g := gomega.NewWithT(t)
	first := workload.Generate(workload.SaintLouis(7))
	second := workload.Generate(workload.SaintLouis(7))
	g.Expect(first).To(gomega.Equal(second))
	g.Expect(first).NotTo(gomega.Equal(workload.Generate(workload.SaintLouis(8))))
}

// Guards against a rate or a skew that differs from the options.
func TestTraceFollowsOptions(t *testing.T) {
	g := gomega.NewWithT(t)
	options := workload.SaintLouis(1)
	options.ShiftEvery = 0
	options.BurstEvery = 0
	trace := workload.Generate(options)
	expected := options.Rate * options.Duration.Seconds()
	g.Expect(float64(len(trace))).To(gomega.BeNumerically("~", expected, 0.05*expected))
	counts := map[int]int{}
	last := time.Duration(0)
	for _, request := range trace {
		g.Expect(request.At).To(gomega.BeNumerically(">=", last))
		last = request.At
		counts[request.Adapter]++
	}
	most := 0
	for _, count := range counts {
		most = max(most, count)
	}
	// The most popular of 3,000 adapters at exponent 1 has a share of 1/H(3000) = 0.116.
	g.Expect(float64(most)).To(gomega.BeNumerically("~", 0.116*float64(len(trace)), 0.02*float64(len(trace))))
}

// Guards against a trace that differs after it is written and read back.
func TestWriteAndRead(t *testing.T) {
	g := gomega.NewWithT(t)
	options := workload.Seoul(3)
	options.Duration = time.Minute
	trace := workload.Generate(options)
	var buffer bytes.Buffer
	g.Expect(workload.Write(&buffer, trace)).To(gomega.Succeed())
	replayed, err := workload.Read(&buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(replayed).To(gomega.Equal(trace))
}
