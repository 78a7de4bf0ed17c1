package ledger

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// applyRead applies the records of one read, which are in offset order without gaps. read.Next is the offset of the
// next record of the stream.
func (c *core) applyRead(now time.Time, read platform.Batch) {
	c.lastRead = now
	c.earliest = max(c.earliest, read.Earliest)
	for _, record := range read.Records {
		c.apply(now, record)
	}
	if !c.ready && c.historyRead && c.applied+1 >= read.Next {
		c.ready = true
		c.emit(eventAction{kind: eventReady, offset: c.applied})
	}
	c.flush(now)
}

// trimmed handles the removal of unread records from the stream: those before earliest can no longer be read.
func (c *core) trimmed(earliest platform.Offset) {
	if c.applied > 0 {
		c.emit(eventAction{kind: eventGap, offset: earliest})
	}
	// The trimmed records may have claimed and released a key that waits for its claim.
	c.cancelWaiting("records of the claims stream passed their retention unread")
	c.earliest = earliest
	c.contiguousFrom = earliest
	c.applied = earliest - 1
	c.ready = false
	c.historyRead = false
	c.markerSequence = c.batcher.sequence + 1
	c.table.markTentative()
}

func (c *core) apply(now time.Time, record platform.Record) {
	c.applied = record.Offset
	c.setLogClock(now, record.Time)
	b, err := decodeBatch(record.Data)
	if err != nil {
		c.emit(eventAction{kind: eventBadRecord, offset: record.Offset})
		return
	}
	index := c.table.claimantIndex(b.incarnation, b.address)
	if b.sequence <= c.table.claimants[index].sequence {
		return
	}
	c.table.claimants[index].sequence = b.sequence
	c.table.claimants[index].unreachableSince = 0
	origin := entryOrigin{now: now, offset: record.Offset, seconds: uint32(record.Time.Unix()), claimant: index}
	for i := range b.entries {
		c.applyEntry(origin, &b.entries[i])
	}
	if index == c.self {
		c.historyRead = c.historyRead || b.sequence >= c.markerSequence
		c.readBack(b.sequence)
	}
}

// setLogClock advances the estimate of the log service's time. Apart from clock drift the estimate is never ahead of
// the actual time, because a record is read after it was appended.
func (c *core) setLogClock(now, recorded time.Time) {
	if recorded.After(c.logNow(now)) {
		c.logClock = recorded
		c.logClockAt = now
	}
}

func (c *core) logNow(now time.Time) time.Time {
	if c.logClockAt.IsZero() {
		return time.Time{}
	}
	return c.logClock.Add(now.Sub(c.logClockAt))
}

// entryOrigin describes the record that holds an entry and its writer.
type entryOrigin struct {
	now      time.Time
	offset   platform.Offset
	seconds  uint32
	claimant uint32
}

func (c *core) applyEntry(origin entryOrigin, e *entry) {
	switch e.kind {
	case claimEntry:
		c.applyClaim(origin, e)
	case outcomeEntry:
		c.applyOutcome(origin, e)
	case releaseEntry:
		c.applyRelease(origin, e)
	case abandonEntry:
		c.applyAbandon(origin, e)
	case carryEntry:
		c.applyCarry(origin, e)
	}
}

// applyClaim grants a free key to its first claim.
func (c *core) applyClaim(origin entryOrigin, e *entry) {
	record, found := c.table.get(e.hash)
	sameClaim := found && record.claimant == origin.claimant && record.ticket == e.ticket
	switch {
	case !found:
		record = keyRecord{
			claimOffset: origin.offset, ticket: e.ticket, refreshed: origin.seconds,
			keySeconds: e.keySeconds, claimant: origin.claimant, state: c.heldState(),
		}
		sameClaim = true
		c.table.put(e.hash, record)
	case record.state == tentative && !sameClaim:
		c.abandonConflicting(e.hash, record)
	}
	if origin.claimant != c.self {
		return
	}
	if sameClaim {
		c.claimWon(origin.now, e.hash, record)
		return
	}
	c.claimLost(origin.now, e)
}

