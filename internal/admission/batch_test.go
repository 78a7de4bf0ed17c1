package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/admission"
)

var _ = ginkgo.Describe("Queue with batch windows", func() {
	batched := admission.Class{
		Name: "batched", Rank: 1, QueueLimit: 10, MaximumWait: time.Minute,
		Batch: admission.BatchWindow{Window: time.Second, GatherSize: 3},
	}
	offer := func(q *admission.Queue, e admission.Entry) {
		_, accepted := q.Offer(e, e.Arrived, always(admission.NoCapacity))
		gomega.Expect(accepted).To(gomega.BeTrue())
	}
	dispatch := func(q *admission.Queue, now time.Time, capacity int) []uint64 {
		var dispatched []uint64
		q.Dispatch(now, func(e admission.Entry) admission.Result {
			if len(dispatched) == capacity {
				return admission.NoCapacity
			}
			dispatched = append(dispatched, e.ID)
			return admission.Dispatched
		})
		return dispatched
	}

	// Guards against holding the rest of a batch again after a part of it was dispatched.
	ginkgo.It("keeps a full group released until all of its entries are dispatched", func() {
		q := newQueue()
		for id := uint64(1); id <= 3; id++ {
			gomega.Expect(dispatch(q, start, 9)).To(gomega.BeEmpty())
			offer(q, entry(id, batched, "a"))
		}
		gomega.Expect(dispatch(q, start, 1)).To(gomega.Equal([]uint64{1}))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.Equal([]uint64{2, 3}))
		offer(q, entry(4, batched, "a"))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.BeEmpty())
	})

	// Guards against a missing tick when a window ends, and against a busy loop of immediate ticks while a released group
	// finds no capacity.
	ginkgo.It("schedules a tick for the end of the window, and then for the expiry of the entry", func() {
		q := newQueue()
		offer(q, entry(1, batched, "a"))
		next, waiting := q.NextTick()
		gomega.Expect(waiting).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(latestRelease(entry(1, batched, "a"))))
		gomega.Expect(dispatch(q, next, 0)).To(gomega.BeEmpty())
		next, _ = q.NextTick()
		gomega.Expect(next).To(gomega.Equal(start.Add(time.Minute)))
		gomega.Expect(dispatch(q, start.Add(time.Second), 9)).To(gomega.Equal([]uint64{1}))
	})

	// Guards against gateways that release requests for the same adapter version at different times, so that the engine
	// can't batch them.
	ginkgo.It("ends windows at the same time on all gateways", func() {
		early, late := entry(1, batched, "a"), entry(2, batched, "a")
		late.Arrived = latestRelease(early).Add(-time.Millisecond)
		var ends []time.Time
		for _, e := range []admission.Entry{early, late} {
			q := newQueue()
			offer(q, e)
			next, _ := q.NextTick()
			ends = append(ends, next)
		}
		gomega.Expect(ends[1]).To(gomega.Equal(ends[0]))
	})

	// Guards against a batch window that consumes the caller's deadline.
	ginkgo.It("releases an entry after half of the time to its deadline", func() {
		q := newQueue()
		shortDeadline := entry(1, batched, "a")
		shortDeadline.Class.Batch.Window = time.Hour
		shortDeadline.Deadline = start.Add(400 * time.Millisecond)
		offer(q, shortDeadline)
		next, _ := q.NextTick()
		gomega.Expect(next).To(gomega.Equal(start.Add(200 * time.Millisecond)))
		gomega.Expect(dispatch(q, next, 9)).To(gomega.Equal([]uint64{1}))
	})

	// Guards against a shutdown that is delayed by batch windows.
	ginkgo.It("holds no entries after EndHolds", func() {
		q := newQueue()
		offer(q, entry(1, batched, "a"))
		q.EndHolds()
		offer(q, entry(2, batched, "b"))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.Equal([]uint64{1, 2}))
	})

	// Guards against refusing an entry of a class without a window because held entries of its adapter count as ahead of
	// it.
	ginkgo.It("lets an entry of a full class without a window overtake held entries of its adapter", func() {
		q := newQueue()
		background := admission.Class{Name: "background", Rank: 2, QueueLimit: 1, MaximumWait: time.Minute}
		offer(q, entry(1, background, "absent"))
		offer(q, entry(2, batched, "a"))
		_, accepted := q.Offer(entry(3, background, "a"), start, always(admission.Dispatched))
		gomega.Expect(accepted).To(gomega.BeTrue())
	})

	ginkgo.It("scales the window by the stall weight and disables holding at a weight of 1", func() {
		window := admission.BatchWindow{Window: 4 * time.Second, GatherSize: 8}
		gomega.Expect(window.ScaledBy(0)).To(gomega.Equal(window))
		gomega.Expect(window.ScaledBy(0.25).Window).To(gomega.Equal(3 * time.Second))
		gomega.Expect(window.ScaledBy(1)).To(gomega.BeZero())
	})
})

// holdModel is the reference model of a queue with batch windows. It tracks whether the group of each adapter is
// released.
type holdModel struct {
	queued   map[uint64]admission.Entry
	released map[string]bool
}

// windowed returns the queued entries of an adapter that have a batch window, in order of arrival.
func (m *holdModel) windowed(adapter string) []admission.Entry {
	var all []admission.Entry
	for _, e := range m.queued {
		if e.Target.Adapter == adapter && e.Class.Batch.Window > 0 {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b admission.Entry) int { return int(a.ID) - int(b.ID) })
	return all
}

