package decay_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/decay"
)

// Guards against past events whose weight doesn't decay, and against an empty count with a value other than zero.
func TestCountHalvesInAHalfLife(t *testing.T) {
	g := gomega.NewWithT(t)
	const halfLife = 10 * time.Second
	start := time.Unix(1_000_000, 0)
	var c decay.Count
	g.Expect(c.Value(start, halfLife)).To(gomega.BeZero())
	c = c.Add(start, halfLife, 4)
	g.Expect(c.Value(start.Add(halfLife), halfLife)).To(gomega.BeNumerically("~", 2, 1e-9))
	c = c.Add(start.Add(halfLife), halfLife, 1)
	g.Expect(c.Value(start.Add(halfLife), halfLife)).To(gomega.BeNumerically("~", 3, 1e-9))
	g.Expect(c.LastAt()).To(gomega.Equal(start.Add(halfLife)))
}
