package loadqueue

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// applySteadyLoad applies a stream in which a load of the class is always waiting, until the load with the given ID
// runs or limit records have been applied. It returns the number of applied records.
func applySteadyLoad(o *order, class uint32, id string, limit int) int {
	next := o.applied
	apply := func(r record) {
		next++
		o.apply(next, r)
	}
	for i := 0; i < limit; i += 2 {
		if running := o.running(); running != nil && running.request.ID == id {
			return i
		}
		apply(record{
			Kind: requestRecord, Holder: "b", ID: fmt.Sprint("steady-", next), Class: class,
			Adapter: fmt.Sprint("a-", next), AppliedOffset: next,
		})
		apply(record{Kind: doneRecord, Holder: "b", RequestOffset: o.running().offset})
	}
	return limit
}

// TestPassedOverRequestsAge guards against requests of a low class that starve while the weight store is busy with a
// higher class, and against aged requests that start before urgent loads.
func TestPassedOverRequestsAge(t *testing.T) {
	g := gomega.NewWithT(t)
	for class, blocked := range map[uint32]bool{0: true, 1: false, 2: false} {
		o := newOrder()
		o.apply(1, record{Kind: requestRecord, Holder: "b", ID: "first", Class: class, Adapter: "x", AppliedOffset: 0})
		o.apply(2, record{Kind: requestRecord, Holder: "b", ID: "second", Class: class, Adapter: "y", AppliedOffset: 1})
		o.apply(3, record{Kind: requestRecord, Holder: "c", ID: "draft", Class: 5, Adapter: "z", AppliedOffset: 2})
		records := applySteadyLoad(o, class, "draft", 4*int(agedRecords))
		if blocked {
			g.Expect(records).To(gomega.Equal(4*int(agedRecords)), "class %d", class)
		} else {
			g.Expect(platform.Offset(records)).To(gomega.BeNumerically("<", agedRecords+8), "class %d", class)
		}
	}
}

// TestPrefetchesDontAge guards against prefetches that age and delay loads that requests wait for.
func TestPrefetchesDontAge(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOrder()
	o.apply(1, record{Kind: requestRecord, Holder: "b", ID: "first", Class: 3, Adapter: "x", AppliedOffset: 0})
	o.apply(2, record{Kind: requestRecord, Holder: "b", ID: "second", Class: 3, Adapter: "y", AppliedOffset: 1})
	o.apply(3, record{Kind: requestRecord, Holder: "c", ID: "ahead", Class: PrefetchClass, Adapter: "z", AppliedOffset: 2})
	g.Expect(applySteadyLoad(o, 3, "ahead", 4*int(agedRecords))).To(gomega.Equal(4 * int(agedRecords)))
}
