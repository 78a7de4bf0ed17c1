package weights

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestWeights(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "weights")
}

var _ = ginkgo.Describe("share", func() {
	// Guards against concurrent loads that each run at full speed.
	ginkgo.It("halves the speed of two concurrent loads and restores it when one ends", func() {
		s := newShare()
		s.add(1, 300)
		gomega.Expect(s.remaining(1)).To(gomega.Equal(time.Duration(300)))
		s.advance(100)
		s.add(2, 300)
		gomega.Expect(s.remaining(1)).To(gomega.Equal(time.Duration(400)))
		gomega.Expect(s.remaining(2)).To(gomega.Equal(time.Duration(500)))
		s.advance(500)
		gomega.Expect(s.left[1]).To(gomega.BeZero())
		gomega.Expect(s.remaining(2)).To(gomega.Equal(time.Duration(100)))
	})
})

// TestThroughput guards against a store that exceeds its throughput: however the loads overlap, the last one must
// not end before the sum of all work.
func TestThroughput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newShare()
		total, latest := time.Duration(0), time.Duration(0)
		count := rapid.IntRange(1, 8).Draw(t, "loads")
		for id := range count {
			work := time.Duration(rapid.IntRange(1_000, 1_000_000).Draw(t, "work"))
			s.add(loadID(id), work)
			total += work
		}
		for id := range count {
			latest = max(latest, s.remaining(loadID(id)))
		}
		if latest != total {
			t.Fatalf("last load ends after %d, work is %d", latest, total)
		}
		for at := time.Duration(0); at < total; at += total/7 + 1 {
			s.advance(at)
		}
		s.advance(total + time.Duration(100*count))
		if s.active() != 0 {
			t.Fatalf("loads are left after all work: %v", s.left)
		}
	})
}
