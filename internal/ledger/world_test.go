package ledger

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	worldRetention = 1000 * time.Second
	worldKeys      = 5
)

// world drives several cores on one simulated log and one virtual clock.
type world struct {
	t        *rapid.T
	now      time.Time
	log      []platform.Record
	earliest platform.Offset
	nodes    []*node
	late     [][]byte
	started  int
	// active holds the keys with an attempt that was claimed and not released: it may have run.
	active map[KeyHash]bool
	// phantom holds the keys whose claimant crashed or that may have a claim nobody answers for.
	phantom  map[KeyHash]bool
	outcomes map[KeyHash]bool
	endings  map[State]int
}

// node is one gateway: its core and what stands between it and the world.
type node struct {
	core    *core
	read    platform.Offset
	sending []appendAction
	asks    []askAction
	fetches []fetchAction
	open    map[uint64]KeyHash
	begun   map[KeyHash]bool
	claimed map[uint64]string
	frozen  bool
	last    map[uint64]Verdict
}

func newWorld(t *rapid.T, nodes int) *world {
	w := &world{
		t: t, now: time.Unix(1_800_000_000, 0), earliest: 1, active: map[KeyHash]bool{},
		phantom: map[KeyHash]bool{}, outcomes: map[KeyHash]bool{}, endings: map[State]int{},
	}
	for range nodes {
		w.nodes = append(w.nodes, w.start())
	}
	return w
}

func (w *world) start() *node {
	w.started++
	options := Options{
		Incarnation: fmt.Sprintf("incarnation-%d", w.started), Address: fmt.Sprintf("10.0.0.%d:1", w.started),
		Retention: worldRetention, KeyLifetime: 100 * worldRetention, MaximumKeys: 100, InlineBytes: 8,
	}
	return &node{
		core: newCore(options.config(), w.now), read: 1, open: map[uint64]KeyHash{}, begun: map[KeyHash]bool{},
		claimed: map[uint64]string{}, last: map[uint64]Verdict{},
	}
}

func worldKey(i int) Key { return Key{Hash: HashKey(fmt.Sprint("key-", i), "POST /")} }

// settle carries out a core's actions and checks every verdict.
func (w *world) settle(n *node) {
	for _, next := range n.core.take() {
		switch a := next.(type) {
		case appendAction:
			n.sending = append(n.sending, a)
		case askAction:
			n.asks = append(n.asks, a)
		case fetchAction:
			n.fetches = append(n.fetches, a)
		case answerAction:
			w.check(n, a)
		}
	}
	if len(n.sending) > 1 {
		w.t.Fatalf("%d appends outstanding", len(n.sending))
	}
}

// check is the property: one answer for each Begin, and a claim only for a key that no earlier attempt may have run.
func (w *world) check(n *node, a answerAction) {
	hash, open := n.open[a.ticket]
	if !open {
		w.t.Fatalf("ticket %d answered twice or never begun: %+v", a.ticket, a.verdict)
	}
	delete(n.open, a.ticket)
	n.last[a.ticket] = a.verdict
	w.endings[a.verdict.State]++
	if a.verdict.State != Claimed {
		return
	}
	if w.active[hash] {
		w.t.Fatalf("key %x is claimed twice; the second time by %s", hash[:4], n.core.config.incarnation)
	}
	w.active[hash] = true
	n.claimed[a.ticket] = fmt.Sprint("attempt-", a.ticket)
}

func (w *world) begin(n *node, key Key) uint64 {
	// The name of the attempt is the ticket it will get, which keeps names unique within the gateway.
	ticket := n.core.ticket + 1
	n.open[ticket] = key.Hash
	n.begun[key.Hash] = true
	n.core.begin(w.now, key, fmt.Sprint("attempt-", ticket))
	w.settle(n)
	return ticket
}

func (w *world) land(data []byte) {
	offset := platform.Offset(len(w.log) + 1)
	w.log = append(w.log, platform.Record{Offset: offset, Time: w.now, Data: data})
}

// deliver ends the node's outstanding append: it takes effect some number of times now, or later, and is answered or not.
func (w *world) deliver(n *node, effects int, later, ok bool) {
	if len(n.sending) == 0 {
		return
	}
	a := n.sending[0]
	n.sending = nil
	for range effects {
		w.land(a.data)
	}
	if later {
		w.late = append(w.late, a.data)
	}
	n.core.appended(w.now, a.sequence, ok)
	w.settle(n)
}

func (w *world) readUp(n *node, most int) {
	if n.read < w.earliest {
		n.core.trimmed(w.earliest)
		n.read = w.earliest
		w.settle(n)
	}
	end := min(int(n.read)-1+most, len(w.log))
	read := platform.Batch{Earliest: w.earliest, Next: platform.Offset(len(w.log) + 1), Records: w.log[n.read-1 : end]}
	n.read = platform.Offset(end + 1)
	n.core.readUp(w.now, read)
	w.settle(n)
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for int(w.earliest) <= len(w.log) && w.now.Sub(w.log[w.earliest-1].Time) > worldRetention {
		w.earliest++
	}
	for _, n := range w.nodes {
		if !n.frozen {
			n.core.tick(w.now)
			w.settle(n)
		}
	}
}

// calm lets time pass with a log that works for all nodes that aren't frozen.
func (w *world) calm(d, step time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance(step)
		for _, n := range w.nodes {
			if !n.frozen {
				w.deliver(n, 1, false, true)
				w.readUp(n, len(w.log))
				w.answerQueries(n, true)
			}
		}
	}
}

// crash replaces a gateway. Its keys may end as unknown, but for those whose outcome another gateway has read.
func (w *world) crash(i int) {
	for hash := range w.nodes[i].begun {
		w.phantom[hash] = w.phantom[hash] || !w.readElsewhere(i, hash)
	}
	w.nodes[i] = w.start()
}

func (w *world) readElsewhere(i int, hash KeyHash) bool {
	for j, n := range w.nodes {
		record, _ := n.core.table.get(hash)
		if j != i && record.state == completed {
			return true
		}
	}
	return false
}

func (w *world) answerQueries(n *node, reachable bool) {
	asks, fetches := n.asks, n.fetches
	n.asks, n.fetches = nil, nil
	for _, a := range asks {
		n.core.asked(w.now, a.ticket, w.lookup(a, reachable))
	}
	for _, f := range fetches {
		result := fetchResult{gone: f.offset < w.earliest}
		if !result.gone && reachable {
			result = findOutcome(w.log[f.offset-1].Data, f.hash)
		}
		n.core.fetched(f.ticket, result)
	}
	w.settle(n)
}

func (w *world) lookup(a askAction, reachable bool) lookupResult {
	for _, n := range w.nodes {
		if n.core.config.address == a.address && !n.frozen && reachable {
			state, outcome := n.core.lookup(a.hash, a.incarnation)
			return lookupResult{reached: true, state: state, outcome: outcome}
		}
	}
	return lookupResult{}
}

// finish ends one dispatched attempt of a node.
func (w *world) finish(n *node, how int) {
	tickets := dueTickets(n.claimed, func(string) bool { return true })
	if len(tickets) == 0 {
		return
	}
	ticket := tickets[0]
	name, hash := n.claimed[ticket], n.core.attempts[ticket].hash
	delete(n.claimed, ticket)
	switch how {
	case 0:
		n.core.abandon(w.now, hash, name)
	case 1:
		w.active[hash] = false
		n.core.release(w.now, hash, name)
	default:
		w.outcomes[hash] = true
		n.core.complete(w.now, hash, name, Outcome{Status: 200, ContentType: "text/plain", Body: hash[:how]})
	}
	w.settle(n)
}
