package loadqueue

import (
	"encoding/json"
	"fmt"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

func capacityRequest(i int) record {
	return record{
		Kind: requestRecord, Holder: "0193a7c2-7d1e-7b3a-9c55-000000000001",
		ID: fmt.Sprintf("0193a7c2-7d1e-7b3a-9c55-%012d", i), Attempt: 1,
		Class: 1, Adapter: fmt.Sprintf("customer-%05d-claims", i), Version: "v1", Server: "server-001",
		AppliedOffset: platform.Offset(i),
	}
}

// BenchmarkRecordBytes measures the size of the records of one load.
func BenchmarkRecordBytes(b *testing.B) {
	request := capacityRequest(0)
	done := record{Kind: doneRecord, Holder: request.Holder, ID: request.ID, RequestOffset: 1_000_000}
	for name, r := range map[string]record{"request": capacityRequest(100_000), "done": done} {
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, _ := json.Marshal(r)
				size = len(data)
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}

// BenchmarkApplyRequest measures one load, from request to done, behind a queue of the given length.
func BenchmarkApplyRequest(b *testing.B) {
	for _, queued := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			o := newOrder()
			next := 0
			add := func() {
				next++
				r := capacityRequest(next)
				r.AppliedOffset = platform.Offset(next - 1)
				if v := o.apply(platform.Offset(next), r); v != accepted {
					b.Fatalf("request %d: outcome %d", next, v)
				}
			}
			for range queued {
				add()
			}
			for b.Loop() {
				add()
				running := o.items[0]
				next++
				o.apply(platform.Offset(next), record{Kind: doneRecord, Holder: running.holder, RequestOffset: running.offset})
			}
		})
	}
}
