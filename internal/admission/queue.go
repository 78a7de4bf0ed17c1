package admission

import (
	"container/heap"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/routing"
)

// item is a queued entry with its places in the queue's structures.
type item struct {
	entry   Entry
	element *list.Element
	// index is the place in the heap of give-up times.
	index int
	// busy is true when the last attempt to dispatch found the target's servers busy.
	busy bool
}

// Queue holds the waiting entries. It must be used by one goroutine at a time.
type Queue struct {
	random *rand.Rand
	// ranks holds the ranks in use in order, and lists the items of each rank in the order of arrival.
	ranks []int
	lists map[int]*list.List
	items map[uint64]*item
	// counts is the number of entries of each class.
	counts map[string]int
	// busy is the number of entries of each rank that wait for busy servers.
	busy   map[int]int
	expiry expiryHeap
	pace   pace
	// gathering holds entries of classes with a batch window.
	gathering *Gathering[routing.Target]
}

// NewQueue returns an empty queue.
func NewQueue(random *rand.Rand) *Queue {
	return &Queue{
		random:    random,
		lists:     map[int]*list.List{},
		items:     map[uint64]*item{},
		counts:    map[string]int{},
		busy:      map[int]int{},
		gathering: NewGathering[routing.Target](),
	}
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return len(q.items) }

// Offer adds an entry, or refuses it when its class is full or its estimated wait is too long. An entry that is
// accepted ends by Dispatch, Remove, Expire or Stop, and by only one of them. When the class is full, an entry that
// takes nobody's place is given to try first, so that a queue full of requests that wait for loads doesn't shut out
// requests for resident adapters.
func (q *Queue) Offer(entry Entry, now time.Time, try func(Entry) Result) (GivenUp, bool) {
	estimate := q.Estimate(entry.Class.Rank)
	if q.counts[entry.Class.Name] >= entry.Class.QueueLimit {
		if !q.takesAPlace(entry, now) && try(entry) == Dispatched {
			return GivenUp{}, true
		}
		return q.giveUp(entry, QueueFull, estimate), false
	}
	giveUpAt := entry.giveUpAt()
	if !now.Before(giveUpAt) {
		return q.giveUp(entry, WaitEnded, estimate), false
	}
	if now.Add(estimate).After(giveUpAt) {
		return q.giveUp(entry, WaitTooLong, estimate), false
	}
	q.add(&item{entry: entry})
	return GivenUp{}, true
}

// takesAPlace reports whether an entry that is dispatched at once would overtake another: one that waits for busy
// servers, or one for the same target. Entries that are held for a batch aren't overtaken, as they ask for no place yet.
func (q *Queue) takesAPlace(entry Entry, now time.Time) bool {
	for rank := range q.busy {
		if rank <= entry.Class.Rank {
			return true
		}
	}
	for _, it := range q.items {
		ahead := it.entry.Target == entry.Target && it.entry.Class.Rank <= entry.Class.Rank
		if ahead && !q.held(it, now) {
			return true
		}
	}
	return false
}

// held reports whether the item is held for a batch.
func (q *Queue) held(it *item, now time.Time) bool {
	return it.entry.batched() && q.gathering.Held(it.entry.Target, now)
}

// EndHolds releases the entries that are held for a batch, now and from now on. The next Dispatch tries them.
func (q *Queue) EndHolds() { q.gathering.End() }

// Estimate returns how long a new entry of the rank would wait: the entries that go before it and wait for busy
// servers, at the measured pace of dispatches. Entries that wait for a load take nobody's place and don't count.
func (q *Queue) Estimate(rank int) time.Duration {
	ahead := 0
	for other, count := range q.busy {
		if other <= rank {
			ahead += count
		}
	}
	return time.Duration(ahead) * q.pace.interval
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
		q.gathering.Add(it.entry.Target, phase, it.entry.ID, it.entry.Class.Batch, it.entry.Arrived, it.entry.giveUpAt())
	}
}

func (q *Queue) take(it *item) {
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
	q.gathering.Remove(it.entry.Target, it.entry.ID)
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

// Dispatch offers the entries to try in the order of rank and then of arrival. After a target was found blocked, its
// other entries are passed over, as they are behind the first, unless the first alone was excluded. Entries that are
// held for a batch are passed over and hold up no others. Try must give an entry that it took its server.
func (q *Queue) Dispatch(now time.Time, try func(Entry) Result) {
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
			if q.held(it, now) {
				continue
			}
			result, known := blocked[it.entry.Target]
			if !known {
				result = try(it.entry)
			}
			if result == Dispatched {
				q.take(it)
				q.pace.dispatched(now, backlog)
				continue
			}
			if result != Excluded {
				blocked[it.entry.Target] = result
			}
			q.setBusy(it, result == NoCapacity)
		}
	}
	if len(q.busy) == 0 {
		q.pace.idle()
	}
}

// Remove takes out an entry whose caller is gone. It returns false when the entry has ended already.
func (q *Queue) Remove(id uint64) bool {
	it := q.items[id]
	if it == nil {
		return false
	}
	q.take(it)
	return true
}

// NextExpiry returns when the next entry is given up on; false when none waits.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if len(q.expiry) == 0 {
		return time.Time{}, false
	}
	return q.expiry[0].entry.giveUpAt(), true
}

// NextTick returns when the queue must next be asked to expire and dispatch entries even if nothing else happens; false
// when it has nothing to do then.
func (q *Queue) NextTick() (time.Time, bool) {
	expiry, waiting := q.NextExpiry()
	release, held := q.gathering.NextRelease()
	if held && (!waiting || release.Before(expiry)) {
		return release, true
	}
	return expiry, waiting
}

// Expire takes out the entries whose time is over.
func (q *Queue) Expire(now time.Time) []GivenUp {
	var expired []GivenUp
	for len(q.expiry) > 0 && !now.Before(q.expiry[0].entry.giveUpAt()) {
		it := q.expiry[0]
		q.take(it)
		expired = append(expired, q.giveUp(it.entry, WaitEnded, q.Estimate(it.entry.Class.Rank)))
	}
	return expired
}

// Stop takes out all entries.
func (q *Queue) Stop() []GivenUp {
	var stopped []GivenUp
	for _, rank := range slices.Clone(q.ranks) {
		for q.lists[rank] != nil {
			it := q.lists[rank].Front().Value.(*item)
			q.take(it)
			stopped = append(stopped, q.giveUp(it.entry, Stopping, 0))
		}
	}
	return stopped
}

// Waiting sums up the entries by target and rank, in the order of dispatch.
func (q *Queue) Waiting() []Waiting {
	type key struct {
		target routing.Target
		rank   int
	}
	var all []Waiting
	places := map[key]int{}
	for _, rank := range q.ranks {
		for element := q.lists[rank].Front(); element != nil; element = element.Next() {
			entry := element.Value.(*item).entry
			place, known := places[key{entry.Target, rank}]
			if !known {
				place = len(all)
				places[key{entry.Target, rank}] = place
				all = append(all, Waiting{Target: entry.Target, Rank: rank, Oldest: entry.Arrived})
			}
			all[place].Count++
		}
	}
	return all
}
