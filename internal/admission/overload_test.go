package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/admission"
)

// callerPool simulates callers that retry whenever their request is refused or expires, until it is served.
type callerPool struct {
	queue   *admission.Queue
	now     time.Time
	nextID  uint64
	retryAt map[string]time.Time
	queued  map[uint64]admission.Entry
	served  map[string]int
	classes map[string]admission.Class
	t       *rapid.T
}

func (c *callerPool) add(name string, class admission.Class) {
	c.classes[name] = class
	c.retryAt[name] = c.now
}

// send offers the request of each caller whose retry time has passed, in order of the names.
func (c *callerPool) send() {
	for number := range len(c.classes) {
		name := fmt.Sprint("caller-", number)
		at, due := c.retryAt[name]
		if !due || at.After(c.now) {
			continue
		}
		delete(c.retryAt, name)
		c.nextID++
		entry := admission.Entry{ID: c.nextID, Class: c.classes[name], Arrived: c.now}
		entry.Target.Adapter = name
		refused, accepted := c.queue.Offer(entry, c.now, always(admission.NoCapacity))
		if accepted {
			c.queued[entry.ID] = entry
			continue
		}
		c.scheduleRetry(refused)
	}
}

func (c *callerPool) scheduleRetry(ended admission.Refusal) {
	if ended.RetryAfter <= 0 {
		c.t.Fatalf("caller %s was refused without a retry time", ended.Entry.Target.Adapter)
	}
	c.retryAt[ended.Entry.Target.Adapter] = c.now.Add(ended.RetryAfter)
	delete(c.queued, ended.Entry.ID)
}

// serve dispatches up to capacity entries and checks that none is dispatched before a waiting entry of a more urgent
// class.
func (c *callerPool) serve(capacity int) {
	c.queue.Dispatch(c.now, func(entry admission.Entry) admission.Result {
		if capacity == 0 {
			return admission.NoCapacity
		}
		capacity--
		if _, waits := c.queued[entry.ID]; !waits {
			c.t.Fatalf("entry %d was dispatched twice", entry.ID)
		}
		delete(c.queued, entry.ID)
		c.served[entry.Target.Adapter]++
		for _, other := range c.queued {
			if other.Class.Rank < entry.Class.Rank {
				c.t.Fatalf("an entry of rank %d was dispatched before one of rank %d", entry.Class.Rank, other.Class.Rank)
			}
		}
		return admission.Dispatched
	})
}

// TestUrgentFirstAmongRetryingCallers checks priorities under overload: the background callers exceed the queue limit
// and the capacity, and retry after each refusal. Urgent callers within the capacity must be served in the step in
// which they arrive, no background entry may be dispatched before a waiting urgent one, each request must be served at
// most once, and each refusal must include a retry time.
func TestUrgentFirstAmongRetryingCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &callerPool{
			queue: newQueue(), now: start, retryAt: map[string]time.Time{}, queued: map[uint64]admission.Entry{},
			served: map[string]int{}, classes: map[string]admission.Class{}, t: t,
		}
		urgent := admission.Class{Name: "urgent", Rank: 0, QueueLimit: 8, MaximumWait: time.Second}
		background := admission.Class{Name: "background", Rank: 2, QueueLimit: 20, MaximumWait: 3 * time.Second}
		for range 100 {
			c.add(fmt.Sprint("caller-", len(c.classes)), background)
		}
		urgentCallers := 0
		for range 60 {
			c.now = c.now.Add(time.Duration(rapid.IntRange(50, 500).Draw(t, "ms")) * time.Millisecond)
			capacity := rapid.IntRange(0, 3).Draw(t, "capacity")
			for range rapid.IntRange(0, capacity).Draw(t, "urgent") {
				c.add(fmt.Sprint("caller-", len(c.classes)), urgent)
				urgentCallers++
			}
			for _, ended := range c.queue.Expire(c.now) {
				c.scheduleRetry(ended)
			}
			c.send()
			c.serve(capacity)
			if c.queue.Len() != len(c.queued) {
				t.Fatalf("the queue holds %d entries, but %d callers wait for an answer", c.queue.Len(), len(c.queued))
			}
			for name, class := range c.classes {
				if class.Rank == urgent.Rank && c.served[name] != 1 {
					t.Fatalf("urgent %s was served %d times within the capacity", name, c.served[name])
				}
			}
		}
		open := len(c.queued) + len(c.retryAt)
		served := 0
		for name, count := range c.served {
			served += count
			if count != 1 {
				t.Fatalf("%s was served %d times", name, count)
			}
		}
		if open+served != len(c.classes) {
			t.Fatalf("%d callers: %d open, %d served", len(c.classes), open, served)
		}
	})
}

// TestEndlessTargetsLeaveNothing guards against memory use that grows with the number of targets and classes ever seen.
// The queue may only hold state for entries that still wait.
func TestEndlessTargetsLeaveNothing(t *testing.T) {
	q := newQueue()
	now := start
	for id := uint64(1); id <= 4_000; id++ {
		now = now.Add(time.Millisecond)
		class := admission.Class{
			Name: fmt.Sprint("class-", id), Rank: int(id), QueueLimit: 50, MaximumWait: 100 * time.Millisecond,
		}
		entry := admission.Entry{ID: id, Class: class, Arrived: now}
		entry.Target.Adapter = fmt.Sprint("adapter-", id)
		q.Offer(entry, now, always(admission.NoCopy))
		q.Expire(now)
		if q.Len() > 100 || len(q.Waiting()) > 100 {
			t.Fatalf("%d entries and %d targets are retained", q.Len(), len(q.Waiting()))
		}
	}
	q.Expire(now.Add(time.Second))
	if q.Len() != 0 || len(q.Waiting()) != 0 {
		t.Fatalf("%d entries and %d targets remain", q.Len(), len(q.Waiting()))
	}
}
