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
	drafts := admission.Class{
		Name: "drafts", Rank: 1, QueueLimit: 10, MaximumWait: time.Minute,
		Batch: admission.BatchWindow{Window: time.Second, GatherSize: 3},
	}
	offer := func(q *admission.Queue, e admission.Entry) {
		_, accepted := q.Offer(e, e.Arrived, always(admission.NoCapacity))
		gomega.Expect(accepted).To(gomega.BeTrue())
	}
	dispatch := func(q *admission.Queue, now time.Time, capacity int) []uint64 {
		var got []uint64
		q.Dispatch(now, func(e admission.Entry) admission.Result {
			if len(got) == capacity {
				return admission.NoCapacity
			}
			got = append(got, e.ID)
			return admission.Dispatched
		})
		return got
	}

	// Guards against a batch that is held again after a part of it was dispatched.
	ginkgo.It("releases a full group until all of it is dispatched", func() {
		q := newQueue()
		for id := uint64(1); id <= 3; id++ {
			gomega.Expect(dispatch(q, start, 9)).To(gomega.BeEmpty())
			offer(q, entry(id, drafts, "a"))
		}
		gomega.Expect(dispatch(q, start, 1)).To(gomega.Equal([]uint64{1}))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.Equal([]uint64{2, 3}))
		offer(q, entry(4, drafts, "a"))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.BeEmpty())
	})

	// Guards against a core that is not asked again when a window ends, and against one that asks to be called at once
	// for ever while a released group finds no capacity.
	ginkgo.It("asks for a tick when the window ends, and then when the entry is given up on", func() {
		q := newQueue()
		offer(q, entry(1, drafts, "a"))
		next, waiting := q.NextTick()
		gomega.Expect(waiting).To(gomega.BeTrue())
		gomega.Expect(next).To(gomega.Equal(holdEnd(entry(1, drafts, "a"))))
		gomega.Expect(dispatch(q, next, 0)).To(gomega.BeEmpty())
		next, _ = q.NextTick()
		gomega.Expect(next).To(gomega.Equal(start.Add(time.Minute)))
		gomega.Expect(dispatch(q, start.Add(time.Second), 9)).To(gomega.Equal([]uint64{1}))
	})

	// Guards against gateways that release requests for the same adapter version apart, so that they don't run together.
	ginkgo.It("ends windows at the same time at all gateways", func() {
		early, late := entry(1, drafts, "a"), entry(2, drafts, "a")
		late.Arrived = holdEnd(early).Add(-time.Millisecond)
		var ends []time.Time
		for _, e := range []admission.Entry{early, late} {
			q := newQueue()
			offer(q, e)
			next, _ := q.NextTick()
			ends = append(ends, next)
		}
		gomega.Expect(ends[1]).To(gomega.Equal(ends[0]))
	})

	// Guards against a window that uses up a caller's deadline.
	ginkgo.It("releases an entry after half of its caller's time", func() {
		q := newQueue()
		short := entry(1, drafts, "a")
		short.Class.Batch.Window = time.Hour
		short.Deadline = start.Add(400 * time.Millisecond)
		offer(q, short)
		next, _ := q.NextTick()
		gomega.Expect(next).To(gomega.Equal(start.Add(200 * time.Millisecond)))
		gomega.Expect(dispatch(q, next, 9)).To(gomega.Equal([]uint64{1}))
	})

	// Guards against a shutdown that waits for batch windows.
	ginkgo.It("holds nothing once holds have ended", func() {
		q := newQueue()
		offer(q, entry(1, drafts, "a"))
		q.EndHolds()
		offer(q, entry(2, drafts, "b"))
		gomega.Expect(dispatch(q, start, 9)).To(gomega.Equal([]uint64{1, 2}))
	})

	// Guards against a class without a window that is refused because held entries of its adapter count as ahead of it.
	ginkgo.It("lets a full class without a window pass held entries of its adapter", func() {
		q := newQueue()
		background := admission.Class{Name: "background", Rank: 2, QueueLimit: 1, MaximumWait: time.Minute}
		offer(q, entry(1, background, "absent"))
		offer(q, entry(2, drafts, "a"))
		_, accepted := q.Offer(entry(3, background, "a"), start, always(admission.Dispatched))
		gomega.Expect(accepted).To(gomega.BeTrue())
	})

	ginkgo.It("scales the window by the stall weight and holds nothing at a weight of 1", func() {
		window := admission.BatchWindow{Window: 4 * time.Second, GatherSize: 8}
		gomega.Expect(window.InForce(0)).To(gomega.Equal(window))
		gomega.Expect(window.InForce(0.25).Window).To(gomega.Equal(3 * time.Second))
		gomega.Expect(window.InForce(1)).To(gomega.BeZero())
	})
})

