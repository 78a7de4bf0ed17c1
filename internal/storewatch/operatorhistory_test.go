package storewatch_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"waxwingcleat.example/waxwingcleat/internal/serving"
	"waxwingcleat.example/waxwingcleat/internal/storewatch"
)

// Guards against a node that never receives a version because it counts a record as read that no digest carried.
// Records of versions and configurations, reads of the reader, and lost digests occur in any order.
func TestNoRecordCountsAsReadBeforeItIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var history storewatch.OperatorHistory
		var follower storewatch.Core
		now := start
		known := map[int]bool{}
		// Record i has offset i. It is a configuration if isConfig[i] is true, else a version.
		isConfig := map[int]bool{}
		log, read := 1, 1
		history.Add(now, serving.OperatorBatch{Next: serving.Cursor{Known: true, Offset: 1}}, false)
		follower.ReadOperator(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"append", "read", "digest", "store"}).Draw(t, "step") {
			case "append":
				isConfig[log] = rapid.IntRange(0, 3).Draw(t, "config") == 0
				log++
			case "read":
				batch := serving.OperatorBatch{Next: serving.Cursor{Known: true, Offset: int64(log)}}
				for ; read < log; read++ {
					if isConfig[read] {
						batch.Configurations = append(batch.Configurations, &serving.Configuration{})
						continue
					}
					batch.Versions = append(batch.Versions, serving.AdapterVersion{Version: read})
				}
				history.Add(now, batch, true)
			case "digest":
				changes := history.Changes(now)
				if len(changes.Versions) == 0 || !follower.HasRead(changes.From) {
					continue
				}
				for _, version := range changes.Versions {
					known[version.Version] = true
				}
				follower.Fetched(storewatch.Digest{OperatorNext: int64(read)})
			case "store":
				for record := range log {
					known[record] = true
				}
				follower.ReadOperator(int64(log))
			}
			for record := 1; record < log && follower.HasRead(int64(record+1)); record++ {
				if !known[record] {
					t.Fatalf("record %d of %d counts as read but is unknown", record, log)
				}
			}
		}
	})
}
