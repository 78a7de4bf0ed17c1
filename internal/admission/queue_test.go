package admission_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/routing"
)

func TestAdmission(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "admission")
}

var start = time.Unix(1_000_000, 0)

func newQueue() *admission.Queue { return admission.NewQueue(rand.New(rand.NewPCG(1, 2))) }

func always(result admission.Result) func(admission.Entry) admission.Result {
	return func(admission.Entry) admission.Result { return result }
}

func entry(id uint64, class admission.Class, adapter string) admission.Entry {
	return admission.Entry{ID: id, Class: class, Target: routing.Target{Adapter: adapter}, Arrived: start}
}

var _ = ginkgo.Describe("Queue", func() {
	urgent := admission.Class{Name: "urgent", Rank: 0, QueueLimit: 2, MaximumWait: time.Second}
	background := admission.Class{Name: "background", Rank: 2, QueueLimit: 100, MaximumWait: time.Minute}

	// Guards the strict priority of urgent requests across adapters: an urgent request that arrives last is dispatched
	// first when capacity is scarce.
	ginkgo.It("dispatches urgent entries first, whatever their adapter", func() {
		q := newQueue()
		q.Offer(entry(1, background, "a"), start, always(admission.NoCapacity))
		q.Offer(entry(2, background, "b"), start, always(admission.NoCapacity))
		q.Offer(entry(3, urgent, "c"), start, always(admission.NoCapacity))
		var first []uint64
		q.Dispatch(start, func(e admission.Entry) admission.Result {
			if len(first) == 1 {
				return admission.NoCapacity
			}
			first = append(first, e.ID)
			return admission.Dispatched
		})
		gomega.Expect(first).To(gomega.Equal([]uint64{3}))
		gomega.Expect(q.Len()).To(gomega.Equal(2))
	})

	// Guards against refusing requests for resident adapters because the class is full of requests that wait for loads.
	ginkgo.It("lets a full class pass on what takes nobody's place, and refuses the rest", func() {
		q := newQueue()
		q.Offer(entry(1, urgent, "absent"), start, always(admission.NoCopy))
		q.Offer(entry(2, urgent, "absent"), start, always(admission.NoCopy))
		_, accepted := q.Offer(entry(3, urgent, "resident"), start, always(admission.Dispatched))
		gomega.Expect(accepted).To(gomega.BeTrue())
		refused, accepted := q.Offer(entry(4, urgent, "absent"), start, always(admission.Dispatched))
		gomega.Expect(accepted).To(gomega.BeFalse())
		gomega.Expect(refused.Cause).To(gomega.Equal(admission.QueueFull))
	})

	// Guards against queueing a request whose estimated wait exceeds its deadline.
	ginkgo.It("refuses on arrival what would wait too long", func() {
		q := newQueue()
		now := start
		for id := uint64(1); id <= 20; id++ {
			q.Offer(entry(id, background, "a"), now, always(admission.NoCapacity))
		}
		for range 10 {
			now = now.Add(time.Second)
			used := false
			q.Dispatch(now, func(admission.Entry) admission.Result {
				if used {
					return admission.NoCapacity
				}
				used = true
				return admission.Dispatched
			})
		}
		gomega.Expect(q.Estimate(background.Rank)).To(gomega.BeNumerically(">", 5*time.Second))
		gomega.Expect(q.Estimate(urgent.Rank)).To(gomega.BeZero(), "an urgent entry does not wait for background entries")
		tooLate := entry(99, background, "a")
		tooLate.Arrived, tooLate.Deadline = now, now.Add(time.Second)
		refused, accepted := q.Offer(tooLate, now, always(admission.NoCapacity))
		gomega.Expect(accepted).To(gomega.BeFalse())
		gomega.Expect(refused.Cause).To(gomega.Equal(admission.WaitTooLong))
		gomega.Expect(refused.RetryAfter).To(gomega.BeNumerically(">", 2*time.Second))
	})

	ginkgo.It("spreads the time to retry by a factor of 0.5 to 1.5", func() {
		random := rand.New(rand.NewPCG(3, 4))
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			retryAfter := admission.RetryAfter(10*time.Second, random)
			low, high = min(low, retryAfter), max(high, retryAfter)
		}
		gomega.Expect(low).To(gomega.BeNumerically("~", 5*time.Second, 100*time.Millisecond))
		gomega.Expect(high).To(gomega.BeNumerically("~", 15*time.Second, 100*time.Millisecond))
	})

	ginkgo.It("pays for one retry in ten requests", func() {
		budget := admission.NewRetryBudget()
		for budget.AllowRetry() {
		}
		retries := 0
		for range 1000 {
			budget.CountRequest()
			if budget.AllowRetry() {
				retries++
			}
		}
		gomega.Expect(retries).To(gomega.BeNumerically("~", 100, 1))
	})
})

