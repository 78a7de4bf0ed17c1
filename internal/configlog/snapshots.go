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

// logClock estimates the log service's time. It only uses differences: the log's clock is never compared with the
// local clock.
type logClock struct {
	// first and latest are the log's timestamps of the first and the latest record that were read.
	first, latest time.Time
	// readAt is the local time at which latest was read.
	readAt time.Time
	// fresh is true when latest was read while the replica was caught up, that is, soon after it was appended.
	fresh bool
}

func (c *logClock) observe(records []platform.Record, caughtUp bool, now time.Time) {
	if len(records) == 0 {
		return
	}
	if c.first.IsZero() {
		c.first = records[0].Time
	}
	c.latest = records[len(records)-1].Time
	c.readAt = now
	c.fresh = caughtUp
}

// age returns how long ago the log appended a record with the given timestamp. When the latest record was read during
// catch-up, its age is unknown and margin is added, so that a process that restarts often still writes snapshots.
func (c *logClock) age(appendedAt, now time.Time, margin time.Duration) time.Duration {
	age := c.latest.Sub(appendedAt) + now.Sub(c.readAt)
	if !c.fresh {
		age += margin
	}
	return age
}

// SnapshotOptions configure when and how snapshots are written.
type SnapshotOptions struct {
	// Retention is how long the log retains a record.
	Retention time.Duration
	// Records is the number of records after which a new snapshot is due.
	Records int
	// ChunkBytes is the size of the part of the snapshot in one record, before encoding.
	ChunkBytes int
	// CheckInterval is the mean time between checks and the maximum random delay before a snapshot.
	CheckInterval time.Duration
}

// SnapshotWriter writes a snapshot to the config stream when the last one is too old. Several writers may run
// concurrently: a duplicate snapshot is harmless, and the random delay makes it rare.
type SnapshotWriter struct {
	replica *Replica
	options SnapshotOptions
	// written is the offset of the last appended chunk. No further snapshot is due until it has been read back.
	written platform.Offset
}

// NewSnapshotWriter returns a writer of snapshots of a replica.
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

// due reports whether the last complete snapshot is older than a third of the retention or too many records behind.
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
	startedAt := last.Time
	if last.AsOf == 0 {
		startedAt = r.clock.first
	}
	if startedAt.IsZero() || r.clock.latest.IsZero() {
		return true
	}
	limit := w.options.Retention / 3
	return r.clock.age(startedAt, now, limit/2) > limit
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
