package admission

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// item is a queued entry with its positions in the queue's data structures.
type item struct {
	entry   Entry
	element *list.Element
	// index is the item's position in the expiry heap.
	index int
	// busy is true when the last dispatch attempt found the target's servers busy.
	busy bool
}

// Queue holds the waiting entries of all classes. It is not safe for concurrent use.
type Queue struct {
	random *rand.Rand
	// ranks holds the ranks in use in ascending order, and lists holds the items of each rank in order of arrival.
	ranks []int
	lists map[int]*list.List
	items map[uint64]*item
	// counts is the number of entries of each class.
	counts map[string]int
	// busy is the number of entries of each rank that wait for busy servers.
	busy             map[int]int
	expiry           expiryHeap
	dispatchInterval dispatchInterval
	// batcher decides which entries of classes with a batch window are held.
	batcher *Batcher[routing.Target]
}

// NewQueue returns an empty queue.
func NewQueue(random *rand.Rand) *Queue {
	return &Queue{
		random:  random,
		lists:   map[int]*list.List{},
		items:   map[uint64]*item{},
		counts:  map[string]int{},
		busy:    map[int]int{},
		batcher: NewBatcher[routing.Target](),
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.items) }

// Offer adds an entry, or refuses it if its class is full or its estimated wait is too long. An accepted entry leaves
// the queue through exactly one of Dispatch, Remove, Expire and Stop. If the class is full, an entry that would not
// overtake another is passed to tryDispatch first, so that a queue full of requests that wait for loads doesn't block
// requests for resident adapters.
func (q *Queue) Offer(entry Entry, now time.Time, tryDispatch func(Entry) Result) (Refusal, bool) {
	estimate := q.Estimate(entry.Class.Rank)
	if q.counts[entry.Class.Name] >= entry.Class.QueueLimit {
		if !q.wouldOvertake(entry, now) && tryDispatch(entry) == Dispatched {
			return Refusal{}, true
		}
		return q.newRefusal(entry, QueueFull, estimate), false
	}
	expiresAt := entry.expiresAt()
	if !now.Before(expiresAt) {
		return q.newRefusal(entry, WaitEnded, estimate), false
	}
	if now.Add(estimate).After(expiresAt) {
		return q.newRefusal(entry, WaitTooLong, estimate), false
	}
	q.add(&item{entry: entry})
	return Refusal{}, true
}

// wouldOvertake reports whether dispatching the entry immediately would overtake another one: an entry that waits for
// busy servers, or one for the same target. Entries that are held for a batch don't compete for a server yet and are
// ignored.
func (q *Queue) wouldOvertake(entry Entry, now time.Time) bool {
	for rank := range q.busy {
		if rank <= entry.Class.Rank {
			return true
		}
	}
	for _, it := range q.items {
		ahead := it.entry.Target == entry.Target && it.entry.Class.Rank <= entry.Class.Rank
		if ahead && !q.isHeld(it, now) {
			return true
		}
	}
	return false
}

// isHeld reports whether the item is held for a batch.
func (q *Queue) isHeld(it *item, now time.Time) bool {
	return it.entry.batched() && q.batcher.Held(it.entry.Target, now)
}

// EndHolds releases all entries that are held for a batch and disables holding from now on. The next Dispatch includes
// them.
func (q *Queue) EndHolds() { q.batcher.End() }

// Estimate returns the expected wait of a new entry of the rank: the number of entries of the same or a more urgent
// rank that wait for busy servers, multiplied by the mean interval between dispatches. Entries that wait for a load
// don't compete for these servers and are not counted.
func (q *Queue) Estimate(rank int) time.Duration {
	ahead := 0
	for other, count := range q.busy {
		if other <= rank {
			ahead += count
		}
	}
	return time.Duration(ahead) * q.dispatchInterval.mean
}

func (q *Queue) add(it *item) {
	rank := it.entry.Class.Rank
	if q.lists[rank] == nil {
		q.lists[rank] = list.New()
		q.ranks = append(q.ranks, rank)
		slices.Sort(q.ranks)
	}
	it.element = q.lists[rank].PushBack(it)
	q.items[it.entry.ID] = it
	q.counts[it.entry.Class.Name]++
	heap.Push(&q.expiry, it)
	if it.entry.batched() {
		phase := Phase(it.entry.Target.Adapter, it.entry.Target.Version)
		q.batcher.Add(it.entry.Target, phase, it.entry.ID, it.entry.Class.Batch, it.entry.Arrived, it.entry.expiresAt())
	}
}

