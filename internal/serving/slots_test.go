package serving_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// Guards against estimates that count free slots as taken, or adapters of less urgent requests as ahead.
func TestWaitCountsTheAdaptersAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := serving.SlotQueue{
		Free: 2, Waiting: [serving.RankCount]int{1, 1, 3}, Turnover: 100 * time.Millisecond,
	}
	g.Expect(queue.Wait(0)).To(gomega.BeZero())
	g.Expect(queue.Wait(1)).To(gomega.Equal(100 * time.Millisecond))
	g.Expect(queue.Wait(2)).To(gomega.Equal(400 * time.Millisecond))
	g.Expect(queue.Wait(9)).To(gomega.Equal(400 * time.Millisecond))
	queue.OrdersIn = time.Second
	g.Expect(queue.Wait(0)).To(gomega.Equal(time.Second))
}
