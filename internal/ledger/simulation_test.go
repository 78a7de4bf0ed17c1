package ledger

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	simulationRetention = 1000 * time.Second
	simulationKeys      = 5
)

// simulation drives several cores on one simulated log and one virtual clock.
type simulation struct {
	t        *rapid.T
	now      time.Time
	log      []platform.Record
	earliest platform.Offset
	nodes    []*node
	delayed  [][]byte
	started  int
	// mayHaveRun holds the keys with an attempt that was claimed and not released.
	mayHaveRun map[KeyHash]bool
	// undetermined holds the keys begun at a gateway that crashed, unless another gateway had read their outcome.
	undetermined  map[KeyHash]bool
	outcomes      map[KeyHash]bool
	verdictCounts map[State]int
}

// node is one gateway: its core and the state of its interaction with the simulation.
type node struct {
	core     *core
	read     platform.Offset
	appends  []appendAction
	lookups  []lookupAction
	fetches  []fetchAction
	open     map[uint64]KeyHash
	begun    map[KeyHash]bool
	claimed  map[uint64]string
	frozen   bool
	verdicts map[uint64]Verdict
}

func newSimulation(t *rapid.T, nodes int) *simulation {
	s := &simulation{
		t: t, now: time.Unix(1_800_000_000, 0), earliest: 1, mayHaveRun: map[KeyHash]bool{},
		undetermined: map[KeyHash]bool{}, outcomes: map[KeyHash]bool{}, verdictCounts: map[State]int{},
	}
	for range nodes {
		s.nodes = append(s.nodes, s.startNode())
	}
	return s
}

func (s *simulation) startNode() *node {
	s.started++
	options := Options{
		Incarnation: fmt.Sprintf("incarnation-%d", s.started), Address: fmt.Sprintf("10.0.0.%d:1", s.started),
		Retention: simulationRetention, KeyLifetime: 100 * simulationRetention, MaximumKeys: 100, InlineBytes: 8,
	}
	return &node{
		core: newCore(options.config(), s.now), read: 1, open: map[uint64]KeyHash{}, begun: map[KeyHash]bool{},
		claimed: map[uint64]string{}, verdicts: map[uint64]Verdict{},
	}
}

func simulationKey(i int) Key { return Key{Hash: HashKey(fmt.Sprint("key-", i), "POST /")} }

// runActions performs a core's actions and checks every verdict.
func (s *simulation) runActions(n *node) {
	for _, next := range n.core.popActions() {
		switch a := next.(type) {
		case appendAction:
			n.appends = append(n.appends, a)
		case lookupAction:
			n.lookups = append(n.lookups, a)
		case fetchAction:
			n.fetches = append(n.fetches, a)
		case answerAction:
			s.checkVerdict(n, a)
		}
	}
	if len(n.appends) > 1 {
		s.t.Fatalf("%d appends outstanding", len(n.appends))
	}
}

// checkVerdict checks the properties: each Begin gets one answer, and a key is claimed only if no earlier attempt may
// have run.
func (s *simulation) checkVerdict(n *node, a answerAction) {
	hash, open := n.open[a.ticket]
	if !open {
		s.t.Fatalf("ticket %d answered twice or never begun: %+v", a.ticket, a.verdict)
	}
	delete(n.open, a.ticket)
	n.verdicts[a.ticket] = a.verdict
	s.verdictCounts[a.verdict.State]++
	if a.verdict.State != Claimed {
		return
	}
	if s.mayHaveRun[hash] {
		s.t.Fatalf("key %x is claimed twice; the second time by %s", hash[:4], n.core.config.incarnation)
	}
	s.mayHaveRun[hash] = true
	n.claimed[a.ticket] = fmt.Sprint("attempt-", a.ticket)
}

func (s *simulation) begin(n *node, key Key) uint64 {
	// The attempt is named after the ticket it will get, so that names are unique within the gateway.
	ticket := n.core.ticket + 1
	n.open[ticket] = key.Hash
	n.begun[key.Hash] = true
	n.core.begin(s.now, key, fmt.Sprint("attempt-", ticket))
	s.runActions(n)
	return ticket
}

// commit appends a record to the log.
func (s *simulation) commit(data []byte) {
	offset := platform.Offset(len(s.log) + 1)
	s.log = append(s.log, platform.Record{Offset: offset, Time: s.now, Data: data})
}

