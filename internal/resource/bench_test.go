package resource_test

import (
	"fmt"
	"runtime"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

var adapterCounts = []int{3_000, 12_000, 37_000}

// adapterRecords returns records of 250 adapters each, with names and paths of realistic length.
func adapterRecords(count int) []platform.Record {
	const perRecord = 250
	var records []platform.Record
	var ops []resource.Operation
	for i := range count {
		name := fmt.Sprintf("customer-%05d-claims", i)
		id := fmt.Sprintf("0193a7c2-7d1e-7b3a-9c55-%012d", i)
		ops = append(ops, adapter(id, name, 0, "weights/llama-70b/"+name+"/v1.safetensors"))
		if len(ops) == perRecord || i == count-1 {
			data, _ := resource.EncodeOperations(ops)
			records = append(records, platform.Record{Offset: platform.Offset(len(records) + 1), Data: data})
			ops = nil
		}
	}
	return records
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkApplyAdapters measures the declaration of all adapters, read in batches of 10 records, and the heap
// that the view, the operation IDs and the history occupy.
func BenchmarkApplyAdapters(b *testing.B) {
	for _, count := range adapterCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			records := adapterRecords(count)
			bytes := 0
			for _, record := range records {
				bytes += len(record.Data)
			}
			before := heapBytes()
			var reader *resource.Reader
			for b.Loop() {
				reader = resource.NewReader()
				for at := 0; at < len(records); at += 10 {
					reader.Apply(records[at:min(len(records), at+10)])
				}
			}
			if len(reader.Machine().View().Adapters) != count {
				b.Fatal("adapters are missing")
			}
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "state-MiB")
			b.ReportMetric(float64(bytes)/float64(count), "record-B/adapter")
			snapshot := state(b, reader)
			b.ReportMetric(float64(len(snapshot))/1024, "snapshot-KiB")
			restored, err := resource.Restore(snapshot, reader.Applied())
			if err != nil {
				b.Fatal(err)
			}
			reader, snapshot = nil, nil
			view := restored.View()
			restored = nil
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "view-MiB")
			runtime.KeepAlive(view)
			runtime.KeepAlive(records)
		})
	}
}

// BenchmarkOneChange measures one changed adapter, which copies the map of its kind.
func BenchmarkOneChange(b *testing.B) {
	for _, count := range adapterCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			reader := resource.NewReader()
			reader.Apply(adapterRecords(count))
			version := platform.Offset(0)
			for i := 0; b.Loop(); i++ {
				op := adapter(fmt.Sprint(i), "changed", version, "p")
				data, _ := resource.EncodeOperations([]resource.Operation{op})
				version = reader.Applied() + 1
				reader.Apply([]platform.Record{{Offset: version, Data: data}})
			}
			b.ReportMetric(float64(len(mustEncode(adapter("0193a7c2-7d1e-7b3a-9c55-000000000001", "customer-00001-claims", 17,
				"weights/llama-70b/customer-00001-claims/v1.safetensors")))), "record-B")
		})
	}
}

// BenchmarkSnapshot measures encoding and restoring a snapshot.
func BenchmarkSnapshot(b *testing.B) {
	for _, count := range adapterCounts {
		reader := resource.NewReader()
		reader.Apply(adapterRecords(count))
		snapshot := state(b, reader)
		b.Run(fmt.Sprintf("encode/%d", count), func(b *testing.B) {
			for b.Loop() {
				state(b, reader)
			}
		})
		b.Run(fmt.Sprintf("restore/%d", count), func(b *testing.B) {
			for b.Loop() {
				if _, err := resource.Restore(snapshot, reader.Applied()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func mustEncode(op resource.Operation) []byte {
	data, err := resource.EncodeOperations([]resource.Operation{op})
	if err != nil {
		panic(err)
	}
	return data
}
