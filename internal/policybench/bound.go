package policybench

import (
	"container/heap"
	"math"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// stallBound returns a lower bound on the total stall of any policy. It counts the fewest loads that any policy can
// do with the same number of slots, which is what evicting the adapter with the furthest next request does (loads
// take no time there, and slots are one pool). Each such load makes at least one request wait for a whole load.
// Waiting for earlier loads isn't counted, so the bound is loose when loads queue up.
func stallBound(trace []workload.Request, size Fleet) time.Duration {
	next := nextUse(trace)
	slots := size.Servers * size.Slots
	resident := map[int]int{}
	queue := &furthest{}
	loads := 0
	for i, request := range trace {
		if _, ok := resident[request.Adapter]; !ok {
			loads++
			if len(resident) == slots {
				evictFurthest(queue, resident)
			}
		}
		resident[request.Adapter] = next[i]
		heap.Push(queue, use{adapter: request.Adapter, next: next[i]})
	}
	return time.Duration(loads) * size.LoadTime
}

// nextUse returns for each request the index of the next one for the same adapter.
func nextUse(trace []workload.Request) []int {
	next := make([]int, len(trace))
	last := map[int]int{}
	for i := len(trace) - 1; i >= 0; i-- {
		next[i] = math.MaxInt
		if later, ok := last[trace[i].Adapter]; ok {
			next[i] = later
		}
		last[trace[i].Adapter] = i
	}
	return next
}

func evictFurthest(queue *furthest, resident map[int]int) {
	for {
		candidate := heap.Pop(queue).(use)
		if current, ok := resident[candidate.adapter]; ok && current == candidate.next {
			delete(resident, candidate.adapter)
			return
		}
	}
}

type use struct {
	adapter int
	next    int
}

// furthest is a heap with the furthest next use first.
type furthest []use

func (f furthest) Len() int           { return len(f) }
func (f furthest) Less(i, j int) bool { return f[i].next > f[j].next }
func (f furthest) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *furthest) Push(x any)        { *f = append(*f, x.(use)) }
func (f *furthest) Pop() any {
	old := *f
	last := old[len(old)-1]
	*f = old[:len(old)-1]
	return last
}
