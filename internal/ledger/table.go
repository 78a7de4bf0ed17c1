package ledger

import (
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// recordState is the state of a key as the log tells it.
type recordState uint8

const (
	held recordState = iota + 1
	completed
	abandoned
	// unsure is a held key whose claim was read without all that came before: its history may have passed the
	// retention, so that an earlier claim may be the true one. If another claim of the key turns up, either may
	// have run, and the key becomes abandoned.
	unsure
)

func (s recordState) isHeld() bool { return s == held || s == unsure }

// keyRecord is what the table keeps of a key. It's small because a million of them are kept.
type keyRecord struct {
	claimOffset   platform.Offset
	outcomeOffset platform.Offset
	ticket        uint64
	// refreshed is the log service's time, in Unix seconds, of the last record that keeps the key on the log.
	refreshed  uint32
	keySeconds uint32
	claimant   uint32
	status     uint16
	state      recordState
	place      bodyPlace
}

// claimant is one incarnation of a gateway that has written to the stream. Claimants are never removed: a restart
// adds about 200 bytes, and forgetting a sequence would let a late append take effect.
type claimant struct {
	incarnation string
	address     string
	sequence    uint64
	// unreachableSince is when the first of a row of failed lookups ended, in local Unix nanoseconds, or 0. A record
	// of the claimant ends the row too, since it shows that the claimant is alive.
	unreachableSince int64
}

// shardCount divides the table so that one scan step looks at few thousand keys. A full table of 1,000,000 keys has
// 3,125 in each shard, which fills the steps in which Go's maps grow better than a power of two does.
const shardCount = 320

func shardOf(hash KeyHash) int { return (int(hash[0])<<8 | int(hash[1])) % shardCount }

// table holds the keys and the claimants.
type table struct {
	shards    [shardCount]map[KeyHash]keyRecord
	count     int
	claimants []claimant
	numbers   map[string]uint32
}

func newTable() *table {
	t := &table{numbers: map[string]uint32{}}
	for i := range t.shards {
		t.shards[i] = map[KeyHash]keyRecord{}
	}
	return t
}

func (t *table) get(hash KeyHash) (keyRecord, bool) {
	record, known := t.shards[shardOf(hash)][hash]
	return record, known
}

func (t *table) put(hash KeyHash, record keyRecord) {
	shard := t.shards[shardOf(hash)]
	before := len(shard)
	shard[hash] = record
	t.count += len(shard) - before
}

// doubt makes every held key unsure.
func (t *table) doubt() {
	for _, shard := range t.shards {
		for hash, record := range shard {
			if record.state == held {
				record.state = unsure
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

// number returns the claimant's index, and adds the claimant when it's new.
func (t *table) number(incarnation, address string) uint32 {
	index, known := t.numbers[incarnation]
	if !known {
		index = uint32(len(t.claimants))
		t.numbers[incarnation] = index
		t.claimants = append(t.claimants, claimant{incarnation: incarnation})
	}
	if address != "" {
		t.claimants[index].address = address
	}
	return index
}

// bodyStore keeps outcomes up to a number of bytes and drops the oldest first.
type bodyStore struct {
	limit int
	used  int
	order []KeyHash
	items map[KeyHash]Outcome
}

// outcomeOverheadBytes is added to each outcome's body, so that many empty outcomes are bounded too.
const outcomeOverheadBytes = 128

func newBodyStore(limit int) *bodyStore {
	return &bodyStore{limit: limit, items: map[KeyHash]Outcome{}}
}

func (s *bodyStore) get(hash KeyHash) (Outcome, bool) {
	outcome, known := s.items[hash]
	return outcome, known
}

func (s *bodyStore) put(hash KeyHash, outcome Outcome) {
	size := storedBytes(outcome)
	if _, known := s.items[hash]; known || size > s.limit {
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
