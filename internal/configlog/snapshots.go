package configlog

import (
	"context"
	"math/rand/v2"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/delay"
	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/ident"
	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// logClock estimates the log service's time. Only differences are used: the log's clock is never compared with the
// local one.
type logClock struct {
	// first and latest are the log's times of the first and latest record that were read.
	first, latest time.Time
	// seenAt is the local time at which latest was read.
	seenAt time.Time
	// live is true when latest was read while the replica was caught up, thus soon after it was appended.
	live bool
}

func (c *logClock) note(records []platform.Record, caughtUp bool, now time.Time) {
	if len(records) == 0 {
		return
	}
	if c.first.IsZero() {
		c.first = records[0].Time
	}
	c.latest = records[len(records)-1].Time
	c.seenAt = now
	c.live = caughtUp
}

// age returns how long ago the log took a record with the given time. When the latest record was read during catch-up,
// its own age is unknown and unseen is added, so that a process that restarts often still writes snapshots.
func (c *logClock) age(taken, now time.Time, unseen time.Duration) time.Duration {
	age := c.latest.Sub(taken) + now.Sub(c.seenAt)
	if !c.live {
		age += unseen
	}
	return age
}

// SnapshotOptions say when and how snapshots are written.
type SnapshotOptions struct {
	// Retention is for how long the log keeps a record.
	Retention time.Duration
	// Records is the number of records after which a new snapshot is due.
	Records int
	// ChunkBytes is the size of the snapshot's part in one record, before its encoding.
	ChunkBytes int
	// CheckInterval is the mean time between two checks, and the longest random delay before a snapshot.
	CheckInterval time.Duration
}

// SnapshotWriter writes a snapshot to the config stream when the last one is too old. Several writers may run:
// a second copy is harmless, and the random delay makes it rare.
type SnapshotWriter struct {
	replica *Replica
	options SnapshotOptions
	// written is the offset of the last chunk that was appended. No further snapshot is due before it was read back.
	written platform.Offset
}

// NewSnapshotWriter returns the writer of a replica's snapshots.
func NewSnapshotWriter(replica *Replica, options SnapshotOptions) *SnapshotWriter {
	return &SnapshotWriter{replica: replica, options: options}
}

// Run writes snapshots until ctx ends.
func (w *SnapshotWriter) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.For(ctx, delay.Spread(w.options.CheckInterval))
		if ctx.Err() != nil || !w.due(time.Now()) {
			continue
		}
		delay.For(ctx, rand.N(w.options.CheckInterval))
		if ctx.Err() == nil && w.due(time.Now()) {
			w.write(ctx)
		}
	}
	return nil
}

// due reports whether the last complete snapshot is older than a third of the retention or too many records back.
func (w *SnapshotWriter) due(now time.Time) bool {
	r := w.replica
	if r.View() == nil || !r.LogReachable() || r.behindGap() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	applied, last := r.reader.Applied(), r.reader.LastSnapshot()
	if applied == 0 || applied < w.written {
		return false
	}
	if applied >= last.AsOf+platform.Offset(w.options.Records) {
		return true
	}
	taken := last.Time
	if last.AsOf == 0 {
		taken = r.clock.first
	}
	if taken.IsZero() || r.clock.latest.IsZero() {
		return true
	}
	limit := w.options.Retention / 3
	return r.clock.age(taken, now, limit/2) > limit
}

// write appends the chunks of one snapshot. A failed append leaves an incomplete snapshot, which readers ignore.
func (w *SnapshotWriter) write(ctx context.Context) {
	capture := w.replica.capture()
	events := w.replica.options.Events
	snapshot, err := capture.Encode()
	if err != nil {
		events.EmitError(event.ConfigSnapshotFailed, err, nil)
		return
	}
	records, err := resource.EncodeChunks(ident.New(), capture.AsOf(), snapshot, w.options.ChunkBytes)
	if err != nil {
		events.EmitError(event.ConfigSnapshotFailed, err, nil)
		return
	}
	for _, record := range records {
		offset, err := w.replica.options.Log.Append(ctx, platform.ConfigStream, record)
		if err != nil {
			events.EmitError(event.ConfigSnapshotFailed, err, nil)
			return
		}
		w.written = offset
	}
	events.Emit(event.ConfigSnapshotWritten, event.Fields{
		"asOf": capture.AsOf(), "bytes": len(snapshot), "chunks": len(records),
	})
}
