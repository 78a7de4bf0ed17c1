package ledger

import (
	"encoding/binary"
	"errors"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// recordVersion is the first byte of each record of the claims stream.
const recordVersion = 1

// errRecord is returned for a record that doesn't follow the format.
var errRecord = errors.New("malformed claims record")

type entryKind byte

const (
	claimEntry entryKind = iota + 1
	outcomeEntry
	releaseEntry
	abandonEntry
	carryEntry
)

// batch is one record of the claims stream. It holds entries of one gateway in the order in which they take effect.
type batch struct {
	incarnation string
	address     string
	// sequence increases with each append of the incarnation. A batch has no effect unless its sequence is above all
	// sequences read from its incarnation, so that duplicated or delayed appends change nothing.
	sequence uint64
	entries  []entry
}

// entry is one state change of a key.
type entry struct {
	kind entryKind
	hash KeyHash
	// keySeconds is the creation time that the key carries, in Unix seconds, or 0.
	keySeconds uint32
	// ticket numbers the attempt within its incarnation.
	ticket uint64
	// outcome is set for outcomes; a carry entry has only its status and location.
	outcome outcomeRecord
	// The remaining fields describe the claim that a carry entry repeats.
	claimant    string
	address     string
	claimOffset platform.Offset
	state       recordState
}

// outcomeRecord is an outcome as recorded on the log.
type outcomeRecord struct {
	status      uint16
	contentType string
	body        []byte
	location    bodyLocation
}

// bodyLocation is where the body of an outcome is held.
type bodyLocation byte

const (
	bodyOnLog bodyLocation = iota
	bodyAtClaimant
	bodyDiscarded
)

func encodeBatch(b batch) []byte {
	out := []byte{recordVersion}
	out = appendString(out, b.incarnation)
	out = appendString(out, b.address)
	out = binary.AppendUvarint(out, b.sequence)
	indexes := map[string]uint64{}
	for i := range b.entries {
		out = appendEntry(out, &b.entries[i], indexes)
	}
	return out
}

func appendEntry(out []byte, e *entry, indexes map[string]uint64) []byte {
	out = append(out, byte(e.kind))
	out = append(out, e.hash[:]...)
	out = binary.AppendUvarint(out, e.ticket)
	if e.kind == releaseEntry {
		return out
	}
	out = binary.AppendUvarint(out, uint64(e.keySeconds))
	switch e.kind {
	case outcomeEntry:
		out = binary.AppendUvarint(out, uint64(e.outcome.status))
		out = append(out, byte(e.outcome.location))
		out = appendString(out, e.outcome.contentType)
		out = appendString(out, string(e.outcome.body))
	case carryEntry:
		out = appendClaimant(out, e, indexes)
		out = binary.AppendUvarint(out, uint64(e.claimOffset))
		out = append(out, byte(e.state), byte(e.outcome.location))
		out = binary.AppendUvarint(out, uint64(e.outcome.status))
	}
	return out
}

// appendClaimant appends the claimant as an index into the claimants that occur so far in the batch. A new index is
// followed by the claimant's incarnation and address.
func appendClaimant(out []byte, e *entry, indexes map[string]uint64) []byte {
	index, found := indexes[e.claimant]
	if found {
		return binary.AppendUvarint(out, index)
	}
	index = uint64(len(indexes))
	indexes[e.claimant] = index
	out = binary.AppendUvarint(out, index)
	out = appendString(out, e.claimant)
	return appendString(out, e.address)
}

func appendString(out []byte, s string) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

// reader decodes a record. After the first error failed is true and all further values are zero.
type reader struct {
	data      []byte
	failed    bool
	claimants [][2]string
}

func decodeBatch(data []byte) (batch, error) {
	r := &reader{data: data}
	if r.byte() != recordVersion {
		return batch{}, errRecord
	}
	b := batch{incarnation: r.string(), address: r.string(), sequence: r.uvarint()}
	for len(r.data) > 0 && !r.failed {
		b.entries = append(b.entries, r.entry())
	}
	if r.failed {
		return batch{}, errRecord
	}
	return b, nil
}

func (r *reader) entry() entry {
	e := entry{kind: entryKind(r.byte())}
	copy(e.hash[:], r.next(uint64(len(e.hash))))
	e.ticket = r.uvarint()
	if e.kind == releaseEntry {
		return e
	}
	e.keySeconds = uint32(r.uvarint())
	switch e.kind {
	case claimEntry, abandonEntry:
	case outcomeEntry:
		e.outcome.status = uint16(r.uvarint())
		e.outcome.location = bodyLocation(r.byte())
		e.outcome.contentType = r.string()
		e.outcome.body = []byte(r.string())
	case carryEntry:
		e.claimant, e.address = r.claimant()
		e.claimOffset = platform.Offset(r.uvarint())
		e.state = recordState(r.byte())
		e.outcome.location = bodyLocation(r.byte())
		e.outcome.status = uint16(r.uvarint())
	default:
		r.failed = true
	}
	return e
}

func (r *reader) claimant() (string, string) {
	index := r.uvarint()
	if index == uint64(len(r.claimants)) {
		r.claimants = append(r.claimants, [2]string{r.string(), r.string()})
	}
	if index >= uint64(len(r.claimants)) {
		r.failed = true
		return "", ""
	}
	return r.claimants[index][0], r.claimants[index][1]
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return value
}

func (r *reader) byte() byte {
	chunk := r.next(1)
	if len(chunk) == 0 {
		return 0
	}
	return chunk[0]
}

func (r *reader) string() string { return string(r.next(r.uvarint())) }

func (r *reader) next(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.failed = true
		r.data = nil
		return nil
	}
	chunk := r.data[:n]
	r.data = r.data[n:]
	return chunk
}
