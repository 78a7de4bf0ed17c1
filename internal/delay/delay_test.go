package delay_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/delay"
)

// Guards against a duty that waits on after its context ended or after it was woken, and against one that takes either
// for the end of its time.
func TestWaitEndsWithItsContextAndWhenWoken(t *testing.T) {
	g := gomega.NewWithT(t)
	ended, end := context.WithCancel(context.Background())
	end()
	g.Expect(delay.For(ended, time.Hour)).To(gomega.BeFalse())
	woken := make(chan struct{}, 1)
	woken <- struct{}{}
	g.Expect(delay.Until(context.Background(), time.Hour, woken)).To(gomega.BeFalse())
	g.Expect(delay.For(context.Background(), time.Millisecond)).To(gomega.BeTrue())
}

// Guards against processes that act in step, and against waits outside the announced bounds.
func TestSpreadStaysWithinItsBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	seen := map[time.Duration]bool{}
	for range 100 {
		d := delay.Spread(time.Second)
		g.Expect(d).To(gomega.And(gomega.BeNumerically(">=", time.Second/2), gomega.BeNumerically("<", 3*time.Second/2)))
		seen[d] = true
	}
	g.Expect(len(seen)).To(gomega.BeNumerically(">", 1))
}
