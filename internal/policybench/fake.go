// Package policybench drives placement policies by a request trace on a virtual clock. Behind the policy stands one
// fake: backend servers with slots and a bounded batch, and a weight store that runs one load at a time.
package policybench

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// Fleet gives the sizes of the fake.
type Fleet struct {
	Servers     int
	Slots       int
	Concurrency int
	// Step is the time of one engine step; each gives one token to each running request.
	Step time.Duration
	// LoadTime is the time of one load at full speed.
	LoadTime time.Duration
	// GiveUp is how long a request waits before it's given up; it counts as a stall of that length.
	GiveUp time.Duration
	// RestartEvery restarts one server after the other, empty; 0 means never.
	RestartEvery time.Duration
	// FailEvery makes each n-th load fail after its time; 0 means never.
	FailEvery int
	// Windows are the batch windows in force by class rank. The baselines run without.
	Windows [3]admission.BatchWindow
}

// DefaultFleet returns the sizes of one of today's deployments. The brief leaves the number of slots open
// ("a few"); 8 is assumed.
func DefaultFleet() Fleet {
	return Fleet{
		Servers: 9, Slots: 8, Concurrency: 32, Step: 5500 * time.Microsecond,
		LoadTime: time.Second / 3, GiveUp: time.Minute,
	}
}

// Slot is one place of a server.
type Slot struct {
	// Adapter is -1 while the slot is empty.
	Adapter int
	Loading bool
	Running int
	// Since is when the load came into place.
	Since time.Duration
}

// Server is one backend server of the fake.
type Server struct {
	Slots   []Slot
	Running int
}

// Waiting is the demand for one adapter that can't be served at once.
type Waiting struct {
	Adapter int
	// ByClass counts the waiting requests by class rank.
	ByClass [3]int
	// Oldest is the arrival of the oldest waiting request.
	Oldest time.Duration
}

// Urgent returns the rank of the most urgent waiting request.
func (w *Waiting) Urgent() int {
	for rank, count := range w.ByClass {
		if count > 0 {
			return rank
		}
	}
	return len(w.ByClass)
}

// Total returns the number of waiting requests.
func (w *Waiting) Total() int { return w.ByClass[0] + w.ByClass[1] + w.ByClass[2] }

// View is what a policy sees when the store is free.
type View struct {
	Now     time.Duration
	Servers []Server
	// Waiting holds the adapters with waiting requests, in the order of their oldest arrival.
	Waiting []*Waiting
}

// Choice is the load that a policy wants next. Slot names the place; what it holds is evicted.
type Choice struct {
	Adapter int
	Server  int
	Slot    int
}

// Policy chooses loads and servers.
type Policy interface {
	Name() string
	// Arrived tells of each arrival.
	Arrived(now time.Duration, adapter, class int)
	// Load returns the next load, or false to leave the store idle.
	Load(view *View) (Choice, bool)
	// Route picks one of the servers on which the adapter is resident and the batch isn't full.
	Route(view *View, adapter int, candidates []int) int
}

// Result holds the figures of one run.
type Result struct {
	Requests  int
	Completed int
	GivenUp   int
	Loads     int
	// Stall is the time that requests waited, without Held.
	Stall       time.Duration
	UrgentStall time.Duration
	// Held is the time for which requests were held for a batch although a server could take them.
	Held         time.Duration
	UrgentWaits  *hdrhistogram.Histogram
	StallByTime  []time.Duration
	batchShared  float64
	batchSeconds float64
}

// Batched returns the mean number of requests in an engine step that run together with another request of the
// same adapter, over the steps with at least one request.
func (r *Result) Batched() float64 {
	if r.batchSeconds == 0 {
		return 0
	}
	return r.batchShared / r.batchSeconds
}

// StallInterval is the width of the intervals of Result.StallByTime.
const StallInterval = 10 * time.Second

type eventKind int

const (
	arrival eventKind = iota
	finished
	loaded
	restart
	retry
	release
)

type simEvent struct {
	at      time.Duration
	order   int
	kind    eventKind
	request int
	server  int
	slot    int
	epoch   int
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (r *run) push(e simEvent) {
	e.order = r.order
	r.order++
	heap.Push(&r.queue, e)
}

// trace is an alias for readability of the run's fields.
type trace = []workload.Request
