// Package requestlimit keeps the requests of all nodes to a backend server within the limit that the server names in its
// answers. The types are deterministic state machines without I/O or clock; they aren't safe for concurrent use.
package requestlimit

import "time"

// reorderMargin covers the time that notices need between nodes: an answer counts as newer than another one only if its
// request was sent later than that after the other was received.
const reorderMargin = 100 * time.Millisecond

// Notice is what one answer of a server says about its limit.
type Notice struct {
	// Limited is true when the answer names a limit.
	Limited bool
	// PerSecond is the named limit, in requests a second.
	PerSecond float64
	// RequestedAt and ReceivedAt bound the time at which the server made the answer.
	RequestedAt time.Time
	ReceivedAt  time.Time
}

// newerThan reports whether n was certainly made after another notice.
func (n Notice) newerThan(other Notice) bool {
	return n.RequestedAt.After(other.ReceivedAt.Add(reorderMargin))
}

// Change is the effect of a notice on a belief.
type Change uint8

// Effects of a notice.
const (
	Unchanged Change = iota
	Learned
	Changed
	Lifted
)

// Belief is the limit of one incarnation of a server according to the notices so far. Answers arrive in another order
// than the one in which they were made: of two that may have been made at the same time, the lower limit counts. The zero
// value knows of no limit.
type Belief struct {
	latest Notice
	// heardAt is when a notice last confirmed the limit, endedAt when the limit last ended.
	heardAt time.Time
	endedAt time.Time
}

// Observe applies a notice that arrived at now.
func (b *Belief) Observe(now time.Time, notice Notice) Change {
	if notice.Limited {
		return b.named(now, notice)
	}
	wasLimited := b.latest.Limited
	if wasLimited && !notice.newerThan(b.latest) {
		return Unchanged
	}
	if notice.ReceivedAt.After(b.latest.ReceivedAt) {
		b.latest = notice
	}
	if wasLimited {
		b.endedAt = now
		return Lifted
	}
	return Unchanged
}

func (b *Belief) named(now time.Time, notice Notice) Change {
	if !b.latest.Limited {
		if !b.latest.ReceivedAt.IsZero() && b.latest.newerThan(notice) {
			return Unchanged
		}
		b.latest, b.heardAt = notice, now
		return Learned
	}
	if b.latest.newerThan(notice) {
		return Unchanged
	}
	b.heardAt = now
	last := b.latest
	switch {
	case notice.newerThan(last):
		b.latest = notice
	case notice.ReceivedAt.Sub(last.ReceivedAt) > reorderMargin:
		// Smaller steps are the delays of messages: a notice that nodes send to and fro must not become newer by them.
		b.latest = notice
		b.latest.PerSecond = min(notice.PerSecond, last.PerSecond)
	default:
		b.latest.PerSecond = min(notice.PerSecond, last.PerSecond)
	}
	if b.latest.PerSecond != last.PerSecond {
		return Changed
	}
	return Unchanged
}

// Latest returns the notice on which the belief rests, and false before the first one.
func (b *Belief) Latest() (notice Notice, known bool) { return b.latest, !b.latest.ReceivedAt.IsZero() }

// Limit returns the limit in requests a second, and whether there is one.
func (b *Belief) Limit() (perSecond float64, limited bool) {
	return b.latest.PerSecond, b.latest.Limited
}

// HeardAt returns when a notice last confirmed the limit.
func (b *Belief) HeardAt() time.Time { return b.heardAt }

// EndedAt returns when the limit last ended by an answer without one.
func (b *Belief) EndedAt() time.Time { return b.endedAt }

// Expire ends the limit without a notice of the server. It returns false if there was none.
func (b *Belief) Expire() bool {
	wasLimited := b.latest.Limited
	b.latest.Limited, b.latest.PerSecond = false, 0
	return wasLimited
}
