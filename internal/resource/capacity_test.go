package resource_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// BenchmarkSnapshotRandomPaths measures the size of a snapshot whose weight paths hold a random 128-bit number each,
// which doesn't compress below 16 bytes. The adapters of the other benchmarks differ only in a counter.
func BenchmarkSnapshotRandomPaths(b *testing.B) {
	for _, count := range adapterCounts {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 2))
			reader := resource.NewReader()
			for i := range count {
				name := fmt.Sprintf("customer-%05d-claims", i)
				id := fmt.Sprintf("0193a7c2-7d1e-7b3a-9c55-%012x", random.Uint64()>>16)
				path := fmt.Sprintf("weights/llama-70b/%016x%016x.safetensors", random.Uint64(), random.Uint64())
				data, err := resource.EncodeOperations([]resource.Operation{adapter(id, name, 0, path)})
				if err != nil {
					b.Fatal(err)
				}
				reader.Apply([]platform.Record{{Offset: platform.Offset(i + 1), Data: data}})
			}
			var snapshot []byte
			for b.Loop() {
				snapshot = state(b, reader)
			}
			b.ReportMetric(float64(len(snapshot))/1024, "snapshot-KiB")
			b.ReportMetric(float64(len(snapshot))/float64(count), "B/adapter")
		})
	}
}
