package event

import (
	"sync"
	"time"
)

// repeatPeriod is the time between two lines of an event that is repeated.
const repeatPeriod = time.Second

// Repeated writes an event that one outside party can cause any number of times: at most one line a second, with the number of
// events since the last line. The zero value is ready to use.
type Repeated struct {
	mu        sync.Mutex
	writtenAt time.Time
	count     int
}

// Emit counts one event and writes it unless another one was written within the last second.
func (r *Repeated) Emit(log *Log, e Event, fields Fields) {
	r.mu.Lock()
	r.count++
	now := time.Now()
	if now.Sub(r.writtenAt) < repeatPeriod {
		r.mu.Unlock()
		return
	}
	count := r.count
	r.writtenAt, r.count = now, 0
	r.mu.Unlock()
	line := Fields{"count": count}
	for name, value := range fields {
		line[name] = value
	}
	log.Emit(e, line)
}
