package rendezvous_test

import (
	"slices"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/rendezvous"
)

// Guards against an order that depends on the order of the items, or that changes for the others when one leaves.
func TestOrderDependsOnlyOnTheKeyAndTheItems(t *testing.T) {
	g := gomega.NewWithT(t)
	order := func(items ...string) []string {
		return rendezvous.Order(items, func(item string) string { return "key\x00" + item })
	}
	all := order("a", "b", "c", "d")
	g.Expect(order("d", "b", "c", "a")).To(gomega.Equal(all))
	for _, gone := range all {
		rest := slices.DeleteFunc(slices.Clone(all), func(item string) bool { return item == gone })
		g.Expect(order(rest...)).To(gomega.Equal(rest))
	}
}
