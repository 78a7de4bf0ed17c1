package storewatch

import (
	"time"

	"waxwingcleat.example/waxwingcleat/internal/serving"
)

// ChangeRetention is how long digests repeat a change, so that a lost digest is harmless.
const ChangeRetention = time.Second

// OperatorChanges holds the versions that were declared in an interval of the operators' records without records of any
// other kind. A node that has read up to From can apply them instead of reading up to the offset of the digest that
// they came with.
type OperatorChanges struct {
	From     int64
	Versions []serving.AdapterVersion
}

// OperatorHistory holds a reader's recent reads of the operators' records. It isn't safe for concurrent use.
type OperatorHistory struct {
	reads []operatorRead
	// next is the offset up to which the reader has read.
	next int64
}

// operatorRead is a read that began at an offset.
type operatorRead struct {
	from     int64
	at       time.Time
	versions []serving.AdapterVersion
}

// Add records a read. contiguous is false for a read that didn't begin at the end of the previous one; it clears the
// history, as does a read with configurations or invalid records.
func (h *OperatorHistory) Add(now time.Time, batch serving.OperatorBatch, contiguous bool) {
	from, next := h.next, batch.Next.Offset
	h.next = next
	if !contiguous || next < from || len(batch.Configurations) > 0 || len(batch.Invalid) > 0 {
		h.reads = nil
		return
	}
	if next > from {
		h.reads = append(h.reads, operatorRead{from: from, at: now, versions: batch.Versions})
	}
}

// Changes returns the versions that were declared within ChangeRetention, or since the latest configuration if that is
// later.
func (h *OperatorHistory) Changes(now time.Time) OperatorChanges {
	for len(h.reads) > 0 && now.Sub(h.reads[0].at) > ChangeRetention {
		h.reads = h.reads[1:]
	}
	changes := OperatorChanges{From: h.next}
	for i, read := range h.reads {
		if i == 0 {
			changes.From = read.from
		}
		changes.Versions = append(changes.Versions, read.versions...)
	}
	return changes
}
