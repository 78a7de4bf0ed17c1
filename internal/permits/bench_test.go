package permits_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/permits"
	"waxwingcleat.example/waxwingcleat/internal/routing"
	"waxwingcleat.example/waxwingcleat/internal/rpc/peerpb"
)

// filledTable returns a table in which every adapter is resident on copies of the servers.
func filledTable(adapters, servers, copies int) *permits.Table {
	table := newTable(contact)
	answer := &peerpb.SyncResponse{SchedulerIncarnation: "i", PermitsVersion: 1, PermitMs: permitMs}
	for s := range servers {
		answer.Servers = append(answer.Servers, &peerpb.ServerPermits{
			Server: fmt.Sprintf("s%d", s), Zone: fmt.Sprintf("z%d", s%3), BaseModel: "base", Concurrent: 64, Fence: 1,
		})
	}
	for a := range adapters {
		for c := range copies {
			server := answer.Servers[(a*7+c)%servers]
			server.Loads = append(server.Loads, &peerpb.LoadPermit{
				Load: uint64(a*copies + c + 1), Name: fmt.Sprintf("a%d@v#%d", a, a*copies+c+1),
				Adapter: fmt.Sprintf("a%d", a), Version: "v", State: peerpb.LoadState_RESIDENT,
			})
		}
	}
	table.Apply(contact, start, answer)
	return table
}

// BenchmarkDecision measures one whole decision: gather, decide, acquire and release.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ adapters, servers, copies int }{{3000, 9, 3}, {37000, 600, 3}, {37000, 600, 30}} {
		b.Run(fmt.Sprintf("adapters=%d/servers=%d/copies=%d", size.adapters, size.servers, size.copies), func(b *testing.B) {
			table := filledTable(size.adapters, size.servers, size.copies)
			policy := routing.Policy{Weights: routing.Weights{Load: 1, Zone: 0.2, Batch: 0.3}, Pick: routing.PickTwoChoices}
			random := rand.New(rand.NewPCG(1, 2))
			requests := make([]routing.Request, 1024)
			for i := range requests {
				target := routing.Target{Adapter: fmt.Sprintf("a%d", random.IntN(size.adapters)), Version: "v"}
				requests[i] = routing.Request{Target: target, BaseModel: "base", Zone: "z1"}
			}
			var candidates []routing.Candidate
			var verdicts []routing.Verdict
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				request := &requests[i%len(requests)]
				candidates = table.Gather(request.Target, candidates)
				choice := policy.Decide(request, &routing.Snapshot{Now: start, Candidates: candidates}, random, verdicts)
				verdicts = choice.Verdicts
				chosen := candidates[choice.Index]
				use, ok := table.Acquire(chosen.Server, chosen.Load, start)
				if !ok {
					b.Fatal("the chosen candidate could not be acquired")
				}
				table.Release(use)
			}
		})
	}
}
