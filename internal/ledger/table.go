package ledger

import (
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// recordState is the state of a key according to the log.
type recordState uint8

const (
	held recordState = iota + 1
	completed
	abandoned
	// tentative is a held key whose claim was read without all records before it. Earlier records of the key may have
	// passed their retention, so an earlier claim may be the one that holds the key. If another claim of the key is
	// read, either may have run, and the key becomes abandoned.
	tentative
)

func (s recordState) isHeld() bool { return s == held || s == tentative }

// keyRecord is the state of a key in the table. It is small because the table holds up to a million of them.
type keyRecord struct {
	claimOffset   platform.Offset
	outcomeOffset platform.Offset
	ticket        uint64
	// refreshed is the log service's time, in Unix seconds, of the last record that holds the key's state.
	refreshed  uint32
	keySeconds uint32
	claimant   uint32
	status     uint16
	state      recordState
	location   bodyLocation
}

// claimant is one incarnation of a gateway that has written to the stream. Claimants are never removed: a restart adds
// only about 200 bytes, and without the sequence a delayed append would take effect.
type claimant struct {
	incarnation string
	address     string
	sequence    uint64
	// unreachableSince is when the first of the current run of failed lookups ended, in local Unix nanoseconds, or 0.
	// A record of the claimant also resets it, since it shows that the claimant is alive.
	unreachableSince int64
}

// shardCount divides the table so that one scan step covers a few thousand keys. A full table of 1,000,000 keys has
// 3,125 per shard, which fits the sizes in which Go's maps grow better than a power of two does.
const shardCount = 320

func shardOf(hash KeyHash) int { return (int(hash[0])<<8 | int(hash[1])) % shardCount }

// table holds the records of all keys, and the claimants.
type table struct {
	shards          [shardCount]map[KeyHash]keyRecord
	count           int
	claimants       []claimant
	claimantIndexes map[string]uint32
}

func newTable() *table {
	t := &table{claimantIndexes: map[string]uint32{}}
	for i := range t.shards {
		t.shards[i] = map[KeyHash]keyRecord{}
	}
	return t
}

func (t *table) get(hash KeyHash) (keyRecord, bool) {
	record, found := t.shards[shardOf(hash)][hash]
	return record, found
}

func (t *table) put(hash KeyHash, record keyRecord) {
	shard := t.shards[shardOf(hash)]
	before := len(shard)
	shard[hash] = record
	t.count += len(shard) - before
}

// markTentative makes every held key tentative.
func (t *table) markTentative() {
	for _, shard := range t.shards {
		for hash, record := range shard {
			if record.state == held {
				record.state = tentative
				shard[hash] = record
			}
		}
	}
}

func (t *table) remove(hash KeyHash) {
	shard := t.shards[shardOf(hash)]
	before := len(shard)
	delete(shard, hash)
	t.count += len(shard) - before
}

// claimantIndex returns the index of a claimant and adds the claimant if it is new.
func (t *table) claimantIndex(incarnation, address string) uint32 {
	index, found := t.claimantIndexes[incarnation]
	if !found {
		index = uint32(len(t.claimants))
		t.claimantIndexes[incarnation] = index
		t.claimants = append(t.claimants, claimant{incarnation: incarnation})
	}
	if address != "" {
		t.claimants[index].address = address
	}
	return index
}

// outcomeCache caches outcomes up to a total size in bytes and evicts the oldest first.
type outcomeCache struct {
	limit int
	used  int
	order []KeyHash
	items map[KeyHash]Outcome
}

// outcomeOverheadBytes is added to the size of each outcome, so that the number of empty outcomes is limited too.
const outcomeOverheadBytes = 128

func newOutcomeCache(limit int) *outcomeCache {
	return &outcomeCache{limit: limit, items: map[KeyHash]Outcome{}}
}

func (s *outcomeCache) get(hash KeyHash) (Outcome, bool) {
	outcome, found := s.items[hash]
	return outcome, found
}

func (s *outcomeCache) put(hash KeyHash, outcome Outcome) {
	size := storedBytes(outcome)
	if _, found := s.items[hash]; found || size > s.limit {
		return
	}
	s.items[hash] = outcome
	s.order = append(s.order, hash)
	s.used += size
	for s.used > s.limit {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.used -= storedBytes(s.items[oldest])
		delete(s.items, oldest)
	}
}

func storedBytes(outcome Outcome) int {
	return len(outcome.Body) + len(outcome.ContentType) + outcomeOverheadBytes
}