// completeAppend ends the node's outstanding append. The record is committed effects times now and, if delayed is set,
// once more later; ok is the result that the node gets.
func (s *simulation) completeAppend(n *node, effects int, delayed, ok bool) {
	if len(n.appends) == 0 {
		return
	}
	a := n.appends[0]
	n.appends = nil
	for range effects {
		s.commit(a.data)
	}
	if delayed {
		s.delayed = append(s.delayed, a.data)
	}
	n.core.appendDone(s.now, a.sequence, ok)
	s.runActions(n)
}

// readRecords lets a node read up to limit records.
func (s *simulation) readRecords(n *node, limit int) {
	if n.read < s.earliest {
		n.core.trimmed(s.earliest)
		n.read = s.earliest
		s.runActions(n)
	}
	end := min(int(n.read)-1+limit, len(s.log))
	read := platform.Batch{Earliest: s.earliest, Next: platform.Offset(len(s.log) + 1), Records: s.log[n.read-1 : end]}
	n.read = platform.Offset(end + 1)
	n.core.applyRead(s.now, read)
	s.runActions(n)
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	for int(s.earliest) <= len(s.log) && s.now.Sub(s.log[s.earliest-1].Time) > simulationRetention {
		s.earliest++
	}
	for _, n := range s.nodes {
		if !n.frozen {
			n.core.tick(s.now)
			s.runActions(n)
		}
	}
}

// runHealthy advances the clock by d in steps, while the log works for all nodes that aren't frozen.
func (s *simulation) runHealthy(d, step time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance(step)
		for _, n := range s.nodes {
			if !n.frozen {
				s.completeAppend(n, 1, false, true)
				s.readRecords(n, len(s.log))
				s.answerQueries(n, true)
			}
		}
	}
}

// crash replaces a gateway. Its keys may end as unknown, except those whose outcome another gateway has read.
func (s *simulation) crash(i int) {
	for hash := range s.nodes[i].begun {
		s.undetermined[hash] = s.undetermined[hash] || !s.readElsewhere(i, hash)
	}
	s.nodes[i] = s.startNode()
}

func (s *simulation) readElsewhere(i int, hash KeyHash) bool {
	for j, n := range s.nodes {
		record, _ := n.core.table.get(hash)
		if j != i && record.state == completed {
			return true
		}
	}
	return false
}

func (s *simulation) answerQueries(n *node, reachable bool) {
	lookups, fetches := n.lookups, n.fetches
	n.lookups, n.fetches = nil, nil
	for _, a := range lookups {
		n.core.lookupDone(s.now, a.ticket, s.lookup(a, reachable))
	}
	for _, f := range fetches {
		result := fetchResult{trimmed: f.offset < s.earliest}
		if !result.trimmed && reachable {
			result = findOutcome(s.log[f.offset-1].Data, f.hash)
		}
		n.core.fetchDone(f.ticket, result)
	}
	s.runActions(n)
}

func (s *simulation) lookup(a lookupAction, reachable bool) lookupResult {
	for _, n := range s.nodes {
		if n.core.config.address == a.address && !n.frozen && reachable {
			state, outcome := n.core.lookup(a.hash, a.incarnation)
			return lookupResult{reached: true, state: state, outcome: outcome}
		}
	}
	return lookupResult{}
}

// finish ends one dispatched attempt of a node: 0 abandons it, 1 releases it, and any other ending completes it with a
// body of that many bytes.
func (s *simulation) finish(n *node, ending int) {
	tickets := dueTickets(n.claimed, func(string) bool { return true })
	if len(tickets) == 0 {
		return
	}
	ticket := tickets[0]
	name, hash := n.claimed[ticket], n.core.attempts[ticket].hash
	delete(n.claimed, ticket)
	switch ending {
	case 0:
		n.core.abandon(s.now, hash, name)
	case 1:
		s.mayHaveRun[hash] = false
		n.core.release(s.now, hash, name)
	default:
		s.outcomes[hash] = true
		n.core.complete(s.now, hash, name, Outcome{Status: 200, ContentType: "text/plain", Body: hash[:ending]})
	}
	s.runActions(n)
}
