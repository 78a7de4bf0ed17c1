// Package policybench runs placement policies against a request trace on a virtual clock. The fleet is simulated:
// backend servers with slots and a bounded batch, and a weight store that runs one load at a time.
package policybench

import (
	"container/heap"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"waxwingcleat.example/waxwingcleat/internal/admission"
	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// Fleet configures the simulated fleet.
type Fleet struct {
	Servers     int
	Slots       int
	Concurrency int
	// Step is the duration of an engine step, which generates one token for each running request.
	Step time.Duration
	// LoadTime is the duration of one load at full speed.
	LoadTime time.Duration
	// WaitLimit is the time after which a waiting request is abandoned. It counts as a stall of that length.
	WaitLimit time.Duration
	// RestartEvery is the interval at which one server after the other restarts without its adapters; 0 means never.
	RestartEvery time.Duration
	// FailEvery makes every n-th load fail at its end; 0 means never.
	FailEvery int
	// Windows are the batch windows by class rank. The baselines run without them.
	Windows [3]admission.BatchWindow
}

// DefaultFleet returns the sizes of a current deployment. Its number of slots is specified only as "a few"; 8 is an
// assumption.
func DefaultFleet() Fleet {
	return Fleet{
		Servers: 9, Slots: 8, Concurrency: 32, Step: 5500 * time.Microsecond,
		LoadTime: time.Second / 3, WaitLimit: time.Minute,
	}
}

// Slot is an adapter slot of a server.
type Slot struct {
	// Adapter is -1 while the slot is empty.
	Adapter int
	Loading bool
	Running int
	// StateSince is when the current load started, or when it became resident.
	StateSince time.Duration
}

// Server is a simulated backend server.
type Server struct {
	Slots   []Slot
	Running int
}

// Waiting is the demand for one adapter that can't be served immediately.
type Waiting struct {
	Adapter int
	// ByClass counts the waiting requests by class rank.
	ByClass [3]int
	// Oldest is the arrival time of the oldest waiting request.
	Oldest time.Duration
}

// MostUrgentRank returns the rank of the most urgent waiting request.
func (w *Waiting) MostUrgentRank() int {
	for rank, count := range w.ByClass {
		if count > 0 {
			return rank
		}
	}
	return len(w.ByClass)
}

// Total returns the number of waiting requests.
func (w *Waiting) Total() int { return w.ByClass[0] + w.ByClass[1] + w.ByClass[2] }

// View is the state that a policy sees when the weight store is idle.
type View struct {
	Now     time.Duration
	Servers []Server
	// Waiting holds the adapters with waiting requests, ordered by when their queues became non-empty.
	Waiting []*Waiting
}

// Choice is the next load that a policy selects. The adapter in Slot, if any, is evicted.
type Choice struct {
	Adapter int
	Server  int
	Slot    int
}

// Policy chooses loads and servers.
type Policy interface {
	Name() string
	// ObserveArrival records the arrival of a request.
	ObserveArrival(now time.Duration, adapter, class int)
	// NextLoad returns the next load, or false to leave the weight store idle.
	NextLoad(view *View) (Choice, bool)
	// Route selects one of the candidates: servers on which the adapter is resident and the batch isn't full.
	Route(view *View, adapter int, candidates []int) int
}

// Result holds the figures of one run.
type Result struct {
	Requests  int
	Completed int
	Abandoned int
	Loads     int
	// Stall is the total time that requests waited, excluding Held.
	Stall       time.Duration
	UrgentStall time.Duration
	// Held is the total time for which requests were held for a batch although a server had capacity for them.
	Held                 time.Duration
	UrgentWaits          *hdrhistogram.Histogram
	StallByTime          []time.Duration
	sharedRequestSeconds float64
	busySeconds          float64
}

// Batched returns the mean number of requests in an engine step that share the step with another request for the same
// adapter, over all steps with at least one request.
func (r *Result) Batched() float64 {
	if r.busySeconds == 0 {
		return 0
	}
	return r.sharedRequestSeconds / r.busySeconds
}

// StallInterval is the width of the intervals of Result.StallByTime.
const StallInterval = 10 * time.Second

type eventKind int

const (
	requestArrival eventKind = iota
	requestDone
	loadDone
	serverRestart
	policyRetry
	windowEnd
)

type simEvent struct {
	at          time.Duration
	order       int
	kind        eventKind
	request     int
	server      int
	slot        int
	incarnation int
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
	e.order = r.nextOrder
	r.nextOrder++
	heap.Push(&r.events, e)
}

// trace is the sequence of requests of a run, in the order of arrival.
type trace = []workload.Request
