package storewatch

import "time"

const (
	// shortestOutage is the shortest outage of the store in which a server's entry can lapse. Servers write each 1.2 s and entries
	// lapse after 3.6 s, so that two records in a row have to be missing.
	shortestOutage = time.Second
	// returnGrace is how long after an outage a missing entry may reappear; the platform promises about two seconds.
	returnGrace = 2200 * time.Millisecond
	// failureGrace bounds returnGrace from the last call of which it's known that it was served before the outage or fell into it: a
	// lost call shows only when it times out, and servers that have left must get no requests 3 s after an outage.
	failureGrace = 2900 * time.Millisecond
)

// Outages tells entries that lapsed while the store was away from those that were removed. An outage is a time without any read of the
// servers' entries, by this node or by readers that tell of it, in which a call has failed or this process stood still. Other calls that
// are served show nothing, as the store may be away in part. Failed calls alone show no outage, as it may refuse one node and serve the
// others; nor does a time in which nobody has asked. Outages isn't safe for concurrent use.
type Outages struct {
	servedAt time.Time
	// failedAt is when the last call that failed was sent; failed is true if one has failed since servedAt.
	failedAt time.Time
	failed   bool
	// runningAt is when this process was last known to run, runningBootTime the reading then of a clock that goes on while the VM is
	// suspended. stoodStill is true if it did for shortestOutage since servedAt.
	runningAt       time.Time
	runningBootTime time.Duration
	stoodStill      bool
	// graceEndsAt is when the entries that lapsed in the latest outage have had time to reappear.
	graceEndsAt time.Time
}

// Running records that this process runs. It must be called more often than each shortestOutage.
func (o *Outages) Running(now time.Time, boot time.Duration) {
	if max(now.Sub(o.runningAt), boot-o.runningBootTime) >= shortestOutage {
		o.stoodStill = true
	}
	o.runningAt, o.runningBootTime = now, boot
}

// Failed records that a call failed that was sent at a time.
func (o *Outages) Failed(sentAt time.Time) { o.failedAt, o.failed = later(o.failedAt, sentAt), true }

// Served records that the store served a read of the servers' entries at a time up to now, and what Running records.
func (o *Outages) Served(at, now time.Time, boot time.Duration) {
	o.Running(now, boot)
	if at.Before(o.servedAt) {
		return
	}
	if o.stoodStill || o.failed && at.Sub(o.servedAt) >= shortestOutage {
		o.graceEndsAt = o.graceEnd(at)
	}
	o.servedAt, o.failed, o.stoodStill = at, false, false
}

// Returned records that the store lacks entries because it has returned from an older copy.
func (o *Outages) Returned(at time.Time) { o.graceEndsAt = later(o.graceEndsAt, o.graceEnd(at)) }

// graceEnd returns when the entries that lapsed in an outage which was over at a time have had time to reappear.
func (o *Outages) graceEnd(at time.Time) time.Time {
	end := at.Add(returnGrace)
	if bound := later(o.servedAt, o.failedAt).Add(failureGrace); o.failed && !o.stoodStill && bound.Before(end) {
		return bound
	}
	return end
}

// GoneAt returns when an entry that is found to be missing now counts as removed, unless it reappears: at once, or when entries that
// lapsed in the latest outage have had time to reappear.
func (o *Outages) GoneAt(now time.Time) time.Time { return later(now, o.graceEndsAt) }