func (q *Queue) removeItem(it *item) {
	rank := it.entry.Class.Rank
	q.setBusy(it, false)
	q.lists[rank].Remove(it.element)
	if q.lists[rank].Len() == 0 {
		delete(q.lists, rank)
		q.ranks = slices.DeleteFunc(q.ranks, func(r int) bool { return r == rank })
	}
	delete(q.items, it.entry.ID)
	q.counts[it.entry.Class.Name]--
	if q.counts[it.entry.Class.Name] == 0 {
		delete(q.counts, it.entry.Class.Name)
	}
	heap.Remove(&q.expiry, it.index)
	q.batcher.Remove(it.entry.Target, it.entry.ID)
}

func (q *Queue) setBusy(it *item, busy bool) {
	if it.busy == busy {
		return
	}
	it.busy = busy
	rank := it.entry.Class.Rank
	if busy {
		q.busy[rank]++
		return
	}
	q.busy[rank]--
	if q.busy[rank] == 0 {
		delete(q.busy, rank)
	}
}

// Dispatch passes the entries to tryDispatch in order of rank and then of arrival. Once an entry is blocked, the later
// entries of the same target are skipped, unless only that entry was excluded. Entries that are held for a batch are
// skipped without blocking others. When tryDispatch returns Dispatched, it must have assigned the entry to a server.
func (q *Queue) Dispatch(now time.Time, tryDispatch func(Entry) Result) {
	if len(q.items) == 0 {
		return
	}
	backlog := len(q.busy) > 0
	blocked := map[routing.Target]Result{}
	for _, rank := range slices.Clone(q.ranks) {
		next := (*list.Element)(nil)
		for element := q.lists[rank].Front(); element != nil; element = next {
			next = element.Next()
			it := element.Value.(*item)
			if q.isHeld(it, now) {
				continue
			}
			result, known := blocked[it.entry.Target]
			if !known {
				result = tryDispatch(it.entry)
			}
			if result == Dispatched {
				q.removeItem(it)
				q.dispatchInterval.record(now, backlog)
				continue
			}
			if result != Excluded {
				blocked[it.entry.Target] = result
			}
			q.setBusy(it, result == NoCapacity)
		}
	}
	if len(q.busy) == 0 {
		q.dispatchInterval.reset()
	}
}

// Remove removes an entry whose caller has disconnected. It returns false if the entry is no longer queued.
func (q *Queue) Remove(id uint64) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	q.removeItem(it)
	return true
}

// NextExpiry returns when the next entry expires, or false if the queue is empty.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].entry.expiresAt(), true
}

// NextTick returns the time by which Expire and Dispatch must be called again even if no other event occurs, or false
// if there is none.
func (q *Queue) NextTick() (time.Time, bool) {
	expiry, waiting := q.NextExpiry()
	release, held := q.batcher.NextRelease()
	if held && (!waiting || release.Before(expiry)) {
		return release, true
	}
	return expiry, waiting
}

// Expire removes the entries that have expired.
func (q *Queue) Expire(now time.Time) []Refusal {
	var expired []Refusal
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].entry.expiresAt()) {
		it := q.expiry[0]
		q.removeItem(it)
		expired = append(expired, q.newRefusal(it.entry, WaitEnded, q.Estimate(it.entry.Class.Rank)))
	}
	return expired
}

// Stop removes all entries.
func (q *Queue) Stop() []Refusal {
	var stopped []Refusal
	for _, rank := range slices.Clone(q.ranks) {
		for q.lists[rank] != nil {
			it := q.lists[rank].Front().Value.(*item)
			q.removeItem(it)
			stopped = append(stopped, q.newRefusal(it.entry, Stopping, 0))
		}
	}
	return stopped
}

// Waiting summarises the entries by target and rank, in the order of dispatch.
func (q *Queue) Waiting() []Waiting {
	type key struct {
		target routing.Target
		rank   int
	}
	var all []Waiting
	indexes := map[key]int{}
	for _, rank := range q.ranks {
		for element := q.lists[rank].Front(); element != nil; element = element.Next() {
			entry := element.Value.(*item).entry
			index, known := indexes[key{entry.Target, rank}]
			if !known {
				index = len(all)
				indexes[key{entry.Target, rank}] = index
				all = append(all, Waiting{Target: entry.Target, Rank: rank, Oldest: entry.Arrived})
			}
			all[index].Count++
		}
	}
	return all
}
