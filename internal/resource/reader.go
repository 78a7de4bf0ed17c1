package resource

import (
	"fmt"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	// Bounds of the records that a reader buffers while it waits for a snapshot. Snapshots are written every 1,000
	// records.
	maximumPending      = 4096
	maximumPendingBytes = 32 << 20
	// Bounds of the applied records that a reader retains for peers that fetch them. A snapshot of 37,000 adapters has
	// about 300 KiB, so fetching more bytes of records would cost a peer more than a snapshot.
	maximumRecent      = 1024
	maximumRecentBytes = 512 << 10
)

// SnapshotInfo describes the newest complete snapshot that a reader has read.
type SnapshotInfo struct {
	// AsOf is the offset of the last record in the snapshot.
	AsOf platform.Offset
	// Time is the log service's timestamp of the first chunk. The last chunk's would understate the age of a snapshot
	// whose writer was paused between two chunks.
	Time time.Time
}

// Reader feeds a machine with records that may start at any offset, repeat, or have gaps. A reader that starts at the
// earliest retained offset E waits for a complete snapshot with asOf >= E-1 and continues with the records after asOf.
// Its state never moves back to an older offset. It is not safe for concurrent use.
type Reader struct {
	machine *Machine
	// pending are consecutive records after a gap, waiting for a snapshot that covers the gap.
	pending      []entry
	pendingBytes int
	recent       []platform.Record
	recentBytes  int
	chunks       assembler
	lastSnapshot SnapshotInfo
}

// entry is a decoded record and the record that is retained for Recent.
type entry struct {
	decodedRecord
	record platform.Record
}

// NewReader returns a reader that has not read any record.
func NewReader() *Reader { return &Reader{machine: NewMachine()} }

// Machine returns the current state machine. Restoring a snapshot replaces it.
func (r *Reader) Machine() *Machine { return r.machine }

// Applied returns the offset of the last applied record.
func (r *Reader) Applied() platform.Offset { return r.machine.view.Applied }

// LastSnapshot returns the newest complete snapshot that was read.
func (r *Reader) LastSnapshot() SnapshotInfo { return r.lastSnapshot }

// FirstPending returns the offset of the first record that waits for a snapshot, or 0 if none does.
func (r *Reader) FirstPending() platform.Offset {
	if len(r.pending) == 0 {
		return 0
	}
	return r.pending[0].offset
}

// Apply applies records, which must be in the order of their offsets. Records that are already applied are skipped.
func (r *Reader) Apply(records []platform.Record) ApplyReport {
	var report ApplyReport
	var direct []entry
	expected := r.Applied() + 1
	for _, record := range records {
		if record.Offset < expected {
			continue
		}
		decoded, chunk := r.decode(record, &report)
		if record.Offset == expected {
			direct = append(direct, decoded)
			expected++
			r.addChunk(record, chunk)
			continue
		}
		r.applyEntries(direct, &report)
		direct = nil
		r.enqueuePending(decoded)
		r.restoreFromSnapshot(r.addChunk(record, chunk), record.Offset, chunk, &report)
		expected = r.Applied() + 1
	}
	r.applyEntries(direct, &report)
	r.applyPending(&report)
	return report
}

// Restore replaces the state by a peer's snapshot if that is newer, and reports whether it was.
func (r *Reader) Restore(snapshot []byte, asOf platform.Offset) (bool, ApplyReport, error) {
	var report ApplyReport
	if asOf <= r.Applied() {
		return false, report, nil
	}
	machine, err := Restore(snapshot, asOf)
	if err != nil {
		return false, report, err
	}
	r.replaceMachine(machine)
	r.applyPending(&report)
	return true, report, nil
}

// Recent returns up to limit applied records starting at an offset, or false when the first of them is no longer
// retained. Records without effect on the state have no data.
func (r *Reader) Recent(from platform.Offset, limit int) ([]platform.Record, bool) {
	if from > r.Applied() {
		return nil, true
	}
	if len(r.recent) == 0 || from < r.recent[0].Offset {
		return nil, false
	}
	first := int(from - r.recent[0].Offset)
	last := min(len(r.recent), first+limit)
	return append([]platform.Record(nil), r.recent[first:last]...), true
}

