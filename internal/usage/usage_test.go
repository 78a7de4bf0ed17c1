package usage_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/usage"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	adapter = serving.Adapter{Model: "m", Name: "a"}
)

// Guards against slots that stand idle for up to the usage period after their adapter's last request has ended, while
// other adapters wait for a slot: the holder is told of the first request and of the end of the last one at once.
func TestBeginAndEndOfUseAreUrgent(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := usage.New("n")
	endFirst := tracker.Begin("s", adapter)
	g.Expect(tracker.Urgent()).To(gomega.Receive())
	collected := tracker.CollectUrgent(start)
	g.Expect(collected).To(gomega.HaveKey("s"))
	g.Expect(collected["s"].Running).To(gomega.HaveKeyWithValue(adapter, 1))
	g.Expect(collected["s"].Sent).To(gomega.HaveKeyWithValue(adapter, 1))

	endSecond := tracker.Begin("s", adapter)
	endFirst()
	g.Expect(tracker.Urgent()).NotTo(gomega.Receive(), "the adapter is still in use")
	g.Expect(tracker.CollectUrgent(start)).To(gomega.BeEmpty())

	endSecond()
	g.Expect(tracker.Urgent()).To(gomega.Receive())
	collected = tracker.CollectUrgent(start)
	g.Expect(collected).To(gomega.HaveKey("s"))
	g.Expect(collected["s"].Running).To(gomega.BeEmpty())
}
