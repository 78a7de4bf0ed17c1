package event_test

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"waxwingcleat.example/waxwingcleat/internal/event"
)

var update = flag.Bool("update", false, "rewrite docs/EVENTS.md")

const page = "../../docs/EVENTS.md"

func render() string {
	events := event.Catalogue()
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	var b strings.Builder
	b.WriteString("# Event catalogue\n\n")
	b.WriteString("Each log line is a JSON object with the event's number in `event` and its name in `msg`. ")
	b.WriteString("Errors add `error`, `code`, `step` and `peer`. ")
	b.WriteString("The number of an event never changes and is never reused.\n\n")
	b.WriteString("| number | level | name | meaning |\n|---|---|---|---|\n")
	for _, e := range events {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Name, e.Meaning)
	}
	return b.String()
}

// Guards against an event that is missing in docs/EVENTS.md, and against a number that is used twice.
func TestCatalogueMatchesPage(t *testing.T) {
	g := gomega.NewWithT(t)
	if *update {
		g.Expect(os.WriteFile(page, []byte(render()), 0o644)).To(gomega.Succeed())
	}
	written, err := os.ReadFile(page)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(written)).To(gomega.Equal(render()), "run: go test ./internal/event -update")
	seen := map[int]string{}
	for _, e := range event.Catalogue() {
		g.Expect(seen).NotTo(gomega.HaveKey(e.Number), "number %d is used twice", e.Number)
		seen[e.Number] = e.Name
	}
}