// decode returns a record's entry, and its chunk if it holds one. The entry keeps the data of operations only.
func (r *Reader) decode(record platform.Record, report *ApplyReport) (entry, *Chunk) {
	withoutData := platform.Record{Offset: record.Offset, Time: record.Time}
	result := entry{decodedRecord: decodedRecord{offset: record.Offset}, record: withoutData}
	if len(record.Data) == 0 {
		return result, nil
	}
	decoded, err := DecodeRecord(record.Data)
	if err != nil {
		report.Ignored = append(report.Ignored, IgnoredRecord{Offset: record.Offset, Err: err})
		return result, nil
	}
	if decoded.Chunk != nil {
		return result, decoded.Chunk
	}
	result.operations = decoded.Operations
	result.record.Data = record.Data
	return result, nil
}

// addChunk records a chunk and returns the snapshot that it completes, or nil. A chunk whose snapshot would include the
// chunk's own or a later record is invalid and is skipped.
func (r *Reader) addChunk(record platform.Record, chunk *Chunk) []byte {
	if chunk == nil || chunk.AsOf >= record.Offset {
		return nil
	}
	snapshot, startedAt := r.chunks.add(chunk, record.Time)
	if snapshot != nil && chunk.AsOf >= r.lastSnapshot.AsOf {
		r.lastSnapshot = SnapshotInfo{AsOf: chunk.AsOf, Time: startedAt}
	}
	return snapshot
}

// restoreFromSnapshot replaces the state by a newer snapshot that covers the gap before the pending records, and then
// applies those.
func (r *Reader) restoreFromSnapshot(snapshot []byte, offset platform.Offset, chunk *Chunk, report *ApplyReport) {
	if snapshot == nil || chunk.AsOf <= r.Applied() || chunk.AsOf+1 < r.FirstPending() {
		return
	}
	machine, err := Restore(snapshot, chunk.AsOf)
	if err != nil {
		err = fmt.Errorf("snapshot %s: %w", chunk.SnapshotID, err)
		report.Ignored = append(report.Ignored, IgnoredRecord{Offset: offset, Err: err})
		return
	}
	r.replaceMachine(machine)
	r.applyPending(report)
}

func (r *Reader) replaceMachine(machine *Machine) {
	r.machine = machine
	r.recent, r.recentBytes = nil, 0
}

// applyEntries applies consecutive entries that follow the state, and retains their records for Recent.
func (r *Reader) applyEntries(entries []entry, report *ApplyReport) {
	if len(entries) == 0 {
		return
	}
	decoded := make([]decodedRecord, 0, len(entries))
	for _, e := range entries {
		decoded = append(decoded, e.decodedRecord)
		r.recent = append(r.recent, e.record)
		r.recentBytes += len(e.record.Data)
	}
	report.Results = append(report.Results, r.machine.apply(decoded)...)
	excess := 0
	for len(r.recent)-excess > maximumRecent || r.recentBytes > maximumRecentBytes {
		r.recentBytes -= len(r.recent[excess].Data)
		excess++
	}
	if excess > 0 {
		r.recent = append([]platform.Record(nil), r.recent[excess:]...)
	}
}

// enqueuePending buffers an entry after a gap. A second gap invalidates the entries before it.
func (r *Reader) enqueuePending(e entry) {
	if count := len(r.pending); count > 0 {
		last := r.pending[count-1].offset
		if e.offset <= last {
			return
		}
		if e.offset > last+1 {
			r.pending, r.pendingBytes = nil, 0
		}
	}
	r.pending = append(r.pending, e)
	r.pendingBytes += len(e.record.Data)
	for len(r.pending) > maximumPending || r.pendingBytes > maximumPendingBytes {
		r.pendingBytes -= len(r.pending[0].record.Data)
		r.pending = r.pending[1:]
	}
}

// applyPending applies the pending entries if the first of them follows the state.
func (r *Reader) applyPending(report *ApplyReport) {
	for len(r.pending) > 0 && r.pending[0].offset <= r.Applied() {
		r.pendingBytes -= len(r.pending[0].record.Data)
		r.pending = r.pending[1:]
	}
	if len(r.pending) == 0 {
		r.pending, r.pendingBytes = nil, 0
		return
	}
	if r.pending[0].offset != r.Applied()+1 {
		return
	}
	ready := r.pending
	r.pending, r.pendingBytes = nil, 0
	r.applyEntries(ready, report)
}
