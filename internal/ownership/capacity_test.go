package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"waxwingcleat.example/waxwingcleat/internal/engine"
	"waxwingcleat.example/waxwingcleat/internal/ownership"
	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// BenchmarkRecordBytes measures the size of the records of an ownership stream by the number of servers of the holder.
func BenchmarkRecordBytes(b *testing.B) {
	holder := ownership.Holder{
		Node: "vm-001", Incarnation: "0193a7c2-7d1e-7b3a-9c55-000000000001", Address: "10.20.30.40:8002",
	}
	base := ownership.Record{ID: holder.Incarnation + "/100000", Holder: holder}
	for _, servers := range []int{1, 2, 10, 86} {
		b.Run(fmt.Sprintf("renewal/%d", servers), func(b *testing.B) {
			record := base
			record.Kind = ownership.Renewal
			for i := range servers {
				holding := ownership.Holding{Server: fmt.Sprintf("server-%03d", i), Fence: 1_000_000}
				record.Holdings = append(record.Holdings, holding)
			}
			size := 0
			for b.Loop() {
				size = len(record.Encode())
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
	for _, kind := range []ownership.Kind{ownership.Claim, ownership.Intend, ownership.Done} {
		b.Run(string(kind), func(b *testing.B) {
			record := base
			record.Kind, record.Server, record.Fence, record.Seen = kind, "server-001", 1_000_000, 1_000_000
			if kind != ownership.Claim {
				record.Load = "customer-00001-claims@v1#100000"
			}
			size := 0
			for b.Loop() {
				size = len(record.Encode())
			}
			b.ReportMetric(float64(size), "record-B")
		})
	}
}

// BenchmarkObserveRenewal measures the CPU time that each scheduler of a zone spends on one renewal, by the number of
// servers in the zone. Each scheduler holds two servers.
func BenchmarkObserveRenewal(b *testing.B) {
	for _, servers := range []int{10, 30, 86} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			var names []string
			for i := range servers {
				names = append(names, fmt.Sprintf("server-%03d", i))
			}
			core := ownership.New(ownership.DefaultConfig(holderOf(0)))
			core.SetServers(names)
			now := time.Unix(1_800_000_000, 0)
			var renewals []ownership.Record
			var fences []engine.FencingNumber
			offset := platform.Offset(0)
			observe := func(r ownership.Record) {
				offset++
				core.Observe(now, []platform.Record{{Offset: offset, Data: r.Encode()}}, true)
			}
			for i, name := range names {
				observe(ownership.Record{
					ID: fmt.Sprint("claim", i), Kind: ownership.Claim, Holder: holderOf(1 + i/2), Server: name,
				})
				fences = append(fences, engine.FencingNumber(offset))
			}
			for i := 0; i+1 < servers; i += 2 {
				renewals = append(renewals, ownership.Record{
					ID: fmt.Sprint("renewal", i), Kind: ownership.Renewal, Holder: holderOf(1 + i/2),
					Holdings: []ownership.Holding{{Server: names[i], Fence: fences[i]}, {Server: names[i+1], Fence: fences[i+1]}},
				})
			}
			for i := 0; b.Loop(); i++ {
				observe(renewals[i%len(renewals)])
			}
		})
	}
}

func holderOf(i int) ownership.Holder {
	return ownership.Holder{
		Node: fmt.Sprintf("vm-%03d", i), Incarnation: fmt.Sprintf("0193a7c2-7d1e-7b3a-9c55-%012d", i),
		Address: "10.20.30.40:8002",
	}
}
