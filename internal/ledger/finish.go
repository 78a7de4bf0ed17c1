package ledger

import (
	"cmp"
	"slices"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// dueTickets returns the tickets that are due, in order, so that equal inputs give equal actions.
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

// dispatchedAttempt returns the attempt of a key that holds its claim, when its name fits.
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
	case outcome.BodyLost:
		record.body, record.place = nil, bodyNowhere
	case len(outcome.Body) > c.config.inlineBytes:
		c.own.put(hash, outcome)
		record.body, record.place = nil, bodyAtClaimant
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
	a.state = doubtful
	c.enqueue(entry{kind: abandonEntry, hash: hash, keySeconds: a.keySeconds, ticket: a.ticket})
	c.flush(now)
}

// ask lets the driver ask another gateway about its claim.
func (c *core) ask(now time.Time, ticket uint64, hash KeyHash, number uint32) {
	other := c.table.claimants[number]
	c.queries[ticket] = &query{hash: hash, claimant: number, deadline: now.Add(c.config.beginBound)}
	c.do(askAction{ticket: ticket, hash: hash, address: other.address, incarnation: other.incarnation})
}

// lookupResult is what a claimant answered, or that it couldn't be asked.
type lookupResult struct {
	reached bool
	state   peerpb.ClaimState
	outcome Outcome
}

// asked takes a claimant's answer.
func (c *core) asked(now time.Time, ticket uint64, result lookupResult) {
	q := c.queries[ticket]
	if q == nil {
		return
	}
	delete(c.queries, ticket)
	c.noteReach(now, q.claimant, result.reached)
	record, known := c.table.get(q.hash)
	if known && record.state == completed && record.place != bodyAtClaimant {
		c.answerCompleted(now, ticket, q.hash, record)
		return
	}
	if known && record.state == completed {
		c.answerRemoteBody(now, ticket, q, record, result)
		return
	}
	c.answerAsked(now, ticket, q, result)
}

func (c *core) noteReach(now time.Time, number uint32, reached bool) {
	other := &c.table.claimants[number]
	switch {
	case reached:
		other.unreachableSince = 0
	case other.unreachableSince == 0:
		other.unreachableSince = now.UnixNano()
	}
}

// mayBeAlive reports whether an unreachable claimant is to be waited for.
func (c *core) mayBeAlive(now time.Time, number uint32) bool {
	since := c.table.claimants[number].unreachableSince
	return since == 0 || now.UnixNano()-since < int64(c.config.unreachableBound)
}

func (c *core) answerAsked(now time.Time, ticket uint64, q *query, result lookupResult) {
	switch {
	case !result.reached && c.mayBeAlive(now, q.claimant):
		c.inProgress(ticket, "the gateway that holds the claim can't be asked at present")
	case !result.reached:
		c.answerUnknown(ticket)
	case result.state == peerpb.ClaimState_COMPLETED:
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case result.state == peerpb.ClaimState_IN_PROGRESS:
		c.inProgress(ticket, "another attempt of this key is in progress")
	case result.state == peerpb.ClaimState_NOT_RUN:
		c.inProgress(ticket, "an earlier attempt was not run; its release is on the way")
	default:
		c.answerUnknown(ticket)
	}
}

// answerRemoteBody answers for a recorded outcome whose body only its claimant holds.
func (c *core) answerRemoteBody(now time.Time, ticket uint64, q *query, record keyRecord, result lookupResult) {
	switch {
	case result.reached && result.state == peerpb.ClaimState_COMPLETED && !result.outcome.BodyLost:
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case !result.reached && c.mayBeAlive(now, q.claimant):
		c.inProgress(ticket, "the gateway that holds the outcome can't be asked at present")
	default:
		c.answer(ticket, Verdict{State: Completed, Outcome: Outcome{Status: int(record.status), BodyLost: true}})
	}
}

// fetchResult is what a read of a recorded outcome gave.
type fetchResult struct {
	outcome Outcome
	found   bool
	// gone is true when the record has passed its retention.
	gone bool
}

// fetched takes the outcome that the driver read from the log.
func (c *core) fetched(ticket uint64, result fetchResult) {
	q := c.queries[ticket]
	if q == nil {
		return
	}
	delete(c.queries, ticket)
	record, _ := c.table.get(q.hash)
	switch {
	case result.found:
		c.recent.put(q.hash, result.outcome)
		c.answer(ticket, Verdict{State: Completed, Outcome: result.outcome})
	case result.gone:
		c.answer(ticket, Verdict{State: Completed, Outcome: Outcome{Status: int(record.status), BodyLost: true}})
	default:
		c.inProgress(ticket, "the recorded outcome can't be read at present")
	}
}

// lookup answers another gateway's question about a claim of this incarnation.
func (c *core) lookup(hash KeyHash, incarnation string) (peerpb.ClaimState, Outcome) {
	if incarnation != c.config.incarnation {
		return peerpb.ClaimState_UNKNOWN, Outcome{}
	}
	record, known := c.table.get(hash)
	if known && record.claimant == c.self && record.state.isHeld() && c.attempts[record.ticket] == nil {
		return peerpb.ClaimState_NOT_RUN, Outcome{}
	}
	if a := c.current[hash]; a != nil {
		return lookupAttempt(a)
	}
	if !known || record.state != completed {
		return peerpb.ClaimState_UNKNOWN, Outcome{}
	}
	outcome, ok := c.own.get(hash)
	if !ok {
		outcome, ok = c.recent.get(hash)
	}
	if !ok {
		outcome = Outcome{Status: int(record.status), BodyLost: true}
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
