package engine

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

func submit(c *core, id string, priority, limit int) *request {
	r := &request{id: id, priority: priority, limit: limit, progress: newProgress()}
	c.submit(r)
	return r
}

func ids(requests []*request) []string {
	var list []string
	for _, r := range requests {
		list = append(list, r.id)
	}
	return list
}

var _ = ginkgo.Describe("core", func() {
	// Guards against a running set that exceeds the concurrency or admits requests in the wrong order.
	ginkgo.It("admits the most urgent requests, in the order of arrival", func() {
		c := newCore(2, time.Second)
		submit(c, "late", 5, 1)
		submit(c, "first", 0, 1)
		submit(c, "second", 0, 2)
		submit(c, "third", 0, 1)
		gomega.Expect(c.step(0)).To(gomega.Equal(2))
		gomega.Expect(ids(c.finished)).To(gomega.Equal([]string{"first"}))
		gomega.Expect(c.step(0)).To(gomega.Equal(2))
		gomega.Expect(c.step(0)).To(gomega.Equal(1))
		gomega.Expect(ids(c.finished)).To(gomega.Equal([]string{"first", "second", "third", "late"}))
		gomega.Expect(c.busy()).To(gomega.BeFalse())
	})

	// Guards against ended requests that are retained forever, or dropped while they may still be resumed.
	ginkgo.It("drops ended requests after their retention", func() {
		c := newCore(2, time.Second)
		submit(c, "a", 0, 1)
		c.step(0)
		c.dropExpired(time.Second)
		gomega.Expect(c.requests).To(gomega.HaveKey("a"))
		c.dropExpired(time.Second + 1)
		gomega.Expect(c.requests).To(gomega.BeEmpty())
		gomega.Expect(c.finished).To(gomega.BeEmpty())
	})

	// Guards against a history that returns a state newer than the lag allows.
	ginkgo.It("finds the newest snapshot that is old enough", func() {
		var h history
		for _, at := range []time.Duration{0, 10, 20, 30} {
			h.add(snapshot{asOf: at})
		}
		gomega.Expect(h.at(-5).asOf).To(gomega.BeZero())
		gomega.Expect(h.at(25).asOf).To(gomega.Equal(time.Duration(20)))
		gomega.Expect(h.snapshots).To(gomega.HaveLen(2))
	})
})
