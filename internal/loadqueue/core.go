package loadqueue

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	// storeLoadsPerSecond is what the weight store allows over all schedulers.
	storeLoadsPerSecond = 3
	// holderSilence is how long the holder of the running load may write nothing before the load is expired.
	holderSilence = 10 * time.Second
	// expireSpread is over how long the schedulers spread the expiry of the same load, so that mostly one writes it.
	expireSpread = 3 * time.Second
	// aliveInterval leaves two more chances within holderSilence when an append is lost.
	aliveInterval = 3 * time.Second
	// outOfReachAfter is longer than an idle read, which lasts 2 s.
	outOfReachAfter = 5 * time.Second
	// appendGap bounds one scheduler's appends to 20 a second.
	appendGap = 50 * time.Millisecond
	// retryGap is the least time between appends of the same record, for when an append gets no answer.
	retryGap = time.Second
	// localNumberBit marks the number of a local turn; no offset reaches it.
	localNumberBit = uint64(1) << 63
)

// waiter is an Acquire that has no turn yet, or a turn that has not been finished on the log.
type waiter struct {
	ticket  uint64
	request Request
	try     uint64
	// offset is set once the request has been accepted.
	offset platform.Offset
	given  bool
	sent   time.Time
}

// core is the deterministic part of the queue of one scheduler. It isn't safe for concurrent use.
type core struct {
	holder  string
	random  *rand.Rand
	order   *order
	ticket  uint64
	waiters map[string]*waiter
	// endings are done and withdrawn records that have not been read back, by request ID.
	endings map[string]*ending
	actions []action

	busy     bool
	lastSent time.Time
	// troubleSince is when the first of a row of appends that failed or are unanswered was sent.
	troubleSince time.Time
	lastRead     time.Time
	caughtUp     bool
	// running is the load that spokenAt belongs to: when its holder was last heard, on the local clock.
	running    platform.Offset
	spokenAt   time.Time
	lastAlive  time.Time
	lastExpire time.Time
	bucket     *rate.Limiter
}

type ending struct {
	record record
	sent   time.Time
}

// action is something that the driver is to do.
type action interface{ isAction() }

// appendAction asks for one append. Its answer is reported by appended.
type appendAction struct{ data []byte }

// giveAction ends an Acquire with a turn, or with an error when it's superseded.
type giveAction struct {
	ticket uint64
	turn   Turn
	err    error
}

// noteAction asks for a log event.
type noteAction struct {
	kind   noteKind
	id     string
	offset platform.Offset
}

type noteKind uint8

const (
	noteGap noteKind = iota + 1
	noteBadRecord
	noteExpired
	noteOrphaned
)

func (appendAction) isAction() {}
func (giveAction) isAction()   {}
func (noteAction) isAction()   {}

func newCore(holder string, random *rand.Rand, now time.Time) *core {
	return &core{
		holder: holder, random: random, order: newOrder(),
		waiters: map[string]*waiter{}, endings: map[string]*ending{}, lastRead: now,
		bucket: rate.NewLimiter(rate.Limit(storeLoadsPerSecond), 1),
	}
}

func (c *core) do(a action) { c.actions = append(c.actions, a) }

// take returns the actions since the last call.
func (c *core) take() []action {
	out := c.actions
	c.actions = nil
	return out
}

// acquire starts an Acquire and returns its ticket; a giveAction with the ticket follows.
func (c *core) acquire(now time.Time, request Request) uint64 {
	c.ticket++
	if c.waiters[request.ID] != nil {
		c.do(giveAction{ticket: c.ticket, err: ErrSuperseded})
		return c.ticket
	}
	if !c.busy && len(c.waiters) == 0 && len(c.endings) == 0 {
		// Nothing was appended since the last failure, so it tells nothing of now.
		c.troubleSince = time.Time{}
	}
	c.waiters[request.ID] = &waiter{ticket: c.ticket, request: request, try: 1}
	delete(c.endings, request.ID)
	c.flush(now)
	return c.ticket
}

// cancel withdraws a request that its caller no longer waits for. It returns false when the turn was given before.
func (c *core) cancel(now time.Time, id string) bool {
	w := c.waiters[id]
	if w == nil || w.given {
		return false
	}
	delete(c.waiters, id)
	c.end(now, record{Kind: withdrawnRecord, ID: id})
	return true
}

