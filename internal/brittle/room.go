// Package brittle estimates how many requests a brittle server takes. Such a server names how many requests a second it can
// reject for want of room, and falls over when it rejects more. The types are deterministic state machines without I/O or
// clock; they aren't safe for concurrent use.
package brittle

import "time"

const (
	// window is the time in which the rejections of a server count together.
	window = time.Second
	// windowMargin covers the time that an answer needs from the server, so that a rejection still counts there.
	windowMargin = 100 * time.Millisecond
	// reserve is how many rejections less than its tolerance close a server: requests may be on their way to it.
	reserve = 1
	// settleTime is how long the rejections after a reduction of the room count for that reduction, as the requests were on
	// their way before it.
	settleTime = 100 * time.Millisecond
	// recoveryTime is the time without a rejection after which the room grows by one request again.
	recoveryTime = 3 * time.Second
	// crowdedTime is how long after a rejection a server counts as crowded.
	crowdedTime = 10 * time.Second
)

// Room is what the rejections of a server show about its room.
type Room struct {
	// rejections holds the times of the recent rejections, the oldest first.
	rejections []time.Time
	// latest is the time of the latest rejection.
	latest time.Time
	// withheld is the number of slots that the server doesn't get requests for since it rejected some.
	withheld  int
	changedAt time.Time
}

// Rejected records that the server rejected a request for want of room.
func (r *Room) Rejected(now time.Time, slots int) {
	r.forget(now)
	r.rejections = append(r.rejections, now)
	r.latest = now
	if now.Sub(r.changedAt) >= settleTime {
		r.withheld = min(r.withheld+1, slots/2)
		r.changedAt = now
	}
}

// Requests returns the number of requests that the server probably processes at once, at least half of its slots.
func (r *Room) Requests(now time.Time, slots int) int {
	for r.withheld > 0 && now.Sub(r.changedAt) >= recoveryTime {
		r.withheld--
		r.changedAt = r.changedAt.Add(recoveryTime)
	}
	return max(slots-r.withheld, 1)
}

// IsCrowded reports whether the server rejected a request recently, so that more requests come than it has room for.
func (r *Room) IsCrowded(now time.Time) bool {
	return !r.latest.IsZero() && now.Sub(r.latest) < crowdedTime
}

// ClosedUntil returns when the server may get requests again, so that it doesn't reject more than its tolerance in a second;
// a time that isn't after now if it may get them now.
func (r *Room) ClosedUntil(now time.Time, tolerance float64) time.Time {
	r.forget(now)
	allowed := max(int(tolerance)-reserve, 1)
	if len(r.rejections) < allowed {
		return time.Time{}
	}
	return r.rejections[len(r.rejections)-allowed].Add(window + windowMargin)
}

func (r *Room) forget(now time.Time) {
	for len(r.rejections) > 0 && now.Sub(r.rejections[0]) >= window+windowMargin {
		r.rejections = r.rejections[1:]
	}
}
