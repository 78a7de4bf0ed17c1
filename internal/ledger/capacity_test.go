package ledger

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkClaimBytes measures the size of a batch record by the number of claims or outcomes in it.
func BenchmarkClaimBytes(b *testing.B) {
	for _, kind := range []struct {
		name  string
		entry entry
	}{
		{"claim", entry{kind: claimEntry}},
		{"outcome-empty", entry{kind: outcomeEntry, outcome: outcomeRecord{status: 200, contentType: "application/json"}}},
		{"outcome-1KiB", entry{kind: outcomeEntry, outcome: outcomeRecord{
			status: 200, contentType: "application/json", body: make([]byte, 1024),
		}}},
	} {
		for _, count := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/%d", kind.name, count), func(b *testing.B) {
				record := batch{incarnation: "0193a7c2-7d1e-7b3a-9c55-000000000001", address: "10.20.30.40:8001", sequence: 100_000}
				for i := range count {
					next := kind.entry
					next.ticket, next.keySeconds = uint64(100_000+i), 1_800_000_000
					record.entries = append(record.entries, next)
				}
				size := 0
				for b.Loop() {
					size = len(encodeBatch(record))
				}
				b.ReportMetric(float64(size), "record-B")
			})
		}
	}
}

// BenchmarkDecodeClaims measures the CPU time that every gateway spends on decoding a record of the stream.
func BenchmarkDecodeClaims(b *testing.B) {
	for _, count := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			record := batch{incarnation: "0193a7c2-7d1e-7b3a-9c55-000000000001", address: "10.20.30.40:8001"}
			for range count {
				record.entries = append(record.entries, entry{kind: claimEntry, keySeconds: 1_800_000_000})
			}
			data := encodeBatch(record)
			for b.Loop() {
				if _, err := decodeBatch(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkTableMemory measures the heap of the table of keys; a gateway holds up to 1,000,000 keys.
func BenchmarkTableMemory(b *testing.B) {
	for _, keys := range []uint64{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			heap := func() uint64 {
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				return stats.HeapAlloc
			}
			before := heap()
			var t *table
			for b.Loop() {
				t = newTable()
				for i := range keys {
					var hash KeyHash
					// An odd factor spreads the keys over the shards without a collision.
					binary.LittleEndian.PutUint64(hash[:], i*0x9E3779B97F4A7C15)
					t.put(hash, keyRecord{state: completed})
				}
			}
			b.ReportMetric(float64(heap()-before)/float64(keys), "B/key")
			b.ReportMetric(float64(heap()-before)/(1<<20), "table-MiB")
			runtime.KeepAlive(t)
		})
	}
}
