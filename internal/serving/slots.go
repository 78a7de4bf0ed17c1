package serving

import "time"

// RankCount is the number of ranks that a SlotQueue distinguishes; less urgent ones count as the last.
const RankCount = 4

// SlotQueue describes the adapter slots of a model server and the adapters that wait for one.
type SlotQueue struct {
	// Free counts the slots that are free or hold an adapter that may be evicted.
	Free int
	// Waiting counts the adapters that wait for a slot, by the rank of their most urgent request.
	Waiting [RankCount]int
	// Turnover is the mean time between two slots that become free while adapters wait.
	Turnover time.Duration
	// OrdersIn is the time until the holder may send orders.
	OrdersIn time.Duration
}

// Rank returns the index in Waiting for a rank.
func (q SlotQueue) Rank(priority int) int { return min(max(priority, 0), RankCount-1) }

// Wait estimates how long one more adapter of the given rank would wait for a slot: until enough slots have become free
// for it and for the waiting adapters that are as urgent or more.
func (q SlotQueue) Wait(priority int) time.Duration {
	ahead := 0
	for _, count := range q.Waiting[:q.Rank(priority)+1] {
		ahead += count
	}
	return max(q.OrdersIn, time.Duration(max(ahead+1-q.Free, 0))*q.Turnover)
}
