package httplog

import (
	"errors"
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/platform"
)

// FuzzRead guards against answers that make the client panic, and against accepting gaps, duplicates or offsets outside
// the range that the answer specifies.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"earliest":1,"next":3,"records":[`+
		`{"offset":1,"timeMs":5,"data":"YQ=="},{"offset":2,"timeMs":6,"data":""}]}`), uint64(1))
	f.Add([]byte(`{"earliest":4,"next":9}`), uint64(2))
	f.Add([]byte(`{"earliest":1,"next":1,"records":[]}`), uint64(1))
	f.Add([]byte(`{"earliest":1,"next":9,"records":[{"offset":3}]}`), uint64(2))
	f.Add([]byte(`{"earliest":1,"next":18446744073709551615,`+
		`"records":[{"offset":18446744073709551615}]}`), uint64(1<<64-1))
	f.Add([]byte(`{"earliest":-1,"next":1e400}`), uint64(1))
	f.Add([]byte(`[]`), uint64(0))
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		batch, err := parseRead(body, platform.Offset(from))
		if err == nil {
			checkBatch(t, batch, platform.Offset(from))
		}
		var trimmed *platform.TrimmedError
		err = parseTrimmed(body, platform.ConfigStream, platform.Offset(from))
		if errors.As(err, &trimmed) && trimmed.Earliest <= trimmed.From {
			t.Fatalf("offset %d accepted as trimmed with earliest %d", trimmed.From, trimmed.Earliest)
		}
	})
}

func checkBatch(t *testing.T, batch platform.Batch, from platform.Offset) {
	for i, record := range batch.Records {
		if record.Offset != from+platform.Offset(i) || record.Offset < batch.Earliest || record.Offset >= batch.Next {
			t.Fatalf("record %d of a read from %d has offset %d in [%d, %d)",
				i, from, record.Offset, batch.Earliest, batch.Next)
		}
	}
}
