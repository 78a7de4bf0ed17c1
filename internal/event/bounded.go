package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines queued for a slow reader of the log.
	queuedLines = 2048
	// linesPerSecond is the rate limit of one event. At the highest load seen on the users' platform, a node writes
	// some 30 lines a second.
	linesPerSecond = 150
)

// Writer writes lines in a goroutine of its own, so that a slow reader of the log doesn't delay the process. Lines that
// don't fit into its queue are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	b := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(b.done)
		for line := range b.lines {
			if _, err := w.Write(line); err != nil {
				// There is nowhere else to report the error; the line counts as dropped.
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

// TakeDropped returns how many lines were dropped since the last call.
func (b *Writer) TakeDropped() int64 { return b.dropped.Swap(0) }

// Close writes the queued lines. Write must not be called after it.
func (b *Writer) Close() {
	b.once.Do(func() { close(b.lines) })
	<-b.done
}

// limiter applies the rate limit to the lines of each event.
type limiter struct {
	mu     sync.Mutex
	second int64
	counts map[int]int
	// dropped counts the lines dropped since the last allow that returned them, by the event's name.
	dropped map[string]int
}

func newLimiter() *limiter { return &limiter{counts: map[int]int{}, dropped: map[string]int{}} }

// allow reports whether a line may be written. In the first call of a second it also returns the dropped lines of the
// seconds before.
func (l *limiter) allow(now time.Time, e Event) (allowed bool, dropped map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Unix() != l.second {
		l.second = now.Unix()
		clear(l.counts)
		if len(l.dropped) > 0 {
			dropped, l.dropped = l.dropped, map[string]int{}
		}
	}
	l.counts[e.Number]++
	if l.counts[e.Number] <= linesPerSecond {
		return true, dropped
	}
	l.dropped[e.Name]++
	return false, dropped
}