// finish ends a turn.
func (c *core) finish(now time.Time, turn Turn) {
	w := c.waiters[turn.Request.ID]
	if w == nil || !w.given {
		return
	}
	delete(c.waiters, turn.Request.ID)
	c.end(now, record{Kind: doneRecord, ID: turn.Request.ID, Request: platform.Offset(turn.Number)})
}

func (c *core) end(now time.Time, r record) {
	c.endings[r.ID] = &ending{record: r}
	c.flush(now)
}

// readUp takes the records of one read and the offset that the next record of the stream will get.
func (c *core) readUp(now time.Time, read platform.Batch) {
	c.lastRead = now
	for _, next := range read.Records {
		c.applyRecord(now, next)
	}
	c.order.trim(read.Earliest)
	c.caughtUp = c.order.applied+1 >= read.Next
	c.noteRunning(now)
	if c.caughtUp {
		c.reconcile()
	}
	c.flush(now)
}

// trimmed takes that the records before earliest can't be read any more.
func (c *core) trimmed(earliest platform.Offset) {
	if c.order.applied > 0 {
		c.do(noteAction{kind: noteGap, offset: earliest})
	}
	c.order.applied = earliest - 1
	c.order.trim(earliest)
	c.caughtUp = false
}

func (c *core) applyRecord(now time.Time, next platform.Record) {
	r, err := decodeRecord(next.Data)
	if err != nil {
		c.order.applied = next.Offset
		c.do(noteAction{kind: noteBadRecord, offset: next.Offset})
		return
	}
	running := c.order.running()
	v := c.order.apply(next.Offset, r)
	if running != nil && running.holder == r.Holder {
		c.spokenAt = now
	}
	if r.Holder == c.holder {
		c.readOwn(next.Offset, r, v)
	}
}

// readOwn takes a record of this scheduler that was read back.
func (c *core) readOwn(offset platform.Offset, r record, v verdict) {
	if ended := c.endings[r.ID]; ended != nil && ended.record.Kind == r.Kind {
		delete(c.endings, r.ID)
	}
	w := c.waiters[r.ID]
	if r.Kind != requestRecord || w == nil || w.given || w.offset != 0 || w.try != r.Try {
		return
	}
	switch v {
	case accepted:
		w.offset = offset
	case superseded:
		delete(c.waiters, r.ID)
		c.do(giveAction{ticket: w.ticket, err: ErrSuperseded})
	}
}

// noteRunning restarts the count of silence when another load has started to run.
func (c *core) noteRunning(now time.Time) {
	running := c.order.running()
	switch {
	case running == nil:
		c.running = 0
	case running.offset != c.running:
		c.running = running.offset
		c.spokenAt = now
	}
}

// reconcile compares the order with this scheduler's waiters when all records have been read: it gives a turn that
// has come, asks again for requests that were expired or trimmed, and withdraws what nobody waits for.
func (c *core) reconcile() {
	own := map[string]*item{}
	for _, i := range c.order.items {
		if i.holder != c.holder {
			continue
		}
		own[i.request.ID] = i
		c.reconcileItem(i)
	}
	for _, id := range sortedKeys(c.waiters) {
		w := c.waiters[id]
		if w.offset != 0 && !w.given && own[id] == nil {
			w.offset, w.sent = 0, time.Time{}
			w.try++
			w.request.Seen = c.order.applied
		}
	}
}

func (c *core) reconcileItem(i *item) {
	w := c.waiters[i.request.ID]
	switch {
	case w == nil && c.endings[i.request.ID] == nil:
		c.do(noteAction{kind: noteOrphaned, id: i.request.ID, offset: i.offset})
		c.endings[i.request.ID] = &ending{record: record{Kind: withdrawnRecord, ID: i.request.ID}}
	case w != nil && !w.given && i.running:
		w.given = true
		w.offset = i.offset
		c.do(giveAction{ticket: w.ticket, turn: Turn{Request: w.request, Number: engine.LoadNumber(i.offset)}})
	}
}

// tick does what is due at now.
func (c *core) tick(now time.Time, schedulers int) {
	c.bucket.SetLimitAt(now, rate.Limit(storeLoadsPerSecond)/rate.Limit(max(schedulers, 1)))
	if c.outOfReach(now) {
		c.giveLocal(now)
	}
	c.flush(now)
}

// outOfReach reports whether the stream can't be read or takes no appends.
func (c *core) outOfReach(now time.Time) bool {
	unread := now.Sub(c.lastRead) > outOfReachAfter
	return unread || !c.troubleSince.IsZero() && now.Sub(c.troubleSince) > outOfReachAfter
}

