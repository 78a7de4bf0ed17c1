package ledger

import (
	"encoding/binary"
	"errors"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// recordVersion is the first byte of each record of the claims stream.
const recordVersion = 1

// errRecord says that a record doesn't follow the format.
var errRecord = errors.New("malformed claims record")

type entryKind byte

const (
	claimEntry entryKind = iota + 1
	outcomeEntry
	releaseEntry
	abandonEntry
	carryEntry
)

// batch is one record of the claims stream: entries of one gateway in the order in which they take effect.
type batch struct {
	incarnation string
	address     string
	// sequence grows with each append of the incarnation. A batch whose sequence isn't above all that were read
	// of its incarnation has no effect, so that an append that is doubled or arrives late changes nothing.
	sequence uint64
	entries  []entry
}

// entry is one step in the life of a key.
type entry struct {
	kind entryKind
	hash KeyHash
	// keySeconds is the key's own time in Unix seconds, or 0.
	keySeconds uint32
	// ticket numbers the attempt within its incarnation.
	ticket uint64
	// outcome is set for outcomes; a carried completion has only its status.
	outcome outcomeRecord
	// The claim that a carry entry repeats.
	claimant    string
	address     string
	claimOffset platform.Offset
	state       recordState
}

// outcomeRecord is an outcome as it stands on the log.
type outcomeRecord struct {
	status      uint16
	contentType string
	body        []byte
	place       bodyPlace
}

// bodyPlace tells where the body of an outcome is.
type bodyPlace byte

const (
	bodyOnLog bodyPlace = iota
	bodyAtClaimant
	bodyNowhere
)

func encodeBatch(b batch) []byte {
	out := []byte{recordVersion}
	out = appendString(out, b.incarnation)
	out = appendString(out, b.address)
	out = binary.AppendUvarint(out, b.sequence)
	names := map[string]uint64{}
	for i := range b.entries {
		out = appendEntry(out, &b.entries[i], names)
	}
	return out
}

func appendEntry(out []byte, e *entry, names map[string]uint64) []byte {
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
		out = append(out, byte(e.outcome.place))
		out = appendString(out, e.outcome.contentType)
		out = appendString(out, string(e.outcome.body))
	case carryEntry:
		out = appendName(out, e, names)
		out = binary.AppendUvarint(out, uint64(e.claimOffset))
		out = append(out, byte(e.state), byte(e.outcome.place))
		out = binary.AppendUvarint(out, uint64(e.outcome.status))
	}
	return out
}

// appendName writes the claimant as an index into the claimants named so far in the batch; a new index is followed
// by the claimant's incarnation and address.
func appendName(out []byte, e *entry, names map[string]uint64) []byte {
	index, known := names[e.claimant]
	if known {
		return binary.AppendUvarint(out, index)
	}
	index = uint64(len(names))
	names[e.claimant] = index
	out = binary.AppendUvarint(out, index)
	out = appendString(out, e.claimant)
	return appendString(out, e.address)
}

func appendString(out []byte, s string) []byte {
	out = binary.AppendUvarint(out, uint64(len(s)))
	return append(out, s...)
}

// reader decodes a record. After the first fault all further values are zero and failed is true.
type reader struct {
	data   []byte
	failed bool
	names  [][2]string
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
	copy(e.hash[:], r.take(uint64(len(e.hash))))
	e.ticket = r.uvarint()
	if e.kind == releaseEntry {
		return e
	}
	e.keySeconds = uint32(r.uvarint())
	switch e.kind {
	case claimEntry, abandonEntry:
	case outcomeEntry:
		e.outcome.status = uint16(r.uvarint())
		e.outcome.place = bodyPlace(r.byte())
		e.outcome.contentType = r.string()
		e.outcome.body = []byte(r.string())
	case carryEntry:
		e.claimant, e.address = r.name()
		e.claimOffset = platform.Offset(r.uvarint())
		e.state = recordState(r.byte())
		e.outcome.place = bodyPlace(r.byte())
		e.outcome.status = uint16(r.uvarint())
	default:
		r.failed = true
	}
	return e
}

func (r *reader) name() (string, string) {
	index := r.uvarint()
	if index == uint64(len(r.names)) {
		r.names = append(r.names, [2]string{r.string(), r.string()})
	}
	if index >= uint64(len(r.names)) {
		r.failed = true
		return "", ""
	}
	return r.names[index][0], r.names[index][1]
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
	taken := r.take(1)
	if len(taken) == 0 {
		return 0
	}
	return taken[0]
}

func (r *reader) string() string { return string(r.take(r.uvarint())) }

func (r *reader) take(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.failed = true
		r.data = nil
		return nil
	}
	taken := r.data[:n]
	r.data = r.data[n:]
	return taken
}