// release marks the groups that are due as released. Groups that have become empty are reset.
func (m *holdModel) release(now time.Time, adapters []string) {
	for _, adapter := range adapters {
		group := m.windowed(adapter)
		due := false
		for _, e := range group {
			size := e.Class.Batch.GatherSize
			due = due || !now.Before(latestRelease(e)) || (size > 0 && len(group) >= size)
		}
		m.released[adapter] = len(group) > 0 && (m.released[adapter] || due)
	}
}

// latestRelease returns the latest time at which an entry must be released.
func latestRelease(e admission.Entry) time.Time {
	limit := e.Arrived.Add(e.Class.MaximumWait)
	if !e.Deadline.IsZero() && e.Deadline.Before(limit) {
		limit = e.Deadline
	}
	window := int64(e.Class.Batch.Window)
	phase := int64(admission.Phase(e.Target.Adapter, e.Target.Version) % uint64(window))
	windows := (e.Arrived.UnixNano() + phase) / window
	end := time.Unix(0, (windows+1)*window-phase)
	if half := e.Arrived.Add(limit.Sub(e.Arrived) / 2); half.Before(end) {
		return half
	}
	return end
}

// TestHeldEntriesEndOnce guards against entries that are dropped, dispatched out of order of rank, held beyond their
// window, or delayed by another class's window. As in the gateway, Dispatch is called on arrivals and at the times
// returned by NextTick.
func TestHeldEntriesEndOnce(t *testing.T) {
	adapters := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		now := start
		nextID := uint64(0)
		m := holdModel{queued: map[uint64]admission.Entry{}, released: map[string]bool{}}
		markEnded := func(id uint64) {
			if _, known := m.queued[id]; !known {
				t.Fatalf("entry %d ended twice or was never queued", id)
			}
			delete(m.queued, id)
		}
		expireAndDispatch := func(capacity map[string]int) {
			for _, ended := range q.Expire(now) {
				markEnded(ended.Entry.ID)
			}
			m.release(now, adapters)
			var expected, dispatched []uint64
			remaining := map[string]int{}
			for _, adapter := range adapters {
				remaining[adapter] = capacity[adapter]
			}
			for rank := range 3 {
				for id := uint64(1); id <= nextID; id++ {
					e, known := m.queued[id]
					held := e.Class.Batch.Window > 0 && !m.released[e.Target.Adapter]
					if known && !held && e.Class.Rank == rank && remaining[e.Target.Adapter] > 0 {
						remaining[e.Target.Adapter]--
						expected = append(expected, id)
					}
				}
			}
			q.Dispatch(now, func(e admission.Entry) admission.Result {
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
			m.release(now, adapters)
		}
		unlimited := func() map[string]int { return map[string]int{"a": 100, "b": 100} }
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				nextID++
				rank := rapid.IntRange(0, 2).Draw(t, "rank")
				class := admission.Class{Name: string(rune('x' + rank)), Rank: rank, QueueLimit: 8, MaximumWait: 5 * time.Second}
				if rank > 0 {
					class.Batch.Window = time.Duration(rapid.IntRange(0, 8000).Draw(t, "windowMs")) * time.Millisecond
					class.Batch.GatherSize = rapid.IntRange(0, 4).Draw(t, "gatherSize")
				}
				e := admission.Entry{ID: nextID, Class: class, Arrived: now}
				e.Target.Adapter = rapid.SampledFrom(adapters).Draw(t, "adapter")
				if rapid.Bool().Draw(t, "hasDeadline") {
					e.Deadline = now.Add(time.Duration(rapid.IntRange(2, 3000).Draw(t, "deadlineMs")) * time.Millisecond)
				}
				if _, accepted := q.Offer(e, now, always(admission.NoCopy)); accepted {
					m.queued[e.ID] = e
				}
				expireAndDispatch(map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")})
			},
			"tick": func(t *rapid.T) {
				next, waiting := q.NextTick()
				if !waiting {
					return
				}
				if next.Before(now) {
					t.Fatalf("the next tick is %v in the past", now.Sub(next))
				}
				now = next
				expireAndDispatch(unlimited())
				for id, e := range m.queued {
					if !now.Before(latestRelease(e)) {
						t.Fatalf("entry %d is held for %v after its window although capacity is available", id, now.Sub(latestRelease(e)))
					}
				}
			},
			"leave": func(t *rapid.T) {
				id := rapid.Uint64Range(0, nextID).Draw(t, "id")
				_, known := m.queued[id]
				if q.Remove(id) != known {
					t.Fatalf("Remove(%d) doesn't report whether the entry was queued", id)
				}
				delete(m.queued, id)
				m.release(now, adapters)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(m.queued) {
					t.Fatalf("the queue holds %d entries, expected %d", q.Len(), len(m.queued))
				}
			},
		})
		if rapid.Bool().Draw(t, "stop") {
			for _, ended := range q.Stop() {
				markEnded(ended.Entry.ID)
			}
		} else {
			q.EndHolds()
			q.Dispatch(now, func(e admission.Entry) admission.Result {
				markEnded(e.ID)
				return admission.Dispatched
			})
		}
		if len(m.queued) > 0 {
			t.Fatalf("%d entries never left the queue", len(m.queued))
		}
	})
}
