package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

func benchKey(i int) Key {
	var key Key
	binary.LittleEndian.PutUint64(key.Hash[:], uint64(i)*0x9e3779b97f4a7c15)
	key.Time = time.Unix(1_800_000_000, 0)
	return key
}

// benchCore returns a core that is ready and has written its first batch.
func benchCore(now time.Time) (*core, *[]platform.Record) {
	options := Options{
		Incarnation: "0199d3f0-7c1b-7cc3-98c4-dc0c0c07398f", Address: "10.100.100.100:7000",
		MaximumKeys: 2_000_000, MaximumQueued: 100_000,
	}
	log := &[]platform.Record{}
	c := newCore(options.config(), now)
	c.tick(now)
	benchRead(c, log, now)
	return c, log
}

// benchRead commits the core's append and reads it back. It returns the number of bytes appended.
func benchRead(c *core, log *[]platform.Record, now time.Time) int {
	size := 0
	for _, next := range c.popActions() {
		a, ok := next.(appendAction)
		if !ok {
			continue
		}
		size += len(a.data)
		*log = append(*log, platform.Record{Offset: platform.Offset(len(*log) + 1), Time: now, Data: a.data})
		c.appendDone(now, a.sequence, true)
		c.applyRead(now, platform.Batch{Earliest: 1, Next: platform.Offset(len(*log) + 1), Records: (*log)[len(*log)-1:]})
	}
	return size
}

// BenchmarkClaim measures the bytes on the log and the processing time of the core for a claim and its outcome of
// 1 KiB, with different numbers of claims in one append, as they arrive in the append interval of 40 ms.
func BenchmarkClaim(b *testing.B) {
	for _, group := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			now := time.Unix(1_800_000_000, 0)
			c, log := benchCore(now)
			claims, claimBytes, outcomeBytes := 0, 0, 0
			outcome := Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, 1024)}
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				c.batcher.busy = true
				for i := range group {
					c.begin(now, benchKey(claims+i), "a")
				}
				c.batcher.busy = false
				c.tick(now)
				claimBytes += benchRead(c, log, now)
				now = now.Add(50 * time.Millisecond)
				c.batcher.busy = true
				for i := range group {
					c.complete(now, benchKey(claims+i).Hash, "a", outcome)
				}
				c.batcher.busy = false
				c.tick(now)
				outcomeBytes += benchRead(c, log, now)
				claims += group
				*log = (*log)[:0:0]
				c.applied = 0
			}
			b.ReportMetric(float64(claimBytes)/float64(claims), "B/claim")
			b.ReportMetric(float64(outcomeBytes)/float64(claims)-1024, "B/outcome-without-body")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(claims), "ns/claim")
		})
	}
}

// BenchmarkMemory measures the heap that the table needs per key.
func BenchmarkMemory(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				t := newTable()
				for i := range keys {
					t.put(benchKey(i).Hash, keyRecord{ticket: uint64(i), state: completed})
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(keys), "B/key")
				runtime.KeepAlive(t)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
