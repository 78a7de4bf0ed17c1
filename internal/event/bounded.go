package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the log.
	queuedLines = 2048
	// linesPerSecond bounds the lines of one event in a second. A node on the users' busiest day writes some 30.
	linesPerSecond = 150
)

// Writer writes lines in a goroutine of its own, so that a slow reader of the log delays nothing. Lines that don't fit
// into its queue are left out and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a writer of lines to w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				// There is no other place to write to; the line counts as left out.
				b.dropped.Add(1)
			}
		}
	}()
	return b
}

// Write implements io.Writer. It never blocks.
func (b *Writer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns how many lines were left out since the last call.
func (b *Writer) TakeDropped() int64 { return b.dropped.Swap(0) }

// Close writes what is queued. No line may be written after it.
func (b *Writer) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}

// limiter bounds the lines of each event in a second.
type limiter struct {
	mu     sync.Mutex
	second int64
	counts map[int]int
	// leftOut counts the lines of the second before that weren't written, by the event's name.
	leftOut map[string]int
}

func newLimiter() *limiter { return &limiter{counts: map[int]int{}, leftOut: map[string]int{}} }

// allow reports whether a line may be written, and returns what was left out before, once a second at most.
func (l *limiter) allow(now time.Time, e Event) (allowed bool, leftOut map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Unix() != l.second {
		l.second = now.Unix()
		clear(l.counts)
		if len(l.leftOut) > 0 {
			leftOut, l.leftOut = l.leftOut, map[string]int{}
		}
	}
	l.counts[e.Number]++
	if l.counts[e.Number] <= linesPerSecond {
		return true, leftOut
	}
	l.leftOut[e.Name]++
	return false, leftOut
}
