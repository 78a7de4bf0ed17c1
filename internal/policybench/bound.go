package policybench

import (
	"container/heap"
	"math"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/workload"
)

// stallBound returns a lower bound on the total stall of any policy. It counts the minimum number of loads that any
// policy needs with the same number of slots: those of the optimal policy, which evicts the adapter whose next request
// is furthest in the future, with instantaneous loads and all slots in one pool. Each of these loads makes at least one
// request wait for the full load time. Waiting for earlier loads isn't counted, so the bound is loose when loads queue
// up.
func stallBound(trace []workload.Request, size Fleet) time.Duration {
	next := nextUse(trace)
	slots := size.Servers * size.Slots
	resident := map[int]int{}
	queue := &nextUseHeap{}
	loads := 0
	for i, request := range trace {
		if _, ok := resident[request.Adapter]; !ok {
			loads++
			if len(resident) == slots {
				evictFurthest(queue, resident)
			}
		}
		resident[request.Adapter] = next[i]
		heap.Push(queue, adapterUse{adapter: request.Adapter, next: next[i]})
	}
	return time.Duration(loads) * size.LoadTime
}

// nextUse returns for each request the index of the next request for the same adapter, or math.MaxInt if there is none.
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

func evictFurthest(queue *nextUseHeap, resident map[int]int) {
	for {
		candidate := heap.Pop(queue).(adapterUse)
		if current, ok := resident[candidate.adapter]; ok && current == candidate.next {
			delete(resident, candidate.adapter)
			return
		}
	}
}

// adapterUse is an adapter and the index of its next request.
type adapterUse struct {
	adapter int
	next    int
}

// nextUseHeap is a heap that has the adapter with the furthest next use first.
type nextUseHeap []adapterUse

func (h nextUseHeap) Len() int           { return len(h) }
func (h nextUseHeap) Less(i, j int) bool { return h[i].next > h[j].next }
func (h nextUseHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *nextUseHeap) Push(x any)        { *h = append(*h, x.(adapterUse)) }
func (h *nextUseHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
