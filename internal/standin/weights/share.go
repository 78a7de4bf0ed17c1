// Package weights is a stand-in for the rate-limited weight store.
package weights

import "time"

// loadID identifies a load of a share.
type loadID int

// share computes the progress of loads that share the store's throughput evenly. It has no clock: times are passed in
// and must not decrease.
type share struct {
	at   time.Duration
	left map[loadID]time.Duration
}

func newShare() *share { return &share{left: make(map[loadID]time.Duration)} }

// advance computes the progress up to a time. It proceeds from one completion to the next, because each completion
// changes the speed of the remaining loads.
func (s *share) advance(now time.Duration) {
	for s.at < now {
		active := s.active()
		if active == 0 {
			s.at = now
			return
		}
		end := min(now, s.at+s.leastRemaining()*time.Duration(active))
		progress := max((end-s.at)/time.Duration(active), 1)
		for id, left := range s.left {
			s.left[id] = max(0, left-progress)
		}
		s.at = end
	}
}

func (s *share) add(id loadID, work time.Duration) { s.left[id] = work }

func (s *share) remove(id loadID) { delete(s.left, id) }

// remaining returns the time until a load completes if no other load starts or is removed.
func (s *share) remaining(id loadID) time.Duration {
	own := s.left[id]
	total := time.Duration(0)
	for _, left := range s.left {
		total += min(left, own)
	}
	return total
}

// active returns the number of loads with remaining work.
func (s *share) active() int {
	count := 0
	for _, left := range s.left {
		if left > 0 {
			count++
		}
	}
	return count
}

// leastRemaining returns the least remaining work of the active loads.
func (s *share) leastRemaining() time.Duration {
	least := time.Duration(0)
	for _, left := range s.left {
		if left > 0 && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}
