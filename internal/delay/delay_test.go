package delay_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/delay"
)

// Guards against a wait that continues after its context is done or it was woken, and against one that reports either
// as the end of its duration.
func TestWaitEndsWithItsContextAndWhenWoken(t *testing.T) {
	g := gomega.NewWithT(t)
	done, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(delay.For(done, time.Hour)).To(gomega.BeFalse())
	woken := make(chan struct{}, 1)
	woken <- struct{}{}
	g.Expect(delay.Until(context.Background(), time.Hour, woken)).To(gomega.BeFalse())
	g.Expect(delay.For(context.Background(), time.Millisecond)).To(gomega.BeTrue())
}

// Guards against processes that act in lockstep, and against durations outside the documented bounds.
func TestSpreadStaysWithinItsBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	distinct := map[time.Duration]bool{}
	for range 100 {
		d := delay.Spread(time.Second)
		g.Expect(d).To(gomega.And(gomega.BeNumerically(">=", time.Second/2), gomega.BeNumerically("<", 3*time.Second/2)))
		distinct[d] = true
	}
	g.Expect(len(distinct)).To(gomega.BeNumerically(">", 1))
}