// giveLocal gives turns from this scheduler's share of the weight store's rate.
func (c *core) giveLocal(now time.Time) {
	var waiting []*waiter
	for _, id := range sortedKeys(c.waiters) {
		if w := c.waiters[id]; !w.given {
			waiting = append(waiting, w)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.request.Class, b.request.Class), cmp.Compare(a.ticket, b.ticket))
	})
	for _, w := range waiting {
		if !c.bucket.AllowN(now, 1) {
			return
		}
		// The request may be on the log, or still get there; it's withdrawn when the log is back.
		delete(c.waiters, w.request.ID)
		c.endings[w.request.ID] = &ending{record: record{Kind: withdrawnRecord, ID: w.request.ID}}
		number := engine.LoadNumber(localNumberBit | c.random.Uint64())
		c.do(giveAction{ticket: w.ticket, turn: Turn{Request: w.request, Number: number, Local: true}})
	}
}

// flush starts an append when one is wanted and allowed.
func (c *core) flush(now time.Time) {
	if c.busy || now.Sub(c.lastSent) < appendGap {
		return
	}
	r, wanted := c.nextRecord(now)
	if !wanted {
		return
	}
	r.Holder = c.holder
	// The fields of record can all be encoded.
	data, _ := json.Marshal(r)
	c.busy = true
	c.lastSent = now
	if c.troubleSince.IsZero() {
		c.troubleSince = now
	}
	c.do(appendAction{data: data})
}

// nextRecord picks what is appended next: endings first because they let the next load start.
func (c *core) nextRecord(now time.Time) (record, bool) {
	for _, id := range sortedKeys(c.endings) {
		if e := c.endings[id]; now.Sub(e.sent) >= retryGap {
			e.sent = now
			return e.record, true
		}
	}
	if r, due := c.expiry(now); due {
		return r, true
	}
	if r, due := c.alive(now); due {
		return r, true
	}
	return c.nextRequest(now)
}

// nextRequest picks the most urgent request that is not on the log. Whatever was sent and not read back within the
// gap is sent again; the second one of two is dropped by every reader.
func (c *core) nextRequest(now time.Time) (record, bool) {
	var best *waiter
	for _, id := range sortedKeys(c.waiters) {
		w := c.waiters[id]
		if w.given || w.offset != 0 || now.Sub(w.sent) < retryGap {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(w.request.Class, best.request.Class), cmp.Compare(w.ticket, best.ticket)) < 0 {
			best = w
		}
	}
	if best == nil {
		return record{}, false
	}
	best.sent = now
	return record{
		Kind: requestRecord, ID: best.request.ID, Try: best.try, Class: best.request.Class,
		Adapter: best.request.Adapter, Version: best.request.Version, Server: best.request.Server, Seen: best.request.Seen,
	}, true
}

// alive shows the others that the holder of the running load works on it.
func (c *core) alive(now time.Time) (record, bool) {
	running := c.order.running()
	if running == nil || running.holder != c.holder || now.Sub(c.lastAlive) < aliveInterval || now.Sub(c.spokenAt) < aliveInterval {
		return record{}, false
	}
	w := c.waiters[running.request.ID]
	if w == nil || !w.given {
		return record{}, false
	}
	c.lastAlive = now
	return record{Kind: aliveRecord, ID: running.request.ID}, true
}

// expiry returns the expire record of a running load whose holder is silent. Only a reader that is up to date may
// judge silence.
func (c *core) expiry(now time.Time) (record, bool) {
	running := c.order.running()
	if running == nil || !c.caughtUp || c.outOfReach(now) || now.Sub(c.lastExpire) < holderSilence/2 {
		return record{}, false
	}
	spread := time.Duration(xxhash.Sum64String(c.holder+running.request.ID) % uint64(expireSpread))
	if now.Sub(c.spokenAt) < holderSilence+spread {
		return record{}, false
	}
	c.lastExpire = now
	c.do(noteAction{kind: noteExpired, id: running.request.ID, offset: running.offset})
	return record{Kind: expireRecord, ID: running.request.ID, Request: running.offset, Heard: c.order.heard[running.holder]}, true
}

// appended takes the answer of an append. It decides nothing; what took effect is read back.
func (c *core) appended(now time.Time, ok bool) {
	c.busy = false
	if ok {
		c.troubleSince = time.Time{}
	}
	c.flush(now)
}

func sortedKeys[V any](all map[string]V) []string {
	keys := make([]string, 0, len(all))
	for key := range all {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
