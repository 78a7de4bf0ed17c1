package resource

import (
	"fmt"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

const (
	// A reader that waits for a snapshot keeps this many records and bytes. Snapshots are written every 1,000 records.
	maximumPending      = 4096
	maximumPendingBytes = 32 << 20
	// A reader keeps this many applied records and bytes for peers that fetch them. A snapshot of 37,000 adapters has
	// about 300 KiB, so that more bytes of records would cost a peer more than a snapshot.
	maximumRecent      = 1024
	maximumRecentBytes = 512 << 10
)

// SnapshotMark says which state the newest complete snapshot that a reader has seen holds.
type SnapshotMark struct {
	AsOf platform.Offset
	// Time is the log service's time of the first chunk. A writer that is paused between two chunks completes an old
	// snapshot late, so the last chunk's time would say too little about its age.
	Time time.Time
}

// Reader feeds a machine with records that may start anywhere, repeat, or have gaps. A reader that starts at the
// earliest retained offset E waits for a complete snapshot with asOf >= E-1 and goes on with the records after asOf.
// Its state never goes back to an older offset. It is not safe for concurrent use.
type Reader struct {
	machine *Machine
	// pending are consecutive records behind a gap, waiting for a snapshot that reaches the first of them.
	pending      []entry
	pendingBytes int
	recent       []platform.Record
	recentBytes  int
	chunks       assembler
	last         SnapshotMark
}

type entry struct {
	step
	record platform.Record
}

// NewReader returns a reader before the first record.
func NewReader() *Reader { return &Reader{machine: NewMachine()} }

// Machine returns the current state machine. Restoring a snapshot replaces it.
func (r *Reader) Machine() *Machine { return r.machine }

// Applied returns the offset of the last applied record.
func (r *Reader) Applied() platform.Offset { return r.machine.view.Applied }

// LastSnapshot returns the newest complete snapshot that was read.
func (r *Reader) LastSnapshot() SnapshotMark { return r.last }

// Waiting returns the first record that waits for a snapshot, or 0.
func (r *Reader) Waiting() platform.Offset {
	if len(r.pending) == 0 {
		return 0
	}
	return r.pending[0].offset
}

// Apply takes records in the order of their offsets. Records that were applied before are skipped.
func (r *Reader) Apply(records []platform.Record) Report {
	var report Report
	var direct []entry
	expected := r.Applied() + 1
	for _, record := range records {
		if record.Offset < expected {
			continue
		}
		read, chunk := r.decode(record, &report)
		if record.Offset == expected {
			direct = append(direct, read)
			expected++
			r.see(record, chunk)
			continue
		}
		r.run(direct, &report)
		direct = nil
		r.wait(read)
		r.recover(r.see(record, chunk), record.Offset, chunk, &report)
		expected = r.Applied() + 1
	}
	r.run(direct, &report)
	r.resume(&report)
	return report
}

// Restore takes a snapshot of a peer and reports whether it is newer than the reader's state.
func (r *Reader) Restore(snapshot []byte, asOf platform.Offset) (bool, Report, error) {
	var report Report
	if asOf <= r.Applied() {
		return false, report, nil
	}
	machine, err := Restore(snapshot, asOf)
	if err != nil {
		return false, report, err
	}
	r.replace(machine)
	r.resume(&report)
	return true, report, nil
}

// Recent returns up to limit applied records from an offset on, or false when the first of them is no longer kept.
// Records without effect on the state have no data.
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

func (r *Reader) decode(record platform.Record, report *Report) (entry, *Chunk) {
	kept := platform.Record{Offset: record.Offset, Time: record.Time}
	read := entry{step: step{offset: record.Offset}, record: kept}
	if len(record.Data) == 0 {
		return read, nil
	}
	decoded, err := DecodeRecord(record.Data)
	if err != nil {
		report.Ignored = append(report.Ignored, Ignored{Offset: record.Offset, Err: err})
		return read, nil
	}
	if decoded.Chunk != nil {
		return read, decoded.Chunk
	}
	read.operations = decoded.Operations
	read.record.Data = record.Data
	return read, nil
}

// see notes a chunk and returns the snapshot that it completes, or nil. A chunk that claims to hold its own or a
// later record is not valid.
func (r *Reader) see(record platform.Record, chunk *Chunk) []byte {
	if chunk == nil || chunk.AsOf >= record.Offset {
		return nil
	}
	snapshot, began := r.chunks.add(chunk, record.Time)
	if snapshot != nil && chunk.AsOf >= r.last.AsOf {
		r.last = SnapshotMark{AsOf: chunk.AsOf, Time: began}
	}
	return snapshot
}

// recover goes on from a snapshot that closes the gap before the pending records.
func (r *Reader) recover(snapshot []byte, offset platform.Offset, chunk *Chunk, report *Report) {
	if snapshot == nil || chunk.AsOf <= r.Applied() || chunk.AsOf+1 < r.Waiting() {
		return
	}
	machine, err := Restore(snapshot, chunk.AsOf)
	if err != nil {
		report.Ignored = append(report.Ignored, Ignored{Offset: offset, Err: fmt.Errorf("snapshot %s: %w", chunk.SnapshotID, err)})
		return
	}
	r.replace(machine)
	r.resume(report)
}

func (r *Reader) replace(machine *Machine) {
	r.machine = machine
	r.recent, r.recentBytes = nil, 0
}

// run applies consecutive entries that follow the state.
func (r *Reader) run(entries []entry, report *Report) {
	if len(entries) == 0 {
		return
	}
	steps := make([]step, 0, len(entries))
	for _, e := range entries {
		steps = append(steps, e.step)
		r.recent = append(r.recent, e.record)
		r.recentBytes += len(e.record.Data)
	}
	report.Results = append(report.Results, r.machine.apply(steps)...)
	excess := 0
	for len(r.recent)-excess > maximumRecent || r.recentBytes > maximumRecentBytes {
		r.recentBytes -= len(r.recent[excess].Data)
		excess++
	}
	if excess > 0 {
		r.recent = append([]platform.Record(nil), r.recent[excess:]...)
	}
}

// wait keeps an entry behind a gap. A second gap makes the entries before it useless.
func (r *Reader) wait(e entry) {
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

// resume applies the pending entries once the state reaches the first of them.
func (r *Reader) resume(report *Report) {
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
	r.run(ready, report)
}
