package logfollow_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
	"waxwingcleat.example/waxwingcleat/internal/logfollow"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// scriptedLog returns the next answer of a script for each read, and stops the follower at the end of the script.
type scriptedLog struct {
	script []answer
	froms  []platform.Offset
	stop   context.CancelFunc
}

// answer is the result of one read.
type answer struct {
	offsets []platform.Offset
	err     error
}

func (l *scriptedLog) Append(context.Context, platform.Stream, []byte) (platform.Offset, error) {
	return 0, errors.New("not used")
}

func (l *scriptedLog) Read(
	_ context.Context, _ platform.Stream, from platform.Offset, _ time.Duration,
) (platform.Batch, error) {
	if len(l.script) == 0 {
		l.stop()
		return platform.Batch{}, context.Canceled
	}
	next := l.script[0]
	l.script = l.script[1:]
	l.froms = append(l.froms, from)
	var batch platform.Batch
	for _, offset := range next.offsets {
		batch.Records = append(batch.Records, platform.Record{Offset: offset})
	}
	return batch, next.err
}

// collector is a Handler that records its calls.
type collector struct {
	offsets []platform.Offset
	trimmed []platform.Offset
}

func (c *collector) Records(batch platform.Batch) error {
	for _, record := range batch.Records {
		c.offsets = append(c.offsets, record.Offset)
	}
	return nil
}

func (c *collector) Trimmed(earliest platform.Offset) error {
	c.trimmed = append(c.trimmed, earliest)
	return nil
}

// Guards against records that are delivered twice, out of order or after a gap: the log may repeat old records or skip
// some in an answer, and a failed read is retried at the same offset.
func TestRecordsArriveOnceAndInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx, stop := context.WithCancel(context.Background())
	log := &scriptedLog{stop: stop, script: []answer{
		{offsets: []platform.Offset{1, 2}},
		{err: errors.New("unavailable")},
		{offsets: []platform.Offset{1, 2, 3}},
		{offsets: []platform.Offset{5, 6}},
		{offsets: []platform.Offset{4, 6}},
		{err: &platform.TrimmedError{From: 5, Earliest: 9}},
		{offsets: []platform.Offset{9, 10}},
	}}
	handler := &collector{}
	follower := logfollow.New(log, "s", event.Discard())
	g.Expect(follower.Follow(ctx, handler)).To(gomega.Succeed())
	g.Expect(handler.offsets).To(gomega.Equal([]platform.Offset{1, 2, 3, 4, 9, 10}))
	g.Expect(handler.trimmed).To(gomega.Equal([]platform.Offset{9}))
	g.Expect(log.froms).To(gomega.Equal([]platform.Offset{1, 3, 3, 4, 4, 5, 9}))
	g.Expect(follower.Next()).To(gomega.Equal(platform.Offset(11)))
}
