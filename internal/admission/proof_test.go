package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/admission"
)

// crowd is a set of callers that send again whenever they are refused or given up on, until they are served.
type crowd struct {
	queue   *admission.Queue
	now     time.Time
	nextID  uint64
	retryAt map[string]time.Time
	queued  map[uint64]admission.Entry
	served  map[string]int
	class   map[string]admission.Class
	t       *rapid.T
}

func (c *crowd) add(name string, class admission.Class) {
	c.class[name] = class
	c.retryAt[name] = c.now
}

// send lets each caller that is due send its request, in the order of the names.
func (c *crowd) send() {
	for number := range len(c.class) {
		name := fmt.Sprint("caller-", number)
		at, due := c.retryAt[name]
		if !due || at.After(c.now) {
			continue
		}
		delete(c.retryAt, name)
		c.nextID++
		e := admission.Entry{ID: c.nextID, Class: c.class[name], Arrived: c.now}
		e.Target.Adapter = name
		refused, accepted := c.queue.Offer(e, c.now, always(admission.NoCapacity))
		if accepted {
			c.queued[e.ID] = e
			continue
		}
		c.giveUp(refused)
	}
}

func (c *crowd) giveUp(given admission.GivenUp) {
	if given.RetryAfter <= 0 {
		c.t.Fatalf("caller %s is given up on without a time to retry", given.Entry.Target.Adapter)
	}
	c.retryAt[given.Entry.Target.Adapter] = c.now.Add(given.RetryAfter)
	delete(c.queued, given.Entry.ID)
}

// serve dispatches up to capacity entries, and checks that none of a lower class goes before a waiting urgent one.
func (c *crowd) serve(capacity int) {
	c.queue.Dispatch(c.now, func(e admission.Entry) admission.Result {
		if capacity == 0 {
			return admission.NoCapacity
		}
		capacity--
		if _, waits := c.queued[e.ID]; !waits {
			c.t.Fatalf("entry %d is dispatched twice", e.ID)
		}
		delete(c.queued, e.ID)
		c.served[e.Target.Adapter]++
		for _, other := range c.queued {
			if other.Class.Rank < e.Class.Rank {
				c.t.Fatalf("an entry of rank %d goes before one of rank %d", e.Class.Rank, other.Class.Rank)
			}
		}
		return admission.Dispatched
	})
}

// TestUrgentFirstAmongRetryingCallers guards P9 under overload: many more background callers than the queue and the
// capacity take send again after each refusal. Urgent callers within the capacity are served in the step in which they
// arrive, no background entry goes before an urgent one, each request is served once, and each refusal tells when to
// retry.
func TestUrgentFirstAmongRetryingCallers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &crowd{
			queue: newQueue(), now: start, retryAt: map[string]time.Time{}, queued: map[uint64]admission.Entry{},
			served: map[string]int{}, class: map[string]admission.Class{}, t: t,
		}
		urgent := admission.Class{Name: "urgent", Rank: 0, QueueLimit: 8, MaximumWait: time.Second}
		background := admission.Class{Name: "background", Rank: 2, QueueLimit: 20, MaximumWait: 3 * time.Second}
		for range 100 {
			c.add(fmt.Sprint("caller-", len(c.class)), background)
		}
		urgentCallers := 0
		for range 60 {
			c.now = c.now.Add(time.Duration(rapid.IntRange(50, 500).Draw(t, "ms")) * time.Millisecond)
			capacity := rapid.IntRange(0, 3).Draw(t, "capacity")
			for range rapid.IntRange(0, capacity).Draw(t, "urgent") {
				c.add(fmt.Sprint("caller-", len(c.class)), urgent)
				urgentCallers++
			}
			for _, given := range c.queue.Expire(c.now) {
				c.giveUp(given)
			}
			c.send()
			c.serve(capacity)
			if c.queue.Len() != len(c.queued) {
				t.Fatalf("the queue holds %d entries, and %d callers wait for an answer", c.queue.Len(), len(c.queued))
			}
			for name, class := range c.class {
				if class.Rank == urgent.Rank && c.served[name] != 1 {
					t.Fatalf("urgent %s is served %d times within the capacity", name, c.served[name])
				}
			}
		}
		open := len(c.queued) + len(c.retryAt)
		served := 0
		for name, count := range c.served {
			served += count
			if count != 1 {
				t.Fatalf("%s is served %d times", name, count)
			}
		}
		if open+served != len(c.class) {
			t.Fatalf("%d callers: %d open, %d served", len(c.class), open, served)
		}
	})
}

// TestEndlessTargetsLeaveNothing guards against memory that grows with the targets and classes ever seen. Waiting
// entries and their sums are all that the queue keeps.
func TestEndlessTargetsLeaveNothing(t *testing.T) {
	q := newQueue()
	now := start
	for id := uint64(1); id <= 4_000; id++ {
		now = now.Add(time.Millisecond)
		class := admission.Class{Name: fmt.Sprint("class-", id), Rank: int(id), QueueLimit: 50, MaximumWait: 100 * time.Millisecond}
		e := admission.Entry{ID: id, Class: class, Arrived: now}
		e.Target.Adapter = fmt.Sprint("adapter-", id)
		q.Offer(e, now, always(admission.NoCopy))
		q.Expire(now)
		if q.Len() > 100 || len(q.Waiting()) > 100 {
			t.Fatalf("%d entries and %d targets are kept", q.Len(), len(q.Waiting()))
		}
	}
	q.Expire(now.Add(time.Second))
	if q.Len() != 0 || len(q.Waiting()) != 0 {
		t.Fatalf("%d entries and %d targets remain", q.Len(), len(q.Waiting()))
	}
}