// TestEveryEntryEndsOnce checks that each entry leaves the queue exactly once, and that entries whose target has
// capacity are dispatched in order of rank and then of arrival.
func TestEveryEntryEndsOnce(t *testing.T) {
	adapters := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		now := start
		nextID := uint64(0)
		queued := map[uint64]admission.Entry{}
		// excluded holds entries that can't use any server, as is temporarily the case for retries. They must not block
		// others.
		excluded := map[uint64]bool{}
		markEnded := func(id uint64) {
			if _, known := queued[id]; !known {
				t.Fatalf("entry %d ended twice or was never queued", id)
			}
			delete(queued, id)
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				nextID++
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				class := admission.Class{Name: string(rune('x' + rank)), Rank: rank, QueueLimit: 4, MaximumWait: 5 * time.Second}
				e := admission.Entry{ID: nextID, Class: class, Arrived: now}
				e.Target.Adapter = rapid.SampledFrom(adapters).Draw(t, "adapter")
				if rapid.Bool().Draw(t, "hasDeadline") {
					e.Deadline = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "deadlineMs")) * time.Millisecond)
				}
				excluded[e.ID] = rapid.IntRange(0, 3).Draw(t, "excluded") == 0
				if _, accepted := q.Offer(e, now, always(admission.NoCopy)); accepted {
					queued[e.ID] = e
				}
			},
			"dispatch": func(t *rapid.T) {
				capacity := map[string]int{}
				for _, adapter := range adapters {
					capacity[adapter] = rapid.IntRange(0, 2).Draw(t, adapter)
				}
				// The reference model picks the lowest rank, then the lowest ID, among entries whose adapter has capacity.
				remaining := maps.Clone(capacity)
				var expected []uint64
				for rank := range 3 {
					for id := uint64(1); id <= nextID; id++ {
						e, known := queued[id]
						if known && !excluded[id] && e.Class.Rank == rank && remaining[e.Target.Adapter] > 0 {
							remaining[e.Target.Adapter]--
							expected = append(expected, id)
						}
					}
				}
				var dispatched []uint64
				q.Dispatch(now, func(e admission.Entry) admission.Result {
					if excluded[e.ID] {
						return admission.Excluded
					}
					if capacity[e.Target.Adapter] == 0 {
						return admission.NoCapacity
					}
					capacity[e.Target.Adapter]--
					dispatched = append(dispatched, e.ID)
					return admission.Dispatched
				})
				if !slices.Equal(dispatched, expected) {
					t.Fatalf("dispatched %v, expected %v", dispatched, expected)
				}
				for _, id := range dispatched {
					markEnded(id)
				}
			},
			"leave": func(t *rapid.T) {
				id := rapid.Uint64Range(0, nextID).Draw(t, "id")
				_, known := queued[id]
				if q.Remove(id) != known {
					t.Fatalf("Remove(%d) doesn't report whether the entry was queued", id)
				}
				delete(queued, id)
			},
			"passTime": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
				for _, ended := range q.Expire(now) {
					markEnded(ended.Entry.ID)
				}
				for id, e := range queued {
					due := !now.Before(e.Arrived.Add(e.Class.MaximumWait)) || (!e.Deadline.IsZero() && !now.Before(e.Deadline))
					if due {
						t.Fatalf("entry %d is still queued after its expiry", id)
					}
				}
			},
			"": func(t *rapid.T) {
				count := 0
				for _, w := range q.Waiting() {
					count += w.Count
				}
				if q.Len() != len(queued) || count != len(queued) {
					t.Fatalf("the queue holds %d entries and reports %d, expected %d", q.Len(), count, len(queued))
				}
			},
		})
		for _, ended := range q.Stop() {
			markEnded(ended.Entry.ID)
		}
		if len(queued) > 0 {
			t.Fatalf("%d entries never left the queue", len(queued))
		}
	})
}