// heldState returns the state of a key that is claimed at this point of the stream.
func (c *core) heldState() recordState {
	if c.historyRead {
		return held
	}
	return tentative
}

// abandonConflicting marks a key with two claims as abandoned, because either of them may have run.
func (c *core) abandonConflicting(hash KeyHash, record keyRecord) {
	record.state = abandoned
	c.table.put(hash, record)
}

// claimWon handles a claim of this gateway that holds its key. The claim of a cancelled attempt is released.
func (c *core) claimWon(now time.Time, hash KeyHash, record keyRecord) {
	a := c.attempts[record.ticket]
	switch {
	case !record.state.isHeld():
	case a == nil:
		c.emit(eventAction{kind: eventReleased, offset: record.claimOffset})
		c.enqueue(entry{kind: releaseEntry, hash: hash, ticket: record.ticket})
	case a.state == waiting && !now.Before(a.deadline):
		// After a pause of the process the record may be applied before the tick that ends the wait.
		c.cancel(a.ticket, "the claim was not read back in time")
		c.enqueue(entry{kind: releaseEntry, hash: hash, ticket: record.ticket})
	case a.state == waiting:
		a.state = dispatched
		c.answer(a.ticket, Verdict{State: Claimed})
	}
}

// claimLost answers an attempt of this gateway whose key another claim holds. If that claim is being released, the
// attempt's claim is queued again.
func (c *core) claimLost(now time.Time, e *entry) {
	a := c.attempts[e.ticket]
	if a == nil || a.state != waiting {
		return
	}
	if record, found := c.table.get(e.hash); found && c.releasing(record) {
		c.enqueue(*e)
		return
	}
	c.removeAttempt(a)
	if !c.answerFromTable(now, a.ticket, a.hash) {
		c.refuse(a.ticket, "the key's earlier claim is being released")
	}
}

func (c *core) applyOutcome(origin entryOrigin, e *entry) {
	record, found := c.table.get(e.hash)
	if origin.claimant == c.self {
		c.endAttempt(e.ticket)
	}
	if found && record.state == completed {
		return
	}
	if !found {
		record = keyRecord{claimOffset: origin.offset, keySeconds: e.keySeconds}
	}
	record.ticket, record.claimant = e.ticket, origin.claimant
	record.state, record.status, record.location = completed, e.outcome.status, e.outcome.location
	record.outcomeOffset, record.refreshed = origin.offset, origin.seconds
	c.table.put(e.hash, record)
	if e.outcome.location == bodyOnLog {
		c.recentOutcomes.put(e.hash, e.outcome.outcome())
	}
}

func (r outcomeRecord) outcome() Outcome {
	return Outcome{Status: int(r.status), ContentType: r.contentType, Body: r.body, BodyDropped: r.location == bodyDiscarded}
}

// endAttempt removes an attempt whose end has been read back.
func (c *core) endAttempt(ticket uint64) {
	if a := c.attempts[ticket]; a != nil {
		c.removeAttempt(a)
	}
}

// applyRelease frees a key that is held by the releasing attempt itself.
func (c *core) applyRelease(origin entryOrigin, e *entry) {
	if origin.claimant == c.self {
		c.endAttempt(e.ticket)
	}
	record, found := c.table.get(e.hash)
	if found && record.state.isHeld() && record.claimant == origin.claimant && record.ticket == e.ticket {
		c.table.remove(e.hash)
	}
}

func (c *core) applyAbandon(origin entryOrigin, e *entry) {
	if origin.claimant == c.self {
		c.endAttempt(e.ticket)
	}
	record, found := c.table.get(e.hash)
	if found && !record.state.isHeld() {
		return
	}
	if !found {
		record = keyRecord{claimOffset: origin.offset, keySeconds: e.keySeconds, ticket: e.ticket, claimant: origin.claimant}
	}
	record.state, record.refreshed = abandoned, origin.seconds
	c.table.put(e.hash, record)
}
