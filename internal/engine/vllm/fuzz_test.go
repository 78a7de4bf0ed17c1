package vllm

import (
	"testing"

	"waxwingcleat.example/waxwingcleat/internal/engine"
)

// FuzzReport guards against reports that make the client panic, and against accepted reports with impossible times,
// negative counts or duplicate adapters, which could lead to a wrong eviction.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"incarnation":"i","asOfUs":5,"nowUs":9,"slots":2,"adapters":[{"name":"a@v1#1","running":1,"waiting":0}]}`))
	f.Add([]byte(`{"incarnation":"i","asOfUs":9,"nowUs":5}`))
	f.Add([]byte(`{"incarnation":"i","asOfUs":-1,"nowUs":9223372036854775807}`))
	f.Add([]byte(`{"incarnation":"i","adapters":[{"name":"a"},{"name":"a"}]}`))
	f.Add([]byte(`{"incarnation":"i","adapters":[{"name":"a","running":-1}]}`))
	f.Add([]byte(`{"error":{"message":"m","type":"t","code":"not_loaded"}}`))
	f.Add([]byte(`{"error":{"message":"m","type":"t","code":404}}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		_ = ParseError(404, body).Error()
		report, err := parseReport(body)
		if err != nil {
			return
		}
		if report.AsOf < 0 || report.AsOf > report.Now || report.Incarnation == "" {
			t.Fatalf("accepted report with incarnation %q, asOf %d, now %d", report.Incarnation, report.AsOf, report.Now)
		}
		seen := make(map[engine.LoadName]bool)
		for _, adapter := range report.Adapters {
			if seen[adapter.Name] || adapter.Running < 0 || adapter.Waiting < 0 {
				t.Fatalf("accepted adapter %+v", adapter)
			}
			seen[adapter.Name] = true
		}
	})
}
