package configlog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"waxwingcleat.example/waxwingcleat/internal/platform"
	"waxwingcleat.example/waxwingcleat/internal/resource"
)

// limitedLog limits the rate of appends, as the platform's log service does.
type limitedLog struct {
	*fakeLog
	limiter *rate.Limiter
}

func (l *limitedLog) Append(ctx context.Context, stream platform.Stream, data []byte) (platform.Offset, error) {
	if err := l.limiter.Wait(ctx); err != nil {
		return 0, err
	}
	return l.fakeLog.Append(ctx, stream, data)
}

// BenchmarkDeclareAdapters measures the time from the call to Writer.Apply until all its records were read back, with
// a log that accepts 300 appends per second.
func BenchmarkDeclareAdapters(b *testing.B) {
	for _, count := range []int{3_000, 37_000} {
		operations := make([]resource.Operation, 0, count)
		for i := range count {
			name := fmt.Sprintf("customer-%05d-claims", i)
			spec := fmt.Sprintf(`{"baseModel":"m","versions":[{"name":"v1","path":"weights/llama-70b/%s/v1.safetensors"}],`+
				`"defaultVersion":"v1"}`, name)
			id := fmt.Sprintf("0193a7c2-7d1e-7b3a-9c55-%012d", i)
			operations = append(operations, resource.Operation{
				ID: id, Kind: resource.KindAdapter, Name: name, Spec: []byte(spec),
			})
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			records := 0
			for b.Loop() {
				log := &limitedLog{fakeLog: newFakeLog(), limiter: rate.NewLimiter(300, 1)}
				replica, stop := startReplica(log)
				waitFor(replica, 0)
				begin := time.Now()
				writer := NewWriter(replica, WriterOptions{RecordBytes: 64 << 10})
				for _, result := range writer.Apply(context.Background(), operations) {
					if result.Outcome != resource.Accepted {
						b.Fatal(result)
					}
				}
				b.ReportMetric(float64(time.Since(begin).Milliseconds()), "ms")
				records = len(log.records)
				stop()
			}
			b.ReportMetric(float64(records), "records")
		})
	}
}
