package ledger

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// dueTickets returns the tickets that are due, sorted, so that equal inputs produce equal actions.
func dueTickets[T any](all map[uint64]T, due func(T) bool) []uint64 {
	var out []uint64
	for ticket, item := range all {
		if due(item) {
			out = append(out, ticket)
		}
	}
	slices.SortFunc(out, cmp.Compare[uint64])
	return out
}

// dispatchedAttempt returns the dispatched attempt of a key if its name matches, otherwise nil.
func (c *core) dispatchedAttempt(hash KeyHash, name string) *attempt {
	a := c.current[hash]
	if a == nil || a.name != name || a.state != dispatched {
		return nil
	}
	return a
}

func (c *core) complete(now time.Time, hash KeyHash, name string, outcome Outcome) {
	a := c.dispatchedAttempt(hash, name)
	if a == nil {
		return
	}
	a.state = finished
	a.outcome = outcome
	record := outcomeRecord{status: uint16(outcome.Status), contentType: outcome.ContentType, body: outcome.Body}
	switch {
	case outcome.BodyDropped:
		record.body, record.location = nil, bodyDiscarded
	case len(outcome.Body) > c.config.inlineBytes:
		c.ownOutcomes.put(hash, outcome)
		record.body, record.location = nil, bodyAtClaimant
	}
	c.enqueue(entry{kind: outcomeEntry, hash: hash, keySeconds: a.keySeconds, ticket: a.ticket, outcome: record})
	c.flush(now)
}

func (c *core) release(now time.Time, hash KeyHash, name string) {
	a := c.dispatchedAttempt(hash, name)
	if a == nil {
		return
	}
	a.state = withdrawn
	c.enqueue(entry{kind: releaseEntry, hash: hash, ticket: a.ticket})
	c.flush(now)
}

func (c *core) abandon(now time.Time, hash KeyHash, name string) {
	a := c.dispatchedAttempt(hash, name)
	if a == nil {
		return
	}
	a.state = indeterminate
	c.enqueue(entry{kind: abandonEntry, hash: hash, keySeconds: a.keySeconds, ticket: a.ticket})
	c.flush(now)
}

// startLookup requests a lookup of a claim at the gateway that holds it.
func (c *core) startLookup(now time.Time, ticket uint64, hash KeyHash, index uint32) {
	other := c.table.claimants[index]
	c.queries[ticket] = &query{hash: hash, claimant: index, deadline: now.Add(c.config.beginTimeout)}
	c.emit(lookupAction{ticket: ticket, hash: hash, address: other.address, incarnation: other.incarnation})
}

// lookupResult is the response of a claimant; reached is false if it couldn't be queried.
type lookupResult struct {
	reached bool
	state   peerpb.ClaimState
	outcome Outcome
}

// lookupDone handles the result of a lookup.
func (c *core) lookupDone(now time.Time, ticket uint64, result lookupResult) {
	q := c.queries[ticket]
	if q == nil {
		return
	}
	delete(c.queries, ticket)
	c.recordReachability(now, q.claimant, result.reached)
	record, found := c.table.get(q.hash)
	if found && record.state == completed && record.location != bodyAtClaimant {
		c.answerCompleted(now, ticket, q.hash, record)
		return
	}
	if found && record.state == completed {
		c.answerRemoteBody(now, ticket, q, record, result)
		return
	}
	c.answerFromLookup(now, ticket, q, result)
}

func (c *core) recordReachability(now time.Time, index uint32, reached bool) {
	other := &c.table.claimants[index]
	switch {
	case reached:
		other.unreachableSince = 0
	case other.unreachableSince == 0:
		other.unreachableSince = now.UnixNano()
	}
}

// mayBeAlive reports whether the claimant has not been unreachable for long enough to count as stopped.
func (c *core) mayBeAlive(now time.Time, index uint32) bool {
	since := c.table.claimants[index].unreachableSince
	return since == 0 || now.UnixNano()-since < int64(c.config.unreachableTimeout)
}

func (c *core) answerFromLookup(now time.Time, ticket uint64, q *query, result lookupResult) {
	switch {
	case !result.reached && c.mayBeAlive(now, q.claimant):
		c.answerInProgress(ticket, "the gateway that holds the claim can't be asked at present")
	case !result.reached:
		c.answerUnknown(ticket)
	case result.state == peerpb.ClaimState_COMPLETED:
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case result.state == peerpb.ClaimState_IN_PROGRESS:
		c.answerInProgress(ticket, "another attempt of this key is in progress")
	case result.state == peerpb.ClaimState_NOT_RUN:
		c.answerInProgress(ticket, "an earlier attempt was not run; its release is on the way")
	default:
		c.answerUnknown(ticket)
	}
}

// answerRemoteBody answers with a recorded outcome whose body only its claimant holds.
func (c *core) answerRemoteBody(now time.Time, ticket uint64, q *query, record keyRecord, result lookupResult) {
	switch {
	case result.reached && result.state == peerpb.ClaimState_COMPLETED && !result.outcome.BodyDropped:
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case !result.reached && c.mayBeAlive(now, q.claimant):
		c.answerInProgress(ticket, "the gateway that holds the outcome can't be asked at present")
	default:
		c.answer(ticket, Verdict{State: Completed, Outcome: Outcome{Status: int(record.status), BodyDropped: true}})
	}
}

// fetchResult is the result of reading a recorded outcome from the log.
type fetchResult struct {
	outcome Outcome
	found   bool
	// trimmed is true when the record has passed its retention.
	trimmed bool
}

// fetchDone handles the outcome that the driver read from the log.
func (c *core) fetchDone(ticket uint64, result fetchResult) {
	q := c.queries[ticket]
	if q == nil {
		return
	}
	delete(c.queries, ticket)
	record, _ := c.table.get(q.hash)
	switch {
	case result.found:
		c.recentOutcomes.put(q.hash, result.outcome)
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case result.trimmed:
		c.answer(ticket, Verdict{State: Completed, Outcome: Outcome{Status: int(record.status), BodyDropped: true}})
	default:
		c.answerInProgress(ticket, "the recorded outcome can't be read at present")
	}
}

// lookup returns the state of a claim of this incarnation for another gateway.
func (c *core) lookup(hash KeyHash, incarnation string) (peerpb.ClaimState, Outcome) {
	if incarnation != c.config.incarnation {
		return peerpb.ClaimState_UNKNOWN, Outcome{}
	}
	record, found := c.table.get(hash)
	if found && record.claimant == c.self && record.state.isHeld() && c.attempts[record.ticket] == nil {
		return peerpb.ClaimState_NOT_RUN, Outcome{}
	}
	if a := c.current[hash]; a != nil {
		return lookupAttempt(a)
	}
	if !found || record.state != completed {
		return peerpb.ClaimState_UNKNOWN, Outcome{}
	}
	outcome, ok := c.ownOutcomes.get(hash)
	if !ok {
		outcome, ok = c.recentOutcomes.get(hash)
	}
	if !ok {
		outcome = Outcome{Status: int(record.status), BodyDropped: true}
	}
	return peerpb.ClaimState_COMPLETED, outcome
}

func lookupAttempt(a *attempt) (peerpb.ClaimState, Outcome) {
	switch a.state {
	case waiting, dispatched:
		return peerpb.ClaimState_IN_PROGRESS, Outcome{}
	case finished:
		return peerpb.ClaimState_COMPLETED, a.outcome
	case withdrawn:
		return peerpb.ClaimState_NOT_RUN, Outcome{}
	default:
		return peerpb.ClaimState_UNKNOWN, Outcome{}
	}
}
