package ctl_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/ctl"
	"waxwingcleat.example/waxwingcleat/internal/forward"
	"waxwingcleat.example/waxwingcleat/internal/modelpick"
)

// Guards against a description that reaches the node incomplete, an output that leaves out the decision, and a refusal of the
// node that scripts can't tell from an explanation.
func TestWherePrintsTheExplanation(t *testing.T) {
	g := gomega.NewWithT(t)
	age := int64(321)
	where := forward.Where{
		ConfigurationVersion: 12, Zone: "z1", Nodes: 81, Route: "chat", Customer: "acme", Rank: 1, DeadlineMs: 800, WaitMs: 240,
		Keys: &forward.WhereKeys{Accepted: true, ProofAgeMs: &age},
		Quota: &forward.WhereQuota{Unit: "tokens", PerSecond: 500, Cost: 25, QuotaState: forward.QuotaState{
			Decision: forward.QuotaRefuses, Coordinator: "10.0.0.9:7000",
		}},
		Refusal: &forward.WhereRefusal{Status: 429, Reason: forward.ReasonQuota, RetryAfterMinMs: 240, RetryAfterMaxMs: 560},
		Destinations: []forward.WhereDestination{{
			Service: "models", Probability: 1, Outcome: forward.OutcomeLoad, Reason: forward.ReasonNotLoaded,
			Adapter: &forward.WhereAdapter{Name: "base/a1", Declared: 4}, Load: &forward.WhereLoad{Server: "s2", WaitMs: 270},
			Candidates: []forward.WhereCandidate{{
				Server: "s1", Zone: "z2", Excluded: "lacks the adapter", Total: 0.58, Score: modelpick.Score{Load: 0.5, Zone: 0.08},
				AgeMs: 250, LoadOption: &forward.WhereLoadOption{Excluded: "full"},
			}},
		}},
	}
	var received url.Values
	admin := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.URL.Query()
		if received.Get("route") != "chat" {
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"error":{"code":"not_found","message":"no route is called \"chatt\"; similar: chat"}}`))
			return
		}
		_ = json.NewEncoder(w).Encode(where)
	}))
	t.Cleanup(admin.Close)
	args := []string{"where", "--admin", admin.URL, "--route", "chat", "--adapter", "base/a1", "--customer", "acme",
		"--prompt-tokens", "20", "--output-tokens", "5", "--deadline", "800ms"}
	code, out := run("", args...)
	g.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
	description, err := forward.ParseDescription(received)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(description).To(gomega.Equal(forward.Description{
		Route: "chat", Adapter: "base/a1", Customer: "acme", PromptTokens: 20, OutputTokens: 5, TokensNamed: true, Deadline: 800e6,
	}))
	for _, text := range []string{"configuration 12", "rank 1", "customer acme", "age of the proof 321 ms", "quota: refuse; cost 25",
		"refused: status 429", "Retry-After 240 to 560 ms", "load target s2, expected wait 270 ms", "0.580", "lacks the adapter", "250 ms", "full"} {
		g.Expect(out).To(gomega.ContainSubstring(text))
	}
	code, out = run("", append(args, "--output", "json")...)
	g.Expect(code).To(gomega.Equal(ctl.ExitOK), out)
	var decoded forward.Where
	g.Expect(json.Unmarshal([]byte(out), &decoded)).To(gomega.Succeed())
	g.Expect(decoded).To(gomega.Equal(where))

	code, out = run("", "where", "--admin", admin.URL, "--route", "chatt")
	g.Expect(code).To(gomega.Equal(ctl.ExitFailed))
	g.Expect(out).To(gomega.ContainSubstring("similar: chat"))
	for _, args := range [][]string{{"where"}, {"where", "--admin", admin.URL}, {"where", "--admin", admin.URL, "--host", "h"},
		{"where", "--admin", admin.URL, "--route", "chat", "x"}} {
		code, out = run("", args...)
		g.Expect(code).To(gomega.Equal(ctl.ExitUsage), "%v: %s", args, out)
	}
}
