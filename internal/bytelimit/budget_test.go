package bytelimit_test

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/bytelimit"
)

// Guards against answers that take more than the budget together, and against bytes that are never returned to it.
func TestHeldAnswersKeepToTheBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := bytelimit.NewBudget("test", 100, 10)
	first, second := budget.Hold(), budget.Hold()
	g.Expect(first.Grow(80)).To(gomega.BeTrue())
	g.Expect(second.Grow(10)).To(gomega.BeTrue(), "each answer may hold a little")
	g.Expect(second.Grow(41)).To(gomega.BeFalse())
	g.Expect(second.Grow(40)).To(gomega.BeTrue())
	g.Expect(first.Grow(50)).To(gomega.BeTrue(), "an answer that doesn't grow needs nothing")
	first.Release()
	first.Release()
	g.Expect(second.Grow(110)).To(gomega.BeTrue())
	g.Expect(first.Grow(11)).To(gomega.BeFalse())
	second.Release()
	g.Expect(first.Grow(110)).To(gomega.BeTrue())
}

// Guards against a body within the limits of one that can never be held, and against one that exceeds the budget beside others.
func TestOneBodyMayExceedTheBudgetAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := bytelimit.NewBudget("test", 100, 10)
	first, second := budget.Hold(), budget.Hold()
	g.Expect(first.Grow(500)).To(gomega.BeFalse())
	g.Expect(first.GrowAlone(500)).To(gomega.BeTrue())
	g.Expect(first.GrowAlone(600)).To(gomega.BeTrue())
	g.Expect(second.GrowAlone(11)).To(gomega.BeFalse())
	g.Expect(second.GrowAlone(10)).To(gomega.BeTrue())
	first.Release()
	g.Expect(second.Grow(20)).To(gomega.BeTrue())
	g.Expect(first.GrowAlone(500)).To(gomega.BeFalse())
	g.Expect(first.GrowAlone(100)).To(gomega.BeTrue())
}