// heldModel is the reference for a queue with batch windows: it states for each adapter whether its group is released.
type heldModel struct {
	queued   map[uint64]admission.Entry
	released map[string]bool
}

// windowed returns the queued entries of an adapter that have a batch window, in the order of arrival.
func (m *heldModel) windowed(adapter string) []admission.Entry {
	var all []admission.Entry
	for _, e := range m.queued {
		if e.Target.Adapter == adapter && e.Class.Batch.Window > 0 {
			all = append(all, e)
		}
	}
	slices.SortFunc(all, func(a, b admission.Entry) int { return int(a.ID) - int(b.ID) })
	return all
}

// release marks the groups that are due and returns whether an entry may be dispatched.
func (m *heldModel) release(now time.Time, adapters []string) {
	for _, adapter := range adapters {
		group := m.windowed(adapter)
		due := false
		for _, e := range group {
			due = due || !now.Before(holdEnd(e)) || (e.Class.Batch.GatherSize > 0 && len(group) >= e.Class.Batch.GatherSize)
		}
		m.released[adapter] = len(group) > 0 && (m.released[adapter] || due)
	}
}

// holdEnd is when an entry must be released at the latest.
func holdEnd(e admission.Entry) time.Time {
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

// TestHeldEntriesEndOnce guards against entries that are lost, dispatched out of rank, held beyond their window, or
// delayed by another class's window. Dispatch is called when NextTick says so and at arrivals, as the gateway does.
func TestHeldEntriesEndOnce(t *testing.T) {
	adapters := []string{"a", "b"}
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		now := start
		nextID := uint64(0)
		m := heldModel{queued: map[uint64]admission.Entry{}, released: map[string]bool{}}
		finish := func(id uint64) {
			if _, known := m.queued[id]; !known {
				t.Fatalf("entry %d ended twice or was never queued", id)
			}
			delete(m.queued, id)
		}
		pass := func(capacity map[string]int) {
			for _, given := range q.Expire(now) {
				finish(given.Entry.ID)
			}
			m.release(now, adapters)
			var want, got []uint64
			left := map[string]int{}
			for _, adapter := range adapters {
				left[adapter] = capacity[adapter]
			}
			for rank := range 3 {
				for id := uint64(1); id <= nextID; id++ {
					e, known := m.queued[id]
					held := e.Class.Batch.Window > 0 && !m.released[e.Target.Adapter]
					if known && !held && e.Class.Rank == rank && left[e.Target.Adapter] > 0 {
						left[e.Target.Adapter]--
						want = append(want, id)
					}
				}
			}
			q.Dispatch(now, func(e admission.Entry) admission.Result {
				if capacity[e.Target.Adapter] == 0 {
					return admission.NoCapacity
				}
				capacity[e.Target.Adapter]--
				got = append(got, e.ID)
				return admission.Dispatched
			})
			if !slices.Equal(got, want) {
				t.Fatalf("dispatched %v, want %v", got, want)
			}
			for _, id := range got {
				finish(id)
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
				pass(map[string]int{"a": rapid.IntRange(0, 3).Draw(t, "a"), "b": rapid.IntRange(0, 3).Draw(t, "b")})
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
				pass(unlimited())
				for id, e := range m.queued {
					if !now.Before(holdEnd(e)) {
						t.Fatalf("entry %d is held %v longer than its window with capacity left", id, now.Sub(holdEnd(e)))
					}
				}
			},
			"gone": func(t *rapid.T) {
				id := rapid.Uint64Range(0, nextID).Draw(t, "id")
				_, known := m.queued[id]
				if q.Remove(id) != known {
					t.Fatalf("removal of entry %d doesn't match its being queued", id)
				}
				delete(m.queued, id)
				m.release(now, adapters)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(m.queued) {
					t.Fatalf("the queue holds %d entries, want %d", q.Len(), len(m.queued))
				}
			},
		})
		if rapid.Bool().Draw(t, "stop") {
			for _, given := range q.Stop() {
				finish(given.Entry.ID)
			}
		} else {
			q.EndHolds()
			q.Dispatch(now, func(e admission.Entry) admission.Result {
				finish(e.ID)
				return admission.Dispatched
			})
		}
		if len(m.queued) > 0 {
			t.Fatalf("%d entries were lost", len(m.queued))
		}
	})
}
