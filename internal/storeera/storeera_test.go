package storeera_test

import (
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/storeera"
)

// Guards against an answer that is late or comes from a part of the store that hasn't returned, and against one without an era
// after one with an era: each would take back what is known of the newer era.
func TestAnswersOfEarlierErasAreRecognized(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := storeera.NewTracker()
	var changes []storeera.Change
	tracker.OnChange(func(c storeera.Change) { changes = append(changes, c) })
	g.Expect(tracker.Answered(0)).To(gomega.BeTrue(), "a store that names no eras")
	g.Expect(tracker.Answered(4)).To(gomega.BeTrue())
	g.Expect(tracker.Answered(3)).To(gomega.BeFalse())
	g.Expect(tracker.Answered(0)).To(gomega.BeFalse())
	g.Expect(tracker.Answered(4)).To(gomega.BeTrue())
	tracker.Told("peer", 4)
	tracker.Told("peer", 2)
	tracker.Told("peer", 5)
	g.Expect(tracker.Answered(4)).To(gomega.BeFalse(), "a peer has told of a newer era")
	g.Expect(tracker.Current()).To(gomega.BeEquivalentTo(5))
	g.Expect(changes).To(gomega.Equal([]storeera.Change{
		{Before: 0, Now: 4, Returned: true}, {Before: 4, Now: 5, Returned: true, Source: "peer"},
	}))
}

// Guards against a start that counts as a return of the store, and against a node that says nothing of eras and so hides the first.
func TestFirstKnownEraIsNoReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, told := range []bool{true, false} {
		tracker := storeera.NewTracker()
		var changes []storeera.Change
		tracker.OnChange(func(c storeera.Change) { changes = append(changes, c) })
		tracker.Told("peer", 0)
		if told {
			tracker.Told("peer", 7)
		} else {
			tracker.Answered(7)
		}
		g.Expect(changes).To(gomega.HaveLen(1))
		g.Expect(changes[0].Returned).To(gomega.BeFalse())
	}
}
